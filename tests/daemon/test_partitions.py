"""Guards against wrong answers and double runs while a data centre is partitioned, and after.

All processes run on one loop over real sockets; links across the partition lose every message.
"""

import tempfile
from contextvars import ContextVar
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpx
import testtools
from anyio.abc import TaskGroup
from marigolddoor_control import process as control_process
from marigolddoor_daemon.roles import run_roles
from marigolddoor_daemon.settings import load_settings
from marigolddoor_entry import runtime as entry_runtime
from marigolddoor_standins.folders import ProcessFiles, SystemFolder, example_organisation
from marigolddoor_standins.ledger import Ledger
from marigolddoor_standins.operators import Operators
from marigolddoor_standins.target import Target, TargetSettings
from marigolddoor_wire.errors import PeerTimeoutError
from marigolddoor_wire.peers import Address, PeerPool

ROOT = Path(__file__).resolve().parent.parent.parent
EXAMPLE = example_organisation(ROOT)
TARGETS = 15
TEST_TIMEOUT_S = 90.0
# The data centre of the process started in this context.
STARTING_IN: ContextVar[str] = ContextVar("STARTING_IN")


@dataclass
class Network:
    """The data centres that are partitioned from all others."""

    data_centre_of: dict[Address, str] = field(default_factory=dict)
    partitioned: set[str] = field(default_factory=set)

    def is_blocked(self, source: str, address: Address) -> bool:
        destination = self.data_centre_of[address]
        return source != destination and bool({source, destination} & self.partitioned)


def partitionable(network: Network) -> type[PeerPool]:
    """Return a peer pool whose links lose messages across a partition."""

    class PartitionablePool(PeerPool):
        """Drops messages to and from the data centre of its process while it is partitioned."""

        def __init__(self, *args: Any, **kwargs: Any) -> None:
            super().__init__(*args, **kwargs)
            self.data_centre = STARTING_IN.get()

        async def call(self, address: Address, message: Any, timeout_s: float) -> Any:
            if network.is_blocked(self.data_centre, address):
                await anyio.sleep(timeout_s)
                raise PeerTimeoutError(f"no reply from {address}")
            reply = await super().call(address, message, timeout_s)
            if network.is_blocked(self.data_centre, address):
                # The partition began while the reply was in flight.
                raise PeerTimeoutError(f"no reply from {address}")
            return reply

        async def post(self, address: Address, message: Any) -> bool:
            if network.is_blocked(self.data_centre, address):
                return True
            return await super().post(address, message)

    return PartitionablePool


