"""What operators see of each team at the metrics address of the leader.

Example:
  >>> refusals = Refusals()
  >>> refusals.add(TeamId("renewals"), RefusalReason.INVALID)
  >>> print(refusals.page(), end="")
  # HELP marigolddoor_calls_refused_total Calls that the leader refused, by team and reason.
  # TYPE marigolddoor_calls_refused_total counter
  marigolddoor_calls_refused_total{reason="invalid",team="renewals"} 1
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from marigolddoor_core.ids import TeamId
from marigolddoor_core.jobs import NO_TEAM, JobPhase, JobRecord, JobTable, TaskSize
from marigolddoor_core.metrics import Labels, Sample, family_text

__all__ = [
    "MAX_TEAMS",
    "OTHER_TEAMS",
    "RefusalReason",
    "Refusals",
    "TeamHoldings",
    "TeamRow",
    "rows_page",
    "team_rows",
]

# Each team has 7 lines or more on the page. The largest deployment has 340 teams.
MAX_TEAMS = 400
# Stands for all teams beyond the limit.
OTHER_TEAMS = TeamId("(others)")


class RefusalReason(Enum):
    """Why the leader refused a call."""

    KEY = "key"
    OTHER_TEAM = "job of another team"
    INVALID = "invalid"
    QUOTA = "can never fit the quota"


class TeamHoldings(Protocol):
    """What each team holds."""

    def of(self, team: TeamId) -> TaskSize:
        """Return the sum of the sizes of the team's runs."""
        ...


@dataclass(slots=True)
class TeamRow:
    """The state of one team; `quota` is 0 in a field without a limit.

    A job waits until a task of it has begun. `oldest_wait_s` is the time since the acceptance of
    the oldest one.
    """

    team: TeamId
    running: TaskSize
    quota: TaskSize
    waiting_jobs: int = 0
    oldest_wait_s: float = 0.0


class Refusals:
    """Counts the refused calls of at most `MAX_TEAMS` teams, and the others together.

    A call whose key is of no team counts without a team.
    """

    def __init__(self) -> None:
        self.counts: Counter[tuple[TeamId, RefusalReason]] = Counter()
        self.teams: set[TeamId] = {NO_TEAM}

    def add(self, team: TeamId, reason: RefusalReason) -> None:
        """Count a refused call."""
        if team not in self.teams:
            if len(self.teams) > MAX_TEAMS:
                team = OTHER_TEAMS
            else:
                self.teams.add(team)
        self.counts[team, reason] += 1

    def page(self) -> str:
        """Return the counts in the exposition format."""
        counts = sorted(self.counts.items(), key=lambda item: (item[0][0], item[0][1].value))
        return family_text(
            "marigolddoor_calls_refused_total",
            "Calls that the leader refused, by team and reason.",
            "counter",
            [
                Sample(Labels(reason=reason.value, team=team), count)
                for (team, reason), count in counts
            ],
        )


def team_rows(
    table: JobTable, holdings: TeamHoldings, has_begun: Callable[[JobRecord], bool], time_s: float
) -> list[TeamRow]:
    """Return the state of each team in the configuration in force, or with open jobs.

    Args:
      time_s: the consensus time in seconds.
    """
    configuration = table.configuration
    teams = {} if configuration is None else configuration.team_by_name
    rows = {name: TeamRow(name, holdings.of(name), team.quota) for name, team in teams.items()}
    for job in table.jobs.values():
        if job.phase is not JobPhase.ACTIVE or not job.team:
            continue
        row = rows.get(job.team)
        if row is None:
            # The team was removed; its accepted jobs continue.
            row = rows[job.team] = TeamRow(job.team, holdings.of(job.team), TaskSize())
        if not has_begun(job):
            row.waiting_jobs += 1
            row.oldest_wait_s = max(row.oldest_wait_s, time_s - job.accepted_s)
    return sorted(rows.values(), key=lambda row: row.team)


def rows_page(rows: Sequence[TeamRow]) -> str:
    """Return the rows as gauges; those beyond `MAX_TEAMS` are summed."""
    shown = list(rows[:MAX_TEAMS])
    if len(rows) > MAX_TEAMS:
        shown.append(_sum(rows[MAX_TEAMS:]))
    families: tuple[tuple[str, str, Callable[[TeamRow], float]], ...] = (
        (
            "running_mcores",
            "Cores of the runs that count, in thousandths.",
            lambda row: row.running.cpu_milli,
        ),
        ("running_memory_mb", "Memory of the runs that count.", lambda row: row.running.memory_mb),
        (
            "quota_mcores",
            "Quota of cores in thousandths, 0 without one.",
            lambda row: row.quota.cpu_milli,
        ),
        ("quota_memory_mb", "Quota of memory, 0 without one.", lambda row: row.quota.memory_mb),
        ("waiting_jobs", "Jobs of which no task has begun.", lambda row: row.waiting_jobs),
        ("oldest_wait_seconds", "Age of the oldest of these.", lambda row: row.oldest_wait_s),
    )
    return "".join(
        family_text(
            f"marigolddoor_team_{name}",
            text,
            "gauge",
            [Sample(Labels(team=row.team), value(row)) for row in shown],
        )
        for name, text, value in families
    )


def _sum(rows: Iterable[TeamRow]) -> TeamRow:
    """Return the sum of rows. Its quota is that of those that have one."""
    total = TeamRow(OTHER_TEAMS, TaskSize(), TaskSize())
    for row in rows:
        total.running = _add(total.running, row.running)
        total.quota = _add(total.quota, row.quota)
        total.waiting_jobs += row.waiting_jobs
        total.oldest_wait_s = max(total.oldest_wait_s, row.oldest_wait_s)
    return total


def _add(size: TaskSize, other: TaskSize, count: int = 1) -> TaskSize:
    return TaskSize(
        size.cpu_milli + count * other.cpu_milli,
        size.memory_mb + count * other.memory_mb,
        size.accelerators + count * other.accelerators,
    )
