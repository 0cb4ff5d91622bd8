"""Preemption: frees capacity for urgent tasks by asking others to checkpoint."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import PoolId, TaskId, VmId
from marigolddoor_core.placement.index import NOTHING, PlacementIndex, Worker
from marigolddoor_core.placement.orders import OrderTracker
from marigolddoor_core.targets import Resources

__all__ = ["CheckpointPreemption", "NoPreemption", "Preemption", "PreemptionPlan"]


@dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """The worker chosen for an urgent task, and the tasks to evict from it first."""

    vm: VmId
    victims: tuple[TaskId, ...]


class Preemption(Protocol):
    """Decides where to free capacity for an urgent task that fits nowhere now."""

    def plan(
        self,
        index: PlacementIndex,
        orders: OrderTracker,
        pool: PoolId,
        size: Resources,
        excluded: frozenset[VmId],
        can_evict: Callable[[TaskId], bool],
    ) -> PreemptionPlan | None:
        """Return a plan for `size`, or None if no worker of the pool can free enough.

        Only tasks for which `can_evict` is true may be victims: a task that has not started yet
        ignores the order.
        """
        ...


class NoPreemption:
    """The baseline without preemption: an urgent task waits until others end."""

    def plan(
        self,
        index: PlacementIndex,
        orders: OrderTracker,
        pool: PoolId,
        size: Resources,
        excluded: frozenset[VmId],
        can_evict: Callable[[TaskId], bool],
    ) -> PreemptionPlan | None:
        """Return no plan."""
        return None


class CheckpointPreemption:
    """Chooses the worker from which the fewest cores of less urgent work are evicted."""

    def plan(
        self,
        index: PlacementIndex,
        orders: OrderTracker,
        pool: PoolId,
        size: Resources,
        excluded: frozenset[VmId],
        can_evict: Callable[[TaskId], bool],
    ) -> PreemptionPlan | None:
        """Return the cheapest plan among the candidates that can free enough capacity."""
        capacity = index.pools.get(pool)
        if capacity is None:
            return None
        plans: dict[VmId, tuple[TaskId, ...]] = {}

        def can_preempt(vm: VmId) -> bool:
            if vm in excluded:
                return False
            victims = _victims(index.workers[vm], orders, size, can_evict)
            if victims is not None:
                plans[vm] = victims
            return victims is not None

        found = capacity.preemptible.find(size, can_preempt)
        best = min(found, key=lambda vm: _cost(index.workers[vm], plans[vm]), default=None)
        return None if best is None else PreemptionPlan(best, plans[best])


def _cost(worker: Worker, victims: tuple[TaskId, ...]) -> float:
    return sum(worker.allocations[task].size.cores for task in victims)


def _victims(
    worker: Worker, orders: OrderTracker, size: Resources, can_evict: Callable[[TaskId], bool]
) -> tuple[TaskId, ...] | None:
    """Return the less urgent tasks to evict, or None if evicting them frees too little.

    Tasks that are being terminated already come first.
    """
    missing = size - worker.free_capacity()
    victims: list[TaskId] = []
    candidates = [
        (task, allocation)
        for task, allocation in worker.allocations.items()
        if not allocation.job.urgent and can_evict(task)
    ]
    candidates.sort(key=lambda item: (item[0] not in orders.terminations, -item[1].size.cores))
    for task, allocation in candidates:
        if missing.fits(NOTHING):
            break
        victims.append(task)
        missing -= allocation.size
    return tuple(victims) if missing.fits(NOTHING) else None
