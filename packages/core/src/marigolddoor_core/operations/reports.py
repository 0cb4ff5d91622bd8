"""The reports that operations return to operators."""

from dataclasses import dataclass

from marigolddoor_core.declaration.plans import Plan
from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    JobId,
    LogIndex,
    OperatorId,
    OrganisationId,
    PoolId,
    ProcessId,
    QuestionId,
    RackId,
    ReplicaId,
    RequestId,
    Revision,
    TaskId,
    TeamId,
    VmId,
)
from marigolddoor_core.operations.interfaces import InForce
from marigolddoor_core.state.commands import Choice, MaintenanceStep
from marigolddoor_core.targets import TargetState

__all__ = [
    "ApplyReport",
    "DoneReport",
    "ErrorReport",
    "FactReport",
    "JobReport",
    "JobsReport",
    "PlanReport",
    "PoolReport",
    "PoolsReport",
    "QuestionReport",
    "QuestionsReport",
    "SetAsideReport",
    "StatusReport",
    "VmReport",
]


@dataclass(frozen=True, slots=True)
class StatusReport:
    """A summary of the state of the whole system.

    Unless `from_leader` is set, `ready` and `in_force` are incomplete. `behind` lists the entry
    processes on which an older revision than the current one is in force.
    """

    organisation: OrganisationId | None
    revision: Revision
    author: OperatorId
    index: LogIndex
    time_s: float
    replica: ReplicaId
    leader: ReplicaId | None
    from_leader: bool
    vms: int
    ready: int
    tasks_waiting: int
    tasks_leased: int
    tasks_set_aside: int
    open_questions: int
    in_force: tuple[InForce, ...] = ()
    behind: tuple[ProcessId, ...] = ()


@dataclass(frozen=True, slots=True)
class VmReport:
    """One VM of a pool. `state` is None if the VM has not been observed."""

    vm: VmId
    data_centre: DataCentreId
    rack: RackId
    epoch: Epoch
    state: TargetState | None
    next_pool: PoolId | None
    maintenance: MaintenanceStep | None


@dataclass(frozen=True, slots=True)
class PoolReport:
    """A pool compared with its declaration. `unavailable` counts planned and unplanned losses."""

    pool: PoolId
    size: int
    floor: int
    spare: bool
    assigned: int
    available: int
    unavailable: int
    max_unavailable: int
    within_budget: bool
    vms: tuple[VmReport, ...] = ()


@dataclass(frozen=True, slots=True)
class PoolsReport:
    """The declared pools. Unless `from_leader` is set, the states of VMs may be missing."""

    revision: Revision
    from_leader: bool
    pools: tuple[PoolReport, ...]


@dataclass(frozen=True, slots=True)
class SetAsideReport:
    """A task that is no longer placed, with the reason."""

    task: TaskId
    reason: str
    failures: int
    failed_on: tuple[VmId, ...] = ()


@dataclass(frozen=True, slots=True)
class JobReport:
    """A job and the number of its tasks in each state."""

    job: JobId
    pool: PoolId
    team: TeamId
    version: str
    urgent: bool
    tasks: int
    waiting: int
    leased: int
    finished: int
    cancelled: int
    set_aside: tuple[SetAsideReport, ...] = ()


@dataclass(frozen=True, slots=True)
class JobsReport:
    """The declared jobs."""

    revision: Revision
    jobs: tuple[JobReport, ...]


@dataclass(frozen=True, slots=True)
class FactReport:
    """A fact of a question and its age in seconds."""

    text: str
    age_s: float


@dataclass(frozen=True, slots=True)
class QuestionReport:
    """A question. `default_in_s` is the time until the default takes effect."""

    question: QuestionId
    subject: str
    sentence: str
    facts: tuple[FactReport, ...]
    choices: tuple[Choice, ...]
    default: str
    default_in_s: float
    answer: str | None
    author: OperatorId | None
    closed: bool


@dataclass(frozen=True, slots=True)
class QuestionsReport:
    """The open questions, or all that are kept."""

    questions: tuple[QuestionReport, ...]


@dataclass(frozen=True, slots=True)
class PlanReport:
    """The changes that a declaration would make to `revision`."""

    revision: Revision
    plan: Plan


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """The declaration was accepted as `revision`, now or when `request` was first received."""

    revision: Revision
    request: RequestId
    author: OperatorId


@dataclass(frozen=True, slots=True)
class DoneReport:
    """The operation was accepted."""

    request: RequestId
    author: OperatorId


@dataclass(frozen=True, slots=True)
class ErrorReport:
    """A failed operation. `error` is the name of the error class, as on the errors page."""

    error: str
    message: str
    problems: tuple[str, ...] = ()
    current_revision: Revision | None = None
    author: OperatorId | None = None
    choice: str | None = None
