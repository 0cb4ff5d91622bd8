"""A control process for submitted jobs: a replica that leads the fleet while elected."""

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskStatus
from loguru import logger
from marigolddoor_control.consensus_service import (
    HANDLED_MESSAGES,
    ConsensusService,
    ReplicaSettings,
)
from marigolddoor_control.fleet.fleet_leadership import FleetLeadership
from marigolddoor_control.fleet.ports import FleetPorts
from marigolddoor_control.fleet.service import FleetService, NotLeadingError
from marigolddoor_control.fleet.team_report import rows_page, team_rows
from marigolddoor_control.group_timing import FLEET_TIMING
from marigolddoor_core.consensus import Timing
from marigolddoor_core.dispatch import LeaseTiming
from marigolddoor_core.ids import FencingToken
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import DocumentReader, JobTable
from marigolddoor_core.metrics import CounterKind, Counters, Labels, Sample, family_text
from marigolddoor_core.ports import NoQuorumError
from marigolddoor_core.queue_calls import QueueCall
from marigolddoor_storage import ReplicaStore
from marigolddoor_wire.clocks import boot_time
from marigolddoor_wire.errors import RemoteError
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.messages import ErrorKind
from marigolddoor_wire.peers import Address, PeerPool, PeerServer
from marigolddoor_wire.queue_messages import AskQueue, NotLeading, QueueAnswer

__all__ = ["FleetProcess", "FleetProcessSettings"]

BARRIER_TIMEOUT_S = 2.0
# A full disk stays full for seconds; an immediate restart would only repeat the failure.
FAILED_DISK_PAUSE_S = 3.0


@dataclass(frozen=True, slots=True)
class FleetProcessSettings:
    """Settings of a control process, read once at its start.

    `founders` are the peer addresses that form the group at its first start; at any other start
    there are none, since all `peers` may then be new as well. `longest_lease_s` is the longest
    lease that executors grant. For `machine_lease_s` after an election the platform may still carry
    out machine orders of the previous leader. Nothing that was acknowledged may be lost if `losses`
    control machines lose their disks at once. A task away from its data takes `remote_factor` times
    as long. `lock_descriptor` is the open lock file of the data folder if this process has locked
    it already, and `predecessor_ended_at` the time of that.
    """

    name: str
    peer: Address
    peers: tuple[Address, ...]
    data_folder: Path
    longest_lease_s: float
    machine_lease_s: float
    founders: tuple[Address, ...] = ()
    losses: int = 1
    timing: Timing = FLEET_TIMING
    remote_factor: float = 1.0
    lock_descriptor: int | None = None
    predecessor_ended_at: Instant | None = None


