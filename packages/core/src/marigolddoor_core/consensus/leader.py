"""Leader role: replication, commit, lease, reads and membership changes."""

import math
from collections.abc import Sequence

from marigolddoor_core.consensus.configuration import Configuration, Member
from marigolddoor_core.consensus.entries import Entry
from marigolddoor_core.consensus.errors import ChangeRefusedError, NotLeaderError
from marigolddoor_core.consensus.group_health import GroupHealth
from marigolddoor_core.consensus.lease import Lease
from marigolddoor_core.consensus.limits import Limits
from marigolddoor_core.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
    TimeoutNow,
)
from marigolddoor_core.consensus.node import Node
from marigolddoor_core.consensus.outputs import ChunkToSend, ReadId, ReadOutcome
from marigolddoor_core.consensus.progress import Progress, ProgressState
from marigolddoor_core.consensus.reads import PendingRead
from marigolddoor_core.consensus.snapshot_transfer import SnapshotTransfer
from marigolddoor_core.ids import LogIndex, ReplicaId, Term
from marigolddoor_core.instants import Instant

__all__ = ["CATCH_UP_ENTRIES", "Leader"]

# A learner this close to the end of the log keeps up, so its vote does not delay commits.
CATCH_UP_ENTRIES = 100


class Leader:
    """The leader of one term, from its election until it steps down."""

    def __init__(self, node: Node, now: Instant, limits: Limits) -> None:
        self.node = node
        self.limits = limits
        self.lease = Lease(node.replica, node.timing.lease_s)
        self.elected_at = now
        self.heartbeat_at = now
        self.progress: dict[ReplicaId, Progress] = {}
        self.reads: list[PendingRead] = []
        # Until then a leadership transfer waits for its target to catch up.
        self.transfer_deadline: Instant | None = None
        self.first_index = LogIndex(node.log.last_index + 1)
        self._append([Entry(self.first_index, node.term)])
        self._update_peers()
        self.begin_round(now)

    @property
    def is_established(self) -> bool:
        """Return whether an entry of its own term, and so every earlier entry, is committed."""
        return self.node.commit_index >= self.first_index

    @property
    def accepts_commands(self) -> bool:
        """Return whether commands may be appended.

        They carry the consensus time, so the state machine must have applied all earlier commands.
        """
        return self.node.delivered_index >= self.first_index and self.transfer_deadline is None

    def has_lease(self, now: Instant) -> bool:
        """Return whether no other replica can be leader at `now`."""
        return self.lease.is_valid(self.node.configuration, now)

    def next_deadline(self) -> Instant:
        """Return the time at which the next `tick` is due."""
        transfer_deadline = (
            Instant(math.inf) if self.transfer_deadline is None else self.transfer_deadline
        )
        return min(self.heartbeat_at, transfer_deadline)

    def tick(self, now: Instant) -> bool:
        """Send heartbeats that are due; return whether the replica remains leader."""
        node = self.node
        contact = max(self.elected_at, self.lease.quorum_contact(node.configuration, now))
        if now - contact > node.timing.quorum_lost_s:
            return False
        if self.transfer_deadline is not None and now >= self.transfer_deadline:
            return False
        if now >= self.heartbeat_at:
            self.begin_round(now)
        return True

    def begin_round(self, now: Instant) -> None:
        """Send a heartbeat to every peer."""
        self.heartbeat_at = Instant(now + self.node.timing.heartbeat_s)
        self.lease.begin_round(now)
        for peer in self.progress:
            self._replicate(peer, now, heartbeat=True)
        self._complete_reads(now)

    def propose(self, commands: Sequence[bytes], now: Instant) -> LogIndex:
        """Append commands in one write; return the index of the first.

        Raises:
          NotLeaderError: the leader is not established, or transfers its leadership.
        """
        if not self.accepts_commands:
            raise NotLeaderError(f"{self.node.replica} does not accept commands at present")
        first = LogIndex(self.node.log.last_index + 1)
        term = self.node.term
        self._append(
            [Entry(LogIndex(first + i), term, command) for i, command in enumerate(commands)]
        )
        self._replicate_all(now)
        return first

    def read(self, read: ReadId, now: Instant) -> None:
        """Begin a linearizable read."""
        index = self.node.commit_index if self.is_established else None
        if index is not None and self.has_lease(now):
            self.node.output.reads.append(ReadOutcome(read, index))
            return
        self.reads.append(PendingRead(read, self.lease.round + 1, index))
        self.begin_round(now)

    def on_append_reply(self, peer: ReplicaId, message: AppendReply, now: Instant) -> None:
        """Update the progress of a peer from its reply."""
        progress = self.progress.get(peer)
        if progress is None:
            return
        self.lease.record_answer(peer, message.round)
        if message.accepted:
            self._on_accepted(progress, message.match_index)
            self.advance_commit(now)
            self._replicate(peer, now)
        elif progress.record_rejected(message.previous_index, message.match_index):
            self._replicate(peer, now)
        self._complete_reads(now)

    def _on_accepted(self, progress: Progress, match_index: LogIndex) -> None:
        transfer = progress.transfer
        if transfer is None:
            progress.record_accepted(match_index)
        elif match_index >= transfer.snapshot.index:
            progress.end_transfer(match_index)

    def on_snapshot_reply(self, peer: ReplicaId, message: SnapshotReply, now: Instant) -> None:
        """Send the next chunk, or resume with log entries."""
        progress = self.progress.get(peer)
        if progress is None:
            return
        self.lease.record_answer(peer, message.round)
        transfer = progress.transfer
        if transfer is not None and transfer.snapshot.index == message.index:
            if message.installed:
                progress.end_transfer(message.index)
                self.advance_commit(now)
                self._replicate(peer, now)
            elif transfer.acknowledge(message.offset):
                self._send_chunk(peer, transfer, now)
        self._complete_reads(now)

    def advance_commit(self, now: Instant) -> None:
        """Commit the entries that a quorum has synced, if the last one is of the leader's term."""
        node = self.node
        index: LogIndex = node.configuration.quorum_value(self._synced_index)
        if index > node.commit_index and self.is_committable(index):
            node.commit(index)
            self._complete_reads(now)
            for peer, progress in self.progress.items():
                # A peer with messages in flight gets the commit index with the next one.
                if not progress.in_flight:
                    self._replicate(peer, now, heartbeat=True)

    def is_committable(self, index: LogIndex) -> bool:
        """Return whether the entry may be committed by counting replicas.

        An entry of an earlier term may be on a quorum and still be replaced by a later leader.
        """
        return self.node.log.term_at(index) == self.node.term

    def _synced_index(self, voter: ReplicaId) -> LogIndex:
        if voter == self.node.replica:
            return self.node.synced_index
        progress = self.progress.get(voter)
        return LogIndex(0) if progress is None else progress.match_index

    @property
    def is_removed(self) -> bool:
        """Return whether a committed configuration no longer lists this leader as a voter."""
        node = self.node
        return not node.is_voter and node.log.configured_at <= node.commit_index

    @property
    def may_change(self) -> bool:
        """Return whether a membership change may begin.

        Two concurrent changes could lead to two quorums without a common voter. So could a change
        by a leader that does not know yet whether its predecessor's change is committed.
        """
        is_committed = self.node.log.configured_at <= self.node.commit_index
        return self.is_established and is_committed and self.transfer_deadline is None

    def add_learner(self, member: Member, now: Instant) -> LogIndex:
        """Add a member that receives the log but does not vote."""
        return self._change(self.node.configuration.with_learner(member), now)

    def promote(self, replica: ReplicaId, now: Instant) -> LogIndex:
        """Make a learner that has caught up a voter."""
        configuration = self.node.configuration.with_promoted(replica)
        if not self.is_caught_up(replica, now):
            raise ChangeRefusedError(f"{replica} has not caught up")
        return self._change(configuration, now)

    def remove(self, replica: ReplicaId, now: Instant) -> LogIndex:
        """Remove a member."""
        return self._change(self.node.configuration.without(replica), now)

    def is_caught_up(self, replica: ReplicaId, now: Instant) -> bool:
        """Return whether a member has nearly the whole log and answered recently."""
        progress = self.progress.get(replica)
        if progress is None:
            return False
        node = self.node
        is_close = progress.match_index + CATCH_UP_ENTRIES >= node.log.last_index
        return (
            is_close
            and self._has_recent_contact(replica, now)
            and progress.match_index >= self.first_index
        )

    def _has_recent_contact(self, replica: ReplicaId, now: Instant) -> bool:
        return now - self.lease.contact(replica) < self.node.timing.lease_s

    def has_answered(self, replica: ReplicaId) -> bool:
        """Return whether a member has answered this leader."""
        return self.lease.contact(replica) >= self.elected_at

    def is_address_in_use(self, joining: Member, now: Instant) -> bool:
        """Return whether another member has the address of `joining` and answered recently."""
        return any(
            member.address == joining.address
            and member.replica != joining.replica
            and (
                member.replica == self.node.replica or self._has_recent_contact(member.replica, now)
            )
            for member in self.node.configuration.members
        )

    def is_lost(self, replica: ReplicaId, now: Instant) -> bool:
        """Return whether a member has been unresponsive for so long that it may be replaced."""
        contact = max(self.elected_at, self.lease.contact(replica))
        return replica != self.node.replica and now - contact > self.node.timing.replace_after_s

    def health(self, now: Instant) -> GroupHealth:
        """Return which members answer."""
        node = self.node
        unresponsive = tuple(
            member.replica
            for member in node.configuration.members
            if member.replica != node.replica
            and now - self.lease.contact(member.replica) > node.timing.quorum_lost_s
        )
        behind = tuple(
            learner.replica
            for learner in node.configuration.learners
            if learner.replica not in unresponsive and not self.is_caught_up(learner.replica, now)
        )
        return GroupHealth(node.configuration, unresponsive, behind)

    def _change(self, configuration: Configuration, now: Instant) -> LogIndex:
        node = self.node
        if not self.may_change:
            raise ChangeRefusedError("the leader is not established, or a change is in progress")
        answering = [
            voter
            for voter in configuration.voter_ids
            if voter == node.replica or self._has_recent_contact(voter, now)
        ]
        if not configuration.is_quorum(answering):
            # The change could not be committed, and it would block every later change.
            raise ChangeRefusedError(f"only {answering} of the new voters answer")
        index = LogIndex(node.log.last_index + 1)
        self._append([Entry(index, node.term, configuration=configuration)])
        self._update_peers()
        self._replicate_all(now)
        return index

    def begin_transfer(self, now: Instant) -> None:
        """Begin to transfer the leadership to the first voter that has the whole log."""
        if self.transfer_deadline is None:
            self.transfer_deadline = Instant(now + self.node.timing.election_min_s)

    def transfer_target(self) -> ReplicaId | None:
        """Return a voter that has the whole log, if a transfer is in progress."""
        if self.transfer_deadline is None:
            return None
        for peer, progress in self.progress.items():
            has_whole_log = progress.match_index == self.node.log.last_index
            if has_whole_log and self.node.configuration.is_voter(peer):
                return peer
        return None

    def send_timeout_now(self, target: ReplicaId) -> None:
        """Request that a voter start an election at once. The caller steps down in the same step.

        Voters ignore the lease in a transfer, so the leader must not rely on it any more.
        """
        self.node.send(target, TimeoutNow(self.node.term))

    def fail_reads(self) -> None:
        """Fail every pending read."""
        for pending in self.reads:
            self.node.output.reads.append(ReadOutcome(pending.read, None))
        self.reads.clear()

    def _complete_reads(self, now: Instant) -> None:
        if not self.reads or not self.is_established:
            return
        node = self.node
        confirmed_round = self.lease.quorum_round(node.configuration)
        has_lease = self.has_lease(now)
        unconfirmed: list[PendingRead] = []
        for pending in self.reads:
            if pending.index is None:
                pending.index = node.commit_index
            if has_lease or confirmed_round >= pending.round:
                node.output.reads.append(ReadOutcome(pending.read, pending.index))
            else:
                unconfirmed.append(pending)
        self.reads = unconfirmed

    def _append(self, entries: list[Entry]) -> None:
        self.node.append(tuple(entries))

    def _update_peers(self) -> None:
        next_index = LogIndex(self.node.log.last_index + 1)
        self.progress = {
            member.replica: self.progress.get(member.replica) or Progress(next_index)
            for member in self.node.configuration.members
            if member.replica != self.node.replica
        }

    def _replicate_all(self, now: Instant) -> None:
        for peer in self.progress:
            self._replicate(peer, now)

    def _replicate(self, peer: ReplicaId, now: Instant, heartbeat: bool = False) -> None:
        node = self.node
        progress = self.progress[peer]
        if progress.state is ProgressState.SNAPSHOT:
            self._replicate_snapshot(peer, progress, now, heartbeat)
            return
        if progress.next_index <= node.log.base_index:
            self._begin_snapshot(peer, progress, now)
            return
        while progress.can_send_entries() and progress.next_index <= node.log.last_index:
            first = progress.next_index
            entries = node.log.slice(first, self.limits.message_bytes)
            self._send_entries(peer, LogIndex(first - 1), entries)
            progress.record_sent(entries[-1].index)
            heartbeat = False
        if heartbeat:
            self._send_entries(peer, LogIndex(progress.next_index - 1), ())

    def _send_entries(
        self, peer: ReplicaId, previous_index: LogIndex, entries: tuple[Entry, ...]
    ) -> None:
        node = self.node
        previous_term = node.log.term_at(previous_index)
        assert previous_term is not None, "compacted entries are sent as a snapshot"
        message = AppendEntries(
            node.term, previous_index, previous_term, entries, node.commit_index, self.lease.round
        )
        node.send(peer, message)

    def _replicate_snapshot(
        self, peer: ReplicaId, progress: Progress, now: Instant, heartbeat: bool
    ) -> None:
        transfer = progress.transfer
        assert transfer is not None
        if now - transfer.sent_at >= self.node.timing.resend_s:
            if self.node.snapshot != transfer.snapshot:
                # The driver may have deleted the previous snapshot.
                self._begin_snapshot(peer, progress, now)
            else:
                self._send_chunk(peer, transfer, now)
        elif heartbeat:
            message = AppendEntries(
                self.node.term, LogIndex(0), Term(0), (), LogIndex(0), self.lease.round
            )
            self.node.send(peer, message)

    def _begin_snapshot(self, peer: ReplicaId, progress: Progress, now: Instant) -> None:
        assert self.node.snapshot is not None, "the log is compacted only after a snapshot"
        transfer = SnapshotTransfer(self.node.snapshot, now)
        progress.begin_transfer(transfer)
        self._send_chunk(peer, transfer, now)

    def _send_chunk(self, peer: ReplicaId, transfer: SnapshotTransfer, now: Instant) -> None:
        transfer.sent_at = now
        message = InstallSnapshot(
            self.node.term, transfer.snapshot, transfer.offset, b"", self.lease.round
        )
        length = transfer.next_length(self.limits.chunk_bytes)
        self.node.send_chunk(ChunkToSend(peer, message, length))
