"""Orders to workers, repeated until reports show their effect."""

from dataclasses import dataclass

from marigolddoor_core.actions import OrderTask
from marigolddoor_core.ids import Epoch, FencingToken, JobId, TaskId, VmId
from marigolddoor_core.targets import Resources, TaskOrder, TaskOrderKind

__all__ = ["ORDER_REPEAT_S", "OrderTracker", "Termination"]

# A lost order delays a start by this time. Orders are small messages, so repeats are cheap.
ORDER_REPEAT_S = 2.0


@dataclass(slots=True)
class Termination:
    """A requested end of a run. After `stop_at_s` the run is stopped without a checkpoint."""

    vm: VmId
    epoch: Epoch
    job: JobId
    token: FencingToken
    since_s: float
    stop_at_s: float


class OrderTracker:
    """Tracks when each order was last sent, and which runs are being terminated."""

    def __init__(self) -> None:
        self.sent_s: dict[tuple[TaskId, TaskOrderKind], float] = {}
        self.terminations: dict[TaskId, Termination] = {}

    def is_due(self, task: TaskId, kind: TaskOrderKind, now_s: float) -> bool:
        """Return whether an order may be sent (again); if so, record it as sent."""
        key = (task, kind)
        if now_s - self.sent_s.get(key, -ORDER_REPEAT_S) < ORDER_REPEAT_S:
            return False
        self.sent_s[key] = now_s
        return True

    def postpone(self, task: TaskId, kind: TaskOrderKind, until_s: float) -> None:
        """Send no order of this kind before `until_s`."""
        self.sent_s[(task, kind)] = until_s - ORDER_REPEAT_S

    def terminate(self, task: TaskId, termination: Termination) -> None:
        """Request the end of a run. A repeated request may only bring the stop forward."""
        current = self.terminations.get(task)
        if current is not None and current.token == termination.token:
            current.stop_at_s = min(current.stop_at_s, termination.stop_at_s)
        else:
            self.terminations[task] = termination

    def due_terminations(self, now_s: float) -> list[OrderTask]:
        """Return the due orders to the runs that are being terminated."""
        orders: list[OrderTask] = []
        for task, termination in self.terminations.items():
            is_late = now_s >= termination.stop_at_s
            kind = TaskOrderKind.STOP if is_late else TaskOrderKind.CHECKPOINT
            if self.is_due(task, kind, now_s):
                order = TaskOrder(kind, task, termination.job, termination.token)
                orders.append(OrderTask(termination.vm, termination.epoch, order))
        return orders

    def forget(self, task: TaskId) -> None:
        """Drop the state of a run that has ended."""
        self.terminations.pop(task, None)
        for kind in TaskOrderKind:
            self.sent_s.pop((task, kind), None)


def start_order(
    task: TaskId, job: JobId, token: FencingToken, lease_s: float, size: Resources, command: str
) -> TaskOrder:
    """Return the order that starts a task."""
    return TaskOrder(TaskOrderKind.START, task, job, token, lease_s, size, command)
