"""Counts the VMs of each pool that are out of service, and how many more may be."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from marigolddoor_core.changes import Tracker
from marigolddoor_core.declaration.organisation import Pool
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import DataCentreId, PoolId, RackId, TaskId, VmId
from marigolddoor_core.placement.failures import FailureRecord
from marigolddoor_core.placement.placement_questions import workers_with_answer
from marigolddoor_core.state.commands import MaintenanceStep
from marigolddoor_core.state.objects import TaskRecord, VmRecord
from marigolddoor_core.targets import TargetState

__all__ = ["BudgetLedger", "Loss", "PoolLoss", "loss_of"]

# A proposal with an unknown outcome may still be committed, but no later than this.
RESERVATION_TIMEOUT_S = 30.0


@dataclass(slots=True)
class Loss:
    """The VMs of a pool that are out of service. `missing` counts VMs that the pool lacks.

    `dead` is the part of `unplanned` that certainly serves no requests. A worker that is set aside
    or suspected may still serve some.
    """

    planned: set[VmId] = field(default_factory=set)
    dead: set[VmId] = field(default_factory=set)
    unplanned: set[VmId] = field(default_factory=set)
    missing: int = 0

    def total(self) -> int:
        """Return the number of VMs out of service, each counted once."""
        return len(self.planned | self.unplanned) + self.missing


@dataclass(slots=True)
class PoolLoss:
    """A pool with its members and its loss."""

    pool: Pool
    members: dict[VmId, VmRecord] = field(default_factory=dict)
    loss: Loss = field(default_factory=Loss)

    def headroom(self) -> int:
        """Return how many more VMs may go out of service; negative if the budget is exceeded."""
        return self.pool.max_unavailable - self.loss.total()

    def domains(self) -> set[tuple[DataCentreId, RackId]]:
        """Return the failure domains (racks) that already have a VM out of service."""
        out = self.loss.planned | self.loss.unplanned
        return {(self.members[vm].data_centre, self.members[vm].rack) for vm in out}


def is_planned_loss(record: VmRecord) -> bool:
    """Return whether a VM is out of service because of a move or maintenance."""
    return record.next_pool is not None or record.maintenance not in (None, MaintenanceStep.DONE)


def is_unplanned_loss(record: VmRecord, target: ObservedTarget | None) -> bool:
    """Return whether a VM is unexpectedly out of service: unresponsive, unknown or leaving."""
    if target is None or target.announcement.leaving:
        return True
    return target.state in (TargetState.SUSPECTED, TargetState.DEAD, TargetState.LEAVING)


def loss_of(
    fleet: Fleet, set_aside: Iterable[VmId], taken: Iterable[VmId]
) -> dict[PoolId, PoolLoss]:
    """Return the loss of every pool.

    Args:
      fleet: the current fleet.
      set_aside: workers that get no tasks because tasks fail on them.
      taken: VMs whose planned loss is proposed but not committed yet.
    """
    pools = {pool.id: PoolLoss(pool) for pool in fleet.declaration.pools}
    set_aside_vms, taken_vms = frozenset(set_aside), frozenset(taken)
    for vm, record in fleet.vms.items():
        entry = pools.get(record.pool)
        if entry is None:
            continue
        entry.members[vm] = record
        if vm in taken_vms or is_planned_loss(record):
            entry.loss.planned.add(vm)
        if (
            vm in set_aside_vms
            or record.data_centre in fleet.unresponsive_data_centres
            or is_unplanned_loss(record, fleet.targets.get(vm))
        ):
            entry.loss.unplanned.add(vm)
            target = fleet.targets.get(vm)
            if target is not None and target.state is TargetState.DEAD:
                entry.loss.dead.add(vm)
    for entry in pools.values():
        needed = entry.pool.floor if entry.pool.spare else entry.pool.size
        entry.loss.missing = max(0, needed - len(entry.members))
    return pools


class BudgetLedger:
    """Tracks the VMs that decisions took out of service by commands that are not committed yet.

    All decisions that take VMs out of service share one ledger, so that two of them cannot use the
    same headroom in one round.
    """

    def __init__(self) -> None:
        self.reserved_at_s: dict[VmId, float] = {}
        self.fleet: Fleet | None = None
        self.pool_losses: dict[PoolId, PoolLoss] = {}
        self.failures = FailureRecord()
        self.tasks: Tracker[TaskId, TaskRecord] = Tracker()

    def losses(self, fleet: Fleet) -> dict[PoolId, PoolLoss]:
        """Return the loss of every pool, including VMs taken in this round and pending ones.

        The decisions of one round get the same fleet and share the result.
        """
        if fleet is not self.fleet:
            self.fleet = fleet
            self.release_settled(fleet.vms, fleet.now_s)
            self.pool_losses = loss_of(fleet, self.set_aside(fleet), self.reserved_at_s)
        return self.pool_losses

    def set_aside(self, fleet: Fleet) -> list[VmId]:
        """Return the workers that get no tasks because tasks of several jobs fail on them."""
        for change in self.tasks.changes(fleet.tasks, None):
            self.failures.apply(change.old, change.new)
        trusted = workers_with_answer(fleet.questions.values(), "trust")
        return [
            vm
            for vm in self.failures.by_vm
            if vm in fleet.vms
            and vm not in trusted
            and self.failures.is_worker_faulty(fleet.vms[vm])
        ]

    def reserve(self, vm: VmId, now_s: float) -> None:
        """Count a VM as planned loss until its command is committed or times out."""
        self.reserved_at_s[vm] = now_s
        for pool in self.pool_losses.values():
            if vm in pool.members:
                pool.loss.planned.add(vm)

    def release_settled(self, vms: Mapping[VmId, VmRecord], now_s: float) -> None:
        """Drop the VMs whose commands are committed or can no longer be."""
        for vm, reserved_at_s in tuple(self.reserved_at_s.items()):
            record = vms.get(vm)
            is_committed = record is not None and is_planned_loss(record)
            if record is None or is_committed or now_s - reserved_at_s >= RESERVATION_TIMEOUT_S:
                del self.reserved_at_s[vm]
