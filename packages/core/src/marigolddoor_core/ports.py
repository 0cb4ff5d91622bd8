"""Interfaces between the core and the components that do its input and output."""

from typing import Protocol

from marigolddoor_core.errors import MarigolddoorError, UnavailableError
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.results import Result

__all__ = ["NoQuorumError", "ProposalOutcomeUnknownError", "Proposer"]


class NoQuorumError(UnavailableError):
    """The command was not accepted because no leader with a quorum is known. Nothing changed."""


class ProposalOutcomeUnknownError(MarigolddoorError):
    """The command was submitted, but no result arrived. It may or may not be committed."""


class Proposer(Protocol):
    """Proposes commands to the consensus group."""

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Return the result of `command` after it is committed and applied.

        Raises:
          NoQuorumError: nothing was accepted and nothing will change.
          ProposalOutcomeUnknownError: the command may still be committed.
        """
        ...
