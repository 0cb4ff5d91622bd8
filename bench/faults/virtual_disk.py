"""A disk in virtual time: writes become durable in order, and a crash keeps a prefix of them."""

import random
from collections import deque
from dataclasses import dataclass, field

from marigolddoor_core.consensus import Configuration, Entry, RecoveredState, SnapshotMeta
from marigolddoor_core.consensus.outputs import CompactLog, SaveChunk, SaveEntries, SaveVote, Write
from marigolddoor_core.ids import LogIndex, ReplicaId, Term


@dataclass
class VirtualDisk:
    """The durable state, and the writes in flight."""

    initial_configuration: Configuration
    term: Term = Term(0)
    vote: ReplicaId | None = None
    base_index: LogIndex = LogIndex(0)
    base_term: Term = Term(0)
    entries: list[Entry] = field(default_factory=list)
    snapshot: SnapshotMeta | None = None
    state: bytes = b""
    incoming: bytes = b""
    pending: deque[Write] = field(default_factory=deque)

    def complete_next_write(self) -> Write:
        """Make the next write durable."""
        write = self.pending.popleft()
        action = write.action
        if isinstance(action, SaveVote):
            self.term, self.vote = action.term, action.vote
        elif isinstance(action, SaveEntries):
            del self.entries[action.entries[0].index - self.base_index - 1 :]
            self.entries.extend(action.entries)
        elif isinstance(action, CompactLog):
            del self.entries[: action.index - self.base_index]
            self.base_index, self.base_term = action.index, action.term
        elif isinstance(action, SaveChunk):
            self.incoming = action.data if action.offset == 0 else self.incoming + action.data
            if action.last:
                self.save_snapshot(action.snapshot, self.incoming)
                self.base_index, self.base_term = action.snapshot.index, action.snapshot.term
                self.entries.clear()
        return write

    def save_snapshot(self, meta: SnapshotMeta, state: bytes) -> None:
        """Make a snapshot durable."""
        self.snapshot, self.state = meta, state

    def crash(self, rng: random.Random) -> None:
        """Complete a random number of the first writes in flight and lose the others."""
        for _ in range(rng.randint(0, len(self.pending))):
            self.complete_next_write()
        self.pending.clear()

    def holds(self, index: LogIndex, term: Term) -> bool:
        """Return whether the entry is durable on this disk, in the log or in the snapshot."""
        if self.snapshot is not None and index <= self.snapshot.index:
            return True
        position = index - self.base_index - 1
        return 0 <= position < len(self.entries) and self.entries[position].term == term

    def recovered(self) -> RecoveredState:
        """Return the stored state that a restarted replica finds."""
        configuration = (
            self.initial_configuration if self.snapshot is None else self.snapshot.configuration
        )
        return RecoveredState(
            self.term,
            self.vote,
            self.snapshot,
            configuration,
            self.base_index,
            self.base_term,
            tuple(self.entries),
        )
