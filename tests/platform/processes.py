"""A whole system of real processes on loopback addresses, which tests stop and start again."""

import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import anyio
import httpx
from anyio.abc import Process, TaskGroup
from marigolddoor_standins.loopback import free_host, free_port
from marigolddoor_standins.platform_executor import PlatformExecutor, RunLedger

from tests.platform.system import CONFIGURATION, QUEUE_HOST

CONTROL = (free_host(), free_host(), free_host())
ENTRIES = (free_host(), free_host())
GRACE_S = 6.0
# The platform checks readiness once a second and takes an entry process out after two misses.
READINESS_INTERVAL_S = 1.0
READINESS_MISSES = 2


class SystemProcesses:
    """Control and entry processes, and executors in the event loop of the test."""

    def __init__(self, group: TaskGroup, folder: Path, contracts: str = "base") -> None:
        self.group = group
        self.contracts = contracts
        self.folder = folder
        self.control_port, self.peer_port = free_port(), free_port()
        self.callers_port, self.ready_port = free_port(), free_port()
        self.metrics_port = free_port()
        self.ledger = RunLedger()
        self.running: dict[str, Process] = {}
        self.misses = dict.fromkeys(ENTRIES, 0)
        self.seeds = list(CONTROL)
        self.version = CONFIGURATION["version"]
        # Without teams no key is needed.
        self.teams: list[dict[str, Any]] | None = None
        self.configuring = anyio.Lock()
        # Processes that were killed after the grace period, or ended with another status than 0.
        self.faults: list[str] = []
        self.client = httpx.AsyncClient(follow_redirects=True, timeout=1.0)

    def write_settings(self, host: str, is_first: bool) -> Path:
        """Write the settings file of a process."""
        data_folder = self.folder / f"data-{host}"
        lines = {
            "node-name": f"node-{host}",
            "ip": host,
            "zone": "east",
            "internal-port-range": f"{self.peer_port},{self.peer_port}",
            "metrics-port": str(self.metrics_port),
            "seeds": ",".join(f"{seed}:{self.control_port}" for seed in self.seeds),
            "bootstrap": "true" if is_first else "false",
            "bounds.hold-max-ms": "6000",
            "bounds.lease-ms": "3000",
            "bounds.grace-s": str(int(GRACE_S)),
            "fault-tolerance.machines": "1",
            "contracts": self.contracts,
        }
        if host in CONTROL:
            data_folder.mkdir(exist_ok=True)
            lines |= {"listen.control": f"{host}:{self.control_port}", "data-dir": str(data_folder)}
        else:
            lines |= {
                "listen.frontend": f"{host}:{self.callers_port}",
                "listen.ready": f"{host}:{self.ready_port}",
            }
        path = self.folder / f"settings-{host}.conf"
        new = path.with_suffix(".new")
        new.write_text("\n".join(f"{name}={value}" for name, value in lines.items()))
        return new.rename(path)

    async def start(self, host: str, is_first: bool = False) -> None:
        """Start a process."""
        environment = {
            **os.environ,
            "MARIGOLDDOOR_BOOT": str(self.write_settings(host, is_first)),
        }
        with (self.folder / f"log-{host}.txt").open("ab") as log:
            self.running[host] = await anyio.open_process(
                [sys.executable, "-m", "marigolddoor_platform"],
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def stop(self, host: str) -> None:
        """Send SIGTERM and wait for the end, with SIGKILL after the grace period."""
        process = self.running[host]
        process.terminate()
        with anyio.move_on_after(GRACE_S) as scope:
            status = await process.wait()
        if scope.cancelled_caught:
            process.kill()
            await process.wait()
            self.faults.append(f"{host} did not end within {GRACE_S} s")
        elif status != 0:
            self.faults.append(f"{host} ended with status {status}")

    async def restart(self, host: str) -> None:
        """Stop a process, start it again and wait until it serves."""
        await self.stop(host)
        await self.start(host)
        await self.wait_until_serving(host)

    async def pause(self, host: str, duration_s: float) -> None:
        """Stop the execution of a process for a time, as a frozen VM does."""
        process = self.running[host]
        process.send_signal(signal.SIGSTOP)
        try:
            await anyio.sleep(duration_s)
        finally:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def kill(self, host: str) -> None:
        """Kill a process, start it again and wait until it serves."""
        self.running[host].kill()
        await self.running[host].wait()
        await self.start(host)
        await self.wait_until_serving(host)

    async def wait_until_serving(self, host: str) -> None:
        """Wait until a process answers."""
        if host in ENTRIES:
            url = f"http://{host}:{self.ready_port}/readiness"
        else:
            url = f"http://{host}:{self.control_port}/configuration/read"
        while True:
            try:
                if (await self.client.get(url)).status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            await anyio.sleep(0.05)

    async def kill_all(self) -> None:
        """Kill all processes, at the end of a test."""
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def leader(self) -> str | None:
        """Return the host of the leader, if one answers."""
        for host in CONTROL:
            try:
                url = f"http://{host}:{self.control_port}/configuration/read"
                answer = await self.client.get(url, follow_redirects=False)
            except httpx.HTTPError:
                continue
            if answer.status_code == 200:
                return host
        return None

    async def configure(self, teams: list[dict[str, Any]] | None = None) -> None:
        """Send the next version of the configuration until it is acknowledged.

        `teams` replaces the teams of the version before.
        """
        async with self.configuring:
            self.version += 1
            self.teams = self.teams if teams is None else teams
            body = {**CONFIGURATION, "version": self.version}
            if self.teams is not None:
                body["tenants"] = self.teams
            while not await self._send_configuration(body):
                await anyio.sleep(0.1)

    async def _send_configuration(self, body: dict[str, Any]) -> bool:
        for host in CONTROL:
            try:
                url = f"http://{host}:{self.control_port}/configuration/replace"
                if (await self.client.post(url, json=body)).status_code == 200:
                    return True
            except httpx.HTTPError:
                continue
        return False

    async def check_readiness(self) -> None:
        """Check the readiness of the entry processes, as the platform does, until cancelled."""
        async with httpx.AsyncClient(timeout=READINESS_INTERVAL_S) as client:
            while True:
                for host in ENTRIES:
                    try:
                        url = f"http://{host}:{self.ready_port}/readiness"
                        is_ready = (await client.get(url)).status_code == 200
                    except httpx.HTTPError:
                        is_ready = False
                    self.misses[host] = 0 if is_ready else self.misses[host] + 1
                await anyio.sleep(READINESS_INTERVAL_S)

    def choose_entry(self, rng: random.Random) -> str:
        """Return the entry process that gets a new connection."""
        in_rotation = [host for host in ENTRIES if self.misses[host] < READINESS_MISSES]
        return rng.choice(in_rotation or list(ENTRIES))

    async def run(self) -> None:
        """Start and configure the system."""
        for host in CONTROL + ENTRIES:
            await self.start(host, is_first=True)
        for number in range(3):
            control = [f"{host}:{self.control_port}" for host in CONTROL]
            executor = PlatformExecutor(f"i-{number}", "desk", control, self.ledger)
            self.group.start_soon(executor.run)
        await self.configure()
        for host in ENTRIES:
            await self.wait_until_serving(host)
        self.group.start_soon(self.check_readiness)


class Connection:
    """A caller's connection to an entry process."""

    def __init__(self, url: str) -> None:
        self.client = httpx.AsyncClient(
            base_url=url,
            headers={"Host": QUEUE_HOST},
            limits=httpx.Limits(max_connections=1, max_keepalive_connections=1),
            timeout=httpx.Timeout(5.0, connect=1.0),
        )
        self.sent_at = 0.0

    async def call(
        self, method: str, job: str, deadline_s: float, body: Any = None, key: str = ""
    ) -> httpx.Response:
        """Send one request, with a key if it is not empty."""
        self.sent_at = time.monotonic()
        content = None if body is None else json.dumps(body).encode()
        headers = {"X-Deadline-Ms": str(int(deadline_s * 1000))}
        if key:
            headers["X-Credential"] = key
        return await self.client.request(method, f"/tasks/{job}", content=content, headers=headers)
