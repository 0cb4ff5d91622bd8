"""Guards against capacity that a run which ended or never started holds forever.

Found on trouble-2 of tmpa-jellyworks: a job was cancelled in the same batch in which its last tasks
were placed. The placements had no effect, but kept their capacity reserved, and their executor
counted as busy until the next leader, so its machine missed its maintenance wave.
"""

import random

import testtools
from marigolddoor_core.dispatch import StartOrder, StopOrder
from marigolddoor_core.ids import JobId, RunNumber, TaskName
from marigolddoor_core.jobs import CancelJob, EndRun, JobChange, RunEnd

from tests.core.dispatch.fakes import Fleet, finished
from tests.core.jobs.fakes import accept

ROUNDS = 60
KINDS = (
    {"count": 3},
    {"count": 2, "is_gang": True},
    {"count": 2, "is_long_running": True},
)


class CancelledPlacementTest(testtools.TestCase):
    """A placement decided before the end of its job was committed must release its capacity."""

    scenarios = [
        ("a cancelled job", {"first": CancelJob(JobId("j"))}),
        (
            "a task completed by a run that was declared lost",
            {"first": EndRun(TaskName("j.0.0.0"), RunNumber(1), RunEnd.DONE)},
        ),
    ]

    def test_release(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        capacity = executor.free_cpu
        fleet.step(accept("j", {"count": 1}))
        # The first run is declared lost, and the second one is placed.
        fleet.log.apply(EndRun(TaskName("j.0.0.0"), RunNumber(1), RunEnd.LOST))
        fleet.take_orders()
        decided = fleet.dispatch.take_changes(fleet.now, fleet.log.table.time_s)
        self.assertTrue(executor.free_cpu < capacity)
        fleet.log.apply(self.first, *decided)
        self.assertEqual(capacity, executor.free_cpu)
        self.assertEqual({}, executor.runs)
        orders = fleet.take_orders()
        self.assertEqual([], [order for order in orders if isinstance(order, StartOrder)])


class RandomEventsTest(testtools.TestCase):
    """In any order of events, executors that run nothing must have all their capacity free."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(40)]

    def test_random_events(self) -> None:
        self.random = random.Random(self.seed)
        self.fleet = Fleet()
        self.executors = [self.fleet.executor(number) for number in (1, 2)]
        self.ends = dict.fromkeys(self.executors, 0)
        jobs: list[str] = []
        for number in range(ROUNDS):
            self.fleet.at(number * 0.1)
            before: list[JobChange] = []
            if self.random.random() < 0.4:
                jobs.append(f"j{number}")
                before.append(accept(jobs[-1], self.random.choice(KINDS)))
            if jobs and self.random.random() < 0.3:
                before.append(CancelJob(JobId(self.random.choice(jobs))))
            decided = self.fleet.dispatch.take_changes(self.fleet.now, self.fleet.log.table.time_s)
            self.fleet.log.apply(*before, *decided)
            self.end_share(self.random.random() / 2)
        self.fleet.step(*(CancelJob(JobId(job)) for job in jobs))
        for tenth in range(10):
            self.fleet.at(ROUNDS * 0.1 + tenth * 0.1)
            self.end_share(1.0)
            self.fleet.step()
        for executor in self.executors:
            self.assertEqual({}, executor.runs)
            capacity = executor.heartbeat.capacity
            self.assertEqual(capacity.cpu_milli, executor.free_cpu)
            self.assertEqual(capacity.memory_mb, executor.free_memory)

    def end_share(self, share: float) -> None:
        """Have the executors report the ends of a share of their runs."""
        stopped = {
            (order.task, order.run)
            for order in self.fleet.take_orders()
            if isinstance(order, StopOrder)
        }
        for executor in self.executors:
            ends = []
            for name, placed in list(executor.runs.items()):
                if (name, placed.run) in stopped or self.random.random() < share:
                    self.ends[executor] += 1
                    how = self.random.choice(["done", "done", "failed", "stopped"])
                    ends.append(finished(self.ends[executor], name, how, placed.run))
            self.fleet.hold(executor, ends=tuple(ends))
            executor.seen = self.ends[executor]
