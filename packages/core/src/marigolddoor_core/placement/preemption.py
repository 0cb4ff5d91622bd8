"""Makes room for urgent tasks by asking others to checkpoint."""

from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import PoolId, TaskId, VmId
from marigolddoor_core.placement.board import Board, Worker
from marigolddoor_core.placement.orders import OrderBook
from marigolddoor_core.targets import Resources

__all__ = ["CheckpointPreemption", "NoPreemption", "Preemption", "RoomPlan"]


@dataclass(frozen=True, slots=True)
class RoomPlan:
    """The worker where an urgent task is to run, and the tasks that leave it before."""

    vm: VmId
    victims: tuple[TaskId, ...]


class Preemption(Protocol):
    """Decides where room is made for an urgent task that fits nowhere now."""

    def plan(
        self,
        board: Board,
        orders: OrderBook,
        pool: PoolId,
        size: Resources,
        avoid: frozenset[VmId],
    ) -> RoomPlan | None:
        """Return a plan for `size`, or None if no worker of the pool can make the room."""
        ...


class NoPreemption:
    """The baseline: an urgent task waits until others end."""

    def plan(
        self,
        board: Board,
        orders: OrderBook,
        pool: PoolId,
        size: Resources,
        avoid: frozenset[VmId],
    ) -> RoomPlan | None:
        """Return no plan."""
        return None


class CheckpointPreemption:
    """Chooses the worker where the fewest cores of less urgent work must leave."""

    def plan(
        self,
        board: Board,
        orders: OrderBook,
        pool: PoolId,
        size: Resources,
        avoid: frozenset[VmId],
    ) -> RoomPlan | None:
        """Return the cheapest plan among some workers that can make the room."""
        room = board.pools.get(pool)
        if room is None:
            return None
        best: tuple[float, RoomPlan] | None = None
        for vm in room.preemptible.find(size, lambda vm: vm not in avoid):
            worker = board.workers[vm]
            victims = _victims(worker, orders, size)
            cost = sum(worker.charges[task].size.cores for task in victims)
            if best is None or cost < best[0]:
                best = (cost, RoomPlan(vm, victims))
        return None if best is None else best[1]


def _victims(worker: Worker, orders: OrderBook, size: Resources) -> tuple[TaskId, ...]:
    """Return the less urgent tasks that must leave; those that leave already come first."""
    missing = size - worker.room()
    victims: list[TaskId] = []
    candidates = [(t, c) for t, c in worker.charges.items() if not c.job.urgent]
    candidates.sort(key=lambda item: (item[0] not in orders.endings, -item[1].size.cores))
    for task, charge in candidates:
        if missing.fits(Resources(0.0, 0)):
            break
        victims.append(task)
        missing -= charge.size
    return tuple(victims)
