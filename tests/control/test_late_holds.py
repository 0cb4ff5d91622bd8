"""Guards against a hold that the next incarnation of an executor carries out late.

review/14: a hold without an answer acknowledged six ends of an executor. The executor restarted,
two tasks ended `done` there, and then it carried out the hold: it forgot their ends before a report
listed them, and they were started again.
"""

from typing import Any

import anyio
import testtools
from marigolddoor_control.fleet.ports import (
    HoldRequest,
    NoAnswerError,
    StartOutcome,
    StartRequest,
    WrongIncarnationError,
)
from marigolddoor_core.dispatch import Executor, HoldReport
from marigolddoor_core.ids import FencingToken, TaskName

from bench.faults.virtual_loop import run_in_virtual_time
from tests.control.test_acknowledged_ends import ReportingExecutor, eventually
from tests.control.test_order_sender import lead
from tests.core.dispatch.fakes import heartbeat
from tests.core.jobs.fakes import accept

FIRST, SECOND = TaskName("j.0.0.0"), TaskName("k.0.0.0")


class RestartingExecutor(ReportingExecutor):
    """Refuses calls with a lower token than it has seen, and may leave holds unanswered."""

    def __init__(self) -> None:
        super().__init__(0)
        self.token = FencingToken(0)
        self.answers = True
        self.unanswered: list[HoldRequest] = []

    def restart(self) -> None:
        """Begin the next incarnation, which knows nothing of the one before."""
        self.born_ms += 100
        self.token = FencingToken(0)
        self.running, self.listed, self.number = {}, [], 0

    def check(self, token: FencingToken) -> None:
        if token < self.token:
            raise NoAnswerError("the executor rejected a stale fencing token")
        self.token = token

    async def start(self, executor: Executor, request: StartRequest) -> StartOutcome:
        self.check(request.token)
        return await super().start(executor, request)

    async def hold(self, executor: Executor, request: HoldRequest) -> HoldReport:
        if not self.answers:
            self.unanswered.append(request)
            await anyio.sleep(0.8)
            raise NoAnswerError("no answer in time")
        if executor.heartbeat.born_ms != self.born_ms:
            self.token = max(self.token, request.token)
            raise WrongIncarnationError("another incarnation answered")
        return await self.carry_out(executor, request)

    async def carry_out(self, executor: Executor, request: HoldRequest) -> HoldReport:
        """Carry out a hold, whether or not its caller still waits for the answer."""
        self.check(request.token)
        return await super().hold(executor, request)


class LateHoldTest(testtools.TestCase):
    """An executor ends a task, restarts or not, and ends another one; then an old hold comes."""

    scenarios = [
        ("in the same incarnation", {"restarts": 0}),
        ("in the next incarnation", {"restarts": 1}),
        ("in the one after it", {"restarts": 2}),
    ]

    def test_task_runs_once(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        executor = RestartingExecutor()

        async def scenario(leadership: Any) -> None:
            jobs = leadership.table.jobs
            await eventually(lambda: FIRST in executor.running)
            await anyio.sleep(0.5)
            executor.end(FIRST)
            await eventually(lambda: jobs["j"].done == 1)
            await anyio.sleep(1.0)
            executor.answers = False
            await eventually(lambda: bool(executor.unanswered))
            late = executor.unanswered[0]
            self.assertEqual(1, late.seen)
            executor.answers = True
            for number in range(self.restarts):
                executor.restart()
                leadership.identify(heartbeat(born_ms=200 + 100 * number))
                await anyio.sleep(1.0)
            await leadership.record(accept("k", {"count": 1}))
            await eventually(lambda: SECOND in executor.running)
            await anyio.sleep(0.5)
            # The end is not listed before the late hold arrives.
            executor.answers = False
            executor.end(SECOND)
            current = leadership.dispatch.current["i-1"]
            try:
                await executor.carry_out(current, late)
            except NoAnswerError:
                self.assertTrue(self.restarts)
            executor.answers = True
            await eventually(lambda: jobs["k"].done == 1)

        await lead(executor, scenario)
        self.assertEqual(1, executor.starts.count(SECOND))
