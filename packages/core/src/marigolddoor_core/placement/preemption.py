"""Makes room for urgent tasks by asking others to checkpoint."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import PoolId, TaskId, VmId
from marigolddoor_core.placement.index import NOTHING, PlacementIndex, Worker
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
        index: PlacementIndex,
        orders: OrderBook,
        pool: PoolId,
        size: Resources,
        avoid: frozenset[VmId],
        can_leave: Callable[[TaskId], bool],
    ) -> RoomPlan | None:
        """Return a plan for `size`, or None if no worker of the pool can make the room.

        Only tasks that `can_leave` may be asked to: a task that has not started yet does not
        follow the order.
        """
        ...


class NoPreemption:
    """The baseline: an urgent task waits until others end."""

    def plan(
        self,
        index: PlacementIndex,
        orders: OrderBook,
        pool: PoolId,
        size: Resources,
        avoid: frozenset[VmId],
        can_leave: Callable[[TaskId], bool],
    ) -> RoomPlan | None:
        """Return no plan."""
        return None


class CheckpointPreemption:
    """Chooses the worker where the fewest cores of less urgent work must leave."""

    def plan(
        self,
        index: PlacementIndex,
        orders: OrderBook,
        pool: PoolId,
        size: Resources,
        avoid: frozenset[VmId],
        can_leave: Callable[[TaskId], bool],
    ) -> RoomPlan | None:
        """Return the cheapest plan among some workers that can make the room."""
        room = index.pools.get(pool)
        if room is None:
            return None
        plans: dict[VmId, tuple[TaskId, ...]] = {}

        def can_make_room(vm: VmId) -> bool:
            if vm in avoid:
                return False
            victims = _victims(index.workers[vm], orders, size, can_leave)
            if victims is not None:
                plans[vm] = victims
            return victims is not None

        found = room.preemptible.find(size, can_make_room)
        best = min(found, key=lambda vm: _cost(index.workers[vm], plans[vm]), default=None)
        return None if best is None else RoomPlan(best, plans[best])


def _cost(worker: Worker, victims: tuple[TaskId, ...]) -> float:
    return sum(worker.charges[task].size.cores for task in victims)


def _victims(
    worker: Worker, orders: OrderBook, size: Resources, can_leave: Callable[[TaskId], bool]
) -> tuple[TaskId, ...] | None:
    """Return the less urgent tasks that must leave, or None if those that can are too small.

    Tasks that leave already come first.
    """
    missing = size - worker.room()
    victims: list[TaskId] = []
    candidates = [
        (task, charge)
        for task, charge in worker.charges.items()
        if not charge.job.urgent and can_leave(task)
    ]
    candidates.sort(key=lambda item: (item[0] not in orders.endings, -item[1].size.cores))
    for task, charge in candidates:
        if missing.fits(NOTHING):
            break
        victims.append(task)
        missing -= charge.size
    return tuple(victims) if missing.fits(NOTHING) else None
