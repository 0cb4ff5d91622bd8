"""Orders to executors that follow from recorded changes."""

from dataclasses import dataclass

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.ids import RunNumber, TaskName

__all__ = ["Order", "PaceOrder", "StartOrder", "StopOrder"]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run. `payload` and `checkpoint` are passed to the task."""

    executor: Executor
    task: TaskName
    run: RunNumber
    payload: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, and reject it if it arrives later."""

    executor: Executor
    task: TaskName
    run: RunNumber


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Let a run work at `percent` of its speed."""

    executor: Executor
    task: TaskName
    run: RunNumber
    percent: int


Order = StartOrder | StopOrder | PaceOrder
