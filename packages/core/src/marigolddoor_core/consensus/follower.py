"""Follower role: receives entries and snapshots from the leader."""

from marigolddoor_core.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)
from marigolddoor_core.consensus.node import Node
from marigolddoor_core.consensus.outputs import SaveChunk
from marigolddoor_core.consensus.snapshot_transfer import IncomingSnapshot
from marigolddoor_core.ids import LogIndex, ReplicaId
from marigolddoor_core.instants import Instant

__all__ = ["Follower"]


class Follower:
    """Answers the messages of the leader of the current term."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.incoming: IncomingSnapshot | None = None

    def on_append(self, leader: ReplicaId, message: AppendEntries, now: Instant) -> None:
        """Append the entries if the log contains the entry that precedes them."""
        node = self.node
        if message.term < node.term:
            self._reject(leader, message, LogIndex(0))
            return
        self._record_leader_contact(leader, message.term, now)
        if node.installing is not None:
            return
        entries = message.entries
        previous_index = message.previous_index
        if previous_index < node.log.base_index:
            # Compacted entries are committed, so the leader has the same entries up to the base.
            entries = tuple(entry for entry in entries if entry.index > node.log.base_index)
            previous_index = node.log.base_index
        elif not self.matches(message):
            self._reject(leader, message, self._match_hint(message))
            return
        for position, entry in enumerate(entries):
            if node.log.term_at(entry.index) != entry.term:
                node.append(entries[position:])
                break
        match_index = LogIndex(previous_index + len(entries))
        node.commit(min(message.commit_index, match_index))
        node.acknowledge(
            leader,
            AppendReply(node.term, True, match_index, message.previous_index, message.round),
        )

    def matches(self, message: AppendEntries) -> bool:
        """Return whether the log contains the entry that precedes the leader's entries."""
        return self.node.log.term_at(message.previous_index) == message.previous_term

    def _match_hint(self, message: AppendEntries) -> LogIndex:
        """Return the last index up to which the logs can match.

        All entries of a conflicting term are skipped at once; committed entries always match.
        """
        log = self.node.log
        if message.previous_index > log.last_index:
            return log.last_index
        index = message.previous_index
        term = log.term_at(index)
        while index > self.node.commit_index and log.term_at(index) == term:
            index = LogIndex(index - 1)
        return index

    def _reject(self, leader: ReplicaId, message: AppendEntries, hint: LogIndex) -> None:
        self.node.send(
            leader,
            AppendReply(self.node.term, False, hint, message.previous_index, message.round),
        )

    def on_chunk(self, leader: ReplicaId, message: InstallSnapshot, now: Instant) -> None:
        """Store a chunk; the last one replaces the log."""
        node = self.node
        snapshot = message.snapshot
        if message.term < node.term:
            node.send(leader, SnapshotReply(node.term, snapshot.index, 0, False, message.round))
            return
        self._record_leader_contact(leader, message.term, now)
        if node.installing is not None:
            return
        known = node.log.term_at(snapshot.index) == snapshot.term
        if known or snapshot.index <= node.commit_index:
            self.incoming = None
            self._acknowledge_chunk(leader, message, snapshot.size_bytes, installed=True)
            return
        if self.incoming is None or self.incoming.snapshot != snapshot:
            self.incoming = IncomingSnapshot(snapshot)
        incoming = self.incoming
        if not incoming.accepts(snapshot, message.offset):
            self._acknowledge_chunk(leader, message, incoming.offset, installed=False)
            return
        incoming.offset += len(message.data)
        last = incoming.offset >= snapshot.size_bytes
        number = node.write(SaveChunk(snapshot, message.offset, message.data, last))
        if last:
            self.incoming = None
            node.install(number, snapshot)
        self._acknowledge_chunk(leader, message, incoming.offset, installed=last)

    def _acknowledge_chunk(
        self, leader: ReplicaId, message: InstallSnapshot, offset: int, installed: bool
    ) -> None:
        self.node.acknowledge(
            leader,
            SnapshotReply(self.node.term, message.snapshot.index, offset, installed, message.round),
        )

    def _record_leader_contact(self, leader: ReplicaId, term: int, now: Instant) -> None:
        node = self.node
        node.become_follower(node.term, leader)
        node.leader_contact = now
        node.lease_granted_at = now
        node.restart_election_timer(now)
