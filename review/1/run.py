"""Machines are added while the core has no power, and the seeds are exchanged: see claim.txt."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (
    Executor,
    Ledger,
    System,
    configuration,
    http,
    job_id,
    run_script,
)  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DARK_S = 9.5  # herd_kill on the core, power: `for_s` of the site file
SEED_LAG_S = 3.0
CONTACT_S = 4.0
CONFIG_APPLY_S = 2.5
RECOVERY_S = 15.0
SMALL_JOBS = 10


def small_job():
    return json.dumps({"spec": "w", "steps": [{"count": 2, "cpu": 500, "mem-mb": 256}]}).encode()


async def main(record):
    with tempfile.TemporaryDirectory() as folder:
        system = System(folder, record, control=8, entries=2, losses=2)
        try:
            return await play(system, Ledger(record), record)
        finally:
            system.close()
            if os.environ.get("KEEP_LOGS"):
                for path in Path(folder).glob("log-*"):
                    Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())


async def read_version(system, host):
    """Read the configuration at one node; follow a 307 twice. None: a 5xx or no response."""
    port, path = system.ports["control"], "/configuration/read"
    try:
        for _ in range(3):
            status, found, body = await http(host, port, "GET", path, timeout=1.0)
            if status != 307:
                break
            host = found["location"].removeprefix("http://").partition(":")[0]
    except Exception:
        return None
    return json.loads(body)["version"] if status == 200 else None


async def send_version(system, version, first):
    """Send a configuration as the operator does: to one node, then to the others."""
    body = json.dumps(configuration(version)).encode()
    nodes = system.control[first:] + system.control[:first]
    for _ in range(3):
        for node in nodes:
            host, port = node, system.ports["control"]
            try:
                for _ in range(3):
                    status, found, _ = await http(
                        host, port, "POST", "/configuration/replace", body, timeout=1.0
                    )
                    if status != 307:
                        break
                    host = found["location"].removeprefix("http://").partition(":")[0]
            except Exception:
                continue
            if status == 200:
                return host
        await asyncio.sleep(0.5)
    return None


async def play(system, ledger, record):
    old = list(system.control)
    block = old[0].rsplit(".", 1)[0]
    # The four spare core machines of the site.
    new = [f"{block}.{number}" for number in (30, 31, 32, 33)]
    last, others = new[0], new[1:]
    for host in old + system.entries:
        system.start(host, first=True)
    for number in range(6):
        await Executor(system, f"i-{number:08x}", ledger, rack=f"r1-{number // 4}").start()
    body = json.dumps(configuration(7)).encode()
    status, _, _ = await system.operator("POST", "/configuration/replace", body)
    record(f"configuration 7: {status}")
    if status != 200 or not await system.wait_ready():
        return 2
    accepted = []
    for _ in range(SMALL_JOBS):
        job = job_id()
        if await system.submit(job, small_job()) == 200:
            accepted.append(job)
    if len(accepted) < SMALL_JOBS:
        return 2
    await asyncio.sleep(3)

    started = time.monotonic()

    async def until(seconds):
        await asyncio.sleep(max(0.0, started + seconds - time.monotonic()))

    if TROUBLE:
        record("all machines with a disk lose power")
        for host in old:
            system.signal(host, signal.SIGKILL)
    await until(0.5)
    # Machines are added: they know the seeds of the operator's list, in which they aren't yet.
    system.control = old + others
    for host in others:
        system.start(host)
    await until(0.5 + SEED_LAG_S + 0.5)
    # The seeds are exchanged for other machines that serve control. All settings files change.
    system.seeds = list(others)
    record(f"the seeds are now {system.seeds}")
    for host in system.control + system.entries:
        system.settings(host, False)
    await until(5.0)
    # One more machine is added.
    system.control = old + new
    system.start(last)
    await until(DARK_S)
    if TROUBLE:
        record("the machines with a disk have power again")
        for host in old:
            system.processes[host].wait()
            system.start(host)
    await asyncio.sleep(RECOVERY_S + CONTACT_S)

    broken = []
    for job in accepted:
        for entry in (system.entries * 2)[:3]:
            status, answer = await system.call("GET", job, entry=entry)
            if status in (200, 410):
                break
        record(f"GET {job}: {status} {answer.decode()[:60]}")
        if status == 410:
            broken.append(f"LOST: job {job} is answered with 410")
    newest = version = 7
    for number in (0, 8, 9):
        version += 1
        host = await send_version(system, version, number)
        record(
            f"configuration {version}, sent first to {system.control[number]}: acknowledged by {host}"
        )
        if host is None:
            continue
        newest = version
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        for node in system.control:
            read = await read_version(system, node)
            record(f"configuration read at {node}: {read}")
            if read is not None and read < newest:
                broken.append(f"CONFIG: {node} answers with {read}, {newest} was acknowledged")
    for job in accepted:
        status, answer = await system.call("GET", job)
        record(f"GET {job}: {status} {answer.decode()[:60]}")
        if status == 410:
            broken.append(f"LOST: job {job} is answered with 410")
    for line in broken:
        record(line)
    record("BROKEN" if broken else "held")
    return 1 if broken else 0


if __name__ == "__main__":
    run_script(main, FOLDER)
