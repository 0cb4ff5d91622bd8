"""An empty executor is added; a job that needs the label of another one never starts."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from small_site import new_job, run_case  # noqa: E402

# LOST: `finish_s` after the end of the traffic, here the hand-in of the job, nothing of it runs for
# 3 s on end though its turn has come and there is room.
FINISH_S, IDLE_S = 14.0, 3.0
WATCH_S = 20.0
CPU, MEMORY = 1000, 512


async def case(site):
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Another service has eight executors, the queue's service four, of which one is of kind b.
    site.services = ["huvo11a", "kafi81c"]
    await site.start(executors=0)
    for number in range(12):
        service = site.services[1 if number < 8 else 0]
        executor = await site.add_executor(begin=False, service=service)
        executor.kind = "b" if number == 8 else "a"
        await executor.start()
        executor.begin_beats()
        await asyncio.sleep(0.2)
    special = site.executors[8]
    await asyncio.sleep(2.0)
    if has_trouble:
        site.record("an empty executor is added to the four: 0.25 of the service")
        await site.add_executor()
    await asyncio.sleep(5.0)
    job = new_job()
    step = {"count": 2, "cpu": CPU, "mem-mb": MEMORY, "estimated-ms": 500, "required-label": "b"}
    status = await site.submit(job, [step], {"work-ms": 500})
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    accepted = site.record.now()
    idle_since, longest = accepted, 0.0
    is_done = False
    while not is_done and site.record.now() < accepted + WATCH_S:
        await asyncio.sleep(0.05)
        pool = [executor for executor in site.executors if executor.service == special.service]
        used = sum(run.size[0] for executor in pool for run in executor.runs.values())
        free = 16000 - sum(run.size[0] for run in special.runs.values())
        runs = [run for run in site.ledger.runs if run["task"].startswith(job)]
        is_idle = (
            not any(run["end"] is None for run in runs)
            and special.is_up
            and special.state == "ready"
            and free >= 2 * 2 * CPU
            and used < 16000 * len(pool) / 2
        )
        if not is_idle:
            idle_since = site.record.now()
        longest = max(longest, site.record.now() - idle_since)
        is_done = sum(run["how"] == "done" for run in runs) == 2
    await site.client("GET", job)
    site.record(f"nothing of the job ran for {longest:.1f} s on end")
    if longest <= FINISH_S + IDLE_S:
        return []
    return [
        f"LOST {job}: nothing of it ran for {longest:.1f} s, though {special.name} is ready, has the"
        f" label b and {free} thousandths of a core free, and the service was almost idle"
    ]


sys.exit(run_case(FOLDER, case))
