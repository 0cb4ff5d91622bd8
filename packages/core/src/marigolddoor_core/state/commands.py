"""Commands of the replicated state machine.

A command is a request to change the replicated state. Every replica applies it in log order, so it
carries everything that the change depends on, including the time. `time_s` is the consensus time in
seconds: the leader sets it when it proposes, and the state machine never lets it decrease.
"""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.declaration.organisation import Declaration
from marigolddoor_core.ids import (
    ClaimId,
    DataCentreId,
    Epoch,
    FencingToken,
    IdempotencyKey,
    JobId,
    OperatorId,
    PoolId,
    ProcessId,
    QuestionId,
    RackId,
    RequestId,
    Revision,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.targets import Resources, TaskPhase

__all__ = [
    "AnswerQuestion",
    "ApplyDeclaration",
    "BeginMove",
    "CancelTask",
    "Choice",
    "Claim",
    "CloseQuestion",
    "Command",
    "ExpireClaims",
    "Fact",
    "FinishClaim",
    "FinishMove",
    "FinishTask",
    "GrantLease",
    "KeptAnswer",
    "MaintenanceStep",
    "OpenQuestion",
    "RecordMaintenance",
    "RegisterVm",
    "ReleaseClaim",
    "RenewLease",
    "RequestDrain",
    "RetireVm",
    "SetAsideTask",
    "SubmitTask",
]


@dataclass(frozen=True, slots=True)
class ApplyDeclaration:
    """Replace the declaration, if `base_revision` is the current revision.

    A resend with the same `request` gets the first result again.
    """

    base_revision: Revision
    request: RequestId
    author: OperatorId
    declaration: Declaration
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RegisterVm:
    """Register a VM in `pool`, or update the facts of a registered VM, which keeps its pool."""

    vm: VmId
    data_centre: DataCentreId
    rack: RackId
    address: str
    capacity: Resources
    slots: int
    pool: PoolId
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class BeginMove:
    """Start draining a VM for a move to `pool`. Until the move ends, its pool and epoch stay."""

    vm: VmId
    epoch: Epoch
    pool: PoolId
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FinishMove:
    """Complete the move of a VM that acknowledged its drain or is confirmed dead."""

    vm: VmId
    epoch: Epoch
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RetireVm:
    """Remove a VM that is dead or was replaced."""

    vm: VmId
    epoch: Epoch
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SubmitTask:
    """Accept a task of a job. Once this is committed, the task is not lost."""

    task: TaskId
    job: JobId
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Lease a task to a VM for `lease_s` seconds under a new fencing token."""

    task: TaskId
    vm: VmId
    epoch: Epoch
    lease_s: float
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Extend the lease of the holder of `token` to `lease_s` seconds from `time_s`."""

    task: TaskId
    token: FencingToken
    lease_s: float
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FinishTask:
    """Record the end of a run. After `FAILED`, `STOPPED` or `CHECKPOINTED` the task waits again."""

    task: TaskId
    token: FencingToken
    phase: TaskPhase
    reason: str = ""
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CancelTask:
    """Cancel a task. A lease in force is not renewed, and the end of its run changes nothing."""

    task: TaskId
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SetAsideTask:
    """Stop placing a task until an operator decides."""

    task: TaskId
    reason: str
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim the only run of a non-idempotent request. `deadline_s` is a consensus time."""

    service: ServiceId
    key: IdempotencyKey
    body_digest: bytes
    claimant: ProcessId
    deadline_s: float
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The answer to a claimed request, stored for resends. `body` is None if it was too large."""

    status: int
    content_type: str
    body: bytes | None
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class FinishClaim:
    """Store the answer to a claimed request, or `None` if its outcome stays unknown."""

    claim: ClaimId
    claimant: ProcessId
    answer: KeptAnswer | None
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Release a claim whose request is known not to have run."""

    claim: ClaimId
    claimant: ProcessId
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ExpireClaims:
    """Remove the claims whose retry window has ended by `time_s`."""

    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Fact:
    """A fact of a question. `observed_s` is the consensus time of the observation."""

    text: str
    observed_s: float


@dataclass(frozen=True, slots=True)
class Choice:
    """A choice of a question and its effect."""

    name: str
    effect: str


@dataclass(frozen=True, slots=True)
class OpenQuestion:
    """Ask the operators. Each `subject` has at most one question that is not closed."""

    subject: str
    sentence: str
    facts: tuple[Fact, ...]
    choices: tuple[Choice, ...]
    default: str
    default_after_s: float
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerQuestion:
    """Answer a question with the name of one of its choices. The first answer counts."""

    question: QuestionId
    choice: str
    author: OperatorId
    request: RequestId
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CloseQuestion:
    """Close a question whose cause no longer exists."""

    question: QuestionId
    reason: str
    time_s: float = 0.0


class MaintenanceStep(Enum):
    """The steps of the maintenance of one VM."""

    DRAINING = "draining"
    REBOOTING = "rebooting"
    VERIFYING = "verifying"
    DONE = "done"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RecordMaintenance:
    """Record that the maintenance of a VM reached `step`."""

    vm: VmId
    epoch: Epoch
    step: MaintenanceStep
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestDrain:
    """Request maintenance of one VM, or of every VM of a pool, before it is regularly due.

    Exactly one of `pool` and `vm` is set. The maintenance waves do the work within the pool's
    budget. A resend with the same `request` changes nothing.
    """

    pool: PoolId | None
    vm: VmId | None
    author: OperatorId
    request: RequestId
    time_s: float = 0.0


Command = (
    ApplyDeclaration
    | RegisterVm
    | BeginMove
    | FinishMove
    | RetireVm
    | SubmitTask
    | GrantLease
    | RenewLease
    | FinishTask
    | CancelTask
    | SetAsideTask
    | Claim
    | FinishClaim
    | ReleaseClaim
    | ExpireClaims
    | OpenQuestion
    | AnswerQuestion
    | CloseQuestion
    | RecordMaintenance
    | RequestDrain
)
