"""The whole replicated state as one value, for snapshot files and for replicas that lag."""

from dataclasses import dataclass

from marigolddoor_core.declaration.organisation import Declaration
from marigolddoor_core.ids import (
    ClaimId,
    DataCentreId,
    Epoch,
    FencingToken,
    IdempotencyKey,
    LogIndex,
    OperatorId,
    ProcessId,
    RequestId,
    Revision,
    ServiceId,
)
from marigolddoor_core.state.commands import KeptAnswer
from marigolddoor_core.state.objects import Change
from marigolddoor_core.state.results import Result

__all__ = ["ClaimRecord", "Compaction", "RequestResult", "SnapshotEntry", "StateSnapshot"]


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A claim on the only run of a request. `expires_s` is a consensus time.

    `answer` is None while the claim is pending, and for a finished claim of unknown outcome.
    """

    claim: ClaimId
    service: ServiceId
    key: IdempotencyKey
    body_digest: bytes
    claimant: ProcessId
    expires_s: float
    finished: bool = False
    answer: KeptAnswer | None = None


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The first result of an operator's request, returned to each resend."""

    request: RequestId
    result: Result


@dataclass(frozen=True, slots=True)
class SnapshotEntry:
    """An object or its removal. `data_centre` is set for VMs only."""

    change: Change
    data_centre: DataCentreId | None = None


@dataclass(frozen=True, slots=True)
class Compaction:
    """The highest index of a removal that a stream of the journal has dropped."""

    stream: str
    index: LogIndex


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Everything that the results of later commands depend on.

    `entries` are in the order of their last change, `claims` in the order of their grants and
    `requests` in the order in which they were first applied.
    """

    index: LogIndex
    time_s: float
    revision: Revision
    author: OperatorId
    declaration: Declaration
    requests: tuple[RequestResult, ...]
    entries: tuple[SnapshotEntry, ...]
    claims: tuple[ClaimRecord, ...]
    retired_epoch: Epoch
    removed_token: FencingToken
    compactions: tuple[Compaction, ...]
