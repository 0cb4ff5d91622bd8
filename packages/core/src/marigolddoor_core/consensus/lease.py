"""Leader lease, for reads without a round of messages."""

import math

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.ids import ReplicaId
from marigolddoor_core.instants import Instant

__all__ = ["Lease"]


class Lease:
    """Tracks a lower bound of the time at which each peer last received a message of the leader.

    A peer that answered round R received it after the round began, and from then on refuses other
    candidates for the shortest election timeout. The lease counts from the beginning of the round,
    so it expires at the leader before any peer votes for another candidate.
    """

    def __init__(self, leader: ReplicaId, duration_s: float) -> None:
        self.leader = leader
        self.duration_s = duration_s
        self.round = 0
        self.round_started: dict[int, Instant] = {}
        self.answered_rounds: dict[ReplicaId, int] = {}
        self.contacts: dict[ReplicaId, Instant] = {}

    def begin_round(self, now: Instant) -> int:
        """Begin a round at `now`; return its number."""
        self.round += 1
        self.round_started[self.round] = now
        # An answer to a round older than this does not extend the lease.
        horizon = now - 4 * self.duration_s
        for number in [n for n, started in self.round_started.items() if started < horizon]:
            del self.round_started[number]
        return self.round

    def record_answer(self, peer: ReplicaId, number: int) -> None:
        """Record the answer of `peer` to a round."""
        if number <= self.answered_rounds.get(peer, 0):
            return
        self.answered_rounds[peer] = number
        started = self.round_started.get(number)
        if started is not None:
            self.contacts[peer] = started

    def contact(self, peer: ReplicaId) -> Instant:
        """Return the beginning of the latest round that `peer` answered."""
        return self.contacts.get(peer, Instant(-math.inf))

    def quorum_contact(self, configuration: Configuration, now: Instant) -> Instant:
        """Return a time after which a quorum has certainly received a message of the leader."""
        contact: Instant = configuration.quorum_value(
            lambda voter: now if voter == self.leader else self.contact(voter)
        )
        return contact

    def quorum_round(self, configuration: Configuration) -> int:
        """Return the latest round that a quorum has answered."""
        number: int = configuration.quorum_value(
            lambda voter: self.round if voter == self.leader else self.answered_rounds.get(voter, 0)
        )
        return number

    def is_valid(self, configuration: Configuration, now: Instant) -> bool:
        """Return whether no other replica can be leader at `now`."""
        # Called before each order, so it counts voters instead of sorting their contacts.
        missing = configuration.quorum
        for voter in configuration.voters:
            if voter.replica == self.leader or now < self.contact(voter.replica) + self.duration_s:
                missing -= 1
                if missing == 0:
                    return True
        return False
