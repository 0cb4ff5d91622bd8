"""Executors as the replicated table knows them, so that a new leader finds them at once."""

from dataclasses import dataclass

from marigolddoor_core.ids import (
    DataCentreId,
    ExecutorId,
    ExecutorIncarnation,
    MachineId,
    RackId,
    ServiceId,
)

__all__ = ["EnrolledExecutor", "parse_incarnation"]


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
    def life(self) -> ExecutorIncarnation:
        """Return which life this is."""
        return ExecutorIncarnation(f"{self.executor}/{self.born_ms}")


def parse_incarnation(life: ExecutorIncarnation) -> tuple[ExecutorId, int]:
    """Return the executor that a life belongs to, and its `born_ms`.

    Example:
      >>> parse_life(ExecutorLife("i-1/1700000000000"))
      ('i-1', 1700000000000)
    """
    executor, _, born_ms = life.rpartition("/")
    return ExecutorId(executor), int(born_ms)
