"""Runs a replica of the consensus group over peer links and a data folder.

One task waits for messages, proposals or the replica's next deadline. Each step handles everything
that has arrived, so that concurrent proposals share one append and one sync.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus
from loguru import logger
from marigolddoor_core.consensus import (
    ChangeRefusedError,
    Entry,
    GroupHealth,
    Member,
    NotLeaderError,
    Output,
    ReadId,
    Replica,
    ReplicatedStateMachine,
)
from marigolddoor_core.consensus.membership_plan import required_voters
from marigolddoor_core.consensus.messages import Message
from marigolddoor_core.consensus.stored import StoredState
from marigolddoor_core.ids import LogIndex, ReplicaId
from marigolddoor_core.instants import Instant
from marigolddoor_storage import ReplicaStore, StorageError
from marigolddoor_wire.codec import decode, encode
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.replica_messages import PeerMessage

from marigolddoor_control.consensus_clock import ConsensusClock
from marigolddoor_control.health_log import HealthLog
from marigolddoor_control.join_requests import JoinRequests
from marigolddoor_control.joining import establish_identity
from marigolddoor_control.peer_outbox import PeerOutbox
from marigolddoor_control.proposals import Proposals, ProposalState
from marigolddoor_control.replica_settings import ReplicaSettings
from marigolddoor_control.snapshot_parts import join, split

__all__ = ["PendingRead", "ReplicaDriver"]

# A snapshot is synced in parts of this size, because a sync blocks the loop.
SYNC_BYTES = 1024 * 1024


@dataclass(slots=True)
class PendingRead:
    """A linearizable read that waits for its read index."""

    done: anyio.Event
    index: LogIndex | None = None


class ReplicaDriver:
    """The replica of this process with its loop, its files and its published state.

    `predecessor_ended_at` is a time of `clock` by which the process that used the folder before had
    certainly ended; None if nothing earlier than the start of the replica is known.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        store: ReplicaStore,
        machine: ReplicatedStateMachine,
        pool: PeerPool,
        rng: random.Random,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = anyio.current_time,
        predecessor_ended_at: Instant | None = None,
    ) -> None:
        self.settings = settings
        self.store = store
        self.machine = machine
        self.pool = pool
        self.rng = rng
        self.clock = clock
        self.predecessor_ended_at = predecessor_ended_at
        self.consensus_clock = ConsensusClock(wall)
        self.replica: Replica | None = None
        self.replica_id = ReplicaId("")
        self.failure: StorageError | None = None
        self.applied_index = LogIndex(0)
        self.proposals = Proposals()
        self.reads: dict[ReadId, PendingRead] = {}
        self.queued_reads: list[ReadId] = []
        self.inbox: list[tuple[ReplicaId, Message]] = []
        self.joining: dict[ReplicaId, Member] = {}
        self.addresses: dict[ReplicaId, Address] = {}
        self.outboxes: dict[Address, PeerOutbox] = {}
        self.group: TaskGroup | None = None
        self.wake = anyio.Event()
        self.applied = anyio.Event()
        self.role_changed = anyio.Event()
        self.announced_role: tuple[Any, ...] = ()
        self.health_log = HealthLog()
        self.received_snapshot: bytes | None = None
        self.unsnapshotted_bytes = 0
        self.joining_scope = anyio.CancelScope()
        self.is_taking_snapshot = False
        self.is_stopping = False
        self.stopped = anyio.Event()

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads and holds the lease. Check it before each action."""
        replica = self.replica
        return replica is not None and replica.accepts_commands and replica.has_lease(self._now())

    @property
    def leader(self) -> Address | None:
        """Return the address of the leader, or None if it is unknown."""
        replica = self.replica
        if replica is None or replica.leader is None:
            return None
        member = replica.configuration.member(replica.leader)
        if member is not None:
            return Address(member.address)
        return self.addresses.get(replica.leader)

    def consensus_time(self) -> float:
        """Return the consensus time in seconds; on a follower, that of the last applied command."""
        return self.consensus_clock.read() if self.is_leader else self.consensus_clock.last_s

    async def wait_applied(self, index: LogIndex) -> None:
        """Wait until the state includes the entry at `index`."""
        while self.applied_index < index:
            await self.applied.wait()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run the replica until `stop`; report `task_status` once its folder is open.

        An empty folder is opened after the peers have answered.

        Raises:
          StorageError: the data folder can't be opened. A later failure stops the replica, which
            then neither votes nor acknowledges; it is in `failure`.
        """
        settings = self.settings
        try:
            with self.joining_scope:
                identity = await establish_identity(
                    self.store,
                    settings.name,
                    settings.address,
                    settings.peers,
                    self.pool,
                    self.rng,
                    settings.founders,
                )
                self.replica_id = identity.replica
            if self.is_stopping:
                task_status.started()
                return
            self._open()
            async with anyio.create_task_group() as group:
                self.group = group
                self._step()
                task_status.started()
                group.start_soon(self._join_requests().run)
                await self._run_replica()
                group.cancel_scope.cancel()
        finally:
            self.store.close()
            self.stopped.set()

    async def stop(self, timeout_s: float = 2.0) -> None:
        """Transfer the leadership, finish the accepted proposals, and stop."""
        replica = self.replica
        with anyio.move_on_after(timeout_s):
            if replica is not None and replica.is_leader:
                replica.transfer(self._now())
                self.wake.set()
                while replica.is_leader and len(replica.configuration.voters) > 1:
                    await self.role_changed.wait()
            while self.proposals.appended:
                await self.applied.wait()
        self.is_stopping = True
        self.joining_scope.cancel()
        self.wake.set()
        await self.stopped.wait()

    def _now(self) -> Instant:
        return Instant(self.clock())

    def _open(self) -> None:
        restart = self.store.open()
        recovered = restart.recovered
        if recovered.snapshot is not None and restart.state is not None:
            self._restore(recovered.snapshot.index, restart.state)
        self.unsnapshotted_bytes = sum(len(entry.command) for entry in recovered.entries)
        self.replica = Replica(
            self.replica_id,
            recovered,
            self.rng,
            self._now(),
            self.settings.timing,
            predecessor_ended_at=self.predecessor_ended_at,
        )
        logger.info(
            "agreement: {} starts with {} log entries after index {}",
            self.replica_id,
            len(recovered.entries),
            recovered.base_index,
        )

    async def _run_replica(self) -> None:
        replica = self._replica()
        while not self.is_stopping:
            with anyio.move_on_after(replica.next_deadline() - self.clock()):
                await self.wake.wait()
            # Everything that arrives in this iteration of the loop joins the same batch.
            await anyio.lowlevel.checkpoint()
            self.wake = anyio.Event()
            self._step()

    def _step(self) -> None:
        replica = self._replica()
        inbox, self.inbox = self.inbox, []
        for sender, message in inbox:
            replica.receive(sender, message, self._now())
        replica.tick(self._now())
        self._process_output()
        self._change_membership()
        self._append_proposals()
        reads, self.queued_reads = self.queued_reads, []
        for read in reads:
            replica.read(read, self._now())
        self._process_output()
        self._snapshot_if_due()
        self._announce_role()
        self.health_log.update(replica, self._now())

    def _process_output(self) -> None:
        """Execute the replica's outputs until there are none."""
        replica = self._replica()
        while True:
            output = replica.take_output()
            if output.is_empty():
                return
            self._send(output)
            if output.writes and not self._write(output):
                return
            if output.restore is not None:
                assert self.received_snapshot is not None
                self._restore(output.restore.index, self.received_snapshot)
                self.received_snapshot = None
                self.unsnapshotted_bytes = 0
            self._apply(output.committed)
            for outcome in output.reads:
                read = self.reads.pop(outcome.read, None)
                if read is not None:
                    read.index = outcome.index
                    read.done.set()

    def _write(self, output: Output) -> bool:
        try:
            state = self.store.perform(write.action for write in output.writes)
        except StorageError as error:
            self._fail(error)
            return False
        self.received_snapshot = state or self.received_snapshot
        self._replica().write_completed(output.writes[-1].number, self._now())
        return True

    def _fail(self, error: StorageError) -> None:
        logger.error("agreement: {} stops voting: {}", self.replica_id, error)
        self.failure = error
        self._replica().write_failed()
        for proposal in self.proposals.drain_waiting():
            proposal.complete(ProposalState.REPLACED)
        self.proposals.resolve_skipped(LogIndex(2**63))
        for read in self.reads.values():
            read.done.set()
        self.reads.clear()

    def _send(self, output: Output) -> None:
        for outgoing in output.messages:
            self._post(outgoing.recipient, outgoing.message)
        for chunk in output.chunks:
            message = chunk.message
            try:
                data = self.store.read_chunk(message.snapshot, message.offset, chunk.length)
            except StorageError as error:
                logger.error("agreement: a chunk of a snapshot can't be read: {}", error)
                continue
            if data is not None:
                self._post(chunk.recipient, replace(message, data=data))

    def _post(self, recipient: ReplicaId, message: Message) -> None:
        member = self._replica().configuration.member(recipient)
        address = self.addresses.get(recipient) if member is None else Address(member.address)
        if address is None or self.group is None:
            return
        outbox = self.outboxes.get(address)
        if outbox is None:
            outbox = self.outboxes[address] = PeerOutbox(self.pool, address)
            self.group.start_soon(outbox.run)
        outbox.put(PeerMessage(self.replica_id, recipient, self.settings.address, message))

    def _apply(self, entries: list[Entry]) -> None:
        for entry in entries:
            if entry.index <= self.applied_index:
                continue
            proposal = self.proposals.resolve_committed(entry.index, entry.term)
            if entry.command:
                command = decode(entry.command) if proposal is None else proposal.command
                result = self.machine.apply(entry.index, command)
                self.consensus_clock.observe(command.time_s)
                self.unsnapshotted_bytes += len(entry.command)
                if proposal is not None:
                    proposal.complete(ProposalState.APPLIED, result)
            self.applied_index = entry.index
        if entries:
            self._notify_applied()

    def _restore(self, index: LogIndex, state: bytes) -> None:
        stored: StoredState = decode(state)
        self.machine.restore(join(decode(part) for part in stored.parts))
        self.consensus_clock.observe(stored.time_s)
        self.applied_index = index
        self.proposals.resolve_skipped(index)
        self._notify_applied()

    def _notify_applied(self) -> None:
        self.applied.set()
        self.applied = anyio.Event()

    def _append_proposals(self) -> None:
        replica = self._replica()
        if not replica.accepts_commands:
            # The callers forward their commands to the leader.
            for proposal in self.proposals.drain_waiting():
                proposal.complete(ProposalState.REPLACED)
            return
        if not replica.has_lease(self._now()):
            # An entry appended without quorum ends as unknown; a waiting one is refused as not run.
            return
        waiting = self.proposals.drain_waiting()
        if not waiting:
            return
        for proposal in waiting:
            proposal.command = replace(proposal.command, time_s=self.consensus_clock.stamp())
        first = replica.propose([encode(p.command) for p in waiting], self._now())
        for position, proposal in enumerate(waiting):
            self.proposals.append(LogIndex(first + position), replica.term, proposal)

    def _change_membership(self) -> None:
        replica = self._replica()
        if not replica.is_leader:
            self.joining.clear()
            return
        joining = tuple(self.joining.values())
        planned = replica.planned_change(
            joining, required_voters(self.settings.losses), self._now()
        )
        if planned is None:
            return
        try:
            replica.change(planned, self._now())
        except (ChangeRefusedError, NotLeaderError) as error:
            logger.debug("agreement: the membership change is not possible now: {}", error)
            return
        self.joining.pop(planned.member.replica, None)
        logger.info(
            "agreement: membership change: {} {}", planned.kind.value, planned.member.replica
        )

    def _snapshot_if_due(self) -> None:
        replica = self._replica()
        snapshot = replica.snapshot
        size = 0 if snapshot is None else snapshot.size_bytes
        is_due = self.unsnapshotted_bytes >= max(self.settings.snapshot_after_bytes, size)
        if is_due and not self.is_taking_snapshot and self.failure is None:
            assert self.group is not None
            self.is_taking_snapshot = True
            self.group.start_soon(self.take_snapshot)

    async def take_snapshot(self) -> None:
        """Store the current state and compact the log without blocking the loop."""
        replica = self._replica()
        index, time_s = self.applied_index, self.consensus_clock.last_s
        term, configuration = replica.term_at(index), replica.configuration_at(index)
        self.is_taking_snapshot = True
        self.unsnapshotted_bytes = 0
        try:
            parts = []
            for part in split(self.machine.snapshot()):
                parts.append(encode(part))
                await anyio.lowlevel.checkpoint()
            state = encode(StoredState(time_s, tuple(parts)))
            writer = self.store.begin_snapshot(index, term, configuration, state)
            for offset in range(0, len(state), SYNC_BYTES):
                self.store.add_to_snapshot(writer, state[offset : offset + SYNC_BYTES])
                await anyio.lowlevel.checkpoint()
            if self.store.finish_snapshot(writer):
                replica.snapshot_taken(writer.meta, self.settings.keep_bytes)
                self._process_output()
        except StorageError as error:
            self._fail(error)
        finally:
            self.is_taking_snapshot = False

    def _announce_role(self) -> None:
        replica = self._replica()
        role = (replica.role, replica.term, replica.leader, replica.accepts_commands, self.failure)
        if role != self.announced_role:
            self.announced_role = role
            self.role_changed.set()
            self.role_changed = anyio.Event()
            logger.debug("agreement: {} is {} in term {}", self.replica_id, *role[:2])

    def health(self) -> GroupHealth | None:
        """Return which members answer, if this replica is the leader."""
        return None if self.replica is None else self.replica.health(self._now())

    def _replica(self) -> Replica:
        assert self.replica is not None, "run opens the replica first"
        return self.replica

    def _join_requests(self) -> JoinRequests:
        settings = self.settings
        member = Member(self.replica_id, settings.address)
        return JoinRequests(
            member, settings.peers, self._replica(), self.pool, self.clock, self._wait_role
        )

    async def _wait_role(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await self.role_changed.wait()
