"""The leader's view of which members of the group answer."""

from dataclasses import dataclass

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.ids import ReplicaId

__all__ = ["GroupHealth"]


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """The members of a group, those that do not answer, and the learners that lack entries."""

    configuration: Configuration
    unresponsive: tuple[ReplicaId, ...]
    behind: tuple[ReplicaId, ...]

    @property
    def tolerated_failures(self) -> int:
        """Return how many more voters may fail before the group loses its quorum."""
        answering = sum(voter not in self.unresponsive for voter in self.configuration.voter_ids)
        return answering - self.configuration.quorum
