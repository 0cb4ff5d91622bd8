"""Measures the time from the acceptance of a revision until all entry processes have it in force.

There are nine real processes: a control and two entry processes in each of three data centres. The
times are those of the timeline's events. The baseline is an operator who pushes the declaration to
each entry process in turn, with a new connection for each.
"""

import json
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import anyio
import httpx
from marigolddoor_standins.folders import SystemFolder, example_organisation
from marigolddoor_standins.operators import Operators
from marigolddoor_standins.processes import DaemonProcesses

from bench.rows import Goal, GoalKind, Row

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = example_organisation(ROOT)
REVISIONS = 20
ENTRY_PROCESSES = 6
MAX_ROLLOUT_S = 1.0
ROLLOUT_TIMEOUT_S = 10.0
MS_PER_S = 1000.0


async def measure() -> tuple[float, float]:
    """Return the longest roll-out and the longest sequential push, in seconds."""
    with tempfile.TemporaryDirectory() as name:
        folder = SystemFolder(Path(name), data_centres=3, entries=2, log_level="error")
        async with DaemonProcesses() as processes:
            async with anyio.create_task_group() as group:
                for files in [*folder.controls, *folder.entries]:
                    group.start_soon(processes.start, files)
            operators = Operators(folder.operators)
            await operators.leader_status()
            rollouts = []
            pushes = []
            for revision in range(1, REVISIONS + 1):
                parameters = {"support_floor": 1 + revision % 5}
                applied = await operators.apply(EXAMPLE, revision - 1, parameters=parameters)
                applied.raise_for_status()
                rollouts.append(await _rollout_s(operators, revision))
                pushes.append(await _push_s(folder))
    return max(rollouts), max(pushes)


async def _rollout_s(operators: Operators, revision: int) -> float:
    with anyio.fail_after(ROLLOUT_TIMEOUT_S):
        while True:
            events = (await operators.get("/v1/timeline", revision=str(revision)))["events"]
            accepted = [_time_ms(e) for e in events if e["kind"] == "revision accepted"]
            in_force = {
                e["process"]: _time_ms(e)
                for e in events
                if e["kind"] == "revision in force" and e["process"].startswith("entry-")
            }
            if accepted and len(in_force) == ENTRY_PROCESSES:
                return (max(in_force.values()) - accepted[0]) / MS_PER_S
            await anyio.sleep(0.02)


def _time_ms(event: dict[str, Any]) -> float:
    return float(event["time"]["physical_ms"])


async def _push_s(folder: SystemFolder) -> float:
    template = tomllib.loads((EXAMPLE.parent / "template.toml").read_text())
    body = json.dumps(template).encode()
    start = time.monotonic()
    for entry in folder.entries:
        async with httpx.AsyncClient() as client:
            await client.post(f"http://{entry.callers}/", content=body)
    return time.monotonic() - start


def rows() -> list[Row]:
    """Measure the roll-out of 20 revisions."""
    rollout_s, push_s = anyio.run(measure)
    goal = Goal(GoalKind.AT_MOST, MAX_ROLLOUT_S)
    return [Row("rollout_seconds_max", rollout_s, "s", push_s, goal)]
