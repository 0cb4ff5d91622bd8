"""Decides pool sizes, loans of spare slots and moves of VMs from the demand."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from marigolddoor_core.actions import Action, ProposeCommand
from marigolddoor_core.capacity.demand import MEAN_TIME_S, DemandEstimate, Peak
from marigolddoor_core.capacity.loans import Loan, ServiceNeed, lend
from marigolddoor_core.capacity.moves import DelayedMoves, MovePolicy, PoolState
from marigolddoor_core.capacity.sizing import (
    USE_SHARE,
    PoolDemand,
    SharedBufferSizing,
    Sizing,
    vms_for,
)
from marigolddoor_core.declaration.organisation import Declaration, Weights
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import PoolId, RackId, ServiceId, VmId
from marigolddoor_core.maintenance.budget import BudgetLedger, PoolLoss
from marigolddoor_core.placement.index import is_in_service
from marigolddoor_core.placement.leases import LEASE_S, regrant_after_s
from marigolddoor_core.questions.question_tracker import PROPOSAL_RETRY_S
from marigolddoor_core.state.commands import BeginMove, FinishMove
from marigolddoor_core.state.objects import TaskState, VmRecord
from marigolddoor_core.targets import TargetState, TaskPhase

__all__ = ["Capacity", "Plan"]


@dataclass(frozen=True, slots=True)
class Plan:
    """The desired capacity of the pools: `targets` in VMs, and `loans` of spare slots."""

    targets: Mapping[PoolId, int] = field(default_factory=dict)
    loans: tuple[Loan, ...] = ()


class Capacity:
    """The capacity decision: lends spare slots at once, and moves VMs when a shortage lasts.

    Args:
      ledger: shared with every decision that takes VMs out of service.
      sizing: decides the target of each pool.
      policy: decides the moves; by default built from the weights of the organisation.

    Attributes:
      plan: the targets and loans of the latest round.
    """

    def __init__(
        self,
        ledger: BudgetLedger | None = None,
        sizing: Sizing | None = None,
        policy: MovePolicy | None = None,
    ) -> None:
        self.ledger = ledger or BudgetLedger()
        self.sizing = sizing or SharedBufferSizing()
        self.fixed_policy = policy
        self.policy: MovePolicy = policy or DelayedMoves(Weights())
        self.weights: Weights | None = None
        self.estimates: dict[ServiceId, DemandEstimate] = {}
        self.overflow = Peak()
        self.dead_since_s: dict[VmId, float] = {}
        self.finish_proposed_s: dict[VmId, float] = {}
        self.pending_receivers: dict[VmId, PoolId] = {}
        self.plan = Plan()

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the moves to begin and to finish now, and update `plan`."""
        losses = self.ledger.losses(fleet)
        self.pending_receivers = {
            vm: pool
            for vm, pool in self.pending_receivers.items()
            if vm in self.ledger.reserved_at_s
        }
        self._update_estimates(fleet)
        self.plan = Plan(self._targets(fleet, losses), self._loans(fleet, losses))
        return (*self._finish_moves(fleet), *self._begin_moves(fleet, losses))

    def _update_estimates(self, fleet: Fleet) -> None:
        if fleet.declaration.weights != self.weights and self.fixed_policy is None:
            self.weights = fleet.declaration.weights
            self.policy = DelayedMoves(self.weights)
        overflow = 0.0
        for service, demand in fleet.demand.items():
            estimate = self.estimates.setdefault(service, DemandEstimate())
            estimate.add(demand, fleet.now_s)
            overflow += max(0.0, estimate.offered - estimate.mean())
        if fleet.demand:
            self.overflow.add(overflow, fleet.now_s)

    def _pool_slots(self, declaration: Declaration, pool: PoolId) -> tuple[float, float, float]:
        """Return the mean, the peak and the latest demand for a pool's services, in slots."""
        estimates_of_pool = [
            self.estimates[service.id]
            for service in declaration.services
            if service.pool == pool and service.id in self.estimates
        ]
        return (
            sum(estimate.mean() for estimate in estimates_of_pool),
            sum(estimate.peak.value() for estimate in estimates_of_pool),
            sum(estimate.latest for estimate in estimates_of_pool),
        )

    def _targets(self, fleet: Fleet, losses: Mapping[PoolId, PoolLoss]) -> Mapping[PoolId, int]:
        pools: list[PoolDemand] = []
        for pool, loss in losses.items():
            mean, peak, _ = self._pool_slots(fleet.declaration, pool)
            slots = _vm_slots(loss)
            pools.append(
                PoolDemand(
                    pool, mean, peak, slots, loss.pool.floor, _largest_rack(loss), loss.pool.spare
                )
            )
        return self.sizing.sizes(pools, self.overflow.value())

    def _loans(self, fleet: Fleet, losses: Mapping[PoolId, PoolLoss]) -> tuple[Loan, ...]:
        """Lend the slots that the spare pool has beyond its floor and its own demand."""
        spares = [loss for loss in losses.values() if loss.pool.spare]
        lendable = 0.0
        for loss in spares:
            slots = _slots_in_service(fleet, loss)
            _, _, own_demand = self._pool_slots(fleet.declaration, loss.pool.id)
            reserved = max(loss.pool.floor * _vm_slots(loss), own_demand)
            lendable += max(0.0, slots - reserved)
        needs: list[ServiceNeed] = []
        for service in fleet.declaration.services:
            home = losses.get(service.pool)
            estimate = self.estimates.get(service.id)
            if home is None or home.pool.spare or estimate is None:
                continue
            _, _, pool_demand = self._pool_slots(fleet.declaration, service.pool)
            share = estimate.latest / pool_demand if pool_demand > 0.0 else 1.0
            own_slots = _slots_in_service(fleet, home) * share * USE_SHARE
            needs.append(ServiceNeed(service.id, service.rank, estimate.latest, own_slots))
        return lend(needs, lendable)

    def _begin_moves(self, fleet: Fleet, losses: Mapping[PoolId, PoolLoss]) -> list[Action]:
        states = [self._pool_state(fleet, loss) for loss in losses.values()]
        actions: list[Action] = []
        for move in self.policy.moves([state for state in states if state], fleet.now_s):
            donor = losses[move.donor]
            vm = _choose_vm(fleet, donor, losses[move.receiver], self.ledger)
            if vm is None or donor.headroom() <= 0:
                continue
            self.ledger.reserve(vm.vm, fleet.now_s)
            self.pending_receivers[vm.vm] = move.receiver
            actions.append(ProposeCommand(BeginMove(vm.vm, vm.epoch, move.receiver, fleet.now_s)))
        return actions

    def _pool_state(self, fleet: Fleet, loss: PoolLoss) -> PoolState:
        pool = loss.pool
        slots = _vm_slots(loss)
        mean, _, latest = self._pool_slots(fleet.declaration, pool.id)
        members = sum(
            (vm.next_pool or self.pending_receivers.get(vm.vm, vm.pool)) == pool.id
            for vm in fleet.vms.values()
        )
        is_known = all(
            service.id in self.estimates
            and self.estimates[service.id].observed_s(fleet.now_s) >= MEAN_TIME_S
            for service in fleet.declaration.services
            if service.pool == pool.id
        )
        mean_vms = vms_for(mean, slots) if is_known else min(members, pool.size)
        return PoolState(
            pool.id,
            members,
            pool.size,
            pool.floor,
            pool.spare,
            vms_for(latest, slots),
            max(mean_vms, pool.floor),
        )

    def _finish_moves(self, fleet: Fleet) -> list[Action]:
        moving = [record for record in fleet.vms.values() if record.next_pool is not None]
        if not moving:
            self.dead_since_s.clear()
            return []
        leased = {task.vm for task in fleet.tasks.values() if task.state is TaskState.LEASED}
        actions: list[Action] = []
        for record in moving:
            can_finish = record.vm not in leased and self._is_drained(fleet, record)
            last_s = self.finish_proposed_s.get(record.vm, -PROPOSAL_RETRY_S)
            if can_finish and fleet.now_s - last_s >= PROPOSAL_RETRY_S:
                self.finish_proposed_s[record.vm] = fleet.now_s
                command = FinishMove(record.vm, record.epoch, fleet.now_s)
                actions.append(ProposeCommand(command))
        return actions

    def _is_drained(self, fleet: Fleet, record: VmRecord) -> bool:
        """Return whether a VM reports that it is drained, or has been dead longer than a lease."""
        target = fleet.targets.get(record.vm)
        if target is None or target.state is not TargetState.DEAD:
            self.dead_since_s.pop(record.vm, None)
            return (
                target is not None
                and target.announcement.drained
                and target.announcement.epoch == record.epoch
            )
        since_s = self.dead_since_s.setdefault(record.vm, fleet.now_s)
        return fleet.now_s >= regrant_after_s(since_s + LEASE_S)


