"""Unhealthy executors and a killed leader: the number of pending jobs; see claim.txt."""

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
    job_id,
    run_script,
)  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GREY_S = 6.5  # srv_grey, how "errors all"
JOBS = 10
# One executor of 13: a share of .077; the site has .085 with x = 1.0.
EXECUTORS = 13
VISIBLE_S = 3.0
CONTACT_S = 3.0


class GreyExecutor(Executor):
    """Rejects starts with 503 while it is unhealthy; it has then done nothing."""

    grey_until = 0.0

    def run_start(self, body):
        if self.labels[0] == "b" and time.monotonic() < GreyExecutor.grey_until:
            self.ledger("rejected", self, body["task"], body["run"], "503")
            return 503, {}
        return super().run_start(body)


async def main(record):
    with tempfile.TemporaryDirectory() as folder:
        system = System(folder, record)
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
    for number in range(EXECUTORS):
        executor = GreyExecutor(system, f"i-{number:08x}", ledger, rack=f"r1-{number // 4}")
        if number == EXECUTORS - 1:
            executor.labels = ["b", executor.rack]
        await executor.start()
    body = json.dumps(configuration(7)).encode()
    status, _, _ = await system.operator("POST", "/configuration/replace", body)
    record(f"configuration 7: {status}")
    if status != 200 or not await system.wait_ready():
        return 2
    await asyncio.sleep(3)
    job_body = json.dumps(
        {"spec": "w", "steps": [{"count": 1, "cpu": 500, "mem-mb": 256, "required-label": "b"}]}
    ).encode()
    started = time.monotonic()
    if TROUBLE:
        GreyExecutor.grey_until = started + GREY_S
        record(f"the only executor of kind b is unhealthy for {GREY_S} s: it rejects starts")
    accepted = {}
    for _ in range(JOBS):
        job = job_id()
        if await system.submit(job, job_body) == 200:
            accepted[job] = time.monotonic()
    if len(accepted) < JOBS:
        return 2
    await asyncio.sleep(max(0.0, started + 1.0 - time.monotonic()))
    leader = await system.leader()
    record(f"the leader is {leader}")
    if leader is None:
        return 2
    if TROUBLE and os.environ.get("KILL", "1") != "0":
        system.signal(leader, signal.SIGKILL)
        system.processes[leader].wait()
        await asyncio.sleep(0.5)
        system.start(leader)
    calm_at = time.monotonic() + CONTACT_S
    # The rule counts jobs that were accepted over `visible_ms` + 2 s before.
    await asyncio.sleep(
        max(calm_at, max(accepted.values()) + VISIBLE_S + 2.0) + 0.1 - time.monotonic()
    )
    broken = []
    while time.monotonic() < started + GREY_S - 0.1:
        for entry in system.entries:
            sent_at = time.monotonic()
            begun = {task.split(".")[0] for _, task, _, _ in ledger.starts}
            counted = [
                job
                for job, at in accepted.items()
                if job not in begun and at + VISIBLE_S + 2.0 < sent_at
            ]
            status, answer = await system.call("GET", "", entry=entry)
            record(f"GET pending at {entry}: {status} {answer.decode()}; {len(counted)} wait")
            if status == 200 and json.loads(answer)["pending"] < len(counted) / 2:
                broken.append(f"MIXED: {entry} gives {answer.decode()}, {len(counted)} wait")
        await asyncio.sleep(0.3)
    await asyncio.sleep(8)
    for line in broken:
        record(line)
    record("BROKEN" if broken else "held")
    return 1 if broken else 0


if __name__ == "__main__":
    run_script(main, FOLDER)
