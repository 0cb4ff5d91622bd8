"""Guards against runs that are started again because a report does not show their ends.

After a cut an executor had 640 ends to report and listed 500 at a time (review/7). The other runs
were taken for lost and their tasks started again, although they had ended `done`. So was a run
whose row could not be read.
"""

import testtools
from marigolddoor_core.dispatch import StopOrder
from marigolddoor_core.dispatch.run_evidence import STOP_TIMEOUT_S, UNREADABLE_ROW_TIMEOUT_S
from marigolddoor_core.ids import JobId, TaskName
from marigolddoor_core.jobs import EndRun, PlaceRun, RunEnd, TaskPhase

from tests.core.dispatch.fakes import (
    UNREAD_RUNNING,
    Fleet,
    finished,
    heartbeat,
    running,
    unread_end,
)
from tests.core.jobs.fakes import accept

LATE_S = UNREADABLE_ROW_TIMEOUT_S
STOPPED_S = LATE_S + STOP_TIMEOUT_S


class MissingRunTest(testtools.TestCase):
    """Two runs of an executor: the first one's end is listed, the second one is not."""

    scenarios = [
        ("all ends are listed", {"has_all_ends": True, "sent_s_ago": 0.1, "is_lost": True}),
        ("more ends follow", {"has_all_ends": False, "sent_s_ago": 0.1, "is_lost": False}),
        (
            "requested before the run was confirmed",
            {"has_all_ends": True, "sent_s_ago": 5.0, "is_lost": False},
        ),
    ]

    def test_run(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("j", {"count": 2}))
        fleet.at(1.0).hold(executor, running("j.0.0.0"), running("j.0.0.1"))
        fleet.at(2.0).hold(
            executor,
            ends=(finished(1, "j.0.0.0"),),
            sent_s_ago=self.sent_s_ago,
            has_all_ends=self.has_all_ends,
        )
        ends = [change for change in fleet.step() if isinstance(change, EndRun)]
        lost = [change.task for change in ends if change.end is RunEnd.LOST]
        self.assertEqual(["j.0.0.1"] if self.is_lost else [], lost)
        if self.is_lost:
            return
        executor.seen = 1
        fleet.at(2.1).hold(executor, ends=(finished(2, "j.0.0.1"),))
        fleet.step()
        step = next(iter(fleet.log.table.jobs.values())).step(0, 0)
        self.assertEqual([TaskPhase.DONE] * 2, [task.phase for task in step.tasks])
        self.assertEqual([1, 1], [task.run for task in step.tasks])


SECOND = "j.0.0.1"


class UnreadableRowTest(testtools.TestCase):
    """An executor of two runs: the first one ended and the second one is in neither list."""

    scenarios = [
        ("its end can't be read", {"row": unread_end(1, 2, SECOND), "lost_at_s": LATE_S}),
        ("nothing of its end can be read", {"row": unread_end(1), "lost_at_s": LATE_S}),
        ("its running task can't be read", {"row": UNREAD_RUNNING, "lost_at_s": STOPPED_S}),
        ("the end of another run can't be read", {"row": unread_end(1, 2, "k.0.0.0")}),
        ("no row is unreadable", {"row": None}),
    ]
    lost_at_s = 0.0

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.worker = self.fleet.executor()
        self.fleet.step(accept("j", {"count": 2}))
        self.fleet.at(1.0).hold(self.worker, running("j.0.0.0"), running(SECOND))
        self.fleet.take_orders()
        self.unreadable = () if self.row is None else (self.row,)

    def report(self, after_s: float) -> list[TaskName]:
        """Return the tasks of the runs that count as lost by a report."""
        outcome = self.fleet.at(2.0 + after_s).hold(
            self.worker,
            ends=(finished(1, "j.0.0.0"),),
            sent_s_ago=0.1,
            unreadable=self.unreadable,
        )
        self.fleet.step()
        self.worker.seen = outcome.seen
        return [placed.task.name for placed in outcome.missing]

    def test_run_is_started_again_late(self) -> None:
        before = [] if self.lost_at_s else [SECOND]
        self.assertEqual(before, self.report(0.0))
        if not self.lost_at_s:
            return
        self.assertEqual([], self.report(self.lost_at_s - 0.1))
        self.assertEqual([SECOND], self.report(self.lost_at_s))

    def test_first_end_is_recorded(self) -> None:
        self.report(0.0)
        step = self.fleet.log.table.jobs[JobId("j")].step(0, 0)
        self.assertEqual((TaskPhase.DONE, 1), (step.tasks[0].phase, self.worker.seen))

    def test_hidden_running_task_is_stopped_first(self) -> None:
        self.report(0.0)
        self.fleet.take_orders()
        self.report(LATE_S)
        stops = [order for order in self.fleet.take_orders() if isinstance(order, StopOrder)]
        expected = [SECOND] if self.row is UNREAD_RUNNING else []
        self.assertEqual(expected, [order.task for order in stops])


class UnlistedEndsTest(testtools.TestCase):
    """An executor that was out of contact until its lease expired lists some of its ends."""

    scenarios = [
        ("more ends follow", {"has_all_ends": False, "runs": [1]}),
        ("all ends are listed", {"has_all_ends": True, "runs": [1, 2]}),
    ]

    def test_no_task_is_started_there(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        recorded = fleet.step(accept("j", {"count": 1}))
        fleet.hold(executor, running("j.0.0.0"))
        executor.extend_lease(fleet.now)
        fleet.at(8.0).dispatch.receive_heartbeat(heartbeat(sequence=2), fleet.now)
        fleet.dispatch.expire(fleet.now)
        recorded += fleet.step()
        fleet.at(8.1).hold(executor, has_all_ends=self.has_all_ends)
        recorded += fleet.step()
        starts = [change.run for change in recorded if isinstance(change, PlaceRun)]
        self.assertEqual(self.runs, starts)
