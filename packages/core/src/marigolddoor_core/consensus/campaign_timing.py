"""When a voter begins a pre-vote.

The guard is elsewhere: a voter grants neither a pre-vote nor a vote within the shortest election
timeout of a contact with a leader. A timing decides only how soon after this a pre-vote begins and
how rarely two voters are candidates at once, so no choice of it lets two leases overlap.
"""

import random
from dataclasses import dataclass
from typing import Protocol

__all__ = ["CampaignTiming", "RandomTimeouts", "StaggeredTimeouts", "Standing", "Timeouts"]

# Part of a slot between the end of the guard and the first pre-vote of the first voter. A pre-vote
# that arrives at a voter whose last contact was slightly later is lost.
MARGIN_SLOTS = 0.25
# Groups have fewer voters than 2 to this power, so later doublings would exceed the range.
MAX_DOUBLINGS = 4


@dataclass(frozen=True, slots=True)
class Timeouts:
    """The shortest and the longest election timeout in seconds."""

    min_s: float
    max_s: float


@dataclass(frozen=True, slots=True)
class Standing:
    """The position of a replica among the possible candidates, from 0 on, and their number."""

    position: int
    candidates: int


class CampaignTiming(Protocol):
    """Decides on the waits of a voter, all in seconds."""

    def contact_wait_s(self, timeouts: Timeouts, standing: Standing, rng: random.Random) -> float:
        """Return the wait from the last contact with a leader, or a vote, to a pre-vote."""
        ...

    def pre_vote_retry_s(
        self, timeouts: Timeouts, standing: Standing, failures: int, rng: random.Random
    ) -> float:
        """Return the wait from a pre-vote to the next one, unless it leads to an election.

        `failures` is the number of pre-votes that failed since the last contact with a leader.
        """
        ...

    def election_retry_s(self, timeouts: Timeouts, standing: Standing, rng: random.Random) -> float:
        """Return the wait from the start of an election to the next pre-vote, unless it is won."""
        ...

    def deferral_s(self, timeouts: Timeouts) -> float:
        """Return the time for which a granted pre-vote defers the next pre-vote of its voter."""
        ...

    def stagger_s(self, timeouts: Timeouts, standing: Standing) -> float:
        """Return the wait to a pre-vote once it is known that the present candidate can't win.

        Either its log is less up to date than that of this voter, or the votes were split.
        """
        ...


@dataclass(frozen=True, slots=True)
class RandomTimeouts:
    """The baseline: each wait is a whole random election timeout."""

    def contact_wait_s(self, timeouts: Timeouts, standing: Standing, rng: random.Random) -> float:
        """Return a random timeout."""
        return rng.uniform(timeouts.min_s, timeouts.max_s)

    def pre_vote_retry_s(
        self, timeouts: Timeouts, standing: Standing, failures: int, rng: random.Random
    ) -> float:
        """Return a random timeout."""
        return rng.uniform(timeouts.min_s, timeouts.max_s)

    def election_retry_s(self, timeouts: Timeouts, standing: Standing, rng: random.Random) -> float:
        """Return a random timeout."""
        return rng.uniform(timeouts.min_s, timeouts.max_s)

    def deferral_s(self, timeouts: Timeouts) -> float:
        """Return 0: a granted pre-vote changes nothing."""
        return 0.0

    def stagger_s(self, timeouts: Timeouts, standing: Standing) -> float:
        """Return the longest timeout, so that the wait that was drawn before stays in force."""
        return timeouts.max_s


@dataclass(frozen=True, slots=True)
class StaggeredTimeouts:
    """Candidates one after the other from the shortest timeout on, for a fast takeover.

    It answers two loads: the loss of the leader's data centre, where each 10 ms of the wait adds to
    the time without starts, and the restart of all voters, where most first pre-votes fail because
    the peers have not started yet. The range of the timeouts is divided into a slot for each
    candidate:

        >>> timing, timeouts = StaggeredTimeouts(), Timeouts(0.5, 0.9)
        >>> [round(timing.contact_wait_s(timeouts, Standing(position, 4), random.Random(1)), 3)
        ...  for position in range(4)]
        [0.525, 0.625, 0.725, 0.825]

    A granted pre-vote defers the other candidates by the whole range. On a disk that syncs in
    180 ms, an election takes much longer than a slot, and several candidates would split the votes.
    """

    def contact_wait_s(self, timeouts: Timeouts, standing: Standing, rng: random.Random) -> float:
        """Return the shortest timeout and the slots of the candidates before this one."""
        return timeouts.min_s + self.stagger_s(timeouts, standing)

    def pre_vote_retry_s(
        self, timeouts: Timeouts, standing: Standing, failures: int, rng: random.Random
    ) -> float:
        """Return one to two slots, doubled with each failure up to the range of the timeouts.

        A pre-vote changes no state, so it may be repeated soon. A voter that is cut off repeats it
        about four times a second.
        """
        longest_s = (timeouts.max_s - timeouts.min_s) / 2
        doublings = min(failures, MAX_DOUBLINGS)
        return min(_slot_s(timeouts, standing) * float(1 << doublings), longest_s) * rng.uniform(
            1.0, 2.0
        )

    def election_retry_s(self, timeouts: Timeouts, standing: Standing, rng: random.Random) -> float:
        """Return a random timeout, because votes are synced first, which a slow disk delays."""
        return rng.uniform(timeouts.min_s, timeouts.max_s)

    def deferral_s(self, timeouts: Timeouts) -> float:
        """Return the range of the timeouts, in which the candidate may win."""
        return timeouts.max_s - timeouts.min_s

    def stagger_s(self, timeouts: Timeouts, standing: Standing) -> float:
        """Return the slots of the candidates before this one, with a margin."""
        return _slot_s(timeouts, standing) * (standing.position + MARGIN_SLOTS)


def _slot_s(timeouts: Timeouts, standing: Standing) -> float:
    return (timeouts.max_s - timeouts.min_s) / max(1, standing.candidates)
