"""The cores that the open jobs of one team ask for, within its quota."""

from dataclasses import dataclass

from marigolddoor_core.ids import ServiceId
from marigolddoor_core.jobs import TaskSize

__all__ = ["Need", "TeamDemand"]


@dataclass(frozen=True, slots=True)
class Need:
    """What a job needs while it is open, in the units of `TaskSize`.

    `steady` is held by long-running tasks, which request machines by their placements. `cores`,
    `memory_mb` and `accelerators` are needed by its other tasks on average.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    steady: TaskSize = TaskSize()


class TeamDemand:
    """The needs of the open jobs of one team, by service."""

    def __init__(self) -> None:
        self.job_count = 0
        self.cores: dict[ServiceId, float] = {}
        self.memory_mb: dict[ServiceId, float] = {}
        self.accelerators: dict[ServiceId, float] = {}
        self.steady = [0, 0, 0]

    def add(self, service: ServiceId, need: Need, sign: int) -> None:
        """Add the need of a job to a service, or remove it with a `sign` of -1."""
        self.job_count += sign
        for sums, change in (
            (self.cores, need.cores),
            (self.memory_mb, need.memory_mb),
            (self.accelerators, need.accelerators),
        ):
            sums[service] = max(0.0, sums.get(service, 0.0) + sign * change)
        steady = need.steady.cpu_milli, need.steady.memory_mb, need.steady.accelerators
        self.steady = [held + sign * more for held, more in zip(self.steady, steady, strict=True)]

    def share(self, quota: TaskSize | None) -> float:
        """Return the share of the cores that may be used at once, from 0 to 1."""
        if quota is None:
            return 1.0
        limits = quota.cpu_milli, quota.memory_mb, quota.accelerators
        needed = (
            sum(self.cores.values()) * 1000,
            sum(self.memory_mb.values()),
            sum(self.accelerators.values()),
        )
        return min(
            (
                max(0, limit - held) / need
                for limit, held, need in zip(limits, self.steady, needed, strict=True)
                if limit and need > max(0, limit - held)
            ),
            default=1.0,
        )
