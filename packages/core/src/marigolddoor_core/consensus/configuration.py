"""The members of the group, and which sets of voters form a quorum."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from typing import Any

from marigolddoor_core.consensus.errors import ChangeRefusedError
from marigolddoor_core.ids import ReplicaId

__all__ = ["Configuration", "Member"]


@dataclass(frozen=True, slots=True)
class Member:
    """A replica and the HOST:PORT of its process.

    The id contains the incarnation of the data folder, so a wiped replica rejoins as a new member.
    """

    replica: ReplicaId
    address: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """The voters, a majority of which commits entries, and the learners, which only get the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the voters and the learners."""
        return self.voters + self.learners

    @property
    def voter_ids(self) -> tuple[ReplicaId, ...]:
        """Return the ids of the voters."""
        return tuple(member.replica for member in self.voters)

    @property
    def quorum(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, replica: ReplicaId) -> bool:
        """Return whether `replica` is a voter."""
        return any(member.replica == replica for member in self.voters)

    def member(self, replica: ReplicaId) -> Member | None:
        """Return the member with this id, or None."""
        return next((member for member in self.members if member.replica == replica), None)

    def is_quorum(self, replicas: Collection[ReplicaId]) -> bool:
        """Return whether `replicas` contain a majority of the voters."""
        count = sum(voter in replicas for voter in self.voter_ids)
        return bool(self.voters) and count >= self.quorum

    def quorum_value(self, value: Callable[[ReplicaId], Any]) -> Any:
        """Return the highest value that a majority of the voters has reached."""
        return sorted((value(voter) for voter in self.voter_ids), reverse=True)[self.quorum - 1]

    def with_learner(self, member: Member) -> "Configuration":
        """Return the configuration with `member` as an additional learner.

        Raises:
          ChangeRefusedError: the replica is already a member.
        """
        if self.member(member.replica) is not None:
            raise ChangeRefusedError(f"{member.replica} is already a member")
        return replace(self, learners=(*self.learners, member))

    def with_promoted(self, replica: ReplicaId) -> "Configuration":
        """Return the configuration in which the learner `replica` is a voter.

        Raises:
          ChangeRefusedError: the replica is not a learner.
        """
        member = self.member(replica)
        if member is None or self.is_voter(replica):
            raise ChangeRefusedError(f"{replica} is not a learner")
        learners = tuple(learner for learner in self.learners if learner != member)
        return Configuration((*self.voters, member), learners)

    def without(self, replica: ReplicaId) -> "Configuration":
        """Return the configuration without `replica`.

        Raises:
          ChangeRefusedError: the replica is not a member, or is the last voter.
        """
        if self.member(replica) is None:
            raise ChangeRefusedError(f"{replica} is not a member")
        voters = tuple(member for member in self.voters if member.replica != replica)
        if not voters:
            raise ChangeRefusedError("the last voter cannot be removed")
        learners = tuple(member for member in self.learners if member.replica != replica)
        return Configuration(voters, learners)
