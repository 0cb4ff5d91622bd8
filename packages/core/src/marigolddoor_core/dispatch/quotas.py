"""Whether a team may have more running than it has.

Meant for one team that submits several times its usual load: its work waits in front of its own
quota, and the work of the other teams is placed in the same round.
"""

from typing import Protocol

from marigolddoor_core.dispatch.team_usage import TeamUsage
from marigolddoor_core.ids import TeamId
from marigolddoor_core.jobs import FleetConfiguration, JobSpec, StepRecord, TaskSize

__all__ = ["NoQuotas", "QuotaPolicy", "TeamLimits", "TeamQuotas", "quota_conflict"]

# The limits of this number of removed teams are kept; the largest fleet has 340 teams.
MAX_REMOVED_TEAMS = 400

FIELDS = (
    ("cpu_milli", "thousandths of a core"),
    ("memory_mb", "MB of memory"),
    ("accelerators", "accelerators"),
)


class QuotaPolicy(Protocol):
    """Decides whether more tasks of a step may start."""

    def admits(self, step: StepRecord, count: int) -> bool:
        """Return whether `count` more tasks of a step may be placed now."""
        ...


class NoQuotas:
    """Nothing is limited: the baseline."""

    def admits(self, step: StepRecord, count: int) -> bool:
        """Return True."""
        return True


class TeamLimits:
    """The quotas in force, and the last known ones of teams that were removed.

    An accepted job lives on when its team is removed. It then runs under the quota that the leader
    saw last, or without one if the leader never saw one. A configuration without teams has no
    limits.
    """

    def __init__(self, configuration: FleetConfiguration | None = None) -> None:
        self.limits: dict[TeamId, TaskSize] = {}
        self.apply(configuration)

    def apply(self, configuration: FleetConfiguration | None) -> None:
        """Put the quotas of a configuration into force."""
        if configuration is None or configuration.teams is None:
            self.limits = {}
            return
        current = {team.name: team.quota for team in configuration.teams}
        removed = [team for team in self.limits if team not in current][-MAX_REMOVED_TEAMS:]
        self.limits = {team: self.limits[team] for team in removed} | current

    def of(self, team: TeamId) -> TaskSize | None:
        """Return the quota of a team, in which 0 is no limit, or None if it has none."""
        return self.limits.get(team)


class TeamQuotas:
    """Admits tasks while what the runs of their team hold stays within its quota."""

    def __init__(self, usage: TeamUsage, limits: TeamLimits) -> None:
        self.usage = usage
        self.limits = limits

    def admits(self, step: StepRecord, count: int) -> bool:
        """Return whether `count` more tasks of a step fit the quota of its team.

        With a `count` of 0, return whether the team is within its quota.
        """
        limit = self.limits.of(step.job.team)
        if limit is None:
            return True
        held, size = self.usage.of(step.job.team), step.spec.size
        return (
            (not limit.cpu_milli or held.cpu_milli + count * size.cpu_milli <= limit.cpu_milli)
            and (not limit.memory_mb or held.memory_mb + count * size.memory_mb <= limit.memory_mb)
            and (
                not limit.accelerators
                or held.accelerators + count * size.accelerators <= limit.accelerators
            )
        )


def quota_conflict(spec: JobSpec, quota: TaskSize) -> str:
    """Return why a task or a gang of a job can never fit a quota; empty if all of them can.

    Example:
      >>> from marigolddoor_core.jobs import StepSpec
      >>> quota_conflict(JobSpec("", (StepSpec(1, TaskSize(3000)),)), TaskSize(2000))
      'a task of step 0 needs 3000 thousandths of a core, and the quota of the team is 2000'
    """
    for number, step in enumerate(spec.steps):
        for field, unit in FIELDS:
            limit = getattr(quota, field)
            needed = getattr(step.size, field) * (step.count if step.is_gang else 1)
            if limit and needed > limit:
                what = f"the gang of step {number}" if step.is_gang else f"a task of step {number}"
                return f"{what} needs {needed} {unit}, and the quota of the team is {limit}"
    return ""
