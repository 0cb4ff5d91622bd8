"""Measures the peak memory of an entry process under hostile clients, over its limit.

The baseline is the same process without the limit in its settings, so that nothing bounds what it
holds. 800 connections with bodies of 262,000 bytes took 532 MB of an entry process of 200 MB.
"""

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import httpx
from marigolddoor_standins.hostile_clients import (
    HostileCrowd,
    Shape,
    large_chunks,
    short,
    whole,
)
from marigolddoor_standins.loopback import free_host, free_port

from bench.rows import Goal, GoalKind, Row

MEMORY_MB = 200
CONNECTIONS = 800
SHAPES: tuple[Shape, ...] = (whole, short, large_chunks)
# The rest of the machine's memory is for the system.
GOAL = Goal(GoalKind.AT_MOST, 0.9)
START_S = 20.0


def _settings(host: str, callers: int, ready: int, is_limited: bool) -> str:
    lines = {
        "node-name": "entry-1",
        "ip": host,
        "zone": "east",
        "internal-port-range": f"{free_port()},{free_port()}",
        "metrics-port": str(free_port()),
        "seeds": f"{host}:{free_port()}",
        "listen.frontend": f"{host}:{callers}",
        "listen.ready": f"{host}:{ready}",
        "bounds.hold-max-ms": "6000",
        "bounds.lease-ms": "3000",
        "bounds.grace-s": "6",
        "fault-tolerance.machines": "1",
        "limits.max-fds": "4100",
    }
    if is_limited:
        lines["limits.memory-mb"] = str(MEMORY_MB)
    return "\n".join(f"{name}={value}" for name, value in lines.items())


async def _wait_until_serving(url: str) -> None:
    deadline = time.monotonic() + START_S
    async with httpx.AsyncClient() as client:
        while True:
            try:
                await client.get(url)
                return
            except httpx.TransportError:
                if time.monotonic() > deadline:
                    raise
                await anyio.sleep(0.05)


async def measure_ratio(shape: Shape, is_limited: bool) -> float:
    """Return the peak resident memory of an entry process over `MEMORY_MB`."""
    host, callers, ready = free_host(), free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.conf"
        path.write_text(_settings(host, callers, ready, is_limited))
        process = await anyio.open_process(
            [sys.executable, "-m", "marigolddoor_platform"],
            env={**os.environ, "MARIGOLDDOOR_BOOT": str(path)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            await _wait_until_serving(f"http://{host}:{ready}/readiness")
            crowd = HostileCrowd(host, callers, CONNECTIONS)
            await crowd.send(shape, "/hostile/")
            status = Path(f"/proc/{process.pid}/status").read_text()
            await crowd.close()
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024 / MEMORY_MB


def rows() -> list[Row]:
    """Return the largest ratio over the shapes of traffic."""

    def largest(is_limited: bool) -> float:
        return max(
            anyio.run(measure_ratio, shape, is_limited, backend_options={"use_uvloop": True})
            for shape in SHAPES
        )

    return [Row("held_bytes_ratio", largest(True), "", largest(False), GOAL)]
