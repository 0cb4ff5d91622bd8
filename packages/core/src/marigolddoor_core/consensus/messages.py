"""Messages between the replicas of one group.

`round` is the number of the leader's heartbeat round. A reply repeats it, so that the leader has a
lower bound of the time at which the reply was sent.
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
    """A candidate's request for a vote in `term`.

    A pre-vote does not change the state of the receiver. `transfer` states that the leader of the
    previous term has released its lease in favour of this candidate.
    """

    term: Term
    last_index: LogIndex
    last_term: Term
    pre_vote: bool
    transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """The reply to `RequestVote`. A granted pre-vote repeats the term of the request."""

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
    """The reply to `AppendEntries`.

    If accepted, the log matches the leader's and is synced up to `match_index`. If not,
    `match_index` is the last index up to which the logs can match, and `previous_index` repeats
    the index that did not match.
    """

    term: Term
    accepted: bool
    match_index: LogIndex
    previous_index: LogIndex
    round: int


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A chunk of a snapshot, which starts at `offset` of the encoded state."""

    term: Term
    snapshot: SnapshotMeta
    offset: int
    data: bytes
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The snapshot at `index` is synced up to `offset`; `installed` if it is complete."""

    term: Term
    index: LogIndex
    offset: int
    installed: bool
    round: int


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """The leader of `term` has stepped down; the receiver starts an election at once."""

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
