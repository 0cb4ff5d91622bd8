"""Which membership change the leader makes next."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.consensus.configuration import Configuration, Member
from marigolddoor_core.ids import ReplicaId

__all__ = ["ChangeKind", "PlannedChange", "next_change", "required_voters"]

# A group that bears no loss could not replace a member either.
LEAST_LOSSES = 1


class ChangeKind(Enum):
    """The changes of one member."""

    ADD_LEARNER = "add learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """A change and its member."""

    kind: ChangeKind
    member: Member


def required_voters(losses: int) -> int:
    """Return how many voters a group needs so that a majority outlives so many losses at once."""
    return 2 * max(losses, LEAST_LOSSES) + 1


def next_change(
    configuration: Configuration,
    joining: tuple[Member, ...],
    voters: int,
    is_caught_up: Callable[[ReplicaId], bool],
    is_lost: Callable[[ReplicaId], bool],
) -> PlannedChange | None:
    """Return the next change, or None. The group is to have so many `voters`.

    A process has one replica at a time, so a member whose address is now used by another
    incarnation was wiped. It never votes again, so it is removed at once: the group needs the
    same voters as before. A learner that has caught up is promoted while there are too few voters,
    and also in place of a lost one. A lost voter is removed only afterwards: if another fails in
    between, the return of either lets the group go on.
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
        # If the lost voter has returned, the latest one becomes the spare again.
        return PlannedChange(ChangeKind.REMOVE, (lost or list(configuration.voters[::-1]))[0])
    if excess < 0 or lost:
        for learner in configuration.learners:
            if is_caught_up(learner.replica):
                return PlannedChange(ChangeKind.PROMOTE, learner)
    return None
