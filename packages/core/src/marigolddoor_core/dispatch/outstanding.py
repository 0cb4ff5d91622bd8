"""The cores that accepted jobs need, by service, kept up to date with each change."""

import heapq
from collections.abc import Callable

from marigolddoor_core.ids import JobId, ServiceId
from marigolddoor_core.jobs import JobRecord

__all__ = ["OutstandingWork"]

# The chain of a job counts as at least this long; estimates of some ms would ask for whole pools.
SHORTEST_CHAIN_S = 0.3
# A job that is open when less than this share of its chain is left until its deadline is late: on
# average half of its chain is still to come.
HOPELESS_SHARE = 0.5


class OutstandingWork:
    """The cores that the open jobs of each service need in order to be in time.

    A job of W core-seconds with a chain of C seconds needs W / C cores for as long as it is open.
    In a steady state the sum is the work that arrives each second, and a backlog raises it. With
    windows of arrivals instead, one large job asks for more cores than it can use.

    A job that can't be in time any more asks for no room: it is worth little and waits for gaps.

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
        """Add a job that has to end by a time of day."""
        if job.spec.is_timed:
            # Its occurrences are due at known times, one by one.
            return
        work = 0.0
        ends: list[float] = []
        for number, spec in enumerate(job.spec.steps):
            duration_s = self.expected_s(job, number)
            if spec.is_long_running or spec.is_filler:
                duration_s = 0.0
            work += spec.count * spec.size.cpu_milli / 1000 * duration_s
            begin_s = max((ends[earlier] for earlier in spec.depends_on), default=0.0)
            ends.append(begin_s + duration_s)
        cores = work / max(max(ends), SHORTEST_CHAIN_S)
        self.jobs[job.job] = (service, cores)
        self.needed[service] = self.needed.get(service, 0.0) + cores
        hopeless_s = deadline_s - HOPELESS_SHARE * max(ends)
        heapq.heappush(self.infeasible_from, (hopeless_s, job.job))

    def drop_infeasible(self, time_s: float) -> None:
        """Take off the jobs whose time is over."""
        while self.infeasible_from and self.infeasible_from[0][0] <= time_s:
            self.ended(heapq.heappop(self.infeasible_from)[1])

    def ended(self, job: JobId) -> None:
        """Take off a job."""
        service, cores = self.jobs.pop(job, (ServiceId(""), 0.0))
        if cores:
            self.needed[service] = max(0.0, self.needed[service] - cores)
