"""Planning of the leader's next membership change."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.consensus.configuration import Configuration, Member
from marigolddoor_core.ids import ReplicaId

__all__ = ["ChangeKind", "PlannedChange", "next_change", "required_voters"]

# A group that tolerates no failure could not replace a failed member either.
MIN_TOLERATED_FAILURES = 1


class ChangeKind(Enum):
    """The single-member changes."""

    ADD_LEARNER = "add learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A change and the member that it concerns."""

    kind: ChangeKind
    member: Member


def required_voters(failures: int) -> int:
    """Return the number of voters of which a majority survives `failures` concurrent failures."""
    return 2 * max(failures, MIN_TOLERATED_FAILURES) + 1


def next_change(
    configuration: Configuration,
    joining: tuple[Member, ...],
    voters: int,
    leader: ReplicaId,
    is_caught_up: Callable[[ReplicaId], bool],
    is_lost: Callable[[ReplicaId], bool],
    has_answered: Callable[[ReplicaId], bool],
) -> PlannedChange | None:
    """Return the next change towards a group with `voters` voters, or None.

    `has_answered` returns whether a member has answered this leader since its election.

    A process has one replica at a time, so a member whose address is used by a later incarnation
    has been wiped. It never votes again, so it is removed at once: a quorum needs the same
    remaining voters as before. A learner that has caught up is promoted while there are too few
    voters, and to replace a lost voter. The lost voter is removed only afterwards: if another
    voter fails in between, the group recovers as soon as either returns.
    """
    for member in joining:
        if configuration.member(member.replica) is None:
            return PlannedChange(ChangeKind.ADD_LEARNER, member)
    # The last member at an address is the latest incarnation.
    latest = {member.address: member for member in configuration.members}
    for learner in configuration.learners:
        if latest[learner.address] != learner:
            return PlannedChange(ChangeKind.REMOVE, learner)
    for voter in configuration.voters:
        if latest[voter.address] != voter:
            return PlannedChange(ChangeKind.REMOVE, voter)
    lost = [voter for voter in configuration.voters if is_lost(voter.replica)]
    excess = len(configuration.voters) - voters
    if excess > 0:
        if lost:
            return PlannedChange(ChangeKind.REMOVE, lost[0])
        others = [voter for voter in configuration.voters if voter.replica != leader]
        if not all(has_answered(voter.replica) for voter in others):
            # The voter that was being replaced under the former leader will be lost or answer.
            return None
        # The lost voter has returned, so its replacement becomes a spare again.
        return PlannedChange(ChangeKind.REMOVE, others[-1])
    if excess < 0 or lost:
        for learner in configuration.learners:
            if is_caught_up(learner.replica):
                return PlannedChange(ChangeKind.PROMOTE, learner)
    return None
