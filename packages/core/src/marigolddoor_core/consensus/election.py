"""Elections: who may vote for whom, and what a candidate counts."""

from marigolddoor_core.consensus.messages import RequestVote, VoteReply
from marigolddoor_core.consensus.node import Node
from marigolddoor_core.consensus.roles import Role
from marigolddoor_core.ids import ReplicaId, Term
from marigolddoor_core.instants import Instant

__all__ = ["Election"]


class Election:
    """The vote of a replica, and its own candidature."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.granted: set[ReplicaId] = set()

    def begin_pre_vote(self, now: Instant) -> bool:
        """Ask whether a candidature would succeed; return whether it already has a quorum.

        Without this question a replica that was cut off would return with a higher term and
        depose a leader that works.
        """
        node = self.node
        node.role = Role.PRE_CANDIDATE
        node.leader = None
        self._ask(Term(node.term + 1), pre_vote=True, transfer=False, now=now)
        return self.is_won()

    def begin_vote(self, now: Instant, transfer: bool) -> bool:
        """Stand for the next term; return whether the own vote is a quorum."""
        node = self.node
        node.role = Role.CANDIDATE
        node.leader = None
        node.term = Term(node.term + 1)
        node.vote = node.replica
        node.save_vote()
        self._ask(node.term, pre_vote=False, transfer=transfer, now=now)
        return self.is_won()

    def _ask(self, term: Term, pre_vote: bool, transfer: bool, now: Instant) -> None:
        node = self.node
        node.restart_election_timer(now)
        self.granted = {node.replica}
        request = RequestVote(term, node.log.last_index, node.log.last_term, pre_vote, transfer)
        for voter in node.configuration.voter_ids:
            if voter != node.replica:
                node.send(voter, request)

    def is_won(self) -> bool:
        """Return whether a quorum has granted its votes."""
        return self.node.configuration.is_quorum(self.granted)

    def on_reply(self, voter: ReplicaId, message: VoteReply) -> bool:
        """Count a vote; return whether it decides the election."""
        node = self.node
        asked = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        term = node.term + 1 if message.pre_vote else node.term
        if node.role is not asked or message.term != term or not message.granted:
            return False
        self.granted.add(voter)
        return self.is_won()

    def on_request(self, candidate: ReplicaId, message: RequestVote, now: Instant) -> None:
        """Answer a request for a vote in a term that the replica has reached."""
        node = self.node
        granted = message.term >= node.term and self.is_log_current(message)
        if message.pre_vote:
            term = message.term if granted else node.term
            node.send(candidate, VoteReply(term, True, granted and message.term > node.term))
            return
        granted = granted and self.is_free(candidate)
        if granted:
            if node.vote is None:
                node.vote = candidate
                node.save_vote()
            node.restart_election_timer(now)
        node.send(candidate, VoteReply(node.term, False, granted))

    def is_free(self, candidate: ReplicaId) -> bool:
        """Return whether the vote of this term is not given to another candidate."""
        return self.node.vote in (None, candidate)

    def is_log_current(self, message: RequestVote) -> bool:
        """Return whether the candidate's log contains everything that this one may have synced."""
        log = self.node.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)

    def is_bound(self, message: RequestVote, now: Instant) -> bool:
        """Return whether a leader may still hold a lease that this replica took part in.

        A transfer is exempt: its leader gave up the lease before.
        """
        node = self.node
        return not message.transfer and now < node.leader_contact + node.timing.election_min_s
