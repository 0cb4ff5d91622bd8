"""Transfer of a snapshot in chunks, one at a time."""

from marigolddoor_core.consensus.entries import SnapshotMeta
from marigolddoor_core.instants import Instant

__all__ = ["SnapshotReceipt", "SnapshotTransfer"]


class SnapshotTransfer:
    """The sending side: what the peer has, and when a chunk was last sent."""

    def __init__(self, snapshot: SnapshotMeta, now: Instant) -> None:
        self.snapshot = snapshot
        self.offset = 0
        self.sent_at = now

    def next_length(self, chunk_bytes: int) -> int:
        """Return the length of the chunk at the current offset."""
        return min(chunk_bytes, self.snapshot.size_bytes - self.offset)

    def confirmed(self, offset: int) -> bool:
        """Record that the peer has the data up to `offset`; return whether it moved."""
        moved = offset != self.offset
        self.offset = min(offset, self.snapshot.size_bytes)
        return moved


class SnapshotReceipt:
    """The receiving side: how much of which snapshot was handed to the disk."""

    def __init__(self, snapshot: SnapshotMeta) -> None:
        self.snapshot = snapshot
        self.offset = 0

    def accepts(self, snapshot: SnapshotMeta, offset: int) -> bool:
        """Return whether the chunk continues this snapshot."""
        return snapshot == self.snapshot and offset == self.offset