def _vm_slots(loss: PoolLoss) -> int:
    """Return the slots of the smallest VM of a pool, so that targets are not underestimated."""
    return min((vm.slots for vm in loss.members.values()), default=1) or 1


def _largest_rack(loss: PoolLoss) -> int:
    vms_by_rack: dict[RackId, int] = {}
    for record in loss.members.values():
        vms_by_rack[record.rack] = vms_by_rack.get(record.rack, 0) + 1
    return max(vms_by_rack.values(), default=0)


def _slots_in_service(fleet: Fleet, loss: PoolLoss) -> int:
    out_of_service = loss.loss.planned | loss.loss.unplanned
    return sum(record.slots for vm, record in loss.members.items() if vm not in out_of_service)


def _choose_vm(
    fleet: Fleet, donor: PoolLoss, receiver: PoolLoss, ledger: BudgetLedger
) -> VmRecord | None:
    """Return the donor's VM with the fewest tasks; ties go to racks with few receiver VMs.

    Tasks of a moved VM are checkpointed and placed again, so idle VMs go first.
    """
    receiver_vms_by_rack: dict[RackId, int] = {}
    for record in receiver.members.values():
        receiver_vms_by_rack[record.rack] = receiver_vms_by_rack.get(record.rack, 0) + 1
    out_of_service = donor.loss.planned | donor.loss.unplanned
    candidates = [
        record
        for vm, record in donor.members.items()
        if vm not in out_of_service
        and vm not in ledger.reserved_at_s
        and is_in_service(record, fleet.targets.get(vm))
    ]
    return min(
        candidates,
        key=lambda record: (
            _running_tasks(fleet, record.vm),
            receiver_vms_by_rack.get(record.rack, 0),
            fleet.targets[record.vm].announcement.busy_slots,
            record.vm,
        ),
        default=None,
    )


def _running_tasks(fleet: Fleet, vm: VmId) -> int:
    tasks = fleet.targets[vm].announcement.tasks
    return sum(task.phase is TaskPhase.RUNNING for task in tasks)
