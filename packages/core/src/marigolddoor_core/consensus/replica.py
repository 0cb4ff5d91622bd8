"""A replica of the consensus group, without input or output.

The driver passes in messages, proposals, the time and completed writes, and takes out writes,
messages and committed entries. Every call may add to the output, so the driver calls `take_output`
after each batch of calls.
"""

import math
import random
from collections.abc import Sequence

from marigolddoor_core.consensus.configuration import Configuration, Member
from marigolddoor_core.consensus.election import Election
from marigolddoor_core.consensus.entries import SnapshotMeta
from marigolddoor_core.consensus.errors import ChangeRefusedError, NotLeaderError
from marigolddoor_core.consensus.follower import Follower
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
    """One member of the group."""

    def __init__(
        self,
        replica: ReplicaId,
        recovered: RecoveredState,
        rng: random.Random,
        now: Instant,
        timing: Timing | None = None,
        limits: Limits | None = None,
    ) -> None:
        self.node = Node(replica, recovered, timing or Timing(), rng, now)
        self.limits = limits or Limits()
        self.follower = Follower(self.node)
        self.election = Election(self.node)
        self.leading: Leader | None = None
        if self.node.configuration.voter_ids == (replica,):
            # No other voter can lead or hold a lease, so there is nothing to wait for.
            self._stand(now, transfer=False)

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
        """Return the leader of the current term, as far as it is known."""
        return self.node.leader

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration in the log."""
        return self.node.configuration

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads its term. Only `has_lease` says that it still may."""
        return self.leading is not None

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
        """Return when a leader was last heard of, or when the replica started."""
        return self.node.leader_contact

    @property
    def accepts_commands(self) -> bool:
        """Return whether `propose` appends."""
        return self.leading is not None and self.leading.accepts_commands

    def has_lease(self, now: Instant) -> bool:
        """Return whether this replica leads at `now` and nobody else can."""
        return self.leading is not None and self.leading.has_lease(now)

    def next_deadline(self) -> Instant:
        """Return the time at which `tick` is due, if nothing else happens before."""
        if self.role is Role.HALTED:
            return Instant(math.inf)
        if self.leading is not None:
            return self.leading.next_deadline()
        return self.node.election_at if self.node.may_campaign else Instant(math.inf)

    def tick(self, now: Instant) -> None:
        """Do what is due at `now`."""
        if self.role is Role.HALTED:
            return
        if self.leading is not None:
            if not self.leading.tick(now):
                self._step_down(now)
        elif now >= self.node.election_at and self.node.may_campaign:
            self._campaign(now)

    def take_output(self) -> Output:
        """Return what became due, and forget it."""
        output, self.node.output = self.node.output, Output()
        return output

    def propose(self, commands: Sequence[bytes], now: Instant) -> LogIndex:
        """Append commands with one write; return the index of the first.

        Raises:
          NotLeaderError: nothing was appended.
        """
        return self._leader().propose(commands, now)

    def read(self, read: ReadId, now: Instant) -> None:
        """Begin a linearizable read; its outcome is part of a later output."""
        if self.leading is None:
            self.node.output.reads.append(ReadOutcome(read, None))
        else:
            self.leading.read(read, now)

    def add_learner(self, member: Member, now: Instant) -> LogIndex:
        """Add a member that does not vote yet.

        Raises:
          NotLeaderError: this replica does not lead.
          ChangeRefusedError: another change is under way, or the member is known.
        """
        return self._leader().add_learner(member, now)

    def promote(self, replica: ReplicaId, now: Instant) -> LogIndex:
        """Let a learner vote.

        Raises:
          NotLeaderError: this replica does not lead.
          ChangeRefusedError: another change is under way, or the learner has not caught up.
        """
        return self._leader().promote(replica, now)

    def remove(self, replica: ReplicaId, now: Instant) -> LogIndex:
        """Remove a member.

        Raises:
          NotLeaderError: this replica does not lead.
          ChangeRefusedError: another change is under way, or it is the last voter.
        """
        return self._leader().remove(replica, now)

    def planned_change(
        self, joining: tuple[Member, ...], voters: int, now: Instant
    ) -> PlannedChange | None:
        """Return the membership change that is due, if this replica leads and may make one."""
        leading = self.leading
        if leading is None or not leading.may_change:
            return None
        return next_change(
            self.configuration,
            joining,
            voters,
            lambda replica: leading.is_caught_up(replica, now),
            lambda replica: leading.is_lost(replica, now),
        )

    def change(self, planned: PlannedChange, now: Instant) -> None:
        """Carry out a planned change.

        Raises:
          NotLeaderError: this replica does not lead.
          ChangeRefusedError: the change is not allowed now.
        """
        replica = planned.member.replica
        if planned.kind is ChangeKind.ADD_LEARNER:
            self.add_learner(planned.member, now)
        elif planned.kind is ChangeKind.PROMOTE:
            self.promote(replica, now)
        else:
            self.remove(replica, now)

    def transfer(self, now: Instant) -> None:
        """Hand the leadership over before a planned stop, if another voter can take it."""
        if self.leading is not None and len(self.configuration.voters) > 1:
            self.leading.begin_transfer(now)
            self._finish_transfer(now)

    def snapshot_taken(self, snapshot: SnapshotMeta, keep_bytes: int) -> None:
        """Compact the log up to a snapshot that the driver has synced.

        Up to `keep_bytes` of entries stay, so that a peer that is a little behind needs no
        snapshot.
        """
        self.node.compact(snapshot, keep_bytes)

    def configuration_at(self, index: LogIndex) -> Configuration:
        """Return the configuration after the entry at `index`, which was delivered."""
        return self.node.log.configuration_at(index)

    def term_at(self, index: LogIndex) -> Term:
        """Return the term of a delivered entry that is not compacted."""
        term = self.node.log.term_at(index)
        if term is None:
            raise ChangeRefusedError(f"the entry at {index} is not kept")
        return term

    def write_completed(self, number: WriteNumber, now: Instant) -> None:
        """Record that every write up to `number` is synced."""
        if self.role is Role.HALTED:
            return
        self.node.write_completed(number)
        if self.leading is not None:
            self.leading.advance_commit(now)
            self._after_commit(now)

    def write_failed(self) -> None:
        """Stop voting and acknowledging: what is on the disk is no longer known."""
        if self.leading is not None:
            self.leading.fail_reads()
            self.leading = None
        self.node.role = Role.HALTED
        self.node.leader = None
        self.node.held.clear()

    def receive(self, sender: ReplicaId, message: Message, now: Instant) -> None:
        """Handle a message of another replica."""
        if self.role is Role.HALTED:
            return
        if isinstance(message, RequestVote):
            self._on_vote_request(sender, message, now)
            return
        # A granted pre-vote names the term that the receiver may stand for, not one that exists.
        is_offer = isinstance(message, VoteReply) and message.pre_vote and message.granted
        if message.term > self.term and not is_offer:
            self._follow_term(message.term, now)
        if isinstance(message, AppendEntries):
            self.follower.on_append(sender, message, now)
        elif isinstance(message, InstallSnapshot):
            self.follower.on_chunk(sender, message, now)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(sender, message, now)
        elif isinstance(message, TimeoutNow):
            self._on_timeout_now(message, now)
        elif self.leading is not None and message.term == self.term:
            if isinstance(message, AppendReply):
                self.leading.on_append_reply(sender, message, now)
            elif isinstance(message, SnapshotReply):
                self.leading.on_snapshot_reply(sender, message, now)
            self._after_commit(now)

    def _on_vote_request(self, sender: ReplicaId, message: RequestVote, now: Instant) -> None:
        if self._is_bound(message, now):
            return
        if not message.pre_vote and message.term > self.term:
            self._follow_term(message.term, now)
        self.election.on_request(sender, message, now)

    def _is_bound(self, message: RequestVote, now: Instant) -> bool:
        if self.leading is not None:
            return not message.transfer and self.leading.has_lease(now)
        return self.election.is_bound(message, now)

    def _on_vote_reply(self, sender: ReplicaId, message: VoteReply, now: Instant) -> None:
        if not self.election.on_reply(sender, message):
            return
        if message.pre_vote:
            self._stand(now, transfer=False)
        else:
            self._lead(now)

    def _on_timeout_now(self, message: TimeoutNow, now: Instant) -> None:
        is_current = message.term == self.term and self.role is not Role.LEADER
        if is_current and self.node.is_voter:
            self._stand(now, transfer=True)

    def _campaign(self, now: Instant) -> None:
        if self.election.begin_pre_vote(now):
            self._stand(now, transfer=False)

    def _stand(self, now: Instant, transfer: bool) -> None:
        if self.election.begin_vote(now, transfer):
            self._lead(now)

    def _lead(self, now: Instant) -> None:
        self.node.role = Role.LEADER
        self.node.leader = self.node.replica
        self.leading = Leader(self.node, now, self.limits)

    def _follow_term(self, term: Term, now: Instant) -> None:
        if self.leading is not None:
            self._step_down(now)
        self.node.become_follower(term, None)

    def _step_down(self, now: Instant) -> None:
        if self.leading is not None:
            self.leading.fail_reads()
            self.leading = None
        self.node.become_follower(self.term, None)
        self.node.restart_election_timer(now)

    def _after_commit(self, now: Instant) -> None:
        if self.leading is not None and self.leading.is_removed:
            self._step_down(now)
        self._finish_transfer(now)

    def _finish_transfer(self, now: Instant) -> None:
        if self.leading is None:
            return
        target = self.leading.transfer_target()
        if target is not None:
            self.leading.send_timeout_now(target)
            self._step_down(now)

    def _leader(self) -> Leader:
        if self.leading is None:
            raise NotLeaderError(f"{self.node.replica} does not lead")
        return self.leading
