"""A whole system on loopback addresses: control processes, an entry process and executors."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from marigolddoor_core.consensus import Timing
from marigolddoor_platform import main
from marigolddoor_platform.settings import parse_settings
from marigolddoor_standins.loopback import free_host, free_port
from marigolddoor_standins.platform_executor import PlatformExecutor, RunLedger
from marigolddoor_storage import StorageError

from tests.kept_logs import system_folder_with_log

HOSTS = (free_host(), free_host(), free_host())
ENTRY_HOST = free_host()
QUEUE_HOST = "queues.example"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": QUEUE_HOST,
            "path-prefix": "/tasks/",
            "kind": "unsafe",
            "timeout-ms": 3000,
            "target-latency-ms": 600,
            "priority": 0,
            "service": "desk",
            "max-attempts": 3,
            "slack-factor": 1.6,
        }
    ],
    "services": [{"name": "desk", "enforces-capacity": True, "standby": False}],
    "limits": {},
}
# Longer timeouts than in production prevent spurious elections on a busy machine.
TIMING = Timing(0.2, 1.0, 1.6, 0.9, 2.0)


def _first_cause(failure: BaseException) -> BaseException:
    while isinstance(failure, BaseExceptionGroup):
        failure = failure.exceptions[0]
    return failure


class PlatformSystem:
    """Processes in one event loop; each can be ended abruptly, like a killed process."""

    def __init__(self, group: TaskGroup, folder: Path) -> None:
        self.group = group
        self.folder = folder
        self.control_port = free_port()
        self.peer_port = free_port()
        self.callers_port = free_port()
        self.ready_port = free_port()
        self.metrics_port = free_port()
        self.ledger = RunLedger()
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.executors: dict[str, PlatformExecutor] = {}
        self.failures: dict[str, BaseException] = {}
        self.client = httpx.AsyncClient(follow_redirects=True, timeout=3.0)

    def settings(self, host: str, is_first: bool = True, **fields: str) -> str:
        """Return the text of a settings file."""
        seeds = ",".join(f"{seed}:{self.control_port}" for seed in HOSTS)
        lines = {
            "node-name": f"node-{host}",
            "ip": host,
            "zone": "east",
            "internal-port-range": f"{self.peer_port},{self.peer_port}",
            "metrics-port": str(self.metrics_port),
            "seeds": seeds,
            "bootstrap": "true" if is_first else "false",
            "bounds.hold-max-ms": "6000",
            "bounds.lease-ms": "3000",
            "bounds.grace-s": "6",
            "fault-tolerance.machines": "1",
            **{name.replace("__", "."): value for name, value in fields.items()},
        }
        return "\n".join(f"{name}={value}" for name, value in lines.items())

    def start_control(self, host: str, is_first: bool = True) -> None:
        """Start a control process on its data folder, which may contain files of an earlier run."""
        (self.folder / host).mkdir(exist_ok=True)
        text = self.settings(
            host,
            is_first,
            listen__control=f"{host}:{self.control_port}",
            **{"data-dir": str(self.folder / host)},
        )
        self._start(host, lambda: main.run_control(parse_settings(text), anyio.Event(), TIMING))

    def start_entry(self) -> None:
        """Start the entry process."""
        host = ENTRY_HOST
        text = self.settings(
            host,
            listen__frontend=f"{host}:{self.callers_port}",
            listen__ready=f"{host}:{self.ready_port}",
        )
        self._start("entry", lambda: main.run_entry(parse_settings(text), anyio.Event()))

    def start_executor(self, name: str) -> None:
        """Start an executor."""
        control = [f"{host}:{self.control_port}" for host in HOSTS]
        executor = PlatformExecutor(name, "desk", control, self.ledger)
        self.executors[name] = executor
        self._start(name, executor.run)

    def _start(self, name: str, run: Callable[[], Any]) -> None:
        scope = self.scopes[name] = anyio.CancelScope()

        async def run_in_scope() -> None:
            with scope:
                try:
                    await run()
                except* StorageError as group:
                    self.failures[name] = _first_cause(group)

        self.group.start_soon(run_in_scope)

    def kill(self, name: str) -> None:
        """End a process abruptly, without a graceful shutdown."""
        self.scopes.pop(name).cancel()

    def delete_files(self, host: str) -> None:
        """Delete the files of a control process, so that its next write fails."""
        for file in (self.folder / host).iterdir():
            file.unlink()

    async def configure(self) -> None:
        """Send the configuration until a control process accepts it."""
        await self._retry_until_true(
            lambda: self._call_operators_interface("configuration/replace", CONFIGURATION)
        )

    async def leader(self) -> str:
        """Return the host of the leader."""
        found: list[str] = []

        async def find_leader() -> bool:
            for host in self.scopes:
                if host not in HOSTS:
                    continue
                try:
                    url = f"http://{host}:{self.control_port}/configuration/read"
                    answer = await self.client.get(url, follow_redirects=False)
                except httpx.HTTPError:
                    continue
                if answer.status_code == 200:
                    found.append(host)
                    return True
            return False

        await self._retry_until_true(find_leader)
        return found[-1]

    async def submit(self, job: str, steps: list[dict[str, Any]], duration_s: float) -> int:
        """Submit a job, with retries until it is accepted or rejected; return the status."""
        statuses: list[int] = []

        async def send() -> bool:
            document = {"spec": str(duration_s), "steps": steps}
            statuses.append(await self._call("POST", job, document))
            return statuses[-1] in (200, 400, 404)

        await self._retry_until_true(send)
        return statuses[-1]

    async def state(self, job: str) -> str:
        """Return the state of a job as callers read it, or the HTTP status of an error."""
        answer = await self._request("GET", job, None)
        return str(answer.json()["state"]) if answer.status_code == 200 else str(answer.status_code)

    async def cancel(self, job: str) -> int:
        """Cancel a job; return the status."""
        return await self._call("DELETE", job, None)

    async def wait_state(self, job: str, state: str) -> None:
        """Wait until a job has a state."""

        async def has_state() -> bool:
            return await self.state(job) == state

        await self._retry_until_true(has_state)

    async def _call_operators_interface(self, path: str, body: dict[str, Any]) -> bool:
        for host in HOSTS:
            try:
                url = f"http://{host}:{self.control_port}/{path}"
                answer = await self.client.post(url, json=body)
            except httpx.HTTPError:
                continue
            if answer.status_code == 200:
                return True
        return False

    async def _call(self, method: str, job: str, body: Any) -> int:
        return (await self._request(method, job, body)).status_code

    async def _request(self, method: str, job: str, body: Any) -> httpx.Response:
        url = f"http://{ENTRY_HOST}:{self.callers_port}/tasks/{job}"
        content = None if body is None else json.dumps(body).encode()
        try:
            return await self.client.request(
                method, url, content=content, headers={"Host": QUEUE_HOST}
            )
        except httpx.HTTPError:
            return httpx.Response(599)

    async def _retry_until_true(self, attempt: Callable[[], Any]) -> None:
        while not await attempt():
            await anyio.sleep(0.1)


def run_system(test: Callable[[PlatformSystem], Any], timeout_s: float = 60.0) -> None:
    """Run a test with a started and configured system."""

    async def run() -> None:
        with system_folder_with_log() as folder:
            async with anyio.create_task_group() as group:
                system = PlatformSystem(group, folder)
                with anyio.fail_after(timeout_s):
                    for host in HOSTS:
                        system.start_control(host)
                    system.start_entry()
                    for number in range(3):
                        system.start_executor(f"i-{number}")
                    await system.configure()
                    await test(system)
                await system.client.aclose()
                group.cancel_scope.cancel()

    anyio.run(run)
