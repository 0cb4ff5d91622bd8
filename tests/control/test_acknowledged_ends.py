"""Guards against ends that are acknowledged unread, and runs that count as lost without a trace.

Trials of review/7: a row whose outcome could not be read was acknowledged with the rows after it,
and its task, which had ended `done`, was started again.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import testtools
from loguru import logger
from marigolddoor_control.fleet.ports import HoldRequest, StartOutcome, StartRequest
from marigolddoor_core.dispatch import Executor, HoldReport, RunningTask, UnreadableRow
from marigolddoor_core.dispatch.run_evidence import UNREADABLE_ROW_TIMEOUT_S
from marigolddoor_core.ids import RunNumber, TaskName
from marigolddoor_core.metrics import CounterKind, Labels
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError

from bench.faults.virtual_loop import run_in_virtual_time
from tests.control.test_order_sender import ScriptedExecutor, lead
from tests.core.dispatch.fakes import finished, unread_end
from tests.core.jobs.fakes import accept

UNREAD = TaskName("j.0.0.0")
OTHER = TaskName("k.0.0.0")


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end `done` in the list of the executor, whose row can't be read in the first reports."""

    number: int
    task: TaskName
    run: int
    unreadable_reports: float = 0


class ReportingExecutor(ScriptedExecutor):
    """Reports the ends that a test sets; the first run of one task may vanish."""

    def __init__(self, unreadable_reports: float, vanishing: TaskName | None = None) -> None:
        super().__init__([], ())
        self.unreadable_reports = unreadable_reports
        self.vanishing = vanishing
        self.running: dict[TaskName, int] = {}
        self.listed: list[ListedEnd] = []
        self.number = 0
        self.reports = 0
        self.seen: list[int] = []
        self.held_at: list[float] = []
        self.starts: list[TaskName] = []

    async def start(self, executor: Executor, request: StartRequest) -> StartOutcome:
        self.running[request.task] = request.run
        self.starts.append(request.task)
        return StartOutcome.STARTED

    def end(self, task: TaskName) -> None:
        """End the run of a task."""
        run = self.running.pop(task)
        if task == self.vanishing and self.starts.count(task) == 1:
            return
        self.number += 1
        unreadable = self.unreadable_reports if task == UNREAD and self.number == 1 else 0
        self.listed.append(ListedEnd(self.number, task, run, unreadable))

    async def hold(self, executor: Executor, request: HoldRequest) -> HoldReport:
        self.seen.append(request.seen)
        self.held_at.append(anyio.current_time())
        self.listed = [end for end in self.listed if end.number > request.seen]
        await anyio.sleep(0.0 if self.listed else request.wait_s)
        self.reports += any(end.unreadable_reports for end in self.listed)
        rows: list[UnreadableRow] = []
        ends = []
        for end in self.listed:
            if end.unreadable_reports and self.reports <= end.unreadable_reports:
                rows.append(unread_end(end.number - 1, end.number))
            else:
                ends.append(finished(end.number, end.task, run=end.run))
        running = tuple(
            RunningTask(task, RunNumber(run), "", 50) for task, run in self.running.items()
        )
        clock_ms = 5000 + int(anyio.current_time() * 1000)
        return HoldReport(clock_ms, running, tuple(ends), self.born_ms, tuple(rows))


async def eventually(condition: Callable[[], bool], limit_s: float = 5.0) -> None:
    with anyio.fail_after(limit_s):
        while not condition():
            await anyio.sleep(0.05)


