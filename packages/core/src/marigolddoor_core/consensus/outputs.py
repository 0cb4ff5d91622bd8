"""Actions that a replica requests from its driver."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NewType

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.consensus.entries import Entry, SnapshotMeta
from marigolddoor_core.consensus.messages import InstallSnapshot, Message
from marigolddoor_core.ids import LogIndex, ReplicaId, Term

__all__ = [
    "ChunkToSend",
    "CompactLog",
    "Outgoing",
    "Output",
    "ReadId",
    "ReadOutcome",
    "RecoveredState",
    "SaveChunk",
    "SaveEntries",
    "SaveVote",
    "Write",
    "WriteAction",
    "WriteNumber",
]

# The writes of a replica are numbered from 1 and completed in this order.
WriteNumber = NewType("WriteNumber", int)
ReadId = NewType("ReadId", int)


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Store the term and the vote given in it."""

    term: Term
    vote: ReplicaId | None


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Store the entries in place of any stored from the index of the first one on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveChunk:
    """Store a chunk of a received snapshot.

    The chunk at offset 0 begins a new file. After the last chunk the snapshot replaces the log.
    """

    snapshot: SnapshotMeta
    offset: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class CompactLog:
    """Drop the stored entries up to `index`, whose term is `term`."""

    index: LogIndex
    term: Term


WriteAction = SaveVote | SaveEntries | SaveChunk | CompactLog


@dataclass(frozen=True, slots=True)
class Write:
    """A numbered write, which is complete once it is synced."""

    number: WriteNumber
    action: WriteAction


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and its recipient."""

    recipient: ReplicaId
    message: Message


@dataclass(frozen=True, slots=True)
class ChunkToSend:
    """A message whose data the driver reads from the snapshot: `length` bytes at its offset."""

    recipient: ReplicaId
    message: InstallSnapshot
    length: int


@dataclass(frozen=True, slots=True)
class ReadOutcome:
    """A read may run on a state that includes `index`; None if the replica is not leader."""

    read: ReadId
    index: LogIndex | None


@dataclass(slots=True)
class Output:
    """The actions requested since the previous call.

    Their order is: writes, `restore`, committed entries; messages and reads in any order.
    """

    writes: list[Write] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)
    chunks: list[ChunkToSend] = field(default_factory=list)
    restore: SnapshotMeta | None = None
    committed: list[Entry] = field(default_factory=list)
    reads: list[ReadOutcome] = field(default_factory=list)

    def is_empty(self) -> bool:
        """Return whether no action is requested."""
        return not (
            self.writes
            or self.messages
            or self.chunks
            or self.restore
            or self.committed
            or self.reads
        )


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """The stored state that a replica finds in its data folder at the start.

    `configuration` is that of the snapshot, or the initial one of the group; it is empty in a
    replica that joins. `entries` follow `base_index`, which is at most the snapshot's index.
    """

    term: Term
    vote: ReplicaId | None
    snapshot: SnapshotMeta | None
    configuration: Configuration
    base_index: LogIndex
    base_term: Term
    entries: Sequence[Entry]
