"""The lease of a leader."""

import math

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.ids import ReplicaId
from marigolddoor_core.instants import Instant

__all__ = ["Lease"]


class Lease:
    """Knows when each peer last received something from the leader, at the earliest.

    A peer that answered round R received it after the round began, and refuses other candidates
    for the shortest election timeout from then on. Counting from the beginning of the round makes
    the lease end first at the leader.
    """

    def __init__(self, leader: ReplicaId, duration_s: float) -> None:
        self.leader = leader
        self.duration_s = duration_s
        self.round = 0
        self.began: dict[int, Instant] = {}
        self.rounds: dict[ReplicaId, int] = {}
        self.contacts: dict[ReplicaId, Instant] = {}

    def begin_round(self, now: Instant) -> int:
        """Number a new round, which begins now."""
        self.round += 1
        self.began[self.round] = now
        # An answer to a round that is older than this extends no lease.
        horizon = now - 4 * self.duration_s
        for number in [n for n, began in self.began.items() if began < horizon]:
            del self.began[number]
        return self.round

    def answered(self, peer: ReplicaId, number: int) -> None:
        """Record the answer of `peer` to a round."""
        if number <= self.rounds.get(peer, 0):
            return
        self.rounds[peer] = number
        began = self.began.get(number)
        if began is not None:
            self.contacts[peer] = began

    def contact(self, peer: ReplicaId) -> Instant:
        """Return the beginning of the latest round that `peer` answered."""
        return self.contacts.get(peer, Instant(-math.inf))

    def quorum_contact(self, configuration: Configuration, now: Instant) -> Instant:
        """Return the time since which a quorum has certainly heard from the leader."""
        contact: Instant = configuration.quorum_value(
            lambda voter: now if voter == self.leader else self.contact(voter)
        )
        return contact

    def quorum_round(self, configuration: Configuration) -> int:
        """Return the latest round that a quorum has answered."""
        number: int = configuration.quorum_value(
            lambda voter: self.round if voter == self.leader else self.rounds.get(voter, 0)
        )
        return number

    def is_valid(self, configuration: Configuration, now: Instant) -> bool:
        """Return whether nobody else can lead at `now`."""
        return now < self.quorum_contact(configuration, now) + self.duration_s
