"""Entries of the replicated log and the snapshots that replace a prefix of it."""

from dataclasses import dataclass

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.ids import LogIndex, Term

__all__ = ["Entry", "SnapshotMeta"]


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log: a command, a configuration, or neither.

    The replica does not interpret a command. A new leader appends an entry with neither (a no-op),
    because only entries of its own term may be committed by counting replicas.
    """

    index: LogIndex
    term: Term
    command: bytes = b""
    configuration: Configuration | None = None


@dataclass(frozen=True, slots=True)
class SnapshotMeta:
    """A snapshot of the state after the entry at `index`.

    `size_bytes` and `checksum` (CRC-32) refer to the encoded state.
    """

    index: LogIndex
    term: Term
    configuration: Configuration
    size_bytes: int
    checksum: int
