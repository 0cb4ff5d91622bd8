"""A gang ends `done`; of its two workers, which were cut off, one restarted behind the cut."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from bed3 import CONTACT_S, TROUBLE, CannotRun, pool, route, run_case, service  # noqa: E402

WORK_S = 4.0
STEP = {"count": 2, "cpu": 9000, "mem-mb": 256, "gang": True, "estimated-ms": 4000, "work_s": WORK_S}


async def case(deployment, record):
    work = deployment.work
    executors = pool(deployment, 12)
    await deployment.start(executors, [service()], [route()])
    await asyncio.sleep(4)
    job = await deployment.submit([STEP])
    while len(work.starts) < 2:
        await asyncio.sleep(0.02)
        if record.now() > 40:
            raise CannotRun("the gang did not start")
    names = {name for _, _, _, name, _ in work.starts}
    first, second = [executor for executor in executors if executor.name in names]
    # The cut begins 1.5 s before the end of the gang's work.
    await asyncio.sleep(WORK_S - 1.5)
    calm_from = record.now()
    if TROUBLE:
        first.cut()
        second.cut()
        await asyncio.sleep(2.0)
        # Both members have ended `done` by now. One worker crashes and starts again.
        await first.crash()
        await asyncio.sleep(0.3)
        await first.start()
        first.join()
        await asyncio.sleep(1.7)
        second.join()
        calm_from = record.now() + CONTACT_S
    await asyncio.sleep(25)
    state = await deployment.state(job)
    breaks = []
    lapsed = {(task, run) for _, task, run, _, how in work.ends if how == "lapsed"}
    for noted_at, task, run, name, how in work.noted:
        if how != "done" or (task, run) in lapsed:
            continue
        for at, other, number, where, _ in work.starts:
            if at > noted_at:
                breaks.append(
                    f"TWICE: {other} run {number} was started on {where} at {at:.2f} s, after run"
                    f" {run} of its gang had ended done, taken note of at {noted_at:.2f} s ({task})"
                )
    for at, task, run, name, how in work.ends:
        if how == "alone" and at - 3.0 > calm_from:
            breaks.append(f"GANG: {task} run {run} ended alone on {name} at {at:.2f} s")
    record.say(f"job {job} is shown as {state}")
    return breaks


run_case(Path(__file__).resolve().parent, case)
