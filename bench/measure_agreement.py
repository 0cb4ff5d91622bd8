"""Measures durable claims per second, and the recovery time of a restarted member.

Three control processes run in this process, on one loop, over loopback sockets and with synced
files in the folder for temporary files.
"""

import random
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
from anyio.abc import TaskGroup, TaskStatus
from loguru import logger
from marigolddoor_control.consensus_service import ConsensusService, ReplicaSettings
from marigolddoor_core.declaration import Declaration, Pool, Service
from marigolddoor_core.ids import (
    DataCentreId,
    IdempotencyKey,
    OperatorId,
    OrganisationId,
    PoolId,
    ProcessId,
    RackId,
    RequestId,
    Revision,
    ServiceId,
    VmId,
)
from marigolddoor_core.state.commands import ApplyDeclaration, Claim, RegisterVm
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import ClaimGranted, DeclarationAccepted, Done
from marigolddoor_core.targets import Resources
from marigolddoor_storage import ReplicaStore
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.peers import Address, PeerPool, PeerServer

from bench.rows import Goal, GoalKind, Row

KEY = SharedKey(b"bench" * 8)
VOTERS = 3
CALLERS = 256
CLAIM_SECONDS = 4.0
CHANGES = 1_000
CHANGED_VMS = 200
RESTARTS = 5
NO_SNAPSHOT_BYTES = 10**12
SIZE = Resources(16.0, 32_000, 0)
ORDERS = ServiceId("orders")
WEB = PoolId("web")
DECLARATION = Declaration(
    OrganisationId("bench"), (Service(ORDERS, WEB, False, 6),), (Pool(WEB, 200, 100, 20),), (), ()
)


class Process:
    """One control process."""

    def __init__(self, settings: ReplicaSettings, folder: Path) -> None:
        self.settings = settings
        self.folder = folder
        self.machine = StateMachine()
        self.agreement: ConsensusService
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Run until killed."""
        with self.scope:
            async with PeerPool(KEY) as pool, anyio.create_task_group() as tasks:
                store = ReplicaStore(self.folder)
                self.agreement = ConsensusService(
                    self.settings, store, self.machine, pool, random.Random()
                )
                server = PeerServer(KEY, self.agreement.handle)
                await tasks.start(server.run, self.settings.address)
                task_status.started()
                await self.agreement.run()
        self.ended.set()

    async def kill(self) -> None:
        """End the process without a clean shutdown."""
        self.scope.cancel()
        await self.ended.wait()


@asynccontextmanager
async def running_group(
    snapshot_after_bytes: int | None,
) -> AsyncIterator[tuple[list[Process], TaskGroup]]:
    """Run a consensus group until the block ends; the first process is the leader."""
    addresses = free_addresses(VOTERS)
    with tempfile.TemporaryDirectory() as root:
        async with anyio.create_task_group() as tasks:
            processes = []
            for number, address in enumerate(addresses):
                folder = Path(root) / str(number)
                folder.mkdir()
                peers = tuple(other for other in addresses if other != address)
                settings = ReplicaSettings(f"r{number}", address, peers)
                if snapshot_after_bytes is not None:
                    settings = ReplicaSettings(
                        f"r{number}", address, peers, snapshot_after_bytes=snapshot_after_bytes
                    )
                processes.append(Process(settings, folder))
                await tasks.start(processes[-1].run)
            while not is_complete(processes[0].agreement):
                await anyio.sleep(0.01)
            yield processes, tasks
            tasks.cancel_scope.cancel()


def is_complete(agreement: ConsensusService) -> bool:
    """Return whether the process is the leader of a group with all voters."""
    replica = agreement.replica
    if replica is None or not agreement.is_leader:
        return False
    return len(replica.configuration.voters) == VOTERS


def free_addresses(count: int) -> list[Address]:
    """Return loopback addresses that are not in use."""
    sockets = [socket.socket() for _ in range(count)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    addresses = sorted(Address(f"127.0.0.1:{bound.getsockname()[1]}") for bound in sockets)
    for bound in sockets:
        bound.close()
    return addresses


async def claims_per_second(agreement: ConsensusService, callers: int, prefix: str) -> float:
    """Return the rate of granted claims with `callers` callers, each with one claim in flight."""
    granted = 0
    started_s = time.monotonic()
    until_s = started_s + CLAIM_SECONDS
    deadline_s = agreement.consensus_time() + 60.0

    async def call(caller: int) -> None:
        nonlocal granted
        number = 0
        while time.monotonic() < until_s:
            key = IdempotencyKey(f"{prefix}-{caller}-{number}")
            claim = Claim(ORDERS, key, b"d" * 32, ProcessId("entry-1"), deadline_s)
            result = await agreement.propose(claim)
            assert isinstance(result, ClaimGranted)
            granted += 1
            number += 1

    async with anyio.create_task_group() as tasks:
        for caller in range(callers):
            tasks.start_soon(call, caller)
    return granted / (time.monotonic() - started_s)


async def declare(agreement: ConsensusService) -> None:
    """Declare the service and the pool."""
    command = ApplyDeclaration(Revision(0), RequestId("r"), OperatorId("bench"), DECLARATION)
    assert isinstance(await agreement.propose(command), DeclarationAccepted)


async def measure_claims() -> tuple[float, float]:
    """Return the rates of many callers and of one, for which every claim needs a sync."""
    async with running_group(None) as (processes, _):
        agreement = processes[0].agreement
        await declare(agreement)
        one = await claims_per_second(agreement, 1, "one")
        many = await claims_per_second(agreement, CALLERS, "many")
        return many, one


async def measure_recovery(snapshot_after_bytes: int | None) -> float:
    """Return the longest time from a restart of a member to its first linearizable read."""
    async with running_group(snapshot_after_bytes) as (processes, tasks):
        await declare(processes[0].agreement)
        await register_vms(processes[0].agreement)
        expected = processes[0].machine.snapshot()
        longest_s = 0.0
        member = processes[-1]
        await member.agreement.read_barrier()
        for _ in range(RESTARTS):
            await member.kill()
            started_s = time.monotonic()
            member = Process(member.settings, member.folder)
            await tasks.start(member.run)
            await member.agreement.read_barrier()
            longest_s = max(longest_s, time.monotonic() - started_s)
            assert member.machine.snapshot() == expected
        return longest_s


async def register_vms(agreement: ConsensusService) -> None:
    """Commit the registrations, ten at a time."""

    async def register(numbers: Sequence[int]) -> None:
        for number in numbers:
            vm = VmId(f"vm-{number % CHANGED_VMS}")
            command = RegisterVm(
                vm, DataCentreId("east"), RackId("r1"), "127.0.0.1:1", SIZE, 8, WEB
            )
            assert isinstance(await agreement.propose(command), Done)

    async with anyio.create_task_group() as tasks:
        for first in range(10):
            tasks.start_soon(register, range(first, CHANGES, 10))


def rows() -> list[Row]:
    """Measure claims per second and the recovery after a restart."""
    logger.disable("marigolddoor_control")
    many, one = anyio.run(measure_claims)
    recovery_s = anyio.run(measure_recovery, None)
    replay_s = anyio.run(measure_recovery, NO_SNAPSHOT_BYTES)
    return [
        Row("claims_per_second", many, "1/s", one, Goal(GoalKind.AT_LEAST_TIMES_BASELINE, 5.0)),
        Row("recovery_seconds", recovery_s, "s", replay_s, Goal(GoalKind.AT_MOST, 1.0)),
    ]
