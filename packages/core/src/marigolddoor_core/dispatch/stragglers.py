"""Detection of slow executors, and of the runs that should restart elsewhere.

Covers executors that become slow, or whose tasks make no progress, while they answer every call.
The estimate of a single slow task may be wrong, so an executor is judged by tasks of several steps.
"""

from collections.abc import Callable

from marigolddoor_core.dispatch.executors import Executor, PlacedRun
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import TaskRecord

__all__ = ["is_slow", "straggling_runs"]

# Estimates are wrong by up to a half; a cold start or interference adds as much again.
SLOW_FACTOR = 3.0
# Progress is reported in whole percent about twice a second, so it is judged after this time.
MIN_RUNNING_S = 0.7
# The minimum number of steps with slow runs before the executor counts as slow.
MIN_SLOW_STEPS = 2
# The minimum share of the judged runs that has to be slow.
SLOW_SHARE = 0.7
# A stop and a start take this long; a smaller gain does not justify a restart.
RESTART_S = 0.3


def is_slow(executor: Executor, expected_s: Callable[[TaskRecord], float], now: Instant) -> bool:
    """Return whether most batch runs of an executor make far less progress than expected."""
    slow_steps = set()
    slow = judged = 0
    for placed in executor.runs.values():
        progress = _relative_progress(placed, expected_s, now)
        if progress is None:
            continue
        judged += 1
        if progress < 1 / SLOW_FACTOR:
            slow += 1
            slow_steps.add(placed.task.step)
    return len(slow_steps) >= MIN_SLOW_STEPS and slow >= SLOW_SHARE * judged


def straggling_runs(
    executor: Executor, expected_s: Callable[[TaskRecord], float], now: Instant
) -> list[PlacedRun]:
    """Return the runs of a slow executor that would end earlier if restarted elsewhere."""
    runs = []
    for placed in executor.runs.values():
        progress = _relative_progress(placed, expected_s, now)
        if progress is None or progress >= 1 / SLOW_FACTOR or placed.is_stopping:
            continue
        left = max(0.0, 1.0 - placed.percent / 100)
        duration_s = expected_s(placed.task)
        if left * duration_s / max(progress, 0.01) > duration_s + RESTART_S:
            runs.append(placed)
    return runs


def _relative_progress(
    placed: PlacedRun, expected_s: Callable[[TaskRecord], float], now: Instant
) -> float | None:
    """Return the progress relative to the expected one; None if it can't be judged."""
    spec = placed.task.step.spec
    is_batch = not (spec.is_long_running or spec.is_best_effort or spec.is_gang)
    if not is_batch or placed.confirmed_at is None or placed.pace < 100:
        return None
    running_s = now - placed.confirmed_at
    expected = expected_s(placed.task)
    if running_s < max(MIN_RUNNING_S, expected / 2) or expected <= 0:
        return None
    return placed.percent / (100 * min(1.0, running_s / expected))
