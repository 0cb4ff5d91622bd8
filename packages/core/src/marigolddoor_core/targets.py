"""Announcements of targets, and the replies with their assignments and orders."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    FencingToken,
    JobId,
    PoolId,
    RackId,
    ServiceId,
    TaskId,
    VmId,
)

__all__ = [
    "Announcement",
    "AnnouncementReply",
    "Resources",
    "TargetState",
    "TaskOrder",
    "TaskOrderKind",
    "TaskPhase",
    "TaskReport",
]


class TargetState(Enum):
    """The state of a target as the system classifies it."""

    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    DEAD = "dead"


class TaskPhase(Enum):
    """The phase of a task on its worker."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskOrderKind(Enum):
    """What a worker is ordered to do with a task."""

    START = "start"
    RENEW = "renew"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of processor cores, memory and accelerators."""

    cores: float
    memory_mb: int
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return this amount minus `other`; parts may be negative."""
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: "Resources") -> bool:
        """Return whether this amount is no larger than `available` in every part."""
        return (
            self.cores <= available.cores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@dataclass(frozen=True, slots=True)
class TaskReport:
    """The state and resource usage of one task, as its worker reports it.

    `run_s` is the time that the task has run under this lease.
    """

    task: TaskId
    token: FencingToken
    phase: TaskPhase
    usage: Resources
    run_s: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Announcement:
    """A target's report of itself to the entry process that holds it.

    `leaving`: the target accepts no new work. `drained`: nothing runs on the target any more.
    `epoch`: the epoch of the target's current assignment, 0 before the first.
    """

    vm: VmId
    data_centre: DataCentreId
    rack: RackId
    address: str
    slots: int
    busy_slots: int
    capacity: Resources
    epoch: Epoch
    leaving: bool = False
    drained: bool = False
    incarnation: str = ""
    tasks: tuple[TaskReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """An order to a worker about one task. `lease_s` starts at the receipt of the order."""

    kind: TaskOrderKind
    task: TaskId
    job: JobId
    token: FencingToken
    lease_s: float = 0.0
    size: Resources = Resources(0.0, 0)
    command: str = ""


@dataclass(frozen=True, slots=True)
class AnnouncementReply:
    """The reply to an announcement. `interval_s` is the time until the next one is due."""

    interval_s: float
    pool: PoolId | None = None
    service: ServiceId | None = None
    epoch: Epoch = Epoch(0)
    drain: bool = False
    orders: tuple[TaskOrder, ...] = ()
