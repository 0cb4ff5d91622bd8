"""The control process: a replica, the leader's manager and the operators' HTTP on one loop."""

import math
import random
import ssl
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import httpx
from anyio.abc import TaskStatus
from loguru import logger
from marigolddoor_core import declaration
from marigolddoor_core.consensus import Timing
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import ProcessId
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.timeline import EventKind, Subject
from marigolddoor_storage import ReplicaStore
from marigolddoor_wire.errors import RemoteError
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.messages import AskProcesses, ErrorKind, ProcessesReply
from marigolddoor_wire.peers import Address, PeerPool, PeerServer

from marigolddoor_control.consensus_service import ConsensusService, ReplicaSettings
from marigolddoor_control.counting_recorder import CountingRecorder
from marigolddoor_control.group_timing import GROUP_TIMING
from marigolddoor_control.leadership import Leadership
from marigolddoor_control.manager import Manager
from marigolddoor_control.operators import (
    ListenerTls,
    OperatorsApplication,
    OperatorService,
    PeerTimelines,
    Tokens,
    serve_operators,
)
from marigolddoor_control.platform_client import HttpPlatform, Platform, UnconfiguredPlatform
from marigolddoor_control.recording_state_machine import RecordingStateMachine
from marigolddoor_control.requests import ControlRequests
from marigolddoor_control.view import ControlView
from marigolddoor_control.watches import WatchService
from marigolddoor_control.workers import HttpWorkers

__all__ = ["ControlAddresses", "ControlProcess", "ControlProcessSettings"]

MAX_HTTP_CONNECTIONS = 64
ASK_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class ControlProcessSettings:
    """Settings that a control process reads once, at its start.

    `peers` are the peer addresses of the other control processes. `platform` is the base URL of the
    platform's interface.
    """

    name: ProcessId
    replica: str
    peer: Address
    peers: tuple[Address, ...]
    data_folder: Path
    operators: Address
    tokens: Tokens
    platform: str | None = None
    operators_tls: ListenerTls | None = None
    timeline_capacity: int = 4096
    timing: Timing = GROUP_TIMING


@dataclass(frozen=True, slots=True)
class ControlAddresses:
    """The addresses on which a control process listens, with the ports in use."""

    peer: Address
    operators: Address