class PartitionTest(testtools.TestCase):
    """Each side of a partition serves what it can and reports the correct outcome otherwise."""

    scenarios = [
        (
            f"{service} in {name}",
            {"side": side, "service": service, "during": during, "restarts": restarts},
        )
        for name, side, service, during, restarts in [
            ("the partitioned data centre", 0, "support", "answered", False),
            ("the partitioned data centre after a restart", 0, "support", "answered", True),
            ("the partitioned data centre", 0, "orders", "not-run", False),
            ("the other side", 1, "orders", "answered", False),
        ]
    ]

    def test_requests(self) -> None:
        network = Network()
        self.patch(control_process, "PeerPool", partitionable(network))
        self.patch(entry_runtime, "PeerPool", partitionable(network))
        with tempfile.TemporaryDirectory() as name:
            anyio.run(self.run_system, Path(name), network)

    async def run_system(self, path: Path, network: Network) -> None:
        folder = SystemFolder(path, data_centres=3, entries=1, log_level="error")
        for files in [*folder.controls, *folder.entries]:
            network.data_centre_of[Address(files.peer)] = files.data_centre
        ledger = Ledger()
        operators = Operators(folder.operators)
        self.stops: dict[str, anyio.Event] = {}
        self.ends: dict[str, anyio.Event] = {}
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with (
                httpx.AsyncClient() as client,
                anyio.create_task_group() as targets,
                anyio.create_task_group() as group,
            ):
                for files in [*folder.controls, *folder.entries]:
                    self.start(group, files)
                await operators.leader_status()
                (await operators.apply(EXAMPLE, 0)).raise_for_status()
                for number in range(TARGETS):
                    await targets.start(Target(_settings(folder, number), ledger).run)
                while (await operators.leader_status())["ready"] < TARGETS:
                    await anyio.sleep(0.1)
                await self.check(folder, network, ledger, operators, client, group)
                for stop in self.stops.values():
                    stop.set()
                targets.cancel_scope.cancel()

    def start(self, group: TaskGroup, files: ProcessFiles) -> None:
        """Start a process as part of its data centre."""
        STARTING_IN.set(files.data_centre)
        stop = self.stops[files.name] = anyio.Event()
        end = self.ends[files.name] = anyio.Event()

        async def run() -> None:
            await run_roles(load_settings(files.settings), stop)
            end.set()

        group.start_soon(run)

    async def restart(self, group: TaskGroup, files: ProcessFiles, client: Any) -> None:
        """Restart a process and wait until it listens."""
        self.stops[files.name].set()
        await self.ends[files.name].wait()
        self.start(group, files)
        while True:
            try:
                await client.get(f"http://{files.callers}/healthz")
                return
            except httpx.TransportError:
                await anyio.sleep(0.05)

    async def check(
        self,
        folder: SystemFolder,
        network: Network,
        ledger: Ledger,
        operators: Operators,
        client: httpx.AsyncClient,
        group: TaskGroup,
    ) -> None:
        entry = folder.entries[self.side]
        before = await self.send(client, entry, "before")
        self.assertEqual("answered", before)
        # Partitioning the data centre of the leader is the hardest case.
        leader = (await operators.leader_status())["leader"]
        files = next(one for one in folder.controls if leader.startswith(one.name))
        unreachable = files.data_centre
        network.partitioned.add(unreachable)
        inside = next(one for one in folder.entries if one.data_centre == unreachable)
        outside = next(one for one in folder.entries if one.data_centre != unreachable)
        entry = inside if self.side == 0 else outside
        if self.restarts:
            await self.restart(group, entry, client)
        with anyio.fail_after(TEST_TIMEOUT_S):
            while (outcome := await self.send(client, entry, "during")) != self.during:
                self.assertEqual("not-run", outcome)
                await anyio.sleep(0.1)
        runs = 1 if self.during == "answered" else 0
        self.assertEqual(runs, ledger.requests["during"])
        revision = await self.change_outside(folder, unreachable)
        network.partitioned.clear()
        with anyio.fail_after(TEST_TIMEOUT_S):
            while True:
                status = await operators.leader_status()
                current = [one["revision"] for one in status["in_force"] if one["age_s"] < 2.5]
                if len(current) == len(folder.entries) and min(current) == revision:
                    break
                await anyio.sleep(0.1)
            while await self.send(client, inside, "after") != "answered":
                await anyio.sleep(0.1)
        for key in ("before", "during", "after"):
            self.assertLessEqual(ledger.requests[key], 1 if self.service == "orders" else 2)

    async def change_outside(self, folder: SystemFolder, unreachable: str) -> int:
        """Apply a change on the side with the quorum and return its revision."""
        urls = [
            f"http://{one.operators}" for one in folder.controls if one.data_centre != unreachable
        ]
        outside = Operators(urls)
        base = (await outside.leader_status())["revision"]
        applied = await outside.apply(EXAMPLE, base, parameters={"support_floor": 3})
        applied.raise_for_status()
        return int(applied.json()["revision"])

    async def send(self, client: httpx.AsyncClient, entry: ProcessFiles, key: str) -> str:
        """Send one request and return its outcome."""
        headers = {
            "Marigolddoor-Service": self.service,
            "Marigolddoor-Team": "grocers",
            "Marigolddoor-Deadline-Ms": "3000",
            "Idempotency-Key": key,
        }
        url = f"http://{entry.callers}/"
        answer = await client.post(url, headers=headers, content=b"jar", timeout=20.0)
        return answer.headers["marigolddoor-outcome"]


def _settings(folder: SystemFolder, number: int) -> TargetSettings:
    data_centre = f"dc{number % 3}"
    return TargetSettings(
        f"vm-{number}", data_centre, f"rack-{number % 2}", folder.targets_urls(data_centre)
    )