class UnreadableEndTest(testtools.TestCase):
    """Of two tasks, the row of the first one's end can't be read."""

    scenarios = [
        ("in no report", {"unreadable_reports": 0, "starts": 1}),
        ("in two reports", {"unreadable_reports": 2, "starts": 1}),
        ("for ever", {"unreadable_reports": float("inf"), "starts": 2}),
    ]

    def test_end(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        executor = ReportingExecutor(self.unreadable_reports)

        async def scenario(leadership: Any) -> None:
            jobs = leadership.table.jobs
            await leadership.record(accept("k", {"count": 1}))
            await eventually(lambda: len(executor.running) == 2)
            await anyio.sleep(1.0)
            executor.end(UNREAD)
            executor.end(OTHER)
            # The other end is recorded at once, and the lease goes on.
            await eventually(lambda: jobs["k"].done == 1)
            await anyio.sleep(UNREADABLE_ROW_TIMEOUT_S - 10.0)
            if self.starts == 2:
                self.assertEqual({0}, set(executor.seen))
            self.assertEqual(1, executor.starts.count(UNREAD))
            await anyio.sleep(15.0)
            if UNREAD in executor.running:
                executor.end(UNREAD)
            await eventually(lambda: jobs["j"].done == 1)
            await eventually(lambda: executor.seen[-1] == executor.number)

        leadership = await lead(executor, scenario)
        self.assertEqual(
            (self.starts, 1), (executor.starts.count(UNREAD), executor.starts.count(OTHER))
        )
        missing = leadership.counters.values[CounterKind.RUNS_MISSING, Labels(service="desk")]
        self.assertEqual(self.starts - 1, missing)


class VanishedRunTest(testtools.TestCase):
    """An executor that lost a run is not waited for, also while another end can't be read."""

    scenarios = [
        ("all rows can be read", {"unreadable_reports": 0, "limit_s": 2.0}),
        (
            "a row can't be read",
            {"unreadable_reports": float("inf"), "limit_s": UNREADABLE_ROW_TIMEOUT_S + 2.0},
        ),
    ]

    def test_restart(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        executor = ReportingExecutor(self.unreadable_reports, vanishing=OTHER)
        lines: list[str] = []
        logger.enable("marigolddoor_control")
        sink = logger.add(lambda message: lines.append(str(message)), format="{message}")

        async def scenario(leadership: Any) -> None:
            await leadership.record(accept("k", {"count": 1}))
            await eventually(lambda: len(executor.running) == 2)
            await anyio.sleep(1.0)
            executor.end(UNREAD)
            executor.end(OTHER)
            await eventually(lambda: executor.starts.count(OTHER) == 2, self.limit_s)

        try:
            await lead(executor, scenario)
        finally:
            logger.remove(sink)
            logger.disable("marigolddoor_control")
        unreadable = 1 if self.unreadable_reports else 0
        text = "".join(lines)
        self.assertIn(f"{unreadable} unreadable", text)
        self.assertIn("acknowledged ends up to", text)
        self.assertIn(f"run {OTHER} 1 is missing at executor i-1/100", text)


class SlowCommitTest(testtools.TestCase):
    """The ends of an executor are committed late or not at all; meanwhile another task runs on."""

    scenarios = [
        ("at once", {"commit_s": 0.0, "error": None, "is_acknowledged": True}),
        ("late", {"commit_s": 8.0, "error": None, "is_acknowledged": True}),
        (
            "result unknown",
            {"commit_s": 8.0, "error": ProposalOutcomeUnknownError, "is_acknowledged": False},
        ),
        (
            "failed",
            {"commit_s": 0.1, "error": NoQuorumError, "is_acknowledged": False, "missing": 0},
        ),
    ]

    missing = 1

    def test_holds_go_on(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        executor = ReportingExecutor(0, vanishing=UNREAD)

        async def scenario(leadership: Any) -> None:
            await leadership.record(accept("k", {"count": 1}))
            await leadership.record(accept("l", {"count": 1}))
            await eventually(lambda: len(executor.running) == 3)
            await anyio.sleep(1.0)
            propose = leadership.consensus.propose_here

            async def propose_late(*arguments: Any) -> Any:
                await anyio.sleep(self.commit_s)
                if self.error is not None:
                    raise self.error("the disk failed")
                return await propose(*arguments)

            leadership.consensus.propose_here = propose_late
            executor.end(UNREAD)
            executor.end(OTHER)
            executor.held_at.clear()
            ended_at = anyio.current_time()
            await anyio.sleep(self.commit_s + 4.0)
            self.assertEqual(self.is_acknowledged, executor.seen[-1] == 1)
            if self.is_acknowledged:
                first = executor.held_at[executor.seen[-len(executor.held_at) :].index(1)]
                self.assertGreaterEqual(first - ended_at, self.commit_s)
            until = ended_at + self.commit_s
            times = [ended_at, *(at for at in executor.held_at if at < until), until]
            gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
            self.assertLess(max(gaps), 3.0)
            leadership.consensus.propose_here = propose

        leadership = await lead(executor, scenario)
        missing = leadership.counters.values[CounterKind.RUNS_MISSING, Labels(service="desk")]
        self.assertEqual((self.missing, 1), (missing, executor.starts.count(OTHER)))
