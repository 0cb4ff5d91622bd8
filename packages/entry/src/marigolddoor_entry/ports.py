"""Interfaces between the entry process and the rest of the system."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import IdempotencyKey, PoolId, ServiceId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.ports import NoQuorumError, Proposer
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.routing.policies import TargetView
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.state.results import ClaimFinished, ClaimPending
from marigolddoor_core.targets import Announcement, AnnouncementReply
from marigolddoor_core.timeline import EventId, EventKind, Subject
from marigolddoor_wire.messages import ReportDemand, ShareReport

from marigolddoor_entry.request_events import RecordEvent

__all__ = ["ClaimReader", "Directory", "EntryPorts", "Holder", "NoClaimReader"]


class Directory(Protocol):
    """The targets of the data centre."""

    def targets(self) -> Sequence[TargetView]:
        """Return all known targets that have a pool."""
        ...

    def targets_of(self, pool: PoolId) -> Sequence[TargetView]:
        """Return the known targets of one pool."""
        ...

    def pop_changed_pools(self) -> frozenset[PoolId]:
        """Return the pools whose targets changed since the last call."""
        ...


class Holder(Protocol):
    """Tracks the targets that announce themselves to this process."""

    def announce(self, announcement: Announcement, now: Instant) -> AnnouncementReply:
        """Record an announcement and return the reply."""
        ...

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        ...

    def suspect(self, now: Instant) -> bool:
        """Mark the targets whose announcements are overdue; return whether any changed."""
        ...

    def assign(self, records: Sequence[VmRecord]) -> None:
        """Replace the committed assignments of the VMs of the data centre."""
        ...


class ClaimReader(Protocol):
    """Reads claims from the consensus group without making any."""

    async def read_claim(
        self, service: ServiceId, key: IdempotencyKey
    ) -> ClaimPending | ClaimFinished | None:
        """Return the claim, or None if none is stored.

        Raises:
          NoQuorumError: the consensus group can't be read now.
        """
        ...


class NoClaimReader:
    """The claim reader of an entry process without a consensus group."""

    async def read_claim(
        self, service: ServiceId, key: IdempotencyKey
    ) -> ClaimPending | ClaimFinished | None:
        """Raise `NoQuorumError`."""
        raise NoQuorumError("no reader of claims is connected")


async def _discard_report(message: object) -> None:
    """Discard a report."""


def _no_time() -> float:
    return 0.0


def _discard_event(
    kind: EventKind, subject: Subject, text: str, cause: EventId | None
) -> EventId | None:
    """Discard an event."""
    return None


def _no_text() -> str:
    return ""


def _discard_observation(*arguments: object) -> None:
    """Discard an observation."""


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """The dependencies of an entry process.

    `consensus_time` returns an estimate of the consensus time in seconds, for the deadlines of
    claims. `report_demand` sends the demand of each second to the leader,
    `exchange_demand` that of each half second to the entry processes of the data centre.
    `report_dispatch` receives the VM of each attempt and whether it was reached, `observe` the
    service, outcome and latency in seconds of each request. `metrics_page` returns the metrics as
    text, `record_event` records the events of requests.
    """

    proposer: Proposer
    directory: Directory
    holder: Holder
    claims: ClaimReader = NoClaimReader()
    consensus_time: Callable[[], float] = _no_time
    report_demand: Callable[[ReportDemand], Awaitable[None]] = _discard_report
    exchange_demand: Callable[[ShareReport], Awaitable[None]] = _discard_report
    report_dispatch: Callable[[VmId, bool], None] = _discard_observation
    observe: Callable[[ServiceId, Outcome, float], None] = _discard_observation
    metrics_page: Callable[[], str] = _no_text
    record_event: RecordEvent = _discard_event
