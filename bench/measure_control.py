"""Measures the control overhead of an entry process with 320 targets; the baseline has none.

320 is 16,000 workers over 50 control VMs. The targets announce themselves over HTTP at the interval
that the process requests. Announcements, reports to the leader and watches are counted.
"""

import tempfile
from dataclasses import dataclass
from pathlib import Path

import anyio
from marigolddoor_standins.announcer import Announcers
from marigolddoor_standins.folders import SystemFolder, example_organisation
from marigolddoor_standins.operators import Operators
from marigolddoor_standins.processes import DaemonProcesses
from marigolddoor_standins.relay import Relay

from bench.process_usage import read_usage
from bench.rows import Goal, GoalKind, Row

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = example_organisation(ROOT)
TARGETS = 320
# The longest interval between announcements is 20 s, so the load is steady after one.
WARM_UP_S = 25.0
MEASURE_S = 20.0
MAX_CPU_PERCENT = 1.4
MAX_RSS_MB = 64.0
MAX_BYTES_PER_S = 29_000.0


@dataclass(frozen=True, slots=True)
class ControlCost:
    """The resources that one entry process used for control."""

    targets: int
    cpu_percent: float
    rss_mb: float
    bytes_per_s: float
    announcements_per_s: float


async def measure(targets: int, warm_up_s: float = WARM_UP_S) -> ControlCost:
    """Return the cost of holding `targets` targets."""
    with tempfile.TemporaryDirectory() as name:
        folder = SystemFolder(Path(name), data_centres=1, entries=1, log_level="error")
        control, entry = folder.controls[0], folder.entries[0]
        async with anyio.create_task_group() as group, DaemonProcesses() as processes:
            relay = Relay(control.peer)
            relayed = await group.start(relay.run)
            text = entry.settings.read_text()
            entry.settings.write_text(text.replace(f'"{control.peer}"', f'"{relayed}"'))
            await processes.start(control)
            await processes.start(entry)
            operators = Operators(folder.operators)
            await operators.leader_status()
            sizes = {"workers_per_pool": max(6, targets // 5)}
            (await operators.apply(EXAMPLE, 0, parameters=sizes)).raise_for_status()
            announcers = Announcers(entry.targets, targets, "dc0")
            group.start_soon(announcers.run)
            await anyio.sleep(warm_up_s)
            before = read_usage(processes.pid(entry.name))
            bytes_before = relay.transferred_bytes + announcers.transferred_bytes
            announced_before = announcers.announcements
            await anyio.sleep(MEASURE_S)
            after = read_usage(processes.pid(entry.name))
            took_s = after.at_s - before.at_s
            cost = ControlCost(
                targets,
                after.cpu_percent_since(before),
                after.rss_mb,
                (relay.transferred_bytes + announcers.transferred_bytes - bytes_before) / took_s,
                (announcers.announcements - announced_before) / took_s,
            )
            if announcers.errors:
                raise RuntimeError(f"{announcers.errors} announcements failed")
            group.cancel_scope.cancel()
    return cost


def rows() -> list[Row]:
    """Measure without targets and with 320."""
    none = anyio.run(measure, 0, 5.0)
    many = anyio.run(measure, TARGETS)
    return [
        Row(
            "control_cpu_percent",
            many.cpu_percent,
            "percent of a core",
            none.cpu_percent,
            Goal(GoalKind.AT_MOST, MAX_CPU_PERCENT),
        ),
        Row(
            "control_rss_mb",
            many.rss_mb,
            "MB",
            none.rss_mb,
            Goal(GoalKind.AT_MOST, MAX_RSS_MB),
        ),
        Row(
            "control_bytes_per_second",
            many.bytes_per_s,
            "bytes/s",
            none.bytes_per_s,
            Goal(GoalKind.AT_MOST, MAX_BYTES_PER_S),
        ),
    ]
