"""What the runs of each team hold, updated with each run that begins or ends to count."""

from typing import TypeVar

from marigolddoor_core.ids import RunNumber, ServiceId, TaskName, TeamId
from marigolddoor_core.jobs import StepRecord, TaskSize

__all__ = ["RunKey", "TeamUsage"]

RunKey = tuple[TaskName, RunNumber]

NOTHING = TaskSize()
Key = TypeVar("Key")


class TeamUsage:
    """The resources that the runs of each team hold, over all services and in each one.

    A run counts from its placement until it has certainly ended. Two runs of one task count twice,
    and best-effort tasks count with their cores. Runs of jobs without a team are not counted. The
    service of a run is that of its executor.

    Example:
      >>> usage = TeamUsage()
      >>> usage.of(TeamId("renewals")).cpu_milli
      0
    """

    def __init__(self) -> None:
        self.runs: dict[RunKey, tuple[ServiceId, TeamId, TaskSize]] = {}
        self.teams: dict[TeamId, TaskSize] = {}
        self.services: dict[tuple[ServiceId, TeamId], TaskSize] = {}

    def of(self, team: TeamId) -> TaskSize:
        """Return what the runs of a team hold over all services."""
        return self.teams.get(team, NOTHING)

    def of_service(self, service: ServiceId, team: TeamId) -> TaskSize:
        """Return what the runs of a team hold on the executors of a service."""
        return self.services.get((service, team), NOTHING)

    def add(self, step: StepRecord, task: TaskName, run: RunNumber, service: ServiceId) -> None:
        """Count a run of a step's task; one that is counted already moves to `service`."""
        team = step.job.team
        if not team:
            return
        self.remove(task, run)
        self.runs[task, run] = service, team, step.spec.size
        self._adjust(service, team, step.spec.size, 1)

    def remove(self, task: TaskName, run: RunNumber) -> None:
        """Stop counting a run; nothing changes if it is not counted."""
        counted = self.runs.pop((task, run), None)
        if counted is not None:
            self._adjust(*counted, -1)

    def _adjust(self, service: ServiceId, team: TeamId, size: TaskSize, sign: int) -> None:
        _add(self.teams, team, size, sign)
        _add(self.services, (service, team), size, sign)


def _add(sums: dict[Key, TaskSize], key: Key, size: TaskSize, sign: int) -> None:
    """Add a size to a sum, and drop the sum once it is zero."""
    held = sums.get(key, NOTHING)
    total = TaskSize(
        held.cpu_milli + sign * size.cpu_milli,
        held.memory_mb + sign * size.memory_mb,
        held.accelerators + sign * size.accelerators,
    )
    if total == NOTHING:
        sums.pop(key, None)
    else:
        sums[key] = total