class ControlProcess:
    """Runs one replica and, while it is the leader, the manager."""

    def __init__(
        self,
        settings: ControlProcessSettings,
        key: SharedKey,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.key = key
        self.server_tls = server_tls
        self.client_tls = client_tls
        self.rng = rng if rng is not None else random.Random()
        self.clock = time.monotonic
        self.state = StateMachine()
        self.recorder = CountingRecorder(settings.name, settings.timeline_capacity)
        self.consensus: ConsensusService | None = None
        self.leadership: Leadership | None = None
        self.requests: ControlRequests | None = None

    async def run(
        self,
        stopping: anyio.Event,
        *,
        task_status: TaskStatus[ControlAddresses] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until `stopping` is set, then transfer the leadership and stop.

        Raises:
          OSError: an address can't be used.
          StorageError: the data folder can't be used.
        """
        limits = httpx.Limits(max_connections=MAX_HTTP_CONNECTIONS)
        async with (
            PeerPool(self.key, self.client_tls) as pool,
            httpx.AsyncClient(limits=limits) as client,
            anyio.create_task_group() as group,
        ):
            server = PeerServer(self.key, self._handle, self.server_tls)
            peer = await group.start(server.run, self.settings.peer)
            consensus = self._create_consensus(peer, pool)
            manager = self._create_manager(consensus, client)
            watches = WatchService(self.state, lambda: consensus.applied, self._record_in_force)
            assert self.leadership is not None
            self.requests = ControlRequests(
                self.state, consensus, self.leadership, manager, watches, pool, self.recorder
            )
            group.start_soon(consensus.run)
            operators = await group.start(
                serve_operators,
                self._create_application(consensus, pool),
                self.settings.operators,
                stopping.wait,
                self.settings.operators_tls,
            )
            group.start_soon(manager.run)
            group.start_soon(self._record_elections, consensus)
            group.start_soon(self._request_rounds, consensus, manager)
            self._record(EventKind.PROCESS_STARTED)
            logger.info("control: operators on {}, peers on {}", operators, peer)
            task_status.started(ControlAddresses(peer, operators))
            await stopping.wait()
            self._record(EventKind.PROCESS_STOPPING)
            await consensus.stop()
            group.cancel_scope.cancel()
        logger.info("control: stopped")

    async def _handle(self, message: Any) -> Any:
        if self.requests is None:
            raise RemoteError(ErrorKind.NO_QUORUM, "this process is starting")
        return await self.requests.handle(message)

    def _create_consensus(self, peer: Address, pool: PeerPool) -> ConsensusService:
        settings = self.settings
        consensus = ConsensusService(
            ReplicaSettings(settings.replica, peer, settings.peers, timing=settings.timing),
            ReplicaStore(settings.data_folder),
            RecordingStateMachine(self.state, self.recorder, self._is_leader, _wall_ms),
            pool,
            self.rng,
        )
        self.consensus = consensus
        self.leadership = Leadership(self.state, consensus, self.clock)
        return consensus

    def _create_manager(self, consensus: ConsensusService, client: httpx.AsyncClient) -> Manager:
        assert self.leadership is not None
        url = self.settings.platform
        platform: Platform = UnconfiguredPlatform() if url is None else HttpPlatform(client, url)
        return Manager(
            self.leadership.create_decisions,
            self.leadership.current_fleet,
            consensus,
            HttpWorkers(client),
            platform,
            # Without the leader lease the consensus time is unknown, so every order is too late.
            lambda: consensus.consensus_time() if consensus.is_leader else math.inf,
        )

    def _create_application(
        self, consensus: ConsensusService, pool: PeerPool
    ) -> OperatorsApplication:
        assert self.leadership is not None
        view = ControlView(self.state, consensus, self.leadership.reports, self.clock)
        timelines = PeerTimelines(
            self.recorder, pool, lambda: self._other_processes(pool), _wall_ms
        )
        service = OperatorService(view, consensus, declaration, timelines)
        return OperatorsApplication(service, self.settings.tokens, self.recorder.counters)

    async def _other_processes(self, pool: PeerPool) -> Sequence[Address]:
        """Return the known peer addresses of all other processes of the system.

        Each entry process reports to one control process, so all control processes are queried.
        """
        assert self.leadership is not None
        known = dict.fromkeys(self.settings.peers)
        known.update(dict.fromkeys(self.leadership.entry_addresses()))

        async def ask(control: Address) -> None:
            try:
                reply = await pool.call(control, AskProcesses(), ASK_TIMEOUT_S)
            except MarigolddoorError:
                # The timeline lists this control process as missing.
                return
            if isinstance(reply, ProcessesReply):
                known.update(dict.fromkeys(map(Address, reply.addresses)))

        async with anyio.create_task_group() as group:
            for control in self.settings.peers:
                group.start_soon(ask, control)
        return tuple(known)

    async def _request_rounds(self, consensus: ConsensusService, manager: Manager) -> None:
        """Request a round of decisions after each applied batch."""
        while True:
            await consensus.applied.wait()
            manager.request_round()

    async def _record_elections(self, consensus: ConsensusService) -> None:
        was_leader = False
        while True:
            replica = consensus.replica
            is_leader = replica is not None and replica.is_leader
            if is_leader != was_leader:
                self._record(EventKind.ELECTION_WON if is_leader else EventKind.ELECTION_LOST)
            was_leader = is_leader
            await consensus.role_changed.wait()

    def _is_leader(self) -> bool:
        return self.consensus is not None and self.consensus.is_leader

    def _record(self, kind: EventKind) -> None:
        self.recorder.record(kind, _wall_ms(), Subject())

    def _record_in_force(self, process: ProcessId, revision: Any) -> None:
        self.recorder.record(
            EventKind.REVISION_IN_FORCE, _wall_ms(), Subject(revision=revision), f"on {process}"
        )


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
