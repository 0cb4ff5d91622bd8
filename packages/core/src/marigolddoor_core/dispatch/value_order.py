"""Scheduling order under overload: the highest value per remaining work first.

Meant for queues whose demand exceeds their pool's capacity several times for a few seconds. In
arrival order, or with the earliest deadline first, a backlog makes every job late in turn. Here,
jobs that can no longer meet their deadline are scheduled after those that can. Within each group
priority and then the value per remaining work decide, which favours jobs that have started.
"""

from collections.abc import Callable
from dataclasses import dataclass

from marigolddoor_core.dispatch.durations import DurationEstimates
from marigolddoor_core.ids import QueueName
from marigolddoor_core.jobs import JobRecord, QueueSettings, StepRecord

__all__ = ["RemainingWork", "ValueOrder"]

# A job's value is this share of its queue's mean work, plus the other share of its own work. The
# first part is the value of completing a job of any size.
FIXED_VALUE_SHARE = 0.3
# The weight of a new job in the moving average of its queue's work.
LEARNING_RATE = 0.05
# Lower bound on the remaining work in the division, in core-seconds.
MIN_WORK = 0.01


@dataclass(frozen=True, slots=True)
class RemainingWork:
    """The work that a job has left.

    `work` is in core-seconds, `critical_path_s` covers the remaining steps, and `slack_s` is the
    time to the deadline beyond the critical path.
    """

    work: float
    critical_path_s: float
    slack_s: float


class ValueOrder:
    """Sorts steps by feasibility, priority and value per remaining work."""

    def __init__(
        self,
        queue_of: Callable[[JobRecord], QueueSettings | None],
        durations: DurationEstimates,
    ) -> None:
        self.queue_of = queue_of
        self.durations = durations
        self.mean_work: dict[QueueName, float] = {}

    def sort(self, steps: list[StepRecord], time_s: float) -> list[StepRecord]:
        """Return the steps in scheduling order."""
        remaining = {step.job.job: self.remaining_work(step.job, time_s) for step in steps}
        return sorted(steps, key=lambda step: self._key(step, remaining[step.job.job]))

    def _key(
        self, step: StepRecord, remaining_work: RemainingWork
    ) -> tuple[bool, bool, int, float, float]:
        job = step.job
        queue = self.queue_of(job)
        total = self.total_work(job)
        value = FIXED_VALUE_SHARE * self.mean_work.get(job.queue, total) + (
            (1 - FIXED_VALUE_SHARE) * total
        )
        return (
            not step.spec.is_long_running,
            remaining_work.slack_s < 0,
            0 if queue is None else queue.priority,
            -value / max(remaining_work.work, MIN_WORK),
            job.accepted_s,
        )

    def learn(self, job: JobRecord) -> None:
        """Update the mean work of a queue with a new job."""
        work = self.total_work(job)
        known = self.mean_work.get(job.queue, work)
        self.mean_work[job.queue] = known + LEARNING_RATE * (work - known)

    def total_work(self, job: JobRecord) -> float:
        """Return the expected core-seconds of one occurrence of a job."""
        return sum(
            spec.count * spec.size.cpu_milli / 1000 * self.expected_s(job, number)
            for number, spec in enumerate(job.spec.steps)
        )

    def expected_s(self, job: JobRecord, number: int) -> float:
        """Return the expected duration of a task of a step."""
        return self.durations.expected_s(job.queue, job.spec.steps[number].estimated_s)

    def critical_path_s(self, job: JobRecord) -> float:
        """Return the expected duration of the critical path of one occurrence."""
        ends: list[float] = []
        for number, spec in enumerate(job.spec.steps):
            begin_s = max((ends[earlier] for earlier in spec.depends_on), default=0.0)
            ends.append(begin_s + self.expected_s(job, number))
        return max(ends)

    def first_deadline_s(self, job: JobRecord) -> float:
        """Return the deadline of the first occurrence of a job as a time of day."""
        return self.deadline_s(job, 0, self.critical_path_s(job))

    def remaining_work(self, job: JobRecord, time_s: float) -> RemainingWork:
        """Return the work left in the earliest unfinished occurrence of a job."""
        occurrence = next(
            (
                occurrence
                for occurrence in range(job.spec.occurrences)
                if not all(
                    job.step(occurrence, number).is_done for number in range(len(job.spec.steps))
                )
            ),
            job.spec.occurrences - 1,
        )
        work = 0.0
        ends: list[float] = []
        full_ends: list[float] = []
        for number, spec in enumerate(job.spec.steps):
            step = job.step(occurrence, number)
            duration_s = self.expected_s(job, number)
            unfinished = spec.count - step.done
            work += unfinished * spec.size.cpu_milli / 1000 * duration_s
            own_s = duration_s if unfinished else 0.0
            ends.append(max((ends[other] for other in spec.depends_on), default=0.0) + own_s)
            full_ends.append(
                max((full_ends[other] for other in spec.depends_on), default=0.0) + duration_s
            )
        return RemainingWork(
            work,
            max(ends),
            self.deadline_s(job, occurrence, max(full_ends)) - time_s - max(ends),
        )

    def deadline_s(self, job: JobRecord, occurrence: int, critical_path_s: float) -> float:
        """Return the deadline of an occurrence as a time of day."""
        queue = self.queue_of(job)
        begins_s = max(job.accepted_s, job.spec.due_s(occurrence))
        if queue is None:
            return begins_s + critical_path_s
        return begins_s + queue.slack_factor * critical_path_s + queue.latency_target_s
