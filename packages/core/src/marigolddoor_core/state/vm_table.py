"""The registered VMs with their pools, moves and maintenance."""

from collections.abc import Iterable
from dataclasses import replace

from marigolddoor_core.ids import Epoch, VmId
from marigolddoor_core.state.commands import (
    BeginMove,
    FinishMove,
    MaintenanceStep,
    RecordMaintenance,
    RegisterVm,
    RequestDrain,
    RetireVm,
)
from marigolddoor_core.state.declarations import Declarations
from marigolddoor_core.state.journal import Journal
from marigolddoor_core.state.objects import ObjectKind, VmRecord
from marigolddoor_core.state.results import Done, MoveBegun, Refusal, Refused, Result

__all__ = ["VmTable", "in_maintenance"]

# The steps that may precede each step. Maintenance of a failed VM may resume at any step.
STEPS_BEFORE: dict[MaintenanceStep, frozenset[MaintenanceStep | None]] = {
    MaintenanceStep.DRAINING: frozenset({None, MaintenanceStep.DONE, MaintenanceStep.FAILED}),
    MaintenanceStep.REBOOTING: frozenset({MaintenanceStep.DRAINING, MaintenanceStep.FAILED}),
    MaintenanceStep.VERIFYING: frozenset({MaintenanceStep.REBOOTING, MaintenanceStep.FAILED}),
    MaintenanceStep.DONE: frozenset({MaintenanceStep.VERIFYING, MaintenanceStep.FAILED}),
    MaintenanceStep.FAILED: frozenset(
        {MaintenanceStep.DRAINING, MaintenanceStep.REBOOTING, MaintenanceStep.VERIFYING}
    ),
}


def in_maintenance(vm: VmRecord) -> bool:
    """Return whether `vm` is out of service because maintenance is in progress or has failed."""
    return vm.maintenance not in (None, MaintenanceStep.DONE)


