"""Objects of the replicated state, as replicas store them and entry processes watch them.

Each object has a kind, a key and the log index of its last change. A watcher that has received all
changes up to an index needs only the objects that changed later.
"""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.declaration.organisation import Job, Pool, Service, Team, Weights
from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    FencingToken,
    JobId,
    LogIndex,
    OperatorId,
    PoolId,
    QuestionId,
    RackId,
    Revision,
    TaskId,
    VmId,
)
from marigolddoor_core.state.commands import Choice, Fact, MaintenanceStep
from marigolddoor_core.targets import Resources

__all__ = [
    "Change",
    "ObjectKind",
    "ObjectValue",
    "QuestionRecord",
    "RevisionRecord",
    "TaskRecord",
    "TaskState",
    "VmRecord",
]


class ObjectKind(Enum):
    """The kinds of objects in the replicated state."""

    REVISION = "revision"
    SERVICE = "service"
    POOL = "pool"
    TEAM = "team"
    JOB = "job"
    WEIGHTS = "weights"
    VM = "vm"
    TASK = "task"
    QUESTION = "question"


class TaskState(Enum):
    """The state of a task."""

    WAITING = "waiting"
    LEASED = "leased"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    SET_ASIDE = "set aside"


@dataclass(frozen=True, slots=True)
class RevisionRecord:
    """The current revision of the declaration, with its author."""

    revision: Revision
    author: OperatorId


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM and the pool that it is assigned to.

    `next_pool` is set while the VM drains for a move. `maintenance` is the last recorded step, and
    `maintained_s` the consensus time at which the last maintenance was done, or that of the
    registration before the first one. `maintenance_requested` is set from an operator's request
    until the maintenance is done.
    """

    vm: VmId
    data_centre: DataCentreId
    rack: RackId
    address: str
    capacity: Resources
    slots: int
    pool: PoolId
    epoch: Epoch
    next_pool: PoolId | None = None
    maintenance: MaintenanceStep | None = None
    maintained_s: float = 0.0
    maintenance_requested: bool = False


@dataclass(frozen=True, slots=True)
class TaskRecord:
    """A task with its lease, if it has one. `lease_until_s` is a consensus time.

    `failed_on` lists the VMs on which a run failed, without repeats. `version` is the version of
    the job when the lease was granted, empty before the first lease.
    """

    task: TaskId
    job: JobId
    state: TaskState
    token: FencingToken = FencingToken(0)
    vm: VmId | None = None
    lease_until_s: float = 0.0
    submitted_s: float = 0.0
    failures: int = 0
    failed_on: tuple[VmId, ...] = ()
    reason: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class QuestionRecord:
    """A question to the operators. `answer` is None until it is answered."""

    question: QuestionId
    subject: str
    sentence: str
    facts: tuple[Fact, ...]
    choices: tuple[Choice, ...]
    default: str
    default_at_s: float
    opened_s: float
    answer: str | None = None
    author: OperatorId | None = None
    closed: bool = False


ObjectValue = (
    RevisionRecord | Service | Pool | Team | Job | Weights | VmRecord | TaskRecord | QuestionRecord
)


@dataclass(frozen=True, slots=True)
class Change:
    """The latest value of an object; `value` is None if the object was removed."""

    kind: ObjectKind
    key: str
    index: LogIndex
    value: ObjectValue | None
