"""The cores that accepted jobs need, by service, updated with each change."""

import heapq
from collections.abc import Callable

from marigolddoor_core.dispatch.team_demand import Need, TeamDemand
from marigolddoor_core.ids import JobId, ServiceId, TeamId
from marigolddoor_core.jobs import JobRecord, TaskSize

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

    The jobs of a team request no more than its quota lets run at once, over all services. A change
    of a job costs as much as the number of services that its team uses.

    Args:
      expected_s: the expected duration of a task of a step.
      limit_of: the quota of a team, or None if it has none.
    """

    def __init__(
        self,
        expected_s: Callable[[JobRecord, int], float],
        limit_of: Callable[[TeamId], TaskSize | None] = lambda team: None,
    ) -> None:
        self.expected_s = expected_s
        self.limit_of = limit_of
        self.jobs: dict[JobId, tuple[ServiceId, TeamId, Need]] = {}
        # The cores, MB of memory and accelerators that each service needs.
        self.needed: dict[ServiceId, float] = {}
        self.needed_memory: dict[ServiceId, float] = {}
        self.needed_accelerators: dict[ServiceId, float] = {}
        self.teams: dict[TeamId, TeamDemand] = {}
        # What is counted of each team in the sums of the services.
        self.counted: dict[TeamId, dict[ServiceId, Need]] = {}
        self.infeasible_from: list[tuple[float, JobId]] = []

    def accepted(self, job: JobRecord, service: ServiceId, deadline_s: float) -> float:
        """Add a job with a deadline, which is a time of day.

        Return the share of its cores that the quota of its team lets it use besides the others.
        """
        if job.spec.is_timed:
            # Its occurrences become due one by one, at known times.
            return 1.0
        work = memory = accelerators = 0.0
        steady = [0, 0, 0]
        ends: list[float] = []
        for number, spec in enumerate(job.spec.steps):
            duration_s = self.expected_s(job, number)
            if spec.is_long_running or spec.is_best_effort:
                duration_s = 0.0
            if spec.is_long_running:
                sizes = spec.size.cpu_milli, spec.size.memory_mb, spec.size.accelerators
                steady = [
                    held + spec.count * size for held, size in zip(steady, sizes, strict=True)
                ]
            work += spec.count * spec.size.cpu_milli / 1000 * duration_s
            memory += spec.count * spec.size.memory_mb * duration_s
            accelerators += spec.count * spec.size.accelerators * duration_s
            begin_s = max((ends[earlier] for earlier in spec.depends_on), default=0.0)
            ends.append(begin_s + duration_s)
        length_s = max(max(ends), MIN_CRITICAL_PATH_S)
        need = Need(work / length_s, memory / length_s, accelerators / length_s, TaskSize(*steady))
        self.jobs[job.job] = (service, job.team, need)
        added = self._change(service, job.team, need, 1)
        infeasible_s = deadline_s - INFEASIBLE_SHARE * max(ends)
        heapq.heappush(self.infeasible_from, (infeasible_s, job.job))
        return min(1.0, max(0.0, added / need.cores)) if need.cores else 1.0

    def drop_infeasible(self, time_s: float) -> None:
        """Remove the jobs that can no longer meet their deadlines."""
        while self.infeasible_from and self.infeasible_from[0][0] <= time_s:
            self.ended(heapq.heappop(self.infeasible_from)[1])

    def ended(self, job: JobId) -> None:
        """Remove a job."""
        known = self.jobs.pop(job, None)
        if known is not None:
            self._change(*known, -1)

    def limits_changed(self) -> None:
        """Apply the quotas of another configuration."""
        for team in list(self.teams):
            self._recount(team)

    def _change(self, service: ServiceId, team: TeamId, need: Need, sign: int) -> float:
        """Add or remove a need, and return by how much the needed cores have changed."""
        if not team:
            self._add_needed(service, need, sign)
            return sign * need.cores
        demand = self.teams.setdefault(team, TeamDemand())
        demand.add(service, need, sign)
        return self._recount(team)

    def _recount(self, team: TeamId) -> float:
        demand = self.teams[team]
        share = demand.share(self.limit_of(team))
        counted = {
            service: Need(
                share * cores,
                share * demand.memory_mb[service],
                share * demand.accelerators[service],
            )
            for service, cores in demand.cores.items()
        }
        before = self.counted.get(team, {})
        self.counted[team] = counted
        for service, need in counted.items():
            self._add_needed(service, need, 1)
            self._add_needed(service, before.get(service, Need()), -1)
        if not demand.job_count:
            del self.teams[team], self.counted[team]
        return sum(need.cores for need in counted.values()) - sum(
            need.cores for need in before.values()
        )

    def _add_needed(self, service: ServiceId, need: Need, sign: int) -> None:
        for sums, change in (
            (self.needed, need.cores),
            (self.needed_memory, need.memory_mb),
            (self.needed_accelerators, need.accelerators),
        ):
            if change:
                sums[service] = max(0.0, sums.get(service, 0.0) + sign * change)
