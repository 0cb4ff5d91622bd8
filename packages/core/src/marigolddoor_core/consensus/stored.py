"""Records that a replica stores besides log entries and snapshot metadata."""

from dataclasses import dataclass

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.ids import LogIndex, ReplicaId, Term

__all__ = ["Identity", "LogBase", "StoredState", "VoteRecord"]


@dataclass(frozen=True, slots=True)
class Identity:
    """The replica that a data folder belongs to.

    `configuration` is the initial one of the group; it is empty in a replica that joins.
    """

    replica: ReplicaId
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """The current term, and the vote given in it."""

    term: Term
    vote: ReplicaId | None


@dataclass(frozen=True, slots=True)
class LogBase:
    """The entry that precedes the first one in a log file."""

    index: LogIndex
    term: Term


@dataclass(frozen=True, slots=True)
class StoredState:
    """The content of a snapshot: the consensus time of its last command, and the encoded state.

    Each part is a snapshot of the state machine with a share of the items.
    """

    time_s: float
    parts: tuple[bytes, ...]
