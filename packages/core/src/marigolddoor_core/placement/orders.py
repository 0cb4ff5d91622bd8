"""Orders to workers that are repeated until their effect shows."""

from dataclasses import dataclass

from marigolddoor_core.actions import OrderTask
from marigolddoor_core.ids import Epoch, FencingToken, JobId, TaskId, VmId
from marigolddoor_core.targets import Resources, TaskOrder, TaskOrderKind

__all__ = ["ORDER_REPEAT_S", "Ending", "OrderBook"]

# A lost order delays a start by this; an order is a small message, so repeats are cheap.
ORDER_REPEAT_S = 2.0


@dataclass(slots=True)
class Ending:
    """A run that is asked to end. After `stop_at_s` it is stopped without a checkpoint."""

    vm: VmId
    epoch: Epoch
    job: JobId
    token: FencingToken
    since_s: float
    stop_at_s: float


class OrderBook:
    """Remembers when each order was last sent, and which runs are asked to end."""

    def __init__(self) -> None:
        self.sent_s: dict[tuple[TaskId, TaskOrderKind], float] = {}
        self.endings: dict[TaskId, Ending] = {}

    def is_due(self, task: TaskId, kind: TaskOrderKind, now_s: float) -> bool:
        """Return whether an order may be sent (again), and note that it is sent if so."""
        key = (task, kind)
        if now_s - self.sent_s.get(key, -ORDER_REPEAT_S) < ORDER_REPEAT_S:
            return False
        self.sent_s[key] = now_s
        return True

    def postpone(self, task: TaskId, kind: TaskOrderKind, until_s: float) -> None:
        """Send no order of this kind before `until_s`."""
        self.sent_s[(task, kind)] = until_s - ORDER_REPEAT_S

    def end(self, task: TaskId, ending: Ending) -> None:
        """Ask a run to end; an earlier request keeps its time, the earlier stop counts."""
        known = self.endings.get(task)
        if known is not None and known.token == ending.token:
            known.stop_at_s = min(known.stop_at_s, ending.stop_at_s)
        else:
            self.endings[task] = ending

    def due_endings(self, now_s: float) -> list[OrderTask]:
        """Return the orders to the runs that are asked to end."""
        orders: list[OrderTask] = []
        for task, ending in self.endings.items():
            is_late = now_s >= ending.stop_at_s
            kind = TaskOrderKind.STOP if is_late else TaskOrderKind.CHECKPOINT
            if self.is_due(task, kind, now_s):
                order = TaskOrder(kind, task, ending.job, ending.token)
                orders.append(OrderTask(ending.vm, ending.epoch, order))
        return orders

    def forget(self, task: TaskId) -> None:
        """Drop what is kept for a run that ended."""
        self.endings.pop(task, None)
        for kind in TaskOrderKind:
            self.sent_s.pop((task, kind), None)


def start_order(
    task: TaskId, job: JobId, token: FencingToken, lease_s: float, size: Resources, command: str
) -> TaskOrder:
    """Return the order that starts a task."""
    return TaskOrder(TaskOrderKind.START, task, job, token, lease_s, size, command)
