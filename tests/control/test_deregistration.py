"""Guards against taking a deregistration for the end of what runs on an executor."""

from dataclasses import replace
from enum import Enum

import anyio
import testtools
from marigolddoor_control.fleet.fleet_leadership import FleetLeadership
from marigolddoor_control.fleet.ports import DisconnectedError, HoldRequest, NoAnswerError
from marigolddoor_core.dispatch import Executor, ExecutorState, HoldReport, LeaseTiming, RunningTask
from marigolddoor_core.ids import RunNumber

from bench.faults.virtual_loop import run_in_virtual_time
from tests.control.test_order_sender import TASK, ScriptedExecutor, lead
from tests.core.dispatch.fakes import LEASE_S

CERTAIN_EXPIRY_S = LeaseTiming(LEASE_S).certain_expiry_s
# A hold takes up to 1.5 s, and the timer of the leadership fires every 0.25 s.
DETECTION_S = 2.0
# The restart of its tasks in an ordinary release, before a deregistration needed any evidence.
ORDINARY_END_S = 1.0


class Contact(Enum):
    """How calls to an executor fail after it deregistered."""

    ANSWERS = "it answers"
    EXITED = "it closed its connection, and its host is silent"
    SILENT = "it is cut off"
    REFUSED = "it is cut off by a partition that refuses connections"


class LeavingExecutor(ScriptedExecutor):
    """Runs a task for ever, and answers holds until its contact changes."""

    def __init__(self) -> None:
        super().__init__([], ())
        self.contact = Contact.ANSWERS
        self.contact_changed = anyio.Event()
        self.is_connected = True

    def change_contact(self, contact: Contact) -> None:
        if contact is not self.contact:
            self.contact = contact
            self.contact_changed.set()

    async def hold(self, executor: Executor, request: HoldRequest) -> HoldReport:
        if self.contact is Contact.ANSWERS:
            with anyio.move_on_after(request.wait_s):
                await self.contact_changed.wait()
        if self.contact is Contact.EXITED and self.is_connected:
            self.is_connected = False
            raise NoAnswerError("the connection was closed")
        if self.contact in (Contact.EXITED, Contact.SILENT):
            await anyio.sleep(0.7)
        if self.contact is Contact.EXITED:
            raise DisconnectedError("no connection: timed out")
        if self.contact is not Contact.ANSWERS:
            raise NoAnswerError("no connection")
        running = tuple(RunningTask(TASK, RunNumber(run), "", 50) for run, _ in self.started)
        return HoldReport(5000 + int(anyio.current_time() * 1000), running, (), self.born_ms)


class DeregistrationTest(testtools.TestCase):
    """A run is given up after a deregistration only once it has certainly ended.

    An executor that was cut off got no answer to its deregistration and went on for some seconds,
    while its tasks were started elsewhere (review/6). A deregistration of a former incarnation that
    arrived late ended the next one.
    """

    # `contact` begins `after_s` seconds after the deregistration. `ends`: the seconds after the
    # deregistration from and until which the incarnation may end; None if it doesn't.
    scenarios = [
        (
            "late, of a former incarnation",
            {
                "state": ExecutorState.READY,
                "contact": Contact.ANSWERS,
                "after_s": 0.0,
                "ends": None,
                "is_usable": True,
            },
        ),
        (
            "draining, and not acknowledged",
            {
                "state": ExecutorState.DRAINING,
                "contact": Contact.ANSWERS,
                "after_s": 0.0,
                "ends": None,
                "is_usable": False,
            },
        ),
        (
            "draining, and exits",
            {
                "state": ExecutorState.DRAINING,
                "contact": Contact.EXITED,
                "after_s": 0.0,
                "ends": (0.0, ORDINARY_END_S),
            },
        ),
        (
            "draining, and exits late",
            {
                "state": ExecutorState.DRAINING,
                "contact": Contact.EXITED,
                "after_s": 9.0,
                "ends": (9.0, 9.0 + ORDINARY_END_S),
            },
        ),
        (
            "ready, and exits",
            {
                "state": ExecutorState.READY,
                "contact": Contact.EXITED,
                "after_s": 0.0,
                "ends": (0.0, ORDINARY_END_S),
            },
        ),
        (
            "draining, and cut off",
            {
                "state": ExecutorState.DRAINING,
                "contact": Contact.SILENT,
                "after_s": 0.0,
                "ends": (LEASE_S - DETECTION_S, CERTAIN_EXPIRY_S + DETECTION_S),
            },
        ),
        (
            "ready, and cut off",
            {
                "state": ExecutorState.READY,
                "contact": Contact.SILENT,
                "after_s": 0.0,
                "ends": (LEASE_S - DETECTION_S, CERTAIN_EXPIRY_S + DETECTION_S),
            },
        ),
        (
            "draining, and cut off with refused connections",
            {
                "state": ExecutorState.DRAINING,
                "contact": Contact.REFUSED,
                "after_s": 0.0,
                "ends": (LEASE_S - DETECTION_S, CERTAIN_EXPIRY_S + DETECTION_S),
            },
        ),
        (
            "draining, and cut off before it was called by this leader",
            {
                "state": ExecutorState.DRAINING,
                "contact": Contact.SILENT,
                "after_s": 0.0,
                "is_called": False,
                "ends": (LEASE_S - DETECTION_S, CERTAIN_EXPIRY_S + DETECTION_S),
            },
        ),
    ]
    is_called = True

    def test_end(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        executor = LeavingExecutor()
        if not self.is_called:
            executor.change_contact(self.contact)

        async def scenario(leadership: FleetLeadership) -> None:
            known = next(iter(leadership.dispatch.executors.values()))
            known.heartbeat = replace(known.heartbeat, state=self.state)
            if self.is_called:
                await anyio.sleep(2.0)
            leadership.deregister(known)
            deregistered_at = anyio.current_time()
            await anyio.sleep(self.after_s)
            executor.change_contact(self.contact)
            while not known.has_ended and anyio.current_time() < deregistered_at + 15.0:
                await anyio.sleep(0.05)
            if self.ends is None:
                self.assertFalse(known.has_ended)
                self.assertEqual(self.is_usable, known.accepts_work(leadership.now()))
                return
            self.assertTrue(known.has_ended)
            earliest_s, latest_s = self.ends
            took_s = anyio.current_time() - deregistered_at
            self.assertTrue(earliest_s <= took_s <= latest_s, f"it ended after {took_s} s")

        await lead(executor, scenario)
