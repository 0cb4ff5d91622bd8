"""Changes of the replicated table of jobs.

The leader collects what happened and what it decided into one `RecordChanges`, so that a batch
shares one log entry and one sync.
"""

from dataclasses import dataclass

from marigolddoor_core.ids import (
    ExecutorIncarnation,
    JobId,
    MachineId,
    QueueName,
    RunNumber,
    ServiceId,
    TaskName,
    WaveId,
)
from marigolddoor_core.jobs.enrolment import EnrolledExecutor
from marigolddoor_core.jobs.phases import RunEnd

__all__ = [
    "AcceptJob",
    "BeginUpkeep",
    "CancelJob",
    "ChangesRecorded",
    "DropExecutor",
    "EndRun",
    "EnrolExecutor",
    "FinishWave",
    "JobChange",
    "OpenWave",
    "OrderMove",
    "PlaceRun",
    "RecordChanges",
    "StoreConfiguration",
]


@dataclass(frozen=True, slots=True)
class AcceptJob:
    """Accept a job. `document` is the caller's description, in the form in which it came."""

    job: JobId
    queue: QueueName
    service: ServiceId
    max_attempts: int
    document: bytes


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job; one that has ended stays as it is."""

    job: JobId


@dataclass(frozen=True, slots=True)
class PlaceRun:
    """Place a waiting task on an executor. It is recorded before the executor is called."""

    task: TaskName
    run: RunNumber
    life: ExecutorIncarnation


@dataclass(frozen=True, slots=True)
class EndRun:
    """A run ended. It is recorded before the executor may forget the end."""

    task: TaskName
    run: RunNumber
    end: RunEnd
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class EnrolExecutor:
    """An executor reported a new life, or that it drains."""

    executor: EnrolledExecutor


@dataclass(frozen=True, slots=True)
class DropExecutor:
    """A life of an executor is over."""

    life: ExecutorIncarnation


@dataclass(frozen=True, slots=True)
class StoreConfiguration:
    """Put a configuration into force, unless the one in force has the same or a higher version."""

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class OpenWave:
    """Begin a wave of upkeep: each machine once within `duration_s`, `max_count` at a time."""

    wave: WaveId
    machines: tuple[MachineId, ...]
    duration_s: float
    max_count: int


@dataclass(frozen=True, slots=True)
class OrderMove:
    """The platform is about to be told to move a machine. Recorded before the call."""

    machine: MachineId


@dataclass(frozen=True, slots=True)
class BeginUpkeep:
    """A machine of a wave is about to be handed to the platform. Recorded before the call."""

    wave: WaveId
    machine: MachineId


@dataclass(frozen=True, slots=True)
class FinishWave:
    """Every machine of the wave that still exists had its upkeep."""

    wave: WaveId


JobChange = (
    AcceptJob
    | CancelJob
    | PlaceRun
    | EndRun
    | EnrolExecutor
    | DropExecutor
    | StoreConfiguration
    | OpenWave
    | OrderMove
    | BeginUpkeep
    | FinishWave
)


@dataclass(frozen=True, slots=True)
class RecordChanges:
    """Apply changes in order."""

    changes: tuple[JobChange, ...]
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ChangesRecorded:
    """The changes were applied; the table shows what came of them."""
