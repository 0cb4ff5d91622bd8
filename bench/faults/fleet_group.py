"""The consensus group as a leadership of the fleet sees it: one log, and one leader at a time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from types import SimpleNamespace

import anyio
from marigolddoor_core.ids import LogIndex
from marigolddoor_core.jobs import DocumentReader, JobTable, RecordChanges
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError

__all__ = ["VirtualAgreement", "VirtualGroup"]

# The agreed time of day when the simulation begins.
EPOCH_S = 1_000.0
COMMIT_S = (0.005, 0.03)
LEASE_CHECK_S = 0.05


@dataclass
class Standing:
    """Whether a replica leads its term."""

    term: int
    is_leader: bool = True


class VirtualGroup:
    """The log that outlives the leaders. `table` holds what is committed."""

    def __init__(self, rng: random.Random, reader: DocumentReader) -> None:
        self.rng = rng
        self.reader = reader
        self.table = JobTable(reader)
        self.index = 0
        self.term = 0
        # Told of each committed command.
        self.committed: Callable[[RecordChanges], None] = lambda command: None

    def commit(self, command: RecordChanges) -> LogIndex:
        """Append a command for good."""
        self.index += 1
        self.table.apply(LogIndex(self.index), command)
        self.committed(command)
        return LogIndex(self.index)

    def elect(self) -> "VirtualAgreement":
        """Return the standing of the next leader, with a table of all that is committed."""
        self.term += 1
        table = JobTable(self.reader)
        table.restore(self.table.snapshot())
        return VirtualAgreement(self, table, self.term)


class VirtualAgreement:
    """One leader's part of the group."""

    def __init__(self, group: VirtualGroup, table: JobTable, term: int) -> None:
        self.group = group
        self.table = table
        self.replica = Standing(term)
        self.has_lease = True
        self.pending: RecordChanges | None = None
        # What a front end names to others while this replica does not lead.
        self.leader: str | None = None
        self.settings = SimpleNamespace(address="")

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads and nobody else can."""
        return self.replica.is_leader and self.has_lease

    def consensus_time(self) -> float:
        """Return the time of day."""
        return EPOCH_S + anyio.current_time()

    async def propose_here(self, command: RecordChanges, timeout_s: float) -> None:
        """Commit a command, and apply it here before it returns.

        Raises:
          NoQuorumError: it is not committed and never will be.
          ProposalOutcomeUnknownError: it may be committed.
        """
        if not self.is_leader:
            raise NoQuorumError("this replica does not lead")
        command = replace(command, time_s=self.consensus_time())
        self.pending = command
        await anyio.sleep(self.group.rng.uniform(*COMMIT_S))
        while self.replica.is_leader and not self.has_lease:
            await anyio.sleep(LEASE_CHECK_S)
        if not self.replica.is_leader:
            raise ProposalOutcomeUnknownError("another replica was elected")
        self.pending = None
        self.table.apply(self.group.commit(command), command)

    def depose(self) -> None:
        """Let the others elect a leader. What is under way is committed, or never will be."""
        if self.replica.is_leader:
            self.replica.is_leader = False
            if self.pending is not None and self.group.rng.random() < 0.5:
                self.group.commit(self.pending)
            self.pending = None
