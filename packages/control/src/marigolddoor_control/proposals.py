"""Commands that wait for their result."""

from enum import Enum
from typing import Any

import anyio
from marigolddoor_core.ids import LogIndex, Term

__all__ = ["Proposal", "ProposalState", "Proposals"]


class ProposalState(Enum):
    """How far a command got."""

    WAITING = "waiting"
    # Appended to the log of this replica; it may become committed.
    APPENDED = "appended"
    APPLIED = "applied"
    # Another entry was committed in its place, so it never will be.
    REPLACED = "replaced"
    # A snapshot was installed over its index.
    UNKNOWN = "unknown"


class Proposal:
    """A command on its way through the log."""

    def __init__(self, command: Any) -> None:
        self.command = command
        self.state = ProposalState.WAITING
        self.term = Term(0)
        self.result: Any = None
        self.done = anyio.Event()

    def end(self, state: ProposalState, result: Any = None) -> None:
        """Wake whoever waits."""
        self.state = state
        self.result = result
        self.done.set()


class Proposals:
    """The proposals of this process."""

    def __init__(self) -> None:
        self.waiting: list[Proposal] = []
        self.appended: dict[LogIndex, Proposal] = {}

    def take_waiting(self) -> list[Proposal]:
        """Return all that wait to be appended, in order."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def append(self, index: LogIndex, term: Term, proposal: Proposal) -> None:
        """Record that `proposal` was appended."""
        proposal.state = ProposalState.APPENDED
        proposal.term = term
        self.appended[index] = proposal

    def committed(self, index: LogIndex, term: Term) -> Proposal | None:
        """Return the proposal that was committed at `index`; end one that was replaced there."""
        proposal = self.appended.pop(index, None)
        if proposal is not None and proposal.term != term:
            proposal.end(ProposalState.REPLACED)
            return None
        return proposal

    def skipped(self, last: LogIndex) -> None:
        """End the proposals up to `last`, whose results are not known."""
        for index in [index for index in self.appended if index <= last]:
            self.appended.pop(index).end(ProposalState.UNKNOWN)

    def forget(self, proposal: Proposal) -> None:
        """Drop a proposal that nobody waits for."""
        if proposal in self.waiting:
            self.waiting.remove(proposal)
        for index in [index for index, known in self.appended.items() if known is proposal]:
            del self.appended[index]