class VmTable:
    """Holds the VMs. A VM changes its pool only together with its epoch, after it was drained.

    `retired_epoch` is the highest epoch of a retired VM. A new VM starts one above it, so that a
    reused id never repeats an epoch and late messages to the retired VM have no effect.
    """

    def __init__(self, journal: Journal, declarations: Declarations) -> None:
        self.journal = journal
        self.declarations = declarations
        self.vms: dict[VmId, VmRecord] = {}
        self.retired_epoch = Epoch(0)

    def register(self, command: RegisterVm, now_s: float) -> Result:
        """Add a new VM, or update the facts of a registered one."""
        if not command.vm or not command.data_centre:
            return Refused(Refusal.INVALID, "a VM needs an id and a data centre")
        capacity = command.capacity
        if min(capacity.cores, capacity.memory_mb, capacity.accelerators, command.slots) < 0:
            return Refused(Refusal.INVALID, "the capacity and slots of a VM must not be negative")
        registered = self.vms.get(command.vm)
        if registered is None:
            return self._add(command, now_s)
        if registered.data_centre != command.data_centre:
            return Refused(
                Refusal.INVALID,
                f"{command.vm} is registered in data centre {registered.data_centre}",
            )
        self._put(
            replace(
                registered,
                rack=command.rack,
                address=command.address,
                capacity=capacity,
                slots=command.slots,
            )
        )
        return Done()

    def begin_move(self, command: BeginMove, now_s: float) -> Result:
        """Mark a VM as draining towards another pool."""
        vm = self.current(command.vm, command.epoch)
        if isinstance(vm, Refused):
            return vm
        if command.pool not in self.declarations.pools:
            return Refused(Refusal.UNKNOWN, f"no pool {command.pool!r}")
        if vm.next_pool == command.pool:
            return MoveBegun(vm.epoch)
        if vm.next_pool is not None:
            return Refused(Refusal.DRAINING, f"{vm.vm} is moving to {vm.next_pool}")
        if in_maintenance(vm):
            return Refused(Refusal.DRAINING, f"{vm.vm} is in maintenance")
        if vm.pool == command.pool:
            return Refused(Refusal.INVALID, f"{vm.vm} is in pool {vm.pool}")
        self._put(replace(vm, next_pool=command.pool))
        return MoveBegun(vm.epoch)

    def finish_move(self, command: FinishMove, now_s: float) -> Result:
        """Assign a drained VM to its next pool under the next epoch."""
        vm = self.current(command.vm, command.epoch)
        if isinstance(vm, Refused):
            return vm
        if vm.next_pool is None:
            return Refused(Refusal.NOT_DRAINING, f"{vm.vm} is not moving")
        self._put(replace(vm, pool=vm.next_pool, epoch=Epoch(vm.epoch + 1), next_pool=None))
        return Done()

    def retire(self, command: RetireVm, now_s: float) -> Result:
        """Remove a VM."""
        vm = self.current(command.vm, command.epoch)
        if isinstance(vm, Refused):
            return vm
        del self.vms[vm.vm]
        self.retired_epoch = max(self.retired_epoch, vm.epoch)
        self.journal.remove(ObjectKind.VM, vm.vm, vm.data_centre)
        return Done()

    def record_maintenance(self, command: RecordMaintenance, now_s: float) -> Result:
        """Record a maintenance step, if it may follow the last one."""
        vm = self.current(command.vm, command.epoch)
        if isinstance(vm, Refused):
            return vm
        if vm.maintenance is command.step:
            return Done()
        if vm.next_pool is not None:
            return Refused(Refusal.DRAINING, f"{vm.vm} is moving to {vm.next_pool}")
        if vm.maintenance not in STEPS_BEFORE[command.step]:
            last = "none" if vm.maintenance is None else vm.maintenance.value
            return Refused(Refusal.INVALID, f"{command.step.value} does not follow {last}")
        done = command.step is MaintenanceStep.DONE
        self._put(
            replace(
                vm,
                maintenance=command.step,
                maintained_s=now_s if done else vm.maintained_s,
                maintenance_requested=vm.maintenance_requested and not done,
            )
        )
        return Done()

    def request_drain(self, command: RequestDrain, now_s: float) -> Result:
        """Request maintenance of a VM or of a pool, except for VMs already in maintenance."""
        if (command.pool is None) == (command.vm is None):
            return Refused(Refusal.INVALID, "name either a pool or a VM")
        if command.vm is not None and command.vm not in self.vms:
            return Refused(Refusal.UNKNOWN, f"no VM {command.vm!r}")
        if command.pool is not None and command.pool not in self.declarations.pools:
            return Refused(Refusal.UNKNOWN, f"no pool {command.pool!r}")
        # Sorted, because the order of the changes is part of the state, and a restored replica may
        # hold its VMs in another order.
        for vm in sorted(self.vms):
            record = self.vms[vm]
            if command.pool in (None, record.pool) and command.vm in (None, vm):
                requested = record.maintenance_requested or not in_maintenance(record)
                self._put(replace(record, maintenance_requested=requested))
        return Done()

    def current(self, vm_id: VmId, epoch: Epoch) -> VmRecord | Refused:
        """Return the VM if `epoch` is its current epoch, and a refusal otherwise."""
        vm = self.vms.get(vm_id)
        if vm is None:
            return Refused(Refusal.UNKNOWN, f"no VM {vm_id!r}")
        if epoch != vm.epoch:
            return Refused(Refusal.OLD_EPOCH, f"{vm_id} is in epoch {vm.epoch}, not {epoch}")
        return vm

    def restore(self, vms: Iterable[VmRecord], retired_epoch: Epoch) -> None:
        """Replace all VMs with those of a snapshot."""
        self.vms = {vm.vm: vm for vm in vms}
        self.retired_epoch = retired_epoch

    def _add(self, command: RegisterVm, now_s: float) -> Result:
        if command.pool not in self.declarations.pools:
            return Refused(Refusal.UNKNOWN, f"no pool {command.pool!r}")
        # A VM joins freshly provisioned, so its first maintenance is due one interval later.
        self._put(
            VmRecord(
                command.vm,
                command.data_centre,
                command.rack,
                command.address,
                command.capacity,
                command.slots,
                command.pool,
                Epoch(self.retired_epoch + 1),
                maintained_s=now_s,
            )
        )
        return Done()

    def _put(self, vm: VmRecord) -> None:
        if self.vms.get(vm.vm) != vm:
            self.vms[vm.vm] = vm
            self.journal.put(ObjectKind.VM, vm.vm, vm, vm.data_centre)
