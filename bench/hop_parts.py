"""The child processes of `measure_hop`: a target, an entry process and a client.

Each is started as `python -m bench.hop_parts NAME ...` and prints one line of JSON with results.
"""

import argparse
import json
import os
import resource
import sys
import time
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpx
from hdrh.histogram import HdrHistogram
from hypercorn.asyncio import serve
from hypercorn.config import Config
from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    LogIndex,
    PoolId,
    ProcessId,
    RackId,
    ServiceId,
    TeamId,
    VmId,
)
from marigolddoor_core.ports import NoQuorumError
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.objects import Change, ObjectKind, VmRecord
from marigolddoor_core.state.results import Result
from marigolddoor_core.targets import Announcement, Resources
from marigolddoor_entry.local_targets import LocalTargets
from marigolddoor_entry.ports import EntryPorts
from marigolddoor_entry.process import EntryProcess
from marigolddoor_entry.settings import EntrySettings
from marigolddoor_wire.peers import Address

ANSWER = b"x" * 512
BODY = b"y" * 256
SLOTS = 8
CAPACITY = Resources(16.0, 32_768)
HEADERS = {
    "marigolddoor-service": "renewals",
    "marigolddoor-team": "pantry",
    "marigolddoor-request-id": "direct",
}


def print_json(**fields: Any) -> None:
    """Print a line of JSON, which the parent reads."""
    print(json.dumps(fields), flush=True)


def cpu_s() -> float:
    """Return the processor time of this process."""
    return time.process_time()


async def target_app(scope: dict[str, Any], receive: Any, send: Any) -> None:
    """Answer a request like a target, with the echoed request id and a small body."""
    if scope["type"] != "http":
        return
    while (await receive()).get("more_body"):
        pass
    echo = next(value for name, value in scope["headers"] if name == b"marigolddoor-request-id")
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(ANSWER)),
        (b"marigolddoor-request-id", echo),
    ]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": ANSWER})


async def read_commands() -> AsyncIterator[bytes]:
    """Yield the input from the parent, until the parent closes the pipe."""
    while True:
        await anyio.wait_readable(sys.stdin.fileno())
        data = os.read(sys.stdin.fileno(), 4096)
        if not data:
            return
        yield data


async def report_usage() -> None:
    """Print the processor time and peak memory at each input, until the input ends."""
    async for _ in read_commands():
        peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        print_json(cpu_s=cpu_s(), rss_kb=peak_kb)


async def run_target() -> None:
    """Run a target until the parent closes the pipe."""
    config = Config()
    sockets = config._create_sockets(["127.0.0.1:0"])
    port = sockets[0].getsockname()[1]
    config.bind = [f"fd://{sockets[0].detach()}"]
    config.errorlog = None
    config.keep_alive_max_requests = 1_000_000
    done = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_serve_target, config, done)
        print_json(address=f"127.0.0.1:{port}")
        await report_usage()
        done.set()


async def _serve_target(config: Config, done: anyio.Event) -> None:
    await serve(target_app, config, shutdown_trigger=done.wait, mode="asgi")


class _NoConsensus:
    """The measured service is idempotent, so nothing is proposed."""

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Raise `NoQuorumError`."""
        raise NoQuorumError("not measured")


async def run_entry(addresses: list[str]) -> None:
    """Run an entry process with the targets at `addresses` in one pool."""
    local = LocalTargets()
    ports = EntryPorts(_NoConsensus(), local, local)
    settings = EntrySettings(
        ProcessId("e"), DataCentreId("dc"), Address("127.0.0.1:0"), drain_s=0.0, stop_timeout_s=1.0
    )
    entry = EntryProcess(settings, ports)
    index = LogIndex(1)
    pool = PoolId("renewals")
    changes = [
        Change(
            ObjectKind.SERVICE, "renewals", index, Service(ServiceId("renewals"), pool, True, 8)
        ),
        Change(ObjectKind.POOL, "renewals", index, Pool(pool, len(addresses), 1, 1)),
        Change(ObjectKind.TEAM, "pantry", index, Team(TeamId("pantry"), 1000, 1.0)),
    ]
    for number, address in enumerate(addresses):
        vm = VmId(f"vm-{number}")
        record = VmRecord(
            vm, DataCentreId("dc"), RackId("r"), address, CAPACITY, SLOTS, pool, Epoch(1)
        )
        changes.append(Change(ObjectKind.VM, vm, index, record))
    async with anyio.create_task_group() as group:
        bound = await group.start(entry.run)
        entry.apply_changes(index, changes, True)
        group.start_soon(_announce, entry, local, addresses)
        print_json(address=bound.callers)
        await report_usage()
        group.cancel_scope.cancel()


async def _announce(entry: EntryProcess, local: LocalTargets, addresses: list[str]) -> None:
    while True:
        for number, address in enumerate(addresses):
            announcement = Announcement(
                vm=VmId(f"vm-{number}"),
                data_centre=DataCentreId("dc"),
                rack=RackId("r"),
                address=address,
                slots=SLOTS,
                busy_slots=0,
                capacity=CAPACITY,
                epoch=Epoch(1),
            )
            local.announce(announcement, entry.clock())  # type: ignore[arg-type]
        entry.targets_changed()
        await anyio.sleep(1.0)


async def run_client(address: str, rate: float, seconds: float, connections: int) -> None:
    """Send requests at a steady rate; rate 0 sends one after another on each connection."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    failures = 0
    sent = 0
    limits = httpx.Limits(max_connections=connections, max_keepalive_connections=connections)
    async with httpx.AsyncClient(
        base_url=f"http://{address}", limits=limits, timeout=30.0, trust_env=False
    ) as client:

        async def send_one(due: float) -> None:
            nonlocal failures
            response = await client.post("/x", content=BODY, headers=HEADERS)
            if response.status_code != 200 or response.content != ANSWER:
                failures += 1
            # Counts from the time at which the request was due, so that a stall is not hidden.
            histogram.record_value(max(1, int((time.monotonic() - due) * 1e6)))

        async def repeat(until: float) -> None:
            nonlocal sent
            while time.monotonic() < until:
                sent += 1
                await send_one(time.monotonic())

        async with anyio.create_task_group() as group:
            for _ in range(connections):
                group.start_soon(send_one, time.monotonic())
        histogram.reset()
        started_cpu_s = cpu_s()
        begin = time.monotonic()
        async with anyio.create_task_group() as group:
            if rate == 0:
                for _ in range(connections):
                    group.start_soon(repeat, begin + seconds)
            else:
                while sent < rate * seconds:
                    due = begin + sent / rate
                    await anyio.sleep(max(0.0, due - time.monotonic()))
                    group.start_soon(send_one, due)
                    sent += 1
        took_s = time.monotonic() - begin
        used_s = cpu_s() - started_cpu_s
    print_json(
        sent=sent,
        failures=failures,
        cpu_s=used_s,
        seconds=took_s,
        p50_ms=histogram.get_value_at_percentile(50) / 1000,
        p99_ms=histogram.get_value_at_percentile(99) / 1000,
    )


def main() -> None:
    """Run the named process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=["target", "entry", "client"])
    parser.add_argument("addresses", nargs="*")
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--connections", type=int, default=16)
    arguments = parser.parse_args()
    if arguments.part == "target":
        anyio.run(run_target)
    elif arguments.part == "entry":
        anyio.run(run_entry, arguments.addresses)
    else:
        anyio.run(
            run_client,
            arguments.addresses[0],
            arguments.rate,
            arguments.seconds,
            arguments.connections,
        )


if __name__ == "__main__":
    main()
