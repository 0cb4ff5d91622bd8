"""Safety invariants of the consensus group, checked after every step of a simulation.

The checkers have access to all replicas and disks. Each keeps the state that it needs to check only
the replica that has just changed.
"""

from typing import TYPE_CHECKING

from marigolddoor_core.consensus import Entry, Role
from marigolddoor_core.consensus.messages import RequestVote, VoteReply
from marigolddoor_core.consensus.outputs import Outgoing
from marigolddoor_core.ids import LogIndex, ReplicaId, Term

if TYPE_CHECKING:
    from bench.faults.consensus import SimulatedNode, Simulation


class Violation(BaseException):  # noqa: N818 (an observation, not an error)
    """An invariant is violated.

    Not an `Exception`, since checks raise it in calls of the code under test, which contains
    unexpected errors.
    """

    def __init__(self, checker: str, detail: str) -> None:
        super().__init__(f"{checker}: {detail}")
        self.checker = checker


class Checkers:
    """The invariants of one simulation."""

    def __init__(self) -> None:
        self.leaders: dict[Term, ReplicaId] = {}
        self.votes: dict[tuple[ReplicaId, Term], ReplicaId] = {}
        self.appended: dict[tuple[LogIndex, Term], tuple[bytes, Term]] = {}
        self.delivered: dict[LogIndex, Entry] = {}
        # The term of the replica that delivered an entry first, which is the term of its leader.
        self.committed_in: dict[LogIndex, Term] = {}
        self.states: dict[LogIndex, int] = {}
        self.highest_delivered = LogIndex(0)
        self.highest_acknowledged = LogIndex(0)
        self.commits: dict[ReplicaId, LogIndex] = {}

    def after_step(self, simulation: "Simulation", node: "SimulatedNode") -> None:
        """Check the invariants of leaders and leases after a step of `node`."""
        replica = node.replica
        if replica.role is Role.LEADER:
            self._check_leader(simulation, node)
        leaders = [
            other
            for other in simulation.nodes.values()
            if other.is_up and other.replica.leader_state is not None
        ]
        if len(leaders) < 2:
            return
        leases = [
            other.id for other in leaders if other.replica.has_lease(simulation.local_time(other))
        ]
        if len(leases) > 1:
            raise Violation("one lease", f"{leases} hold a lease at {simulation.now:.4f}")

    def _check_leader(self, simulation: "Simulation", node: "SimulatedNode") -> None:
        replica = node.replica
        known = self.leaders.setdefault(replica.term, node.id)
        if known != node.id:
            raise Violation("one leader", f"{known} and {node.id} lead term {replica.term}")
        log = replica.node.log
        if node.led_term != replica.term:
            node.led_term = replica.term
            for index in range(log.base_index + 1, self.highest_delivered + 1):
                entry = self.delivered[LogIndex(index)]
                # Late votes may elect a leader for a term that has already ended.
                is_earlier = self.committed_in[entry.index] < replica.term
                if is_earlier and log.term_at(entry.index) != entry.term:
                    raise Violation("committed entries", f"leader {node.id} lacks entry {index}")
        commit = replica.node.commit_index
        if commit > self.commits.get(node.id, 0) and commit > node.commit_at_election:
            self.commits[node.id] = commit
            self._check_commit(simulation, node, commit)

    def _check_commit(
        self, simulation: "Simulation", node: "SimulatedNode", index: LogIndex
    ) -> None:
        term = node.replica.node.log.entry(index).term
        voters = node.replica.configuration.voter_ids
        synced = [
            voter
            for voter in voters
            if voter in simulation.disks and simulation.disks[voter].holds(index, term)
        ]
        if not node.replica.configuration.is_quorum(synced):
            raise Violation("synced quorum", f"{node.id} commits {index}, synced on {synced}")

    def check_leader_commit(self, node: "SimulatedNode") -> None:
        """Check that a leader first commits an entry of its own term."""
        replica = node.replica
        if replica.leader_state is None:
            return
        commit = replica.node.commit_index
        if commit > node.commit_at_election and commit < replica.leader_state.first_index:
            raise Violation(
                "own term", f"{node.id} commits {commit} before its first entry is committed"
            )

    def on_append(self, node: "SimulatedNode", entries: tuple[Entry, ...]) -> None:
        """Check that an index and a term identify an entry and all that precede it."""
        log = node.replica.node.log
        for entry in entries:
            before = log.term_at(LogIndex(entry.index - 1))
            if before is None:
                continue
            content = (entry.command, before)
            known = self.appended.setdefault((entry.index, entry.term), content)
            if known != content:
                raise Violation("log matching", f"two entries {entry.index} of {entry.term}")

    def on_deliver(self, node: "SimulatedNode", entry: Entry) -> None:
        """Check that every replica delivers the same committed entries."""
        known = self.delivered.setdefault(entry.index, entry)
        if (known.term, known.command) != (entry.term, entry.command):
            raise Violation("committed entries", f"{node.id} has a different entry {entry.index}")
        self.committed_in.setdefault(entry.index, node.replica.term)
        self.highest_delivered = max(self.highest_delivered, entry.index)

    def on_state(self, node: "SimulatedNode", index: LogIndex, state: int) -> None:
        """Check that states at the same index are equal, whether applied or restored."""
        if self.states.setdefault(index, state) != state:
            raise Violation("committed entries", f"the state of {node.id} at {index} differs")

    def on_message(self, node: "SimulatedNode", outgoing: Outgoing) -> None:
        """Check that a replica votes at most once in a term."""
        message = outgoing.message
        if isinstance(message, RequestVote) and not message.pre_vote:
            self._check_vote(node.id, message.term, node.id)
        if isinstance(message, VoteReply) and message.granted and not message.pre_vote:
            self._check_vote(node.id, message.term, outgoing.recipient)

    def _check_vote(self, voter: ReplicaId, term: Term, candidate: ReplicaId) -> None:
        known = self.votes.setdefault((voter, term), candidate)
        if known != candidate:
            raise Violation("one vote", f"{voter} votes for {known} and {candidate} in {term}")

    def on_acknowledge(
        self, simulation: "Simulation", node: "SimulatedNode", index: LogIndex
    ) -> None:
        """Record the highest acknowledged index, for the check of reads."""
        self.highest_acknowledged = max(self.highest_acknowledged, index)

    def on_read(self, node: "SimulatedNode", index: LogIndex, acknowledged: LogIndex) -> None:
        """Check that a read includes the commands that were acknowledged before it began."""
        if index < acknowledged:
            raise Violation(
                "stale read", f"{node.id} reads at {index}, {acknowledged} was acknowledged"
            )

    def tolerates_losses(self, simulation: "Simulation") -> bool:
        """Return whether the group may lose the disks that it has to tolerate the loss of.

        Whichever machines these are, the other voters must have a quorum, and every quorum of them
        must include one whose disk holds all that was acknowledged.
        """
        leaders = [
            node
            for node in simulation.nodes.values()
            if node.is_up and node.replica.role is Role.LEADER
        ]
        if not leaders:
            return False
        leader = max(leaders, key=lambda node: node.replica.term)
        log = leader.replica.node.log
        if log.configured_at > leader.replica.node.commit_index:
            # If the leader is lost now, the next one may still use the previous configuration.
            return False
        configuration = leader.replica.configuration
        losses = simulation.tolerated_losses
        usable = [
            voter
            for voter in configuration.voter_ids
            if voter in simulation.nodes and simulation.nodes[voter].is_up
        ]
        index = self.highest_acknowledged
        holders = [
            voter
            for voter in usable
            if not index or simulation.disks[voter].holds(index, self.delivered[index].term)
        ]
        survivors = len(usable) - losses
        lacking = survivors - max(0, len(holders) - losses)
        return survivors >= configuration.quorum and lacking < configuration.quorum
