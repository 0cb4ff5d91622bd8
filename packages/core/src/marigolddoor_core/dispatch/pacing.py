"""How fast fillers work beside tasks that serve users.

How much images disturb each other is not known and changes within seconds, so the pace follows the
tail latency that the executor measures: down fast when it nears the target, up slowly.
"""

from marigolddoor_core.dispatch.executors import Executor, PlacedRun
from marigolddoor_core.instants import Instant

__all__ = ["FULL_PACE", "plan_pace"]

FULL_PACE = 100
# Above this share of its target a serving task is close to harm, so fillers work half as fast.
NEAR_TARGET = 0.85
# Below this share there is room to let fillers work faster again.
FAR_FROM_TARGET = 0.6
# What fillers get more each time. From a stop to full speed takes at least five reports.
STEP_UP = 20
# Less than this is not worth the memory traffic; the filler stands still.
LEAST_PACE = 10
# Executors measure over half a second, so an earlier figure does not show the last change yet.
SETTLING_S = 0.6


def plan_pace(executor: Executor, now: Instant) -> list[tuple[PlacedRun, int]]:
    """Return the fillers of an executor whose pace changes, with their new percentages."""
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
        if not placed.task.step.spec.is_filler or placed.is_stopping:
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
    return pace if pace >= LEAST_PACE else 0
