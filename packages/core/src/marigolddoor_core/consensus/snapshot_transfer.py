"""Transfer of a snapshot in chunks, with one chunk in flight."""

from marigolddoor_core.consensus.entries import SnapshotMeta
from marigolddoor_core.instants import Instant

__all__ = ["IncomingSnapshot", "SnapshotTransfer"]


class SnapshotTransfer:
    """Sender side: the offset that the peer has reached, and when a chunk was last sent."""

    def __init__(self, snapshot: SnapshotMeta, now: Instant) -> None:
        self.snapshot = snapshot
        self.offset = 0
        self.sent_at = now

    def next_length(self, chunk_bytes: int) -> int:
        """Return the length of the chunk at the current offset."""
        return min(chunk_bytes, self.snapshot.size_bytes - self.offset)

    def acknowledge(self, offset: int) -> bool:
        """Record that the peer has the data up to `offset`; return whether the offset changed."""
        changed = offset != self.offset
        self.offset = min(offset, self.snapshot.size_bytes)
        return changed


class IncomingSnapshot:
    """Receiver side: the snapshot, and the offset up to which its writes were requested."""

    def __init__(self, snapshot: SnapshotMeta) -> None:
        self.snapshot = snapshot
        self.offset = 0

    def accepts(self, snapshot: SnapshotMeta, offset: int) -> bool:
        """Return whether a chunk of `snapshot` at `offset` is the next one."""
        return snapshot == self.snapshot and offset == self.offset
