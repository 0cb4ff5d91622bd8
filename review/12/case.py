"""Jobs of a queue with advice come at once; those that the adviser can't serve soon never start."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from bed3 import TROUBLE, Adviser, pool, route, run_case, service  # noqa: E402

STEP = {"count": 1, "cpu": 1000, "mem-mb": 256, "estimated-ms": 500, "work_s": 0.5}
JOBS = 60
MEAN_PER_S = 3.0
# A queue asks about five times its mean in its turn.
PEAK_PER_S = 15.0
DECISION_MS, PER_WORKER_MS, VALIDITY_MS = 60, 4, 3000
# `finish_s` of the sites.
FINISH_S = 14.0


async def case(deployment, record):
    work = deployment.work
    executors = pool(deployment, 12)
    # Half of the executors may run the steps of the queue.
    allowed = {executor.name for executor in executors[::2]}
    work.adviser = Adviser(
        record, DECISION_MS, PER_WORKER_MS, VALIDITY_MS, lambda step, worker: worker in allowed
    )
    fields = {"decision-ms": DECISION_MS, "per-worker-ms": PER_WORKER_MS, "validity-ms": VALIDITY_MS}
    await deployment.start(executors, [service()], [route(advice=fields)])
    await asyncio.sleep(4)
    calls = []
    for _ in range(JOBS):
        calls.append(asyncio.create_task(deployment.submit([STEP])))
        await asyncio.sleep(1 / (PEAK_PER_S if TROUBLE else MEAN_PER_S))
    jobs = await asyncio.gather(*calls)
    end_of_traffic = record.now()
    adviser = work.adviser
    # For each job, since when it has nothing running; the executors are watched each 0.1 s.
    idle_since = {job: end_of_traffic for job in jobs}
    breaks = {}
    cores = sum(executor.cores for executor in executors if executor.name in allowed)
    next_line = 0.0
    while record.now() < end_of_traffic + FINISH_S + 25:
        await asyncio.sleep(0.1)
        now = record.now()
        running = {task.split(".")[0] for executor in executors for task in executor.runs}
        done = {task.split(".")[0] for _, task, _, _, how in work.ends if how == "done"}
        used = sum(executor.used_cpu() for executor in executors) / 1000
        if now > next_line:
            next_line = now + 2
            record.write(
                f"{len(done)} of {len(jobs)} jobs done, {used:.0f} cores in use; adviser: "
                f"{adviser.answered} answered, {adviser.refused} refused (429), {adviser.left} whose"
                f" caller gave up, {adviser.waiting} waiting"
            )
        is_half_used = used >= 0.5 * 16 * len(executors) or cores - used < 2
        for job in jobs:
            if job in running or job in done or is_half_used:
                idle_since[job] = now
            elif now - max(idle_since[job], end_of_traffic + FINISH_S) >= 3 and job not in breaks:
                asked = adviser.asked_steps.get(f"{job}.0.0", 0)
                breaks[job] = (
                    f"LOST: job {job} has had nothing running for 3 s at {now:.1f} s,"
                    f" {now - end_of_traffic:.1f} s after the end of the traffic; {used:.0f} of"
                    f" {16 * len(executors)} cores in use; its step was asked about {asked} times"
                )
    for job in jobs[-3:]:
        record.say(f"job {job} is shown as {await deployment.state(job)}")
    return list(breaks.values())


run_case(Path(__file__).resolve().parent, case)
