"""Measures the processor time of a call that is refused by its key, over an accepted one.

Three control processes and an entry process run in this process on loopback addresses, with their
sockets and logs, and so does the client. Executors are absent: what follows the acceptance of a job
is not counted. The processor time of the idle group is taken off.
"""

import json
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count, repeat
from pathlib import Path

import anyio
from loguru import logger
from marigolddoor_platform import main
from marigolddoor_platform.settings import parse_settings
from marigolddoor_standins.loopback import free_host, free_port
from marigolddoor_wire.http_client import HttpNoAnswerError, HttpPool, HttpUnreachableError
from marigolddoor_wire.peers import Address

from bench.rows import Goal, GoalKind, Row

CALLERS = 16
CALLS = 1600
WARM_UP_CALLS = 160
IDLE_S = 2.0
TIMEOUT_S = 5.0
KEY = "valid-key"
JOB = json.dumps({"spec": "x", "steps": [{"count": 2, "cpu": 200, "estimated-ms": 100}]}).encode()
LARGE_BODY = b"x" * 262_144
# A refused caller must not be able to take the processor from the others.
GOAL = Goal(GoalKind.AT_MOST_TIMES_BASELINE, 0.2)


class _System:
    """The processes on loopback addresses."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.control = [free_host() for _ in range(3)]
        self.entry = free_host()
        self.control_port, self.peer_port = free_port(), free_port()
        self.callers_port, self.metrics_port = free_port(), free_port()
        self.ready_port = free_port()
        self.pool = HttpPool(2 * CALLERS)
        self.job_count = 0

    def _settings(self, host: str, **fields: str) -> str:
        lines = {
            "node-name": host,
            "ip": host,
            "zone": "east",
            "internal-port-range": f"{self.peer_port},{self.peer_port}",
            "metrics-port": str(self.metrics_port),
            "seeds": ",".join(f"{seed}:{self.control_port}" for seed in self.control),
            "bootstrap": "true",
            "bounds.hold-max-ms": "6000",
            "bounds.lease-ms": "3000",
            "bounds.grace-s": "6",
            "fault-tolerance.machines": "1",
            "contracts": "base,tenants",
            **fields,
        }
        return "\n".join(f"{name}={value}" for name, value in lines.items())

    async def run_control(self, host: str) -> None:
        """Run a control process."""
        (self.folder / host).mkdir()
        text = self._settings(
            host,
            **{
                "listen.control": f"{host}:{self.control_port}",
                "data-dir": str(self.folder / host),
            },
        )
        await main.run_control(parse_settings(text), anyio.Event())

    async def run_entry(self) -> None:
        """Run the entry process."""
        text = self._settings(
            self.entry,
            **{
                "listen.frontend": f"{self.entry}:{self.callers_port}",
                "listen.ready": f"{self.entry}:{self.ready_port}",
            },
        )
        await main.run_entry(parse_settings(text), anyio.Event())

    async def wait_until_serving(self) -> None:
        """Configure the group and wait until the entry process serves a call."""
        route = {"name": "r", "host": self.entry, "path-prefix": "/q/", "service": "s"}
        configuration = {
            "version": 1,
            "routes": [{**route, "timeout-ms": 3000}],
            "services": [{"name": "s"}],
            "tenants": [{"name": "red", "api-keys": [KEY]}],
        }
        body = json.dumps(configuration).encode()
        while not await self._is_configured(body):
            await anyio.sleep(0.1)
        while await self.submit(KEY, JOB) != 200:
            await anyio.sleep(0.1)

    async def _is_configured(self, body: bytes) -> bool:
        for host in self.control:
            address = Address(f"{host}:{self.control_port}")
            try:
                answer = await self.pool.call(address, "/configuration/replace", body, TIMEOUT_S)
            except (HttpNoAnswerError, HttpUnreachableError):
                continue
            if answer.status == 200:
                return True
        return False

    async def submit(self, key: str, body: bytes) -> int:
        """Submit a new job; return the status, 0 without an answer."""
        self.job_count += 1
        address = Address(f"{self.entry}:{self.callers_port}")
        headers = (("X-Credential", key),)
        try:
            path = f"/q/j{self.job_count}"
            answer = await self.pool.call(address, path, body, TIMEOUT_S, headers)
        except (HttpNoAnswerError, HttpUnreachableError):
            return 0
        return answer.status


@dataclass(frozen=True, slots=True)
class _Times:
    """Processor times of a call in us: refused by the leader, refused again, and accepted."""

    refused_us: float
    refused_large_us: float
    repeated_us: float
    repeated_large_us: float
    accepted_us: float


class _UnexpectedAnswerError(Exception):
    """A call was not answered as expected, so its cost is that of another call."""


async def _time_calls_us(system: _System, keys: Iterator[str], body: bytes, expected: int) -> float:
    """Return the processor time of a call that is answered with `expected`, less the idle time."""
    started_s, began_at = time.process_time(), time.monotonic()
    await anyio.sleep(IDLE_S)
    idle_share = (time.process_time() - started_s) / (time.monotonic() - began_at)

    async def call(number: int) -> None:
        for _ in range(number):
            status = await system.submit(next(keys), body)
            if status != expected:
                raise _UnexpectedAnswerError(f"{status} instead of {expected}")

    async def run(calls: int) -> None:
        async with anyio.create_task_group() as callers:
            for _ in range(CALLERS):
                callers.start_soon(call, calls // CALLERS)

    await run(WARM_UP_CALLS)
    started_s, began_at = time.process_time(), time.monotonic()
    await run(CALLS)
    busy_s = time.process_time() - started_s - idle_share * (time.monotonic() - began_at)
    return busy_s / CALLS * 1e6


async def measure_us() -> _Times:
    """Return the processor times of calls, in us."""
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as group:
            system = _System(Path(folder))
            for host in system.control:
                group.start_soon(system.run_control, host)
            group.start_soon(system.run_entry)
            with anyio.fail_after(60):
                await system.wait_until_serving()
            wrong_keys = (f"wrong-key-{number}" for number in count())
            times = _Times(
                await _time_calls_us(system, wrong_keys, JOB, 401),
                await _time_calls_us(system, wrong_keys, LARGE_BODY, 401),
                await _time_calls_us(system, repeat("wrong-key"), JOB, 401),
                await _time_calls_us(system, repeat("wrong-key"), LARGE_BODY, 401),
                await _time_calls_us(system, repeat(KEY), JOB, 200),
            )
            group.cancel_scope.cancel()
    return times


def rows() -> list[Row]:
    """Return the processor time of refusals by key; the baseline is that of an acceptance.

    Keys of `key_refusal_us` are all different; those of the other row are the same.
    """
    logger.remove()
    times = anyio.run(measure_us, backend_options={"use_uvloop": True})
    print(
        f"# key refusals with a body of {len(LARGE_BODY)} bytes: {times.refused_large_us:.0f} us,"
        f" with the same key {times.repeated_large_us:.0f} us"
    )
    return [
        Row("key_refusal_us", times.refused_us, "us", times.accepted_us, GOAL),
        Row("key_refusal_repeated_us", times.repeated_us, "us", times.accepted_us, GOAL),
    ]
