"""A simulated consensus group as the leader of the fleet uses it: one log, one leader at a time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from types import SimpleNamespace

import anyio
from marigolddoor_core.ids import LogIndex
from marigolddoor_core.jobs import DocumentReader, JobTable, RecordChanges
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError

__all__ = ["VirtualConsensus", "VirtualGroup"]

# The consensus time at which the simulation starts.
EPOCH_S = 1_000.0
COMMIT_S = (0.005, 0.03)
LEASE_CHECK_S = 0.05


@dataclass
class VirtualReplica:
    """The term of a replica, and whether it is the leader of it."""

    term: int
    is_leader: bool = True


class VirtualGroup:
    """The replicated log. `table` holds what is committed, across leaders."""

    def __init__(self, rng: random.Random, reader: DocumentReader) -> None:
        self.rng = rng
        self.reader = reader
        self.table = JobTable(reader)
        self.index = 0
        self.term = 0
        # Called with each committed command.
        self.on_commit: Callable[[RecordChanges], None] = lambda command: None

    def commit(self, command: RecordChanges) -> LogIndex:
        """Commit a command and return its index."""
        self.index += 1
        self.table.apply(LogIndex(self.index), command)
        self.on_commit(command)
        return LogIndex(self.index)

    def elect(self) -> "VirtualConsensus":
        """Return the consensus of the next leader, whose table holds all that is committed."""
        self.term += 1
        table = JobTable(self.reader)
        table.restore(self.table.snapshot())
        return VirtualConsensus(self, table, self.term)


class VirtualConsensus:
    """The consensus as one leader uses it."""

    def __init__(self, group: VirtualGroup, table: JobTable, term: int) -> None:
        self.group = group
        self.table = table
        self.replica = VirtualReplica(term)
        self.has_lease = True
        self.pending: RecordChanges | None = None
        # Address of the leader for redirects.
        self.leader: str | None = None
        self.settings = SimpleNamespace(address="")

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is the leader and holds the lease."""
        return self.replica.is_leader and self.has_lease

    def consensus_time(self) -> float:
        """Return the consensus time."""
        return EPOCH_S + anyio.current_time()

    async def propose_here(self, command: RecordChanges, timeout_s: float) -> None:
        """Commit a command and apply it to the table of this leader.

        Raises:
          NoQuorumError: it is not committed and never will be.
          ProposalOutcomeUnknownError: it may be committed.
        """
        if not self.is_leader:
            raise NoQuorumError("this replica is not the leader")
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
        """Give up leadership. A pending command is committed now, or never."""
        if self.replica.is_leader:
            self.replica.is_leader = False
            if self.pending is not None and self.group.rng.random() < 0.5:
                self.group.commit(self.pending)
            self.pending = None
