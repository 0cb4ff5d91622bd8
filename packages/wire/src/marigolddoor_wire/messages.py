"""Requests and replies between processes."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.ids import (
    DataCentreId,
    FencingToken,
    IdempotencyKey,
    LogIndex,
    ProcessId,
    Revision,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.objects import Change
from marigolddoor_core.state.results import ClaimFinished, ClaimPending, Result
from marigolddoor_core.targets import Announcement, TargetState
from marigolddoor_core.timeline.clock import HybridTime
from marigolddoor_core.timeline.filters import TimelineFilter
from marigolddoor_core.timeline.timelines import ProcessTimeline

__all__ = [
    "Acknowledgement",
    "AskProcesses",
    "AskTargets",
    "ErrorKind",
    "ErrorReply",
    "FetchTimeline",
    "FetchTimelineReply",
    "LeaseRenewal",
    "ProcessesReply",
    "Propose",
    "ProposeReply",
    "ReadClaim",
    "ReadClaimReply",
    "ReportDemand",
    "ReportDemandReply",
    "ReportTargets",
    "ReportTargetsReply",
    "ServiceDemand",
    "ShareReport",
    "TargetDelta",
    "TargetDigest",
    "TargetObservation",
    "TargetReport",
    "Watch",
    "WatchReply",
]


class ErrorKind(Enum):
    """Why a request between processes failed."""

    UNKNOWN_MESSAGE = "unknown message"
    NO_QUORUM = "no quorum"
    OUTCOME_UNKNOWN = "outcome unknown"
    INVALID = "invalid"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """The request failed. `detail` is a text for people."""

    kind: ErrorKind
    detail: str


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The message was received; the reply has no content."""


@dataclass(frozen=True, slots=True)
class Propose:
    """Proposes a command to the consensus group."""

    command: Command
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ProposeReply:
    """The result of a committed command."""

    result: Result


@dataclass(frozen=True, slots=True)
class Watch:
    """Waits up to `wait_s` seconds for changes after `after_index` (long polling).

    `in_force` is the revision that the watcher uses, from which the roll-out time is measured.
    """

    process: ProcessId
    data_centre: DataCentreId
    after_index: LogIndex
    in_force: Revision
    wait_s: float


@dataclass(frozen=True, slots=True)
class WatchReply:
    """The changes up to `index`. A snapshot replaces the whole state of the watcher."""

    index: LogIndex
    snapshot: bool
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The latest announcement of a target, its state at the holder and its age in seconds."""

    announcement: Announcement
    state: TargetState
    age_s: float


@dataclass(frozen=True, slots=True)
class ReportTargets:
    """A holder's report of its targets to the leader.

    With `full`, the list is complete: a target of this holder that is not listed is removed.
    """

    process: ProcessId
    data_centre: DataCentreId
    sequence: int
    full: bool
    targets: tuple[TargetReport, ...]
    gone: tuple[VmId, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """A renewed task lease. `lease_s` counts from when the holder sent its report."""

    vm: VmId
    task: TaskId
    token: FencingToken
    lease_s: float


@dataclass(frozen=True, slots=True)
class ReportTargetsReply:
    """The leader's reply to a report: renewed leases, and whether it requests a full list."""

    renewals: tuple[LeaseRenewal, ...]
    want_full: bool = False


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Request counts of one service at one entry process since its last report."""

    service: ServiceId
    arrived: int
    admitted: int
    refused: int
    answered: int
    late: int
    in_flight: int
    queued: int
    slot_seconds: float


@dataclass(frozen=True, slots=True)
class ReportDemand:
    """The demand at an entry process in the last `interval_s` seconds.

    It also serves as the heartbeat of the process, and reports the address of its peer listener and
    the revision in force there.
    """

    process: ProcessId
    data_centre: DataCentreId
    interval_s: float
    services: tuple[ServiceDemand, ...]
    in_force: Revision = Revision(0)
    address: str = ""


@dataclass(frozen=True, slots=True)
class AskProcesses:
    """Asks a control process for the entry processes that report to it."""


@dataclass(frozen=True, slots=True)
class ProcessesReply:
    """The peer addresses of the entry processes that report to the replying process."""

    addresses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReportDemandReply:
    """The consensus time at the leader, for the deadlines of claims."""

    time_s: float


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Asks for the claim on an idempotency key (linearizable read)."""

    service: ServiceId
    key: IdempotencyKey


@dataclass(frozen=True, slots=True)
class ReadClaimReply:
    """The claim, or None if there is none."""

    claim: ClaimPending | ClaimFinished | None


@dataclass(frozen=True, slots=True)
class TargetDelta:
    """Changes of a holder's targets, pushed to the entry processes of its data centre.

    `sequence` counts the deltas of this holder; after a gap the receiver requests a full one.
    """

    process: ProcessId
    sequence: int
    full: bool
    targets: tuple[TargetReport, ...]
    gone: tuple[VmId, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetDigest:
    """Number and checksum of a holder's targets as of `sequence`, to detect lost deltas."""

    process: ProcessId
    address: str
    sequence: int
    targets: int
    checksum: int


@dataclass(frozen=True, slots=True)
class AskTargets:
    """Asks a holder for a full `TargetDelta`."""


@dataclass(frozen=True, slots=True)
class TargetObservation:
    """Whether `process` could reach a target that its holder suspects."""

    process: ProcessId
    vm: VmId
    reached: bool


@dataclass(frozen=True, slots=True)
class ShareReport:
    """The recent demand of an entry process, from which its peers compute their shares."""

    process: ProcessId
    demand: tuple[ServiceDemand, ...]


@dataclass(frozen=True, slots=True)
class FetchTimeline:
    """Asks a process for its events after `after_sequence`; `time` is the sender's hybrid time."""

    wanted: TimelineFilter
    after_sequence: int
    limit: int
    time: HybridTime | None = None


@dataclass(frozen=True, slots=True)
class FetchTimelineReply:
    """The events of the replying process; `time` is its hybrid time."""

    timeline: ProcessTimeline
    time: HybridTime | None = None
