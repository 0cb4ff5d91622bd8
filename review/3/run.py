"""An entry process freezes while a route is removed: see claim.txt."""

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (
    QUEUE_HOST,
    Executor,
    Ledger,
    System,
    configuration,
    job_id,
    run_script,
)  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 1.6  # node_freeze; the site's largest is 4 s and more
# Clients of one moment at the frontend that freezes, how often, and when after their requests.
CLIENTS, ROUNDS, FREEZE_AFTER_S = 4, 10, 0.006
OTHER_PREFIX = "/puxa400/"
REJECTIONS = (400, 404, 409, 429, 503)


async def main(record):
    with tempfile.TemporaryDirectory() as folder:
        system = System(folder, record, entries=10)
        try:
            return await play(system, Ledger(record), record)
        finally:
            system.close()
            if os.environ.get("KEEP_LOGS"):
                for path in Path(folder).glob("log-*"):
                    Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())


async def play(system, ledger, record):
    for host in system.control + system.entries:
        system.start(host, first=True)
    for number in range(6):
        executor = Executor(system, f"i-{number:08x}", ledger, rack=f"r1-{number // 4}")
        executor.work_ms = 100
        await executor.start()
    route = {
        "name": "r-k9m68k7", "host": QUEUE_HOST, "path-prefix": OTHER_PREFIX, "kind": "unsafe",
        "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "service": "wuno96b",
        "max-attempts": 3, "slack-factor": 1.6,
    }  # fmt: skip
    body = json.dumps(configuration(7, [route])).encode()
    status, _, _ = await system.operator("POST", "/configuration/replace", body)
    record(f"configuration 7, with {OTHER_PREFIX}: {status}")
    if status != 200 or not await system.wait_ready():
        return 2
    await asyncio.sleep(2)
    frozen = system.entries[0]
    attempts = {}
    job_body = json.dumps({"spec": "w", "steps": [{"count": 1, "cpu": 100, "mem-mb": 64}]}).encode()

    async def client():
        """Hand one job in; ask again at another node after no answer, 429, 502, 503 or 504."""
        job = job_id()
        attempts[job] = []
        for attempt in range(5):
            entry = system.entries[attempt % len(system.entries)]
            status, _ = await system.call(
                "POST", job, job_body, 3.0, entry=entry, prefix=OTHER_PREFIX
            )
            attempts[job].append(status)
            record(f"POST {job} to {entry}: {status}")
            if status not in (0, 429, 502, 503, 504):
                return
            await asyncio.sleep(0.3)

    version = 7
    for _ in range(ROUNDS):
        clients = [asyncio.create_task(client()) for _ in range(CLIENTS)]
        await asyncio.sleep(FREEZE_AFTER_S)
        if TROUBLE:
            system.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(0.3)
        for routes in ([], [route]):
            version += 1
            body = json.dumps(configuration(version, routes)).encode()
            status, _, host = await system.operator("POST", "/configuration/replace", body)
            record(f"configuration {version}, {len(routes) + 1} routes: {status} by {host}")
            if status != 200:
                return 2
            if not routes:
                await asyncio.sleep(FREEZE_S - 0.3)
                if TROUBLE:
                    system.signal(frozen, signal.SIGCONT)
                await asyncio.gather(*clients)
                await asyncio.sleep(1.0)
        # Longer than `contact-ms`, with the round before it.
        await asyncio.sleep(2.5)
    started = {task.split(".")[0] for _, task, _, _ in ledger.starts}
    accepted = [job for job, statuses in attempts.items() if statuses[-1] == 200]
    broken = [
        job
        for job, statuses in attempts.items()
        if job in started and statuses and all(status in REJECTIONS for status in statuses)
    ]
    record(f"{len(attempts)} jobs, {len(accepted)} accepted, {len(started)} started")
    for job in broken:
        record(f"REFUSED: {job} ran; all attempts were rejected: {attempts[job]}")
    record("BROKEN" if broken else "held")
    if len(attempts) < CLIENTS * ROUNDS:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    run_script(main, FOLDER)
