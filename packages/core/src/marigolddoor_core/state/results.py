"""Results of applying commands. As with the state, every replica computes the same result."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.ids import (
    ClaimId,
    Epoch,
    FencingToken,
    OperatorId,
    ProcessId,
    QuestionId,
    Revision,
)
from marigolddoor_core.state.commands import KeptAnswer

__all__ = [
    "AlreadyAnswered",
    "BodyMismatch",
    "ClaimFinished",
    "ClaimGranted",
    "ClaimPending",
    "ClaimsFull",
    "DeclarationAccepted",
    "Done",
    "LeaseGranted",
    "MoveBegun",
    "QuestionOpened",
    "Refusal",
    "Refused",
    "Result",
    "RevisionConflict",
]


class Refusal(Enum):
    """Why a command changed nothing."""

    UNKNOWN = "unknown"
    OLD_EPOCH = "old epoch"
    OLD_TOKEN = "old token"
    LEASE_HELD = "lease held"
    NOT_DRAINING = "not draining"
    DRAINING = "draining"
    FINISHED = "finished"
    INVALID = "invalid"
    NOT_CLAIMANT = "not claimant"


@dataclass(frozen=True, slots=True)
class Done:
    """The command was applied and has no value to return."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The command changed nothing."""

    refusal: Refusal
    detail: str = ""


@dataclass(frozen=True, slots=True)
class DeclarationAccepted:
    """The declaration is committed as `revision`."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """Another change was committed first: `current_revision` by `current_author`."""

    base_revision: Revision
    current_revision: Revision
    current_author: OperatorId


@dataclass(frozen=True, slots=True)
class MoveBegun:
    """The VM is draining. It keeps `epoch` until the move is finished."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The task is leased under `token`."""

    token: FencingToken


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claimant may run the request once."""

    claim: ClaimId


@dataclass(frozen=True, slots=True)
class ClaimPending:
    """The claim is held, and its answer is not known yet."""

    claim: ClaimId
    claimant: ProcessId


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """The request ran. `answer` is None if its outcome is unknown."""

    claim: ClaimId
    answer: KeptAnswer | None


@dataclass(frozen=True, slots=True)
class BodyMismatch:
    """The idempotency key was already used with another body."""


@dataclass(frozen=True, slots=True)
class ClaimsFull:
    """The memory limit for claims is reached; nothing was claimed."""


@dataclass(frozen=True, slots=True)
class QuestionOpened:
    """The question is open, either newly or from an earlier command."""

    question: QuestionId


@dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """Another answer came first and counts."""

    choice: str
    author: OperatorId


Result = (
    Done
    | Refused
    | DeclarationAccepted
    | RevisionConflict
    | MoveBegun
    | LeaseGranted
    | ClaimGranted
    | ClaimPending
    | ClaimFinished
    | BodyMismatch
    | ClaimsFull
    | QuestionOpened
    | AlreadyAnswered
)
