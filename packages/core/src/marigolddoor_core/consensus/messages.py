"""Messages between the replicas of one group.

`round` numbers the heartbeat rounds of a leader. A reply repeats it, so that the leader knows the
earliest time at which the message can have been sent.
"""

from dataclasses import dataclass

from marigolddoor_core.consensus.entries import Entry, SnapshotMeta
from marigolddoor_core.ids import LogIndex, Term

__all__ = [
    "AppendEntries",
    "AppendReply",
    "InstallSnapshot",
    "Message",
    "RequestVote",
    "SnapshotReply",
    "TimeoutNow",
    "VoteReply",
]


@dataclass(frozen=True, slots=True)
class RequestVote:
    """A candidate asks for a vote in `term`.

    A pre-vote changes nothing at the receiver. `transfer` says that the leader of the term before
    gave up its lease in favour of this candidate.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    pre_vote: bool
    transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The answer to a request for a vote. A granted pre-vote repeats the term of the request."""

    term: Term
    pre_vote: bool
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """The leader's entries after `previous_index`; a heartbeat has none."""

    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: LogIndex
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """The answer to `AppendEntries`.

    If accepted, the log is equal to the leader's and synced up to `match_index`. If not,
    `match_index` is the last index at which the logs can be equal, and `previous_index` repeats
    the index that did not match.
    """

    term: Term
    accepted: bool
    match_index: LogIndex
    previous_index: LogIndex
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A chunk of a snapshot, from `offset` of its data."""

    term: Term
    snapshot: SnapshotMeta
    offset: int
    data: bytes
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The data of the snapshot at `index` is synced up to `offset`; `installed` if complete."""

    term: Term
    index: LogIndex
    offset: int
    installed: bool
    round: int


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """The leader of `term` has stepped down in favour of the receiver."""

    term: Term


Message = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
)
