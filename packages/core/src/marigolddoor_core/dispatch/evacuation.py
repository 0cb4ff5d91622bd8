"""Which runs leave an executor that is to be emptied or that is about to end."""

from collections.abc import Mapping

from marigolddoor_core.dispatch.executors import Executor, PlacedRun
from marigolddoor_core.dispatch.planner import has_destination
from marigolddoor_core.ids import ExecutorIncarnation, TaskName
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import StepRecord, TaskPhase, TaskRecord

__all__ = ["movable_runs", "unfinishable_runs"]

# A run that would end this much after its executor is stopped, since estimates are rough.
OVERRUN_S = 0.5
FULL_PERCENT = 100


def movable_runs(
    executor: Executor, executors: Mapping[ExecutorIncarnation, Executor], now: Instant
) -> list[PlacedRun]:
    """Return the long-running tasks that may be stopped now so that they move away.

    A task may go while fewer others of its step are away than the step allows, and only if another
    executor can take it.
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
    """Return whether a long-running task may be ended although its users need it."""
    step = task.step
    if not step.spec.allowed_misses:
        return True
    away = sum(
        1 for other in step.tasks if other is not task and not is_at_work(other, executors, now)
    )
    return away < step.spec.allowed_misses


def is_at_work(
    task: TaskRecord, executors: Mapping[ExecutorIncarnation, Executor], now: Instant
) -> bool:
    """Return whether a long-running task serves its users, as far as its executor said lately."""
    if task.phase is not TaskPhase.PLACED or task.life is None:
        return False
    executor = executors.get(task.life)
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
    doomed = []
    for name, placed in executor.runs.items():
        step = placed.task.step
        if placed.is_stopping or step.spec.is_long_running or step.spec.is_gang:
            continue
        began = placed.confirmed_at or placed.placed_at
        if expected_s[name] - (now - began) > left_s + OVERRUN_S:
            doomed.append(placed)
    return doomed
