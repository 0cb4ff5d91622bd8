"""Orders to executors and to the platform that follow from committed changes."""

from dataclasses import dataclass

from marigolddoor_core.dispatch.advice import AdviceRequest
from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.dispatch.machines import Move
from marigolddoor_core.ids import MachineId, RunNumber, TaskName, WaveId

__all__ = ["MaintenanceOrder", "MoveOrder", "Order", "PaceOrder", "StartOrder", "StopOrder"]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run. `payload` and `checkpoint` go to the task, `ticket` to the executor."""

    executor: Executor
    task: TaskName
    run: RunNumber
    payload: str
    checkpoint: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, and have the executor reject its start if that arrives later."""

    executor: Executor
    task: TaskName
    run: RunNumber


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Throttle a run to `percent` of its full speed."""

    executor: Executor
    task: TaskName
    run: RunNumber
    percent: int


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """Hand a machine to the platform for maintenance.

    `is_repeated` means that an earlier leader may have done so. The platform call is idempotent.
    """

    wave: WaveId
    machine: MachineId
    is_repeated: bool = False


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Move a machine that runs nothing to another service."""

    move: Move


Order = StartOrder | StopOrder | PaceOrder | MaintenanceOrder | MoveOrder | AdviceRequest
