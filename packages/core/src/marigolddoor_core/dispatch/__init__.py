"""The leader's scheduling of submitted jobs: which task runs on which executor."""

from marigolddoor_core.dispatch.advice import Advice, AdviceRequest, Tickets
from marigolddoor_core.dispatch.dispatch import Dispatch
from marigolddoor_core.dispatch.executors import (
    Executor,
    ExecutorState,
    Heartbeat,
    PlacedRun,
)
from marigolddoor_core.dispatch.fencing import executor_token, leadership_token
from marigolddoor_core.dispatch.hold_reports import (
    FinishedRun,
    HoldReport,
    ReportList,
    RunningTask,
    UnreadableRow,
)
from marigolddoor_core.dispatch.leases import ExecutorLease, LeaseTiming
from marigolddoor_core.dispatch.machines import MachineState, MachineView, Move
from marigolddoor_core.dispatch.orders import (
    MaintenanceOrder,
    MoveOrder,
    Order,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from marigolddoor_core.dispatch.planner import ArrivalOrder, Placer, StepOrder

__all__ = [
    "Advice",
    "AdviceRequest",
    "ArrivalOrder",
    "Dispatch",
    "Executor",
    "ExecutorLease",
    "ExecutorState",
    "FinishedRun",
    "Heartbeat",
    "HoldReport",
    "LeaseTiming",
    "MachineState",
    "MachineView",
    "MaintenanceOrder",
    "Move",
    "MoveOrder",
    "Order",
    "PaceOrder",
    "PlacedRun",
    "Placer",
    "ReportList",
    "RunningTask",
    "StartOrder",
    "StepOrder",
    "StopOrder",
    "Tickets",
    "UnreadableRow",
    "executor_token",
    "leadership_token",
]
