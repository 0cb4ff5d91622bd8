"""An executor that drains is cut off one way, and the acknowledgement of its last call is lost."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from small_site import breaks_of_twice, new_job, run_case  # noqa: E402

EXECUTORS = 6  # one of them is 0.17 of all, and of the service
CUT_S = 5.5
REMAINING_MS = 4000
WORK_MS, ESTIMATED_MS = 7000, 4500
# It has to end some seconds after a last call that nobody acknowledged.
END_AFTER_S = 4.0


async def case(site):
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    await site.start(executors=0)
    for _ in range(EXECUTORS):
        executor = await site.add_executor(begin=False)
        await executor.start_behind_proxies()
        executor.begin_beats()
    await asyncio.sleep(3.5)
    job = new_job()
    steps = [{"count": 6, "cpu": 2500, "mem-mb": 2500, "estimated-ms": ESTIMATED_MS}]
    status = await site.submit(job, steps, {"work-ms": WORK_MS})
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(1.0)
    leaving = next(executor for executor in site.executors if executor.runs)
    # Its planned end: it drains, and goes on for a while after the acknowledgement.
    # As in a release, the new one starts first.
    await site.add_executor()
    await asyncio.sleep(0.5)
    leaving.tasks[1].cancel()
    await asyncio.sleep(0.1)
    leaving.state, leaving.remaining_ms = "draining", REMAINING_MS
    if not await leaving.beat():
        raise RuntimeError("the heartbeat was not acknowledged")
    site.record(f"{leaving.name}: draining, acknowledged; its tasks: {', '.join(leaving.runs)}")
    for left_ms in (2600, 1200):
        await asyncio.sleep(1.4)
        leaving.remaining_ms = left_ms
        if not await leaving.beat():
            raise RuntimeError("the heartbeat was not acknowledged")
    if has_trouble:
        leaving.cut_inward()
        heal = asyncio.get_running_loop().call_later(CUT_S, leaving.heal)
    await asyncio.sleep(1.2)
    began = site.record.now()
    if not await leaving.deregister():
        await asyncio.sleep(max(0.0, began + END_AFTER_S - site.record.now()))
    leaving.end()
    if has_trouble:
        heal.cancel()
        leaving.heal()
    for _ in range(30):
        await asyncio.sleep(1.0)
        status, value = await site.client("GET", job)
        if status == 200 and value["state"] == "completed":
            break
    return breaks_of_twice(site.ledger)


sys.exit(run_case(FOLDER, case))
