"""The work that accepted jobs still need, by service, kept up to date with each change."""

from collections import deque
from collections.abc import Callable

from marigolddoor_core.ids import JobId, ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import JobRecord, TaskRecord

__all__ = ["OutstandingWork"]

# Arrivals are averaged over this time. Shorter windows follow single large jobs.
RATE_WINDOW_S = 1.5


class _JobWork:
    __slots__ = ("of_task", "remaining", "service")

    def __init__(self, service: ServiceId, of_task: list[float], remaining: float) -> None:
        self.service = service
        self.of_task = of_task
        self.remaining = remaining


class OutstandingWork:
    """Core-seconds that wait or run, and core-seconds that arrive each second.

    Long-running tasks have no end, so they count by the cores that they hold, not here.

    Args:
      expected_s: the expected duration of a task of a step.
    """

    def __init__(self, expected_s: Callable[[JobRecord, int], float]) -> None:
        self.expected_s = expected_s
        self.jobs: dict[JobId, _JobWork] = {}
        self.remaining: dict[ServiceId, float] = {}
        self.arrivals: dict[ServiceId, deque[tuple[Instant, float]]] = {}

    def accepted(self, job: JobRecord, service: ServiceId, now: Instant) -> None:
        """Add a job."""
        if job.spec.is_timed:
            # Its occurrences are due at known times, one by one.
            return
        of_task = [
            (
                0.0
                if spec.is_long_running or spec.is_filler
                else spec.size.cpu_milli / 1000 * self.expected_s(job, number)
            )
            for number, spec in enumerate(job.spec.steps)
        ]
        work = sum(
            share * (spec.count - step_done(job, number))
            for number, (share, spec) in enumerate(zip(of_task, job.spec.steps, strict=True))
        )
        self.jobs[job.job] = _JobWork(service, of_task, work)
        self.remaining[service] = self.remaining.get(service, 0.0) + work
        self.arrivals.setdefault(service, deque()).append((now, work))

    def task_done(self, task: TaskRecord) -> None:
        """Take off the work of a task that ended done."""
        known = self.jobs.get(task.step.job.job)
        if known is not None:
            self._reduce(known, known.of_task[task.step.number])

    def job_ended(self, job: JobRecord) -> None:
        """Take off what was left of a job."""
        known = self.jobs.pop(job.job, None)
        if known is not None:
            self._reduce(known, known.remaining)

    def _reduce(self, known: _JobWork, work: float) -> None:
        work = min(work, known.remaining)
        known.remaining -= work
        self.remaining[known.service] = max(0.0, self.remaining[known.service] - work)

    def arrival_rate(self, service: ServiceId, now: Instant) -> float:
        """Return the core-seconds that arrived each second lately."""
        arrivals = self.arrivals.get(service)
        if not arrivals:
            return 0.0
        while arrivals and arrivals[0][0] <= now - RATE_WINDOW_S:
            arrivals.popleft()
        return sum(work for _, work in arrivals) / RATE_WINDOW_S


def step_done(job: JobRecord, number: int) -> int:
    """Return how many tasks of a step of the first occurrence are done."""
    step = job.steps.get((0, number))
    return 0 if step is None else step.done
