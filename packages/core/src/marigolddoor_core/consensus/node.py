"""State that the roles of a replica share, and the order of its writes and messages."""

import random
from collections import deque

from marigolddoor_core.consensus.campaign_timing import Standing
from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.consensus.entries import Entry, SnapshotMeta
from marigolddoor_core.consensus.errors import LogDivergedError
from marigolddoor_core.consensus.log import Log
from marigolddoor_core.consensus.messages import Message
from marigolddoor_core.consensus.outputs import (
    ChunkToSend,
    CompactLog,
    Outgoing,
    Output,
    RecoveredState,
    SaveEntries,
    SaveVote,
    Write,
    WriteAction,
    WriteNumber,
)
from marigolddoor_core.consensus.roles import Role
from marigolddoor_core.consensus.timing import Timing
from marigolddoor_core.ids import LogIndex, ReplicaId, Term
from marigolddoor_core.instants import Instant

__all__ = ["Node"]


class Node:
    """Term, vote, log and commit index of one replica.

    `synced_index` is the last entry that is durable on its disk, `delivered_index` the last one
    that was passed to the state machine.
    """

    def __init__(
        self,
        replica: ReplicaId,
        recovered: RecoveredState,
        timing: Timing,
        rng: random.Random,
        now: Instant,
        predecessor_ended_at: Instant | None = None,
    ) -> None:
        self.replica = replica
        self.timing = timing
        self.rng = rng
        self.role = Role.FOLLOWER
        self.term = recovered.term
        self.vote = recovered.vote
        self.leader: ReplicaId | None = None
        self.snapshot = recovered.snapshot
        start = recovered.snapshot.index if recovered.snapshot is not None else LogIndex(0)
        self.log = Log(
            recovered.base_index,
            recovered.base_term,
            recovered.configuration,
            start,
            recovered.entries,
        )
        self.commit_index = start
        self.delivered_index = start
        self.synced_index = self.log.last_index
        self.leader_contact = now
        # The last time at which this replica may have answered a leader, and so granted a lease.
        # The process before this one may have done so until its end.
        self.lease_granted_at = now if predecessor_ended_at is None else predecessor_ended_at
        self.election_at = now
        # Whether a granted pre-vote has deferred the next pre-vote of this replica.
        self.has_deferred = False
        self.failed_pre_votes = 0
        self.output = Output()
        self.last_write = WriteNumber(0)
        self.last_vote_write = WriteNumber(0)
        self.completed_write = WriteNumber(0)
        self.unsynced: deque[tuple[WriteNumber, LogIndex]] = deque()
        self.awaiting_sync: deque[tuple[WriteNumber, Outgoing | ChunkToSend]] = deque()
        # The write that replaces the log by a received snapshot.
        self.installing: tuple[WriteNumber, SnapshotMeta] | None = None
        self.restart_election_timer(self.lease_granted_at)

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        return self.configuration.is_voter(self.replica)

    @property
    def may_campaign(self) -> bool:
        """Return whether this replica may start an election.

        Apart from voters, this holds for a leader that removed itself and does not know whether the
        change is committed. If the logs of the new voters are shorter, they refuse their votes to
        each other until it has brought them up to date. Its own vote does not count.
        """
        log = self.log
        if self.is_voter or log.configured_at <= self.commit_index:
            return self.is_voter
        return log.configuration_at(LogIndex(log.configured_at - 1)).is_voter(self.replica)

    @property
    def standing(self) -> Standing:
        """Return the position of this replica among the voters that may follow the leader."""
        voters = [voter for voter in self.configuration.voter_ids if voter != self.leader]
        before = sum(voter < self.replica for voter in voters)
        return Standing(before, len(voters))

    def restart_election_timer(self, now: Instant) -> None:
        """Set the time of the next pre-vote, unless a leader makes contact before."""
        timing = self.timing
        wait_s = timing.campaign.contact_wait_s(timing.timeouts, self.standing, self.rng)
        self.election_at = Instant(now + wait_s)
        self.failed_pre_votes = 0
        self.has_deferred = False

    def retry_pre_vote(self, now: Instant) -> None:
        """Set the time of the next pre-vote in case the present one fails."""
        timing = self.timing
        wait_s = timing.campaign.pre_vote_retry_s(
            timing.timeouts, self.standing, self.failed_pre_votes, self.rng
        )
        self.failed_pre_votes += 1
        self.election_at = Instant(now + wait_s)
        self.has_deferred = False

    def retry_election(self, now: Instant) -> None:
        """Set the time of the next pre-vote in case the present election fails."""
        timing = self.timing
        wait_s = timing.campaign.election_retry_s(timing.timeouts, self.standing, self.rng)
        self.election_at = Instant(now + wait_s)
        self.has_deferred = False

    def defer_pre_vote(self, candidate: ReplicaId, now: Instant) -> None:
        """Defer the next pre-vote once, because `candidate` may soon be elected.

        Of two voters whose pre-votes cross, the one with the lower id continues. A second deferral
        could let a voter that reaches no quorum prevent the election of others.
        """
        deferral_s = self.timing.campaign.deferral_s(self.timing.timeouts)
        if self.has_deferred or deferral_s == 0:
            return
        if self.role is not Role.PRE_CANDIDATE or candidate < self.replica:
            if self.role is Role.PRE_CANDIDATE:
                self.role = Role.FOLLOWER
            self.has_deferred = True
            self.election_at = max(self.election_at, Instant(now + deferral_s))

    def advance_pre_vote(self, now: Instant) -> None:
        """Begin a pre-vote soon, because the present candidate can't win."""
        timing = self.timing
        wait_s = timing.campaign.stagger_s(timing.timeouts, self.standing)
        self.election_at = min(self.election_at, Instant(now + wait_s))

    def write(self, action: WriteAction) -> WriteNumber:
        """Request a write; return its number."""
        self.last_write = WriteNumber(self.last_write + 1)
        self.output.writes.append(Write(self.last_write, action))
        return self.last_write

    def save_vote(self) -> None:
        """Store the term and the vote. Later messages are sent only after this is synced."""
        self.last_vote_write = self.write(SaveVote(self.term, self.vote))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Replace the log from the index of the first entry on."""
        first = entries[0].index
        if first <= self.log.last_index:
            if first <= self.commit_index:
                raise LogDivergedError(f"the entry at {first} is committed and would be replaced")
            self.log.truncate(first)
            last_kept = LogIndex(first - 1)
            self.synced_index = min(self.synced_index, last_kept)
            self.unsynced = deque((number, min(last, last_kept)) for number, last in self.unsynced)
        self.log.extend(entries)
        self.unsynced.append((self.write(SaveEntries(entries)), self.log.last_index))

    def send(self, recipient: ReplicaId, message: Message) -> None:
        """Send a message once the term and vote that it is based on are synced."""
        self._send_after(self.last_vote_write, Outgoing(recipient, message))

    def send_chunk(self, chunk: ChunkToSend) -> None:
        """Send a chunk of the snapshot, under the same condition as `send`."""
        self._send_after(self.last_vote_write, chunk)

    def acknowledge(self, recipient: ReplicaId, message: Message) -> None:
        """Send a message once every write requested so far is synced."""
        self._send_after(self.last_write, Outgoing(recipient, message))

    def _send_after(self, number: WriteNumber, outgoing: Outgoing | ChunkToSend) -> None:
        if number > self.completed_write:
            self.awaiting_sync.append((number, outgoing))
        elif isinstance(outgoing, ChunkToSend):
            self.output.chunks.append(outgoing)
        else:
            self.output.messages.append(outgoing)

    def write_completed(self, number: WriteNumber) -> None:
        """Record that every write up to `number` is synced."""
        self.completed_write = number
        while self.unsynced and self.unsynced[0][0] <= number:
            self.synced_index = self.unsynced.popleft()[1]
        if self.installing is not None and self.installing[0] <= number:
            snapshot = self.installing[1]
            self.installing = None
            self.output.restore = snapshot
            self.output.committed.clear()
            self.delivered_index = snapshot.index
        awaiting_sync, self.awaiting_sync = self.awaiting_sync, deque()
        for barrier, outgoing in awaiting_sync:
            self._send_after(barrier, outgoing)
        self.deliver()

    def commit(self, index: LogIndex) -> None:
        """Advance the commit index."""
        if index > self.commit_index:
            self.commit_index = index
            self.deliver()

    def deliver(self) -> None:
        """Pass committed entries that are durable on this replica's disk to the state machine."""
        last = min(self.commit_index, self.synced_index)
        if self.installing is None and last > self.delivered_index:
            self.output.committed.extend(self.log.between(self.delivered_index, last))
            self.delivered_index = last

    def install(self, number: WriteNumber, snapshot: SnapshotMeta) -> None:
        """Replace the log by a snapshot that write `number` makes durable."""
        self.log.reset(snapshot)
        self.snapshot = snapshot
        self.commit_index = snapshot.index
        self.synced_index = snapshot.index
        self.unsynced.clear()
        self.installing = (number, snapshot)

    def compact(self, snapshot: SnapshotMeta, keep_bytes: int) -> None:
        """Compact the log up to `snapshot`, except the last `keep_bytes` of its entries."""
        if self.snapshot is not None and snapshot.index <= self.snapshot.index:
            return
        self.snapshot = snapshot
        index = self.log.index_before(snapshot.index, keep_bytes)
        if index > self.log.base_index:
            self.log.compact(index)
            self.write(CompactLog(index, self.log.base_term))

    def become_follower(self, term: Term, leader: ReplicaId | None) -> None:
        """Become a follower in `term`, at least the current one; `leader` is None if unknown."""
        self.role = Role.FOLLOWER
        self.leader = leader
        if term > self.term:
            self.term = term
            self.vote = None
            self.save_vote()
