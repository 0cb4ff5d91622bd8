"""The cores that accepted jobs need, by service, updated with each change."""

import heapq
from collections.abc import Callable

from marigolddoor_core.ids import JobId, ServiceId
from marigolddoor_core.jobs import JobRecord

__all__ = ["OutstandingWork"]

# The minimum length of a critical path; estimates of a few ms would request whole pools.
MIN_CRITICAL_PATH_S = 0.3
# A job counts as late if it is open when the time to its deadline is less than this share of its
# critical path: on average half of the path is still ahead.
INFEASIBLE_SHARE = 0.5


class OutstandingWork:
    """The cores that the open jobs of each service need to meet their deadlines.

    A job of W core-seconds with a critical path of C seconds needs W / C cores while it is open. In
    a steady state the sum is the work that arrives each second, and a backlog raises it. With
    windows of arrivals instead, one large job would request more cores than it can use.

    A job that can no longer meet its deadline requests no cores: its value is low, so it waits for
    idle capacity.

    Long-running tasks have no end, so they count by the cores that they hold, not here.

    Args:
      expected_s: the expected duration of a task of a step.
    """

    def __init__(self, expected_s: Callable[[JobRecord, int], float]) -> None:
        self.expected_s = expected_s
        self.jobs: dict[JobId, tuple[ServiceId, float]] = {}
        self.needed: dict[ServiceId, float] = {}
        self.infeasible_from: list[tuple[float, JobId]] = []

    def accepted(self, job: JobRecord, service: ServiceId, deadline_s: float) -> None:
        """Add a job with a deadline, which is a time of day."""
        if job.spec.is_timed:
            # Its occurrences become due one by one, at known times.
            return
        work = 0.0
        ends: list[float] = []
        for number, spec in enumerate(job.spec.steps):
            duration_s = self.expected_s(job, number)
            if spec.is_long_running or spec.is_best_effort:
                duration_s = 0.0
            work += spec.count * spec.size.cpu_milli / 1000 * duration_s
            begin_s = max((ends[earlier] for earlier in spec.depends_on), default=0.0)
            ends.append(begin_s + duration_s)
        cores = work / max(max(ends), MIN_CRITICAL_PATH_S)
        self.jobs[job.job] = (service, cores)
        self.needed[service] = self.needed.get(service, 0.0) + cores
        infeasible_s = deadline_s - INFEASIBLE_SHARE * max(ends)
        heapq.heappush(self.infeasible_from, (infeasible_s, job.job))

    def drop_infeasible(self, time_s: float) -> None:
        """Remove the jobs that can no longer meet their deadlines."""
        while self.infeasible_from and self.infeasible_from[0][0] <= time_s:
            self.ended(heapq.heappop(self.infeasible_from)[1])

    def ended(self, job: JobId) -> None:
        """Remove a job."""
        service, cores = self.jobs.pop(job, (ServiceId(""), 0.0))
        if cores:
            self.needed[service] = max(0.0, self.needed[service] - cores)
