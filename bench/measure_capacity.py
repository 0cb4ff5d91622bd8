"""Measures the idle buffer and the moves of VMs under rotating demand, in virtual time."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from marigolddoor_core.capacity import Capacity, ImmediateMoves, OwnPeakSizing, SharedBufferSizing
from marigolddoor_core.capacity.moves import Move, MovePolicy, PoolState
from marigolddoor_core.capacity.sizing import Sizing
from marigolddoor_core.declaration import Pool
from marigolddoor_core.ids import PoolId, ServiceId
from marigolddoor_core.maintenance import BudgetLedger
from marigolddoor_core.state.commands import BeginMove
from marigolddoor_standins.virtual import VirtualFleet, VirtualState
from marigolddoor_standins.virtual.demand import FluidQueue, RotatingDemand, on_time_ratio
from marigolddoor_standins.virtual.samples import WORKER, add_workers, organisation, pool

from bench.rows import Goal, GoalKind, Row

__all__ = ["rows"]

POOLS = ("renewals", "orders", "settlements", "planning", "support")
SPARE = "support"
# Mean demand of a service in slots: a burst of 5 times as much exceeds the 48 slots of its pool.
MEAN_SLOTS = 16.0
VM_SLOTS = 8
CORES_PER_SLOT = WORKER.cores / VM_SLOTS
BURST_S = (4.0, 12.0)
SEED = 20_261_204
LEARNING_S = 900
MEASURE_S = 1_800
HOUR_S = 3_600.0


@dataclass
class Run:
    """A fleet under rotating demand, and its idle time in core seconds."""

    fleet: VirtualFleet
    capacity: Capacity
    queues: Mapping[ServiceId, FluidQueue]
    idle_core_s: float = 0.0
    demand: RotatingDemand = field(
        default_factory=lambda: RotatingDemand(
            {ServiceId(name): MEAN_SLOTS for name in POOLS}, SEED, BURST_S
        )
    )

    def serve_second(self) -> None:
        """Serve one second of demand with the slots of the pools and the loans."""
        loans = {loan.service: loan.slots for loan in self.capacity.plan.loans}
        offered = self.demand.at(self.fleet.now_s)
        slots = dict.fromkeys(offered, 0.0)
        for vm in self.fleet.state.vms.values():
            if vm.next_pool is None:
                slots[ServiceId(vm.pool)] += vm.slots
        lent = sum(loans.values())
        total = served = 0.0
        for service, demanded in offered.items():
            total += slots[service]
            usable = slots[service] + loans.get(service, 0)
            if service == SPARE:
                usable -= lent
            self.fleet.demand[service] = self.queues[service].step(
                self.fleet.now_s, demanded, max(0.0, usable)
            )
            served += self.fleet.demand[service].slots
        self.idle_core_s += (total - served) * CORES_PER_SLOT

    def run_for(self, duration_s: int) -> None:
        """Run the fleet for the duration."""
        self.fleet.run(duration_s, self.serve_second)


def start(sizes: Mapping[PoolId, int], sizing: Sizing, policy: MovePolicy | None) -> Run:
    """Return a fleet with pools of these sizes."""
    declared = organisation([_pool(name, sizes[PoolId(name)]) for name in POOLS])
    capacity = Capacity(BudgetLedger(), sizing, policy)
    fleet = VirtualFleet(VirtualState(declared), lambda: [capacity])
    for name in POOLS:
        add_workers(fleet, name, sizes[PoolId(name)])
    return Run(fleet, capacity, {ServiceId(name): FluidQueue() for name in POOLS})


def _pool(name: str, size: int) -> Pool:
    # A budget must be smaller than its pool; a large one does not restrict the baseline's moves.
    return pool(name, size, 1, min(4, size - 1), name == SPARE)


def learned_sizes(sizing: Sizing) -> Mapping[PoolId, int]:
    """Return the sizes that a sizing requests after it observed the demand without shortage."""
    run = start({PoolId(name): 12 for name in POOLS}, sizing, NoMoves())
    run.run_for(LEARNING_S)
    return run.capacity.plan.targets


class NoMoves:
    """Moves no VM, so that only sizes and loans are measured."""

    def moves(self, pools: Sequence[PoolState], now_s: float) -> list[Move]:
        """Return no move."""
        return []


def buffer_run(sizing: Sizing) -> Run:
    """Return a run on a fleet of the learned sizes."""
    run = start(learned_sizes(sizing), sizing, NoMoves())
    run.run_for(MEASURE_S)
    return run


def moves(policy: Callable[[], MovePolicy | None]) -> int:
    """Return the number of moves in 30 minutes of rotating demand on five pools of six VMs."""
    run = start({PoolId(name): 6 for name in POOLS}, SharedBufferSizing(), policy())
    run.run_for(MEASURE_S)
    return run.fleet.applied[BeginMove]


def rows() -> list[Row]:
    """Measure the idle buffer at an equal on-time rate, and the moves."""
    shared, own = buffer_run(SharedBufferSizing()), buffer_run(OwnPeakSizing())
    on_time = on_time_ratio(list(shared.queues.values()))
    own_on_time = on_time_ratio(list(own.queues.values()))
    return [
        Row(
            "buffer_idle_core_hours",
            shared.idle_core_s / HOUR_S,
            "core-hours",
            own.idle_core_s / HOUR_S,
            Goal(GoalKind.AT_MOST_TIMES_BASELINE, 0.4),
        ),
        Row(
            "buffer_on_time_ratio",
            on_time,
            "share",
            own_on_time,
            Goal(GoalKind.AT_LEAST_TIMES_BASELINE, 1.0),
        ),
        Row(
            "vm_moves",
            moves(lambda: None),
            "moves",
            moves(ImmediateMoves),
            Goal(GoalKind.AT_MOST_TIMES_BASELINE, 0.1),
        ),
    ]
