"""Guards against an overload that makes every job late, and against starvation of jobs."""

import testtools
from marigolddoor_core.dispatch import ArrivalOrder, StepOrder
from marigolddoor_core.dispatch.durations import DurationEstimates
from marigolddoor_core.dispatch.value_order import ValueOrder
from marigolddoor_core.ids import JobId
from marigolddoor_core.jobs import PlaceRun, StoreConfiguration

from tests.core.dispatch.fakes import Fleet, finished
from tests.core.jobs.fakes import QUEUE, SERVICE, Log, accept, configuration, end, place


def served_in_time(order: str, seconds: float, jobs_per_s: int) -> tuple[int, int]:
    """Replay a peak: jobs of 4 tasks of 0.5 s arrive for 4 s at an executor with 4 cores.

    Returns how many jobs met their deadline, and how many finished at all.
    """
    log = Log()
    log.apply(StoreConfiguration(1, configuration(1, **{QUEUE: SERVICE})))
    fleet = Fleet(log)
    if order == "arrival":
        policy: StepOrder = ArrivalOrder()
        fleet.dispatch.order = policy
    executor = fleet.executor()
    ends_at: dict[str, float] = {}
    in_time = done = number = arrived = 0
    accepted: dict[str, float] = {}
    for step in range(int(seconds * 10)):
        now_s = step / 10
        fleet.at(now_s)
        if now_s < 4.0:
            while arrived < now_s * jobs_per_s:
                job = f"{arrived:04x}"
                arrived += 1
                accepted[job] = now_s
                log.apply(accept(job, {"count": 4, "estimated_s": 0.5}), time_s=now_s)
        ended = [task for task, at in ends_at.items() if at <= now_s]
        rows = []
        for task in ended:
            del ends_at[task]
            number += 1
            rows.append(finished(number, task))
        fleet.hold(executor, ends=tuple(rows))
        executor.seen = number
        changes = fleet.dispatch.take_changes(fleet.now, now_s)
        log.apply(*changes, time_s=now_s)
        changes += fleet.step()
        for change in changes:
            if isinstance(change, PlaceRun):
                ends_at[change.task] = now_s + 0.5
        for job in [job for job in accepted if log.table.jobs[JobId(job)].ended_s]:
            took_s = log.table.jobs[JobId(job)].ended_s - accepted.pop(job)
            done += 1
            # The deadline is 1.6 times the critical path plus 0.6 s.
            in_time += took_s <= 1.6 * 0.5 + 0.6
    return in_time, done


class OverloadTest(testtools.TestCase):
    """At twice the capacity most jobs that fit meet their deadline; in arrival order few do."""

    def test_peak(self) -> None:
        # 4 cores complete 2 such jobs a second: about 10 in the 4 s and the slack after them.
        by_value, ended = served_in_time("value", 12.0, 4)
        by_arrival, _ = served_in_time("arrival", 12.0, 4)
        self.assertGreaterEqual(by_value, 8)
        self.assertLess(by_arrival, by_value)
        self.assertEqual(16, ended)

    def test_light_load(self) -> None:
        """With capacity for all jobs, the order makes no difference."""
        self.assertEqual((4, 4), served_in_time("value", 8.0, 1))
        self.assertEqual((4, 4), served_in_time("arrival", 8.0, 1))


class OrderTest(testtools.TestCase):
    """Long-running steps, feasible jobs, started jobs and small jobs must be scheduled first."""

    scenarios = [
        (
            "a job that can meet its deadline before one that can't",
            {"first": ("b", 9.0, {"count": 4}), "second": ("a", 0.0, {"count": 1})},
        ),
        (
            "a long-running step before all others",
            {
                "first": ("b", 9.5, {"count": 1, "is_long_running": True}),
                "second": ("a", 9.5, {"count": 1}),
            },
        ),
        (
            "a small job before a large one",
            {"first": ("b", 9.5, {"count": 1}), "second": ("a", 9.5, {"count": 9})},
        ),
    ]

    def test_order(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(1, **{QUEUE: SERVICE})))
        for job, accepted_s, step in sorted((self.first, self.second), key=lambda row: row[1]):
            log.apply(accept(job, {"estimated_s": 1.0, **step}), time_s=accepted_s)
        steps = [log.table.jobs[JobId(job)].step(0, 0) for job in ("a", "b")]
        fleet = Fleet(log)
        order = ValueOrder(fleet.dispatch.queue_of, DurationEstimates())
        for job in log.table.jobs.values():
            order.learn(job)
        self.assertEqual(self.first[0], order.sort(steps, 10.0)[0].job.job)

    def test_started_job_first(self) -> None:
        """A started job must not be delayed by a new job of the same size."""
        log = Log()
        log.apply(accept("a", {"count": 4, "estimated_s": 1.0}))
        log.apply(accept("b", {"count": 4, "estimated_s": 1.0}))
        for index in range(3):
            log.apply(place(f"b.0.0.{index}"), end(f"b.0.0.{index}"))
        steps = [log.table.jobs[JobId(job)].step(0, 0) for job in ("a", "b")]
        order = ValueOrder(Fleet(log).dispatch.queue_of, DurationEstimates())
        self.assertEqual("b", order.sort(steps, 0.0)[0].job.job)
