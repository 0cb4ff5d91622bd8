"""The leader's decisions on submitted jobs: what runs on which executor."""

from marigolddoor_core.dispatch.dispatch import Dispatch
from marigolddoor_core.dispatch.executors import (
    Executor,
    ExecutorState,
    FinishedRun,
    Heartbeat,
    HoldReport,
    PlacedRun,
    RunningTask,
)
from marigolddoor_core.dispatch.leases import ExecutorLease, LeaseTiming
from marigolddoor_core.dispatch.orders import Order, PaceOrder, StartOrder, StopOrder, UpkeepOrder
from marigolddoor_core.dispatch.planner import ArrivalOrder, Placer, StepOrder

__all__ = [
    "ArrivalOrder",
    "Dispatch",
    "Executor",
    "ExecutorLease",
    "ExecutorState",
    "FinishedRun",
    "Heartbeat",
    "HoldReport",
    "LeaseTiming",
    "Order",
    "PaceOrder",
    "PlacedRun",
    "Placer",
    "RunningTask",
    "StartOrder",
    "StepOrder",
    "StopOrder",
    "UpkeepOrder",
]
