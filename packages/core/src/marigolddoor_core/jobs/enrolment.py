"""Executors as the replicated table knows them, so that a new leader finds them at once."""

from dataclasses import dataclass

from marigolddoor_core.ids import (
    DataCentreId,
    ExecutorId,
    ExecutorLife,
    MachineId,
    RackId,
    ServiceId,
)

__all__ = ["EnrolledExecutor"]


@dataclass(frozen=True, slots=True)
class EnrolledExecutor:
    """One life of an executor: what does not change, and whether it said that it drains.

    `born_ms` is the time of day of its start.
    """

    executor: ExecutorId
    born_ms: int
    service: ServiceId
    address: str
    data_centre: DataCentreId
    machine: MachineId
    rack: RackId
    labels: tuple[str, ...]
    cpu_milli: int
    memory_mb: int
    accelerators: int
    is_draining: bool = False

    @property
    def life(self) -> ExecutorLife:
        """Return which life this is."""
        return ExecutorLife(f"{self.executor}/{self.born_ms}")
