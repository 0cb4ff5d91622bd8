"""A consensus group of control processes in one test process, on real sockets and files."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from loguru import logger
from marigolddoor_control.consensus_service import ConsensusService, ReplicaSettings
from marigolddoor_core.consensus import Member, Replica
from marigolddoor_core.ids import ClaimId, IdempotencyKey, LogIndex, ProcessId, ServiceId
from marigolddoor_core.state.commands import Claim, Command
from marigolddoor_core.state.results import ClaimGranted, Result
from marigolddoor_standins.loopback import free_host, free_port
from marigolddoor_storage import Files, ReplicaStore
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.messages import TargetDelta
from marigolddoor_wire.peers import Address, PeerPool, PeerServer

logger.disable("marigolddoor_control")

KEY = SharedKey(b"k" * 32)


def claim(key: str) -> Claim:
    """Return a claim on the idempotency key `key`."""
    return Claim(ServiceId("s"), IdempotencyKey(key), b"d" * 32, ProcessId("p"), 9e9)


class KeyList:
    """A state machine that stores the keys of the claims, in order."""

    def __init__(self) -> None:
        self.keys: list[str] = []
        self.times_s: list[float] = []

    def apply(self, index: LogIndex, command: Command) -> Result:
        assert isinstance(command, Claim)
        self.keys.append(command.key)
        self.times_s.append(command.time_s)
        return ClaimGranted(ClaimId(index))

    def snapshot(self) -> Any:
        return TargetDelta(ProcessId("p"), 0, True, (), tuple(self.keys))  # type: ignore[arg-type]

    def restore(self, snapshot: Any) -> None:
        self.keys = list(snapshot.gone)


class Process:
    """A control process: a peer server, a pool and a consensus service in one cancel scope."""

    def __init__(
        self, settings: ReplicaSettings, folder: Path, files: Files | None, machine: Any
    ) -> None:
        self.settings = settings
        self.folder = folder
        self.files = files
        self.machine = machine
        self.consensus: ConsensusService
        self.rng = random.Random()
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    @property
    def replica(self) -> Replica:
        """Return the replica, which exists once `ready` has returned."""
        assert self.consensus.replica is not None
        return self.consensus.replica

    @property
    def voters(self) -> tuple[Member, ...]:
        """Return the voters in the configuration of this process."""
        return self.replica.configuration.voters

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        with self.scope:
            async with PeerPool(KEY) as pool, anyio.create_task_group() as group:
                store = ReplicaStore(self.folder, self.files)
                self.consensus = ConsensusService(
                    self.settings, store, self.machine, pool, self.rng
                )
                await group.start(PeerServer(KEY, self.consensus.handle).run, self.settings.address)
                task_status.started()
                await self.consensus.run()
                group.cancel_scope.cancel()
        self.ended.set()

    async def ready(self) -> None:
        """Wait until the replica runs and knows the leader."""
        while self.consensus.replica is None or self.consensus.leader is None:
            await anyio.sleep(0.01)

    async def kill(self) -> None:
        """End the process abruptly, without a leadership transfer."""
        self.scope.cancel()
        await self.ended.wait()


class Group:
    """Processes that have each other as peers."""

    def __init__(self, root: Path, count: int, tasks: Any, **settings: Any) -> None:
        self.root = root
        self.tasks = tasks
        self.settings = settings
        self.host = free_host()
        self.addresses = [self.free_address() for _ in range(count)]
        self.processes: list[Process] = []
        self.new_machine: Callable[[], Any] = KeyList
        self.new_process: Callable[..., Process] = Process

    def free_address(self) -> Address:
        """Return an unused address, which is greater than those returned before."""
        return Address(f"{self.host}:{free_port()}")

    async def start(self, number: int, files: Files | None = None) -> Process:
        """Start or restart the process with this number in its folder."""
        folder = self.root / str(number)
        folder.mkdir(exist_ok=True)
        peers = tuple(address for i, address in enumerate(self.addresses) if i != number)
        settings = ReplicaSettings(f"r{number}", self.addresses[number], peers, **self.settings)
        process = self.new_process(settings, folder, files, self.new_machine())
        await self.tasks.start(process.run)
        if number < len(self.processes):
            self.processes[number] = process
        else:
            self.processes.append(process)
        return process

    @property
    def running(self) -> list[Process]:
        """Return the processes that have not ended."""
        return [process for process in self.processes if not process.ended.is_set()]

    async def leader(self, voters: int | None = None) -> Process:
        """Wait for a leader whose configuration has all voters."""
        expected = len(self.addresses) if voters is None else voters
        while True:
            for process in self.running:
                if process.consensus.is_leader and len(process.voters) == expected:
                    return process
            await anyio.sleep(0.01)

    async def follower(self) -> Process:
        """Wait for a process that knows the leader and is not the leader."""
        leader = await self.leader()
        while True:
            for process in self.running:
                if process is not leader and process.consensus.leader == leader.settings.address:
                    return process
            await anyio.sleep(0.01)


@asynccontextmanager
async def running_group(
    root: Path, count: int, new_machine: Callable[[], Any] = KeyList, **settings: Any
) -> AsyncIterator[Group]:
    """Run `count` processes until the block ends."""
    async with anyio.create_task_group() as tasks:
        group = Group(root, count, tasks, **settings)
        group.new_machine = new_machine
        for number in range(count):
            await group.start(number)
        yield group
        tasks.cancel_scope.cancel()
