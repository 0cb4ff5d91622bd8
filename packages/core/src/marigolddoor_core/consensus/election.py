"""Leader election: granting votes, and counting them as a candidate."""

from marigolddoor_core.consensus.messages import RequestVote, VoteReply
from marigolddoor_core.consensus.node import Node
from marigolddoor_core.consensus.roles import Role
from marigolddoor_core.ids import ReplicaId, Term
from marigolddoor_core.instants import Instant

__all__ = ["Election"]


class Election:
    """Grants the vote of a replica, and counts votes while the replica is a candidate."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.granted: set[ReplicaId] = set()
        self.refused: set[ReplicaId] = set()

    def begin_pre_vote(self, now: Instant) -> bool:
        """Begin a pre-vote; return whether the vote for itself is a quorum.

        Without a pre-vote, a replica would return from a network partition with a higher term and
        depose a working leader.
        """
        node = self.node
        node.role = Role.PRE_CANDIDATE
        node.leader = None
        node.retry_pre_vote(now)
        self._request_votes(Term(node.term + 1), pre_vote=True, transfer=False)
        return self.is_won()

    def begin_election(self, now: Instant, transfer: bool) -> bool:
        """Start an election in the next term; return whether the vote for itself is a quorum."""
        node = self.node
        node.role = Role.CANDIDATE
        node.leader = None
        node.term = Term(node.term + 1)
        node.vote = node.replica
        node.save_vote()
        node.retry_election(now)
        self._request_votes(node.term, pre_vote=False, transfer=transfer)
        return self.is_won()

    def _request_votes(self, term: Term, pre_vote: bool, transfer: bool) -> None:
        node = self.node
        self.granted = {node.replica}
        self.refused = set()
        request = RequestVote(term, node.log.last_index, node.log.last_term, pre_vote, transfer)
        for voter in node.configuration.voter_ids:
            if voter != node.replica:
                node.send(voter, request)

    def is_won(self) -> bool:
        """Return whether a quorum has granted its vote."""
        return self.node.configuration.is_quorum(self.granted)

    def on_reply(self, voter: ReplicaId, message: VoteReply, now: Instant) -> bool:
        """Count a vote; return whether the election is won."""
        node = self.node
        expected_role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        term = node.term + 1 if message.pre_vote else node.term
        if node.role is not expected_role or message.term != term:
            return False
        if not message.granted:
            self._count_refusal(voter, message, now)
            return False
        self.granted.add(voter)
        return self.is_won()

    def _count_refusal(self, voter: ReplicaId, message: VoteReply, now: Instant) -> None:
        """Count a refused vote. Once the election is lost, no time-out has to be awaited."""
        was_lost = self.is_lost()
        if not message.pre_vote:
            self.refused.add(voter)
        if self.is_lost() and not was_lost:
            self.node.advance_pre_vote(now)

    def is_lost(self) -> bool:
        """Return whether the voters that have not refused are no quorum."""
        configuration = self.node.configuration
        return not configuration.is_quorum(
            [voter for voter in configuration.voter_ids if voter not in self.refused]
        )

    def on_request(self, candidate: ReplicaId, message: RequestVote, now: Instant) -> None:
        """Answer a vote request. Unless it is a pre-vote, a later term was adopted before."""
        node = self.node
        granted = message.term >= node.term and self.is_log_current(message)
        if message.pre_vote:
            term = message.term if granted else node.term
            granted = granted and message.term > node.term
            node.send(candidate, VoteReply(term, True, granted))
            if granted:
                node.defer_pre_vote(candidate, now)
            elif not self.is_log_current(message):
                node.advance_pre_vote(now)
            return
        granted = granted and self.can_vote_for(candidate)
        if granted:
            if node.vote is None:
                node.vote = candidate
                node.save_vote()
            node.restart_election_timer(now)
        node.send(candidate, VoteReply(node.term, False, granted))

    def can_vote_for(self, candidate: ReplicaId) -> bool:
        """Return whether the vote of this term has not been given to another candidate."""
        return self.node.vote in (None, candidate)

    def is_log_current(self, message: RequestVote) -> bool:
        """Return whether the candidate's log is at least as up to date as this replica's."""
        log = self.node.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)

    def is_bound_by_lease(self, message: RequestVote, now: Instant) -> bool:
        """Return whether a leader may still hold a lease that this replica has granted.

        A leadership transfer is exempt, because its leader has already released the lease.
        """
        node = self.node
        return not message.transfer and now < node.lease_granted_at + node.timing.election_min_s
