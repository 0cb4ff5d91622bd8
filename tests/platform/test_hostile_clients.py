"""Guards against clients that make a process run out of memory or descriptors.

Many large bodies, whole or cut short, many small chunks, endless heads and unread answers made
entry processes grow by hundreds of megabytes until they were ended. The tests check no times and
no share of served requests: a process may refuse such clients or close their connections.
"""

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import httpx
import testscenarios
import testtools
from anyio.abc import Process, TaskGroup
from marigolddoor_core.queue_calls import QueueOutcome, QueueReply
from marigolddoor_platform import main
from marigolddoor_standins import hostile_clients
from marigolddoor_standins.hostile_clients import HostileCrowd, Shape
from marigolddoor_standins.loopback import free_host, free_port
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.peers import Address, PeerServer
from marigolddoor_wire.queue_messages import AskQueue, QueueAnswer

from tests.kept_logs import system_folder
from tests.platform.system import CONFIGURATION
from tests.platform.test_settings import settings_text

HOST = free_host()
LEADER_HOST = free_host()
# The settings of the process. The contract states that clients use at most half of the memory.
MEMORY_MB = 32
MAX_DESCRIPTORS = 96
CLIENTS_KIB = MEMORY_MB * 1024 // 2
# Ends a test that hangs.
HANG_S = 150.0
SHAPES: list[tuple[str, Shape]] = [
    ("whole", hostile_clients.whole),
    ("piece by piece", hostile_clients.piece_by_piece),
    ("short", hostile_clients.short),
    ("large chunks", hostile_clients.large_chunks),
    ("small chunks", hostile_clients.small_chunks),
    ("endless heads", hostile_clients.endless_head),
    ("pipelined", hostile_clients.pipelined),
]


class Target:
    """A process under test and what it holds."""

    def __init__(
        self, process: Process, port: int, readiness: int, path: str, ordinary: httpx.Request
    ) -> None:
        self.process = process
        self.port = port
        self.readiness = readiness
        self.path = path
        self.ordinary = ordinary
        self.most_descriptors = 0

    def memory_kib(self, name: str) -> int:
        """Return the resident memory of the process now (VmRSS), or the largest so far (VmHWM)."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(f"{name}:")[2].split()[0])

    async def watch_descriptors(self) -> None:
        """Record the number of open descriptors until the process ends."""
        while self.process.returncode is None:
            try:
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            except OSError:
                return
            self.most_descriptors = max(self.most_descriptors, count)
            await anyio.sleep(0.005)

    async def call(self, request: httpx.Request) -> int:
        """Send a request until it is answered, as the contract says after a refusal."""
        while True:
            try:
                async with httpx.AsyncClient(timeout=5.0) as client:
                    status = (await client.send(request)).status_code
            except httpx.TransportError:
                status = 0
            if status == 200:
                return status
            await anyio.sleep(0.2)


async def start_process(folder: Path, **settings: str | None) -> Process:
    path = folder / "settings.conf"
    limits = {"limits__memory_mb": str(MEMORY_MB), "limits__max_fds": str(MAX_DESCRIPTORS)}
    path.write_text(settings_text(ip=HOST, metrics_port=str(free_port()), **limits, **settings))
    return await anyio.open_process(
        [sys.executable, "-m", "marigolddoor_platform"],
        env={**os.environ, "MARIGOLDDOOR_BOOT": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


async def start_entry(group: TaskGroup, folder: Path, released: anyio.Event) -> Target:
    """Start an entry process whose leader answers the crowd's requests after `released`."""

    async def answer(message: Any) -> QueueAnswer:
        if isinstance(message, AskQueue) and message.call.path.startswith("/hostile/"):
            await released.wait()
        return QueueAnswer(QueueReply(QueueOutcome.ANSWERED, phase="active"), ())

    callers, readiness, peer = free_port(), free_port(), free_port()
    leader = PeerServer(SharedKey(main.PLATFORM_KEY), answer)
    await group.start(leader.run, Address(f"{LEADER_HOST}:{peer}"))
    process = await start_process(
        folder,
        listen__control=None,
        listen__frontend=f"{HOST}:{callers}",
        listen__ready=f"{HOST}:{readiness}",
        internal_port_range=f"{peer},{peer}",
        seeds=f"{LEADER_HOST}:8623",
    )
    ordinary = httpx.Request("POST", f"http://{HOST}:{callers}/ordinary/1", content=b"{}")
    return Target(process, callers, readiness, "/hostile/", ordinary)


async def start_entry_for_checks(group: TaskGroup, folder: Path, released: anyio.Event) -> Target:
    """Start an entry process whose readiness address is the target."""
    target = await start_entry(group, folder, released)
    target.port = target.readiness
    target.ordinary = httpx.Request("GET", f"http://{HOST}:{target.port}/readiness")
    return target


async def start_control(group: TaskGroup, folder: Path, released: anyio.Event) -> Target:
    """Start a control process that leads alone."""
    control, peer = free_port(), free_port()
    process = await start_process(
        folder,
        listen__control=f"{HOST}:{control}",
        data_dir=str(folder),
        fault_tolerance__machines="0",
        internal_port_range=f"{peer},{peer}",
        seeds=f"{HOST}:{control}",
    )
    url = f"http://{HOST}:{control}/configuration"
    target = Target(process, control, control, "/instances/", httpx.Request("GET", f"{url}/read"))
    await target.call(httpx.Request("POST", f"{url}/replace", json=CONFIGURATION))
    return target


class HostileClientsTest(testtools.TestCase):
    """The process lives, stays within its settings and answers an ordinary request."""

    needs_machine = True
    scenarios = testscenarios.multiply_scenarios(
        [("callers", {"start": start_entry}), ("executors", {"start": start_control})],
        [(name, {"shape": shape}) for name, shape in SHAPES],
    ) + [
        (f"readiness,{name}", {"start": start_entry_for_checks, "shape": shape})
        for name, shape in SHAPES[:3]
    ]

    def test_bounds(self) -> None:
        anyio.run(self._run, backend_options={"use_uvloop": True})

    async def _run(self) -> None:
        released = anyio.Event()
        with system_folder() as folder, anyio.fail_after(HANG_S):
            async with anyio.create_task_group() as group:
                target = await self.start(group, folder, released)
                try:
                    await self._check(group, target, released)
                finally:
                    if target.process.returncode is None:
                        target.process.kill()
                    await target.process.wait()
                group.cancel_scope.cancel()

    async def _check(self, group: TaskGroup, target: Target, released: anyio.Event) -> None:
        await target.call(target.ordinary)
        idle_kib = target.memory_kib("VmRSS")
        group.start_soon(target.watch_descriptors)
        crowd = HostileCrowd(HOST, target.port)
        await crowd.send(self.shape, target.path)
        self.assertIs(None, target.process.returncode)
        released.set()
        self.assertEqual(200, await target.call(target.ordinary))
        growth_kib = target.memory_kib("VmHWM") - idle_kib
        await crowd.close()
        seen = f"grew by {growth_kib} KiB, {target.most_descriptors} descriptors"
        self.assertTrue(growth_kib <= CLIENTS_KIB, seen)
        self.assertTrue(target.most_descriptors <= MAX_DESCRIPTORS, seen)
