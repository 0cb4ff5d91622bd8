"""The pace of best-effort tasks that share an executor with tasks that serve users.

The interference between images is not known and changes within seconds, so the pace follows the
tail latency that the executor measures: it falls fast near the target and rises slowly.
"""

from marigolddoor_core.dispatch.executors import Executor, PlacedRun
from marigolddoor_core.instants import Instant

__all__ = ["FULL_PACE", "plan_pace"]

FULL_PACE = 100
# Above this share of its target a serving task is close to degradation, so the pace of best-effort
# tasks is halved.
NEAR_TARGET = 0.85
# Below this share best-effort tasks may speed up again.
FAR_FROM_TARGET = 0.6
# The increase of the pace at each step. From a stop to full speed takes at least five reports.
STEP_UP = 20
# A lower pace does not justify its memory traffic, so the task is paused instead.
MIN_PACE = 10
# Executors measure over half a second, so an earlier figure does not reflect the last change yet.
SETTLING_S = 0.6


def plan_pace(executor: Executor, now: Instant) -> list[tuple[PlacedRun, int]]:
    """Return the best-effort runs of an executor whose pace changes, with their new percentages."""
    worst = max(
        (
            placed.load / placed.task.step.spec.latency_target_ms
            for placed in executor.runs.values()
            if placed.task.step.spec.latency_target_ms and placed.load is not None
        ),
        default=None,
    )
    if worst is None or now - executor.paced_at < SETTLING_S:
        return []
    changes = []
    for placed in executor.runs.values():
        if not placed.task.step.spec.is_best_effort or placed.is_stopping:
            continue
        pace = _next_pace(placed.pace, worst)
        if pace != placed.pace:
            changes.append((placed, pace))
    if changes:
        executor.paced_at = now
    return changes


def _next_pace(pace: int, worst: float) -> int:
    if worst > 1.0:
        pace //= 4
    elif worst > NEAR_TARGET:
        pace //= 2
    elif worst < FAR_FROM_TARGET:
        return min(FULL_PACE, pace + STEP_UP)
    return pace if pace >= MIN_PACE else 0