class FleetProcess:
    """Runs one replica of the job table and leads the fleet when it is elected."""

    def __init__(
        self,
        settings: FleetProcessSettings,
        key: SharedKey,
        reader: DocumentReader,
        ports: FleetPorts,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.key = key
        self.ports = ports
        self.rng = rng if rng is not None else random.Random()
        self.clock = boot_time
        self.table = JobTable(reader)
        self.counters = Counters()
        self.service: FleetService | None = None
        self.consensus: ConsensusService | None = None

    async def run(
        self,
        stopping: anyio.Event,
        serve: Callable[[FleetService], Coroutine[Any, Any, None]],
        *,
        task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until `stopping` is set, then hand over and stop.

        `serve` runs the front end for executors and operators until it is cancelled.

        Raises:
          OSError: an address can't be used.
          StorageError: the data folder can't be used, or a write to it failed.
        """
        settings = self.settings
        async with PeerPool(self.key) as pool, anyio.create_task_group() as group:
            consensus = self.consensus = ConsensusService(
                ReplicaSettings(
                    settings.name,
                    settings.peer,
                    settings.peers,
                    losses=settings.losses,
                    timing=settings.timing,
                    founders=settings.founders,
                ),
                ReplicaStore(settings.data_folder, lock_descriptor=settings.lock_descriptor),
                self.table,
                pool,
                self.rng,
                clock=self.clock,
                predecessor_ended_at=settings.predecessor_ended_at,
            )
            self.service = FleetService(self.table, consensus)
            address = await group.start(PeerServer(self.key, self._handle).run, settings.peer)
            group.start_soon(serve, self.service)
            group.start_soon(consensus.run)
            group.start_soon(self._lead)
            group.start_soon(self._exit_after_disk_failure, consensus)
            logger.info("fleet: control process {} on {}", settings.name, address)
            task_status.started(address)
            await stopping.wait()
            await consensus.stop()
            group.cancel_scope.cancel()
        logger.info("fleet: control process {} stopped", settings.name)

    async def _exit_after_disk_failure(self, consensus: ConsensusService) -> None:
        """End the process after a disk failure; a restart determines what is stored.

        Raises:
          StorageError: the failure. The platform restarts the process.
        """
        while consensus.failure is None:
            await consensus.role_changed.wait()
        await anyio.sleep(FAILED_DISK_PAUSE_S)
        raise consensus.failure

    def holds_lease(self, token: FencingToken) -> bool:
        """Return whether this process leads with `token` and no other one can lead now."""
        consensus = self.consensus
        if consensus is None or consensus.replica is None or not consensus.is_leader:
            return False
        return FencingToken(consensus.replica.term) == token

    def metrics_page(self) -> str:
        """Return the counters and gauges of this process as text."""
        leadership = None if self.service is None else self.service.leadership
        gauges = [
            (
                "open_jobs",
                "Jobs that have not ended.",
                len(self.table.jobs) - len(self.table.ended),
            ),
            ("known_jobs", "Jobs that are kept.", len(self.table.jobs)),
            ("configuration_version", "The configuration in force.", self.table.version),
            (
                "unreadable_documents",
                "Stored documents that this version can't read, and skipped.",
                self.table.unreadable,
            ),
            ("is_leading", "Whether this process leads the fleet.", int(leadership is not None)),
            ("executors", "Executors that are enrolled.", len(self.table.executors)),
        ]
        health = None if self.consensus is None else self.consensus.health()
        if health is not None:
            gauges += [
                (
                    "group_voters",
                    "Voters of the consensus group.",
                    len(health.configuration.voters),
                ),
                (
                    "group_tolerated_failures",
                    "Voters that may still fail before the group loses its quorum.",
                    health.tolerated_failures,
                ),
            ]
        page = self.counters.page() + "".join(
            family_text(f"marigolddoor_{name}", text, "gauge", [Sample(Labels(), value)])
            for name, text, value in gauges
        )
        return page + self._team_page()

    def _team_page(self) -> str:
        """Return what the leader knows of each team; other processes have counts at most."""
        if self.service is None or self.consensus is None:
            return ""
        page = self.service.refusals.page()
        leadership = self.service.leadership
        if leadership is None:
            return page
        rows = team_rows(
            self.table,
            leadership.dispatch.usage,
            leadership.dispatch.has_begun,
            self.consensus.consensus_time(),
        )
        return page + rows_page(rows)

    async def _lead(self) -> None:
        """Run a leadership for each term in which this replica leads."""
        assert self.consensus is not None and self.service is not None
        consensus = self.consensus
        while True:
            replica = consensus.replica
            if replica is None or not replica.is_leader:
                await consensus.role_changed.wait()
                continue
            try:
                await consensus.read_barrier(BARRIER_TIMEOUT_S)
            except NoQuorumError as error:
                logger.info("fleet: elected, but a quorum did not confirm it: {}", error)
                continue
            if not consensus.is_leader:
                await anyio.sleep(0.05)
                continue
            leadership = FleetLeadership(
                self.table,
                consensus,
                self.ports,
                LeaseTiming(self.settings.longest_lease_s),
                self.settings.machine_lease_s,
                FencingToken(replica.term),
                self.clock,
                self.counters,
                self.settings.remote_factor,
            )
            self.counters.add(CounterKind.FAILOVERS)
            self.service.leadership = leadership
            try:
                await leadership.run()
            finally:
                self.service.leadership = None

    async def _handle(self, message: Any) -> Any:
        if isinstance(message, HANDLED_MESSAGES):
            assert self.consensus is not None
            return await self.consensus.handle(message)
        if isinstance(message, AskQueue):
            return await self._answer_queue(message.call)
        raise RemoteError(ErrorKind.UNKNOWN_MESSAGE, type(message).__name__)

    async def _answer_queue(self, call: QueueCall) -> QueueAnswer | NotLeading:
        assert self.service is not None and self.consensus is not None
        replica = self.consensus.replica
        members = () if replica is None else replica.configuration.members
        addresses = tuple(member.address for member in members)
        try:
            return QueueAnswer(await self.service.call_queue(call), addresses)
        except NotLeadingError as error:
            return NotLeading(error.leader or "", addresses)
