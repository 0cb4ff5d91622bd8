"""Processes of a consensus group in virtual time, whose addresses can be lost."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup
from marigolddoor_control.consensus_service import ConsensusService, ReplicaSettings
from marigolddoor_storage import Files, ReplicaStore
from marigolddoor_wire.errors import PeerRefusedError, PeerTimeoutError, PeerUnreachableError
from marigolddoor_wire.peers import CONNECT_TIMEOUT_S, Address

from tests.control.groups import Process

LATENCY_S = 0.0015


class VirtualNetwork:
    """Delivers messages between processes. It stands in for the peer pool of each of them.

    A lost address doesn't answer, so a connection to it takes the whole timeout to fail.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.handlers: dict[Address, Callable[[Any], Awaitable[Any]]] = {}
        self.lost: set[Address] = set()

    async def _connect(self, address: Address, timeout_s: float) -> None:
        if address in self.lost:
            await anyio.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            raise PeerUnreachableError(f"no connection to {address}")
        if address not in self.handlers:
            await anyio.sleep(2 * LATENCY_S)
            raise PeerRefusedError(f"nothing listens at {address}")

    async def call(self, address: Address, message: Any, timeout_s: float) -> Any:
        """Return the reply of a process."""
        await self._connect(address, timeout_s)
        try:
            with anyio.fail_after(timeout_s):
                await anyio.sleep(LATENCY_S)
                reply = await self.handlers[address](message)
                await anyio.sleep(LATENCY_S)
                return reply
        except (TimeoutError, KeyError) as error:
            raise PeerTimeoutError(f"no reply from {address}") from error

    async def post(self, address: Address, message: Any) -> bool:
        """Send a message without a reply."""
        try:
            await self._connect(address, CONNECT_TIMEOUT_S)
        except PeerUnreachableError:
            return False
        self.tasks.start_soon(self._deliver, address, message)
        return True

    async def _deliver(self, address: Address, message: Any) -> None:
        await anyio.sleep(LATENCY_S)
        handler = self.handlers.get(address)
        if handler is not None:
            await handler(message)


class VirtualProcess(Process):
    """A control process on a virtual network."""

    def __init__(
        self,
        network: VirtualNetwork,
        settings: ReplicaSettings,
        folder: Path,
        files: Files | None,
        machine: Any,
    ) -> None:
        super().__init__(settings, folder, files, machine)
        self.network = network

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until killed."""
        address = self.settings.address
        network: Any = self.network
        with self.scope:
            store = ReplicaStore(self.folder, self.files)
            self.consensus = ConsensusService(self.settings, store, self.machine, network, self.rng)
            self.network.handlers[address] = self.consensus.handle
            task_status.started()
            await self.consensus.run()
        self.network.handlers.pop(address, None)
        self.ended.set()
