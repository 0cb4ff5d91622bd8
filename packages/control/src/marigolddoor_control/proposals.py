"""Proposed commands whose callers wait for the result."""

from enum import Enum
from typing import Any

import anyio
from marigolddoor_core.ids import LogIndex, Term

__all__ = ["Proposal", "ProposalState", "Proposals"]


class ProposalState(Enum):
    """The progress of a proposed command through the log."""

    WAITING = "waiting"
    # Appended to the log of this replica; it may become committed.
    APPENDED = "appended"
    APPLIED = "applied"
    # Another entry was committed at its index, so the command never will be.
    REPLACED = "replaced"
    # A snapshot that covers its index was installed, so the result is not known.
    UNKNOWN = "unknown"


class Proposal:
    """A proposed command and its result."""

    def __init__(self, command: Any) -> None:
        self.command = command
        self.state = ProposalState.WAITING
        self.term = Term(0)
        self.result: Any = None
        self.done = anyio.Event()

    def complete(self, state: ProposalState, result: Any = None) -> None:
        """Set the outcome and wake the caller."""
        self.state = state
        self.result = result
        self.done.set()


class Proposals:
    """The proposals of this process."""

    def __init__(self) -> None:
        self.waiting: list[Proposal] = []
        self.appended: dict[LogIndex, Proposal] = {}

    def drain_waiting(self) -> list[Proposal]:
        """Remove and return the proposals that wait to be appended, in order."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def append(self, index: LogIndex, term: Term, proposal: Proposal) -> None:
        """Record that `proposal` was appended."""
        proposal.state = ProposalState.APPENDED
        proposal.term = term
        self.appended[index] = proposal

    def resolve_committed(self, index: LogIndex, term: Term) -> Proposal | None:
        """Return the proposal committed at `index`; complete one that was replaced there."""
        proposal = self.appended.pop(index, None)
        if proposal is not None and proposal.term != term:
            proposal.complete(ProposalState.REPLACED)
            return None
        return proposal

    def resolve_skipped(self, last: LogIndex) -> None:
        """Complete the proposals up to `last` as unknown."""
        for index in [index for index in self.appended if index <= last]:
            self.appended.pop(index).complete(ProposalState.UNKNOWN)

    def remove(self, proposal: Proposal) -> None:
        """Remove a proposal whose caller no longer waits."""
        if proposal in self.waiting:
            self.waiting.remove(proposal)
        for index in [index for index, known in self.appended.items() if known is proposal]:
            del self.appended[index]
