"""A replica of the consensus group, without input or output.

The driver passes in messages, proposals, the time and completed writes, and carries out the writes,
messages and committed entries of the output. Every call may add to the output, so the driver calls
`take_output` after each batch of calls.
"""

import math
import random
from collections.abc import Sequence

from marigolddoor_core.consensus.configuration import Configuration, Member
from marigolddoor_core.consensus.election import Election
from marigolddoor_core.consensus.entries import SnapshotMeta
from marigolddoor_core.consensus.errors import ChangeRefusedError, NotLeaderError
from marigolddoor_core.consensus.follower import Follower
from marigolddoor_core.consensus.group_health import GroupHealth
from marigolddoor_core.consensus.leader import Leader
from marigolddoor_core.consensus.limits import Limits
from marigolddoor_core.consensus.membership_plan import ChangeKind, PlannedChange, next_change
from marigolddoor_core.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    Message,
    RequestVote,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from marigolddoor_core.consensus.node import Node
from marigolddoor_core.consensus.outputs import (
    Output,
    ReadId,
    ReadOutcome,
    RecoveredState,
    WriteNumber,
)
from marigolddoor_core.consensus.roles import Role
from marigolddoor_core.consensus.timing import Timing
from marigolddoor_core.ids import LogIndex, ReplicaId, Term
from marigolddoor_core.instants import Instant

__all__ = ["Replica"]


