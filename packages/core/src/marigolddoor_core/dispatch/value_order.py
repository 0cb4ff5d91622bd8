"""The order of work under overload: what is worth most for the cores that it still needs.

Answers queues that ask for several times their pool's room for some seconds. In arrival order or
by the earliest deadline, a backlog makes every job late in turn. Here jobs that can no longer be in
time wait behind those that can, and among these the ones with the most worth for the rest of their
work go first, which favours jobs that have begun.
"""

from collections.abc import Callable
from dataclasses import dataclass

from marigolddoor_core.dispatch.durations import DurationEstimates
from marigolddoor_core.ids import QueueName
from marigolddoor_core.jobs import JobRecord, QueueSettings, StepRecord

__all__ = ["RemainingWork", "ValueOrder"]

# A job is worth this share of its queue's mean for being done at all; the rest follows its work.
FIXED_WORTH_SHARE = 0.3
# The weight of one more job in the mean work of its queue.
LEARNING_RATE = 0.05
# Work of less than this counts as this much, in core-seconds.
LEAST_WORK = 0.01


@dataclass(frozen=True, slots=True)
class RemainingWork:
    """What is left of a job.

    `work` is in core-seconds, `critical_path_s` the longest chain of its remaining steps, `slack_s` the
    time that is left beyond it.
    """

    work: float
    critical_path_s: float
    slack_s: float


class ValueOrder:
    """Sorts steps by feasibility, priority and worth per remaining work."""

    def __init__(
        self,
        queue_of: Callable[[JobRecord], QueueSettings | None],
        durations: DurationEstimates,
    ) -> None:
        self.queue_of = queue_of
        self.durations = durations
        self.mean_work: dict[QueueName, float] = {}

    def sort(self, steps: list[StepRecord], time_s: float) -> list[StepRecord]:
        """Return the steps, the first one to be served first."""
        outlooks = {step.job.job: self.outlook(step.job, time_s) for step in steps}
        return sorted(steps, key=lambda step: self._key(step, outlooks[step.job.job]))

    def _key(
        self, step: StepRecord, outlook: RemainingWork
    ) -> tuple[bool, bool, int, float, float]:
        job = step.job
        queue = self.queue_of(job)
        total = self.total_work(job)
        worth = FIXED_WORTH_SHARE * self.mean_work.get(job.queue, total) + (
            (1 - FIXED_WORTH_SHARE) * total
        )
        return (
            not step.spec.is_long_running,
            outlook.slack_s < 0,
            0 if queue is None else queue.priority,
            -worth / max(outlook.work, LEAST_WORK),
            job.accepted_s,
        )

    def learn(self, job: JobRecord) -> None:
        """Take a new job into the mean work of its queue."""
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
        """Return the expected duration of the longest chain of steps of one occurrence."""
        ends: list[float] = []
        for number, spec in enumerate(job.spec.steps):
            begin_s = max((ends[earlier] for earlier in spec.depends_on), default=0.0)
            ends.append(begin_s + self.expected_s(job, number))
        return max(ends)

    def first_deadline_s(self, job: JobRecord) -> float:
        """Return the time of day until which the first occurrence of a job counts as in time."""
        return self.deadline_s(job, 0, self.critical_path_s(job))

    def outlook(self, job: JobRecord, time_s: float) -> RemainingWork:
        """Return what is left of the earliest open occurrence of a job."""
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
        chain: list[float] = []
        for number, spec in enumerate(job.spec.steps):
            step = job.step(occurrence, number)
            duration_s = self.expected_s(job, number)
            left = spec.count - step.done
            work += left * spec.size.cpu_milli / 1000 * duration_s
            own_s = duration_s if left else 0.0
            ends.append(max((ends[other] for other in spec.depends_on), default=0.0) + own_s)
            chain.append(max((chain[other] for other in spec.depends_on), default=0.0) + duration_s)
        return RemainingWork(
            work,
            max(ends),
            self.deadline_s(job, occurrence, max(chain)) - time_s - max(ends),
        )

    def deadline_s(self, job: JobRecord, occurrence: int, critical_path_s: float) -> float:
        """Return the time of day until which an occurrence counts as in time."""
        queue = self.queue_of(job)
        begins_s = max(job.accepted_s, job.spec.due_s(occurrence))
        if queue is None:
            return begins_s + critical_path_s
        return begins_s + queue.slack_factor * critical_path_s + queue.latency_target_s
