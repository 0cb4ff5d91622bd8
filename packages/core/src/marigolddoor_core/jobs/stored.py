"""Stored form of the table of jobs in a snapshot."""

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
from marigolddoor_core.jobs.phases import JobPhase, TaskPhase
from marigolddoor_core.jobs.teams import NO_TEAM

__all__ = ["JobTableSnapshot", "StoredJob", "StoredMachineOrder", "StoredTask", "StoredWave"]


@dataclass(frozen=True, slots=True)
class StoredTask:
    """A task that has been placed at least once."""

    task: TaskName
    phase: TaskPhase
    run: RunNumber
    failed_runs: tuple[RunNumber, ...]
    # The incarnation of the executor, under the field's stored name.
    life: ExecutorIncarnation | None = None
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job and its tasks that have been placed at least once; the others are waiting."""

    job: JobId
    queue: QueueName
    service: ServiceId
    max_attempts: int
    document: bytes
    accepted_s: float
    ended_s: float
    phase: JobPhase
    has_started: bool
    tasks: tuple[StoredTask, ...]
    team: TeamId = NO_TEAM


@dataclass(frozen=True, slots=True)
class StoredWave:
    """A maintenance wave."""

    wave: WaveId
    machines: tuple[MachineId, ...]
    begun: tuple[MachineId, ...]
    opened_s: float
    duration_s: float
    max_count: int
    is_finished: bool


@dataclass(frozen=True, slots=True)
class StoredMachineOrder:
    """When an order to the platform for a machine was last recorded."""

    machine: MachineId
    ordered_s: float


@dataclass(frozen=True, slots=True)
class JobTableSnapshot:
    """A snapshot of the whole table."""

    time_s: float
    version: int
    document: bytes
    jobs: tuple[StoredJob, ...]
    waves: tuple[StoredWave, ...]
    executors: tuple[EnrolledExecutor, ...] = ()
    machine_orders: tuple[StoredMachineOrder, ...] = ()
