"""Executors in the replicated table, so that a new leader knows their addresses at once."""

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
    """One incarnation of an executor: its fixed properties and whether it reported draining.

    `born_ms` is the time of day when the incarnation started.
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
    def incarnation(self) -> ExecutorIncarnation:
        """Return the id of this incarnation."""
        return ExecutorIncarnation(f"{self.executor}/{self.born_ms}")


def parse_incarnation(incarnation: ExecutorIncarnation) -> tuple[ExecutorId, int]:
    """Return the executor of an incarnation and its `born_ms`.

    Example:
      >>> parse_incarnation(ExecutorIncarnation("i-1/1700000000000"))
      ('i-1', 1700000000000)
    """
    executor, _, born_ms = incarnation.rpartition("/")
    return ExecutorId(executor), int(born_ms)
