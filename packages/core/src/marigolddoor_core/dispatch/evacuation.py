"""Selects the runs to move off an executor that is being emptied or is about to end."""

from collections.abc import Mapping

from marigolddoor_core.dispatch.executors import Executor, PlacedRun
from marigolddoor_core.dispatch.planner import has_destination
from marigolddoor_core.ids import ExecutorIncarnation, TaskName
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import StepRecord, TaskPhase, TaskRecord

__all__ = ["movable_runs", "unfinishable_runs"]

# A run is stopped only if it is expected to end more than this after its executor does, since
# estimates are rough.
OVERRUN_S = 0.5
FULL_PERCENT = 100


def movable_runs(
    executor: Executor, executors: Mapping[ExecutorIncarnation, Executor], now: Instant
) -> list[PlacedRun]:
    """Return the runs of long-running tasks that may be stopped now so that they move.

    A task may be stopped while fewer others of its step are unavailable than the step allows, and
    only if another executor has capacity for it.
    """
    others = [
        other
        for other in executors.values()
        if other is not executor and other.heartbeat.service == executor.heartbeat.service
    ]
    going: set[StepRecord] = set()
    movable = []
    for placed in executor.runs.values():
        step = placed.task.step
        if not step.spec.is_long_running or placed.is_stopping or step in going:
            continue
        if is_within_allowance(placed.task, executors, now) and has_destination(step, others, now):
            movable.append(placed)
            going.add(step)
    return movable


def is_within_allowance(
    task: TaskRecord, executors: Mapping[ExecutorIncarnation, Executor], now: Instant
) -> bool:
    """Return whether the step of a long-running task allows the task to be unavailable now."""
    step = task.step
    if not step.spec.allowed_misses:
        return True
    away = sum(
        1 for other in step.tasks if other is not task and not is_serving(other, executors, now)
    )
    return away < step.spec.allowed_misses


def is_serving(
    task: TaskRecord, executors: Mapping[ExecutorIncarnation, Executor], now: Instant
) -> bool:
    """Return whether a long-running task serves its users, by its executor's last report."""
    if task.phase is not TaskPhase.PLACED or task.incarnation is None:
        return False
    executor = executors.get(task.incarnation)
    if executor is None or not executor.is_in_contact(now):
        return False
    placed = executor.runs.get(task.name)
    return placed is not None and not placed.is_stopping and placed.percent >= FULL_PERCENT


def unfinishable_runs(
    executor: Executor, expected_s: Mapping[TaskName, float], now: Instant
) -> list[PlacedRun]:
    """Return the runs that will not end before a draining executor does.

    Args:
      expected_s: the expected duration of each run, by the task's name.
    """
    left_s = executor.heartbeat.remaining_s - (now - executor.last_heartbeat_at)
    unfinishable = []
    for name, placed in executor.runs.items():
        step = placed.task.step
        if placed.is_stopping or step.spec.is_long_running or step.spec.is_gang:
            continue
        began = placed.confirmed_at or placed.placed_at
        if expected_s[name] - (now - began) > left_s + OVERRUN_S:
            unfinishable.append(placed)
    return unfinishable
