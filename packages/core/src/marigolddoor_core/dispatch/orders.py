"""Orders to executors that follow from recorded changes."""

from dataclasses import dataclass

from marigolddoor_core.dispatch.advice import AdviceRequest
from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.dispatch.rebalancing import Move
from marigolddoor_core.ids import MachineId, RunNumber, TaskName, WaveId

__all__ = ["MaintenanceOrder", "MoveOrder", "Order", "PaceOrder", "StartOrder", "StopOrder"]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run. `payload` and `checkpoint` are passed to the task, `ticket` to the executor."""

    executor: Executor
    task: TaskName
    run: RunNumber
    payload: str
    checkpoint: str
    ticket: str = ""


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


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """Hand a machine to the platform for its upkeep.

    `is_repeated` says that an earlier leader may have done so; the platform does it once.
    """

    wave: WaveId
    machine: MachineId
    is_repeated: bool = False


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Move a machine to another service. It runs nothing."""

    move: Move


Order = StartOrder | StopOrder | PaceOrder | MaintenanceOrder | MoveOrder | AdviceRequest
