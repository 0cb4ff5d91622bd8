"""Changes of the replicated table of jobs.

The leader batches reported events and its own decisions into one `RecordChanges`, so that they
share one log entry and one sync.
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
    TeamId,
    WaveId,
)
from marigolddoor_core.jobs.enrolment import EnrolledExecutor
from marigolddoor_core.jobs.phases import RunEnd
from marigolddoor_core.jobs.teams import NO_TEAM

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
    """Accept a job. `document` is the caller's description, exactly as received.

    `team` is the team that submitted it, empty if none is known.
    """

    job: JobId
    queue: QueueName
    service: ServiceId
    max_attempts: int
    document: bytes
    team: TeamId = NO_TEAM


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job. This has no effect on a job that has ended."""

    job: JobId


@dataclass(frozen=True, slots=True)
class PlaceRun:
    """Place a waiting task on an executor. Committed before the executor is called."""

    task: TaskName
    run: RunNumber
    # The incarnation of the executor, under the field's stored name.
    life: ExecutorIncarnation


@dataclass(frozen=True, slots=True)
class EndRun:
    """A run ended. Committed before the executor may discard the end.

    `has_begun` is true if an executor has confirmed a run of the job. Some ends don't show it.
    """

    task: TaskName
    run: RunNumber
    end: RunEnd
    checkpoint: str = ""
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class EnrolExecutor:
    """An executor reported a new incarnation, or that it is draining."""

    executor: EnrolledExecutor


@dataclass(frozen=True, slots=True)
class DropExecutor:
    """An incarnation of an executor ended."""

    # The incarnation of the executor, under the field's stored name.
    life: ExecutorIncarnation


@dataclass(frozen=True, slots=True)
class StoreConfiguration:
    """Put a configuration into force unless its version is at most that of the one in force."""

    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class OpenWave:
    """Open a maintenance wave: each machine once within `duration_s`, `max_count` at a time."""

    wave: WaveId
    machines: tuple[MachineId, ...]
    duration_s: float
    max_count: int


@dataclass(frozen=True, slots=True)
class OrderMove:
    """The platform is about to be asked to move a machine. Committed before the call."""

    machine: MachineId


@dataclass(frozen=True, slots=True)
class BeginUpkeep:
    """The platform is about to be given a machine for maintenance. Committed before the call."""

    wave: WaveId
    machine: MachineId


@dataclass(frozen=True, slots=True)
class FinishWave:
    """Maintenance of every machine of the wave that still exists has ended."""

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
    """Apply `changes` in order."""

    changes: tuple[JobChange, ...]
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ChangesRecorded:
    """The changes were applied; the table shows their effects."""
