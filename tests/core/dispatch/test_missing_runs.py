"""Guards against runs that are started again because a report has no room for their ends.

After a cut an executor had 640 ends to report and listed 500 at a time (review/7). The other runs
were taken for lost and their tasks started again, although they had ended `done`.
"""

import testtools
from marigolddoor_core.jobs import EndRun, RunEnd, TaskPhase

from tests.core.dispatch.fakes import Fleet, finished, running
from tests.core.jobs.fakes import accept


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
