"""Large jobs that come at once: see claim.txt."""

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import (
    Executor,
    Ledger,
    System,
    configuration,
    job_id,
    run_script,
)  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# By PROTOCOL.md, `limits.max-body-bytes` of the configuration is 262,144.
MAX_BODY_BYTES = 262_144
# Jobs that come at once, how many bursts, and the seconds between them.
LARGE_JOBS = int(os.environ.get("LARGE_JOBS", "26"))
WAVES, GAP_S = int(os.environ.get("WAVES", "9")), 7.0
SMALL_JOBS = 10
FINISH_S = 14
CONTACT_S = 3


def large_job():
    """A workflow whose steps depend on all earlier ones; its body is within the limit."""
    steps, body = [], b""
    while True:
        number = len(steps)
        step = {"count": 1, "cpu": 500, "mem-mb": 256, "estimated-ms": 800}
        if number:
            step["depends-on"] = list(range(number))
        steps.append(step)
        text = json.dumps({"spec": "w", "steps": steps}, indent=4).encode()
        if len(text) > MAX_BODY_BYTES:
            return body
        body = text


def small_job():
    return json.dumps({"spec": "w", "steps": [{"count": 2, "cpu": 500, "mem-mb": 256}]}).encode()


async def main(record):
    with tempfile.TemporaryDirectory() as folder:
        system = System(folder, record, entries=int(os.environ.get("ENTRIES", "9")))
        ledger = Ledger(record)
        try:
            return await play(system, ledger, record)
        finally:
            system.close()
            if os.environ.get("KEEP_LOGS"):
                for path in Path(folder).glob("log-*"):
                    Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())


async def play(system, ledger, record):
    for host in system.control + system.entries:
        system.start(host, first=True)
    watch = asyncio.create_task(system.watch())
    for number in range(6):
        await Executor(system, f"i-{number:08x}", ledger, rack=f"r1-{number // 4}").start()
    body = json.dumps(configuration(7)).encode()
    status, _, _ = await system.operator("POST", "/configuration/replace", body)
    record(f"configuration 7: {status}")
    if status != 200 or not await system.wait_ready():
        record("the system did not start")
        return 2
    accepted = []
    for _ in range(SMALL_JOBS):
        job = job_id()
        if await system.submit(job, small_job()) == 200:
            accepted.append(job)
        await asyncio.sleep(0.1)
    if len(accepted) < SMALL_JOBS or system.ended:
        record("the small jobs were not accepted")
        return 2
    await asyncio.sleep(2)
    large = large_job()
    jobs = [job_id() for _ in range(LARGE_JOBS * WAVES)]
    record(f"{len(jobs)} jobs of {len(large)} bytes, {'at once' if TROUBLE else 'in turn'}")
    if TROUBLE:

        async def submit(number, job):
            await asyncio.sleep(number // LARGE_JOBS * GAP_S)
            return await system.submit(job, large)

        statuses = await asyncio.gather(*(submit(*item) for item in enumerate(jobs)))
    else:
        statuses = [await system.submit(job, large) for job in jobs]
    accepted += [job for job, status in zip(jobs, statuses) if status == 200]
    record(f"large jobs: statuses {sorted(set((s, statuses.count(s)) for s in statuses))}")
    await asyncio.sleep(FINISH_S)
    # The jobs are asked for, with the client's retries at other nodes.
    lost = []
    for job in accepted:
        status = 0
        for entry in (system.entries * 2)[:3]:
            status, answer = await system.call("GET", job, deadline_s=3.0, entry=entry)
            if status in (200, 410):
                break
        record(f"GET {job}: {status} {answer.decode()[:60]}")
        if status != 200:
            lost.append((job, status))
        if len(lost) >= 5:
            break
    ends = {host: sum(1 for ended, _ in system.ended if ended == host) for host in system.control}
    record(f"processes that ended by themselves: {ends}")
    record(f"accepted jobs without an answer: {lost}")
    watch.cancel()
    # Fault: on half of the core, processes end by themselves three times.
    failing = sum(1 for count in ends.values() if count >= 3)
    if 2 * failing >= len(system.control):
        record("BROKEN")
        return 1
    record("held")
    return 0


if __name__ == "__main__":
    run_script(main, FOLDER)
