"""Which membership change the leader makes next."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.consensus.configuration import Configuration, Member
from marigolddoor_core.ids import ReplicaId

__all__ = ["ChangeKind", "PlannedChange", "next_change"]


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


def next_change(
    configuration: Configuration,
    joining: tuple[Member, ...],
    wanted_voters: int,
    is_caught_up: Callable[[ReplicaId], bool],
    is_lost: Callable[[ReplicaId], bool],
) -> PlannedChange | None:
    """Return the next change, or None.

    A process has one replica at a time, so a member whose address is now used by another
    incarnation was wiped. A wiped or lost voter is removed once a learner has caught up, and the
    learner is promoted next, because there are then too few voters.
    """
    for member in joining:
        if configuration.member(member.replica) is None:
            return PlannedChange(ChangeKind.ADD_LEARNER, member)
    # The last learner at an address is the latest incarnation.
    latest = {member.address: member for member in configuration.members}
    latest.update({learner.address: learner for learner in configuration.learners})
    for learner in configuration.learners:
        if latest[learner.address] != learner:
            return PlannedChange(ChangeKind.REMOVE, learner)
    for learner in configuration.learners:
        if not is_caught_up(learner.replica):
            continue
        wiped = [voter for voter in configuration.voters if voter.address == learner.address]
        if wiped and len(configuration.voters) > 1:
            return PlannedChange(ChangeKind.REMOVE, wiped[0])
        if len(configuration.voters) < wanted_voters:
            return PlannedChange(ChangeKind.PROMOTE, learner)
        lost = [voter for voter in configuration.voters if is_lost(voter.replica)]
        if lost:
            return PlannedChange(ChangeKind.REMOVE, lost[0])
    return None