class Replica:
    """One member of the group.

    `predecessor_ended_at` is a time by which the process that ran this replica before had certainly
    ended, on the clock of `now`. With None it may have run until `now`.
    """

    def __init__(
        self,
        replica: ReplicaId,
        recovered: RecoveredState,
        rng: random.Random,
        now: Instant,
        timing: Timing | None = None,
        limits: Limits | None = None,
        predecessor_ended_at: Instant | None = None,
    ) -> None:
        self.node = Node(replica, recovered, timing or Timing(), rng, now, predecessor_ended_at)
        self.limits = limits or Limits()
        self.follower = Follower(self.node)
        self.election = Election(self.node)
        self.leader_state: Leader | None = None
        if self.node.configuration.voter_ids == (replica,):
            # No other voter can be leader or hold a lease, so the election starts at once.
            self._start_election(now, transfer=False)

    @property
    def role(self) -> Role:
        """Return the current role."""
        return self.node.role

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self.node.term

    @property
    def leader(self) -> ReplicaId | None:
        """Return the leader of the current term, or None if it is unknown."""
        return self.node.leader

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log."""
        return self.node.configuration

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads its term; a later term may have another leader.

        Only `has_lease` excludes that.
        """
        return self.leader_state is not None

    @property
    def is_voter(self) -> bool:
        """Return whether the latest configuration lists this replica as a voter."""
        return self.node.is_voter

    @property
    def snapshot(self) -> SnapshotMeta | None:
        """Return the latest snapshot of this replica."""
        return self.node.snapshot

    @property
    def leader_contact(self) -> Instant:
        """Return the time of the last contact with a leader, or of the start."""
        return self.node.leader_contact

    @property
    def accepts_commands(self) -> bool:
        """Return whether `propose` accepts commands."""
        return self.leader_state is not None and self.leader_state.accepts_commands

    def has_lease(self, now: Instant) -> bool:
        """Return whether this replica is leader at `now` and no other replica can be."""
        return self.leader_state is not None and self.leader_state.has_lease(now)

    def next_deadline(self) -> Instant:
        """Return the time at which `tick` is due, unless an earlier event changes it."""
        if self.role is Role.HALTED:
            return Instant(math.inf)
        if self.leader_state is not None:
            return self.leader_state.next_deadline()
        return self.node.election_at if self.node.may_campaign else Instant(math.inf)

    def tick(self, now: Instant) -> None:
        """Handle the timers that have expired at `now`."""
        if self.role is Role.HALTED:
            return
        if self.leader_state is not None:
            if not self.leader_state.tick(now):
                self._step_down(now)
        elif now >= self.node.election_at and self.node.may_campaign:
            self._start_pre_vote(now)

    def take_output(self) -> Output:
        """Return and clear the pending output."""
        output, self.node.output = self.node.output, Output()
        return output

    def propose(self, commands: Sequence[bytes], now: Instant) -> LogIndex:
        """Append commands in one write; return the index of the first.

        Raises:
          NotLeaderError: nothing was appended.
        """
        return self._require_leader().propose(commands, now)

    def read(self, read: ReadId, now: Instant) -> None:
        """Begin a linearizable read; its outcome is part of a later output."""
        if self.leader_state is None:
            self.node.output.reads.append(ReadOutcome(read, None))
        else:
            self.leader_state.read(read, now)

    def add_learner(self, member: Member, now: Instant) -> LogIndex:
        """Add a member as a learner.

        Raises:
          NotLeaderError: this replica is not the leader.
          ChangeRefusedError: another change is in progress, or it is already a member.
        """
        return self._require_leader().add_learner(member, now)

    def promote(self, replica: ReplicaId, now: Instant) -> LogIndex:
        """Make a learner a voter.

        Raises:
          NotLeaderError: this replica is not the leader.
          ChangeRefusedError: another change is in progress, or the learner has not caught up.
        """
        return self._require_leader().promote(replica, now)

    def remove(self, replica: ReplicaId, now: Instant) -> LogIndex:
        """Remove a member.

        Raises:
          NotLeaderError: this replica is not the leader.
          ChangeRefusedError: another change is in progress, or it is the last voter.
        """
        return self._require_leader().remove(replica, now)

    def health(self, now: Instant) -> GroupHealth | None:
        """Return which members answer, if this replica is the leader."""
        return None if self.leader_state is None else self.leader_state.health(now)

    def may_join(self, member: Member, now: Instant) -> bool:
        """Return whether this replica is leader and `member` may ask it to be added.

        A process has one replica at a time. If another replica at its address still answers, the
        request is from a former incarnation and was held up on its way.
        """
        leader_state = self.leader_state
        return leader_state is not None and not leader_state.is_address_in_use(member, now)

    def planned_change(
        self, joining: tuple[Member, ...], voters: int, now: Instant
    ) -> PlannedChange | None:
        """Return the membership change that is due, if this replica is leader and may make one."""
        leader_state = self.leader_state
        if leader_state is None or not leader_state.may_change:
            return None
        return next_change(
            self.configuration,
            joining,
            voters,
            self.node.replica,
            lambda replica: leader_state.is_caught_up(replica, now),
            lambda replica: leader_state.is_lost(replica, now),
            leader_state.has_answered,
        )

    def change(self, planned: PlannedChange, now: Instant) -> None:
        """Carry out a planned change.

        Raises:
          NotLeaderError: this replica is not the leader.
          ChangeRefusedError: the change is not allowed at present.
        """
        replica = planned.member.replica
        if planned.kind is ChangeKind.ADD_LEARNER:
            self.add_learner(planned.member, now)
        elif planned.kind is ChangeKind.PROMOTE:
            self.promote(replica, now)
        else:
            self.remove(replica, now)

    def transfer(self, now: Instant) -> None:
        """Transfer the leadership before a planned stop, if there is another voter."""
        if self.leader_state is not None and len(self.configuration.voters) > 1:
            self.leader_state.begin_transfer(now)
            self._finish_transfer(now)

    def snapshot_taken(self, snapshot: SnapshotMeta, keep_bytes: int) -> None:
        """Compact the log up to a snapshot that the driver has synced.

        Up to `keep_bytes` of entries are kept, so that a peer that lags slightly behind needs no
        snapshot.
        """
        self.node.compact(snapshot, keep_bytes)

    def configuration_at(self, index: LogIndex) -> Configuration:
        """Return the configuration after the delivered entry at `index`."""
        return self.node.log.configuration_at(index)

    def term_at(self, index: LogIndex) -> Term:
        """Return the term of a delivered entry that is not compacted."""
        term = self.node.log.term_at(index)
        if term is None:
            raise ChangeRefusedError(f"the entry at {index} is compacted")
        return term

    def write_completed(self, number: WriteNumber, now: Instant) -> None:
        """Record that every write up to `number` is synced."""
        if self.role is Role.HALTED:
            return
        self.node.write_completed(number)
        if self.leader_state is not None:
            self.leader_state.advance_commit(now)
            self._after_commit(now)

    def write_failed(self) -> None:
        """Halt: after a failed write, the content of the disk is unknown.

        The replica must neither vote nor acknowledge on the strength of it.
        """
        if self.leader_state is not None:
            self.leader_state.fail_reads()
            self.leader_state = None
        self.node.role = Role.HALTED
        self.node.leader = None
        self.node.awaiting_sync.clear()

    def receive(self, sender: ReplicaId, message: Message, now: Instant) -> None:
        """Handle a message from another replica."""
        if self.role is Role.HALTED:
            return
        if isinstance(message, RequestVote):
            self._on_vote_request(sender, message, now)
            return
        # A granted pre-vote has the term of a possible election, which has not begun yet.
        is_granted_pre_vote = (
            isinstance(message, VoteReply) and message.pre_vote and message.granted
        )
        if message.term > self.term and not is_granted_pre_vote:
            self._adopt_term(message.term, now)
        if isinstance(message, AppendEntries):
            self.follower.on_append(sender, message, now)
        elif isinstance(message, InstallSnapshot):
            self.follower.on_chunk(sender, message, now)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(sender, message, now)
        elif isinstance(message, TimeoutNow):
            self._on_timeout_now(message, now)
        elif self.leader_state is not None and message.term == self.term:
            if isinstance(message, AppendReply):
                self.leader_state.on_append_reply(sender, message, now)
            elif isinstance(message, SnapshotReply):
                self.leader_state.on_snapshot_reply(sender, message, now)
            self._after_commit(now)

    def _on_vote_request(self, sender: ReplicaId, message: RequestVote, now: Instant) -> None:
        if self._is_bound_by_lease(message, now):
            return
        if not message.pre_vote and message.term > self.term:
            self._adopt_term(message.term, now)
        self.election.on_request(sender, message, now)

    def _is_bound_by_lease(self, message: RequestVote, now: Instant) -> bool:
        if self.leader_state is not None:
            return not message.transfer and self.leader_state.has_lease(now)
        return self.election.is_bound_by_lease(message, now)

    def _on_vote_reply(self, sender: ReplicaId, message: VoteReply, now: Instant) -> None:
        if not self.election.on_reply(sender, message, now):
            return
        if message.pre_vote:
            self._start_election(now, transfer=False)
        else:
            self._become_leader(now)

    def _on_timeout_now(self, message: TimeoutNow, now: Instant) -> None:
        is_current = message.term == self.term and self.role is not Role.LEADER
        if is_current and self.node.is_voter:
            self._start_election(now, transfer=True)

    def _start_pre_vote(self, now: Instant) -> None:
        if self.election.begin_pre_vote(now):
            self._start_election(now, transfer=False)

    def _start_election(self, now: Instant, transfer: bool) -> None:
        if self.election.begin_election(now, transfer):
            self._become_leader(now)

    def _become_leader(self, now: Instant) -> None:
        self.node.role = Role.LEADER
        self.node.leader = self.node.replica
        self.leader_state = Leader(self.node, now, self.limits)

    def _adopt_term(self, term: Term, now: Instant) -> None:
        if self.leader_state is not None:
            self._step_down(now)
        self.node.become_follower(term, None)

    def _step_down(self, now: Instant) -> None:
        if self.leader_state is not None:
            self.leader_state.fail_reads()
            self.leader_state = None
        self.node.become_follower(self.term, None)
        self.node.restart_election_timer(now)

    def _after_commit(self, now: Instant) -> None:
        if self.leader_state is not None and self.leader_state.is_removed:
            self._step_down(now)
        self._finish_transfer(now)

    def _finish_transfer(self, now: Instant) -> None:
        if self.leader_state is None:
            return
        target = self.leader_state.transfer_target()
        if target is not None:
            self.leader_state.send_timeout_now(target)
            self._step_down(now)

    def _require_leader(self) -> Leader:
        if self.leader_state is None:
            raise NotLeaderError(f"{self.node.replica} is not the leader")
        return self.leader_state
