"""Machines as the platform lists them, and their moves between services."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.dispatch.requirements import MachineShape
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.jobs import TaskSize

__all__ = ["MachineState", "MachineView", "Move"]


class MachineState(Enum):
    """The state of a machine as the platform lists it. `UNKNOWN`: its entry can't be read."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MachineView:
    """A machine as the platform lists it."""

    machine: MachineId
    service: ServiceId
    state: MachineState
    cpu_milli: int
    memory_mb: int = 0
    accelerators: int = 0
    labels: tuple[str, ...] = ()

    @property
    def shape(self) -> MachineShape:
        """Return what decides which tasks fit on the machine."""
        capacity = TaskSize(self.cpu_milli, self.memory_mb, self.accelerators)
        return MachineShape(capacity, self.labels)


@dataclass(frozen=True, slots=True)
class Move:
    """The move of a machine from one service to another."""

    machine: MachineId
    source: ServiceId
    target: ServiceId
