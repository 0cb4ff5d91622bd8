"""Measures a maintenance wave, and the calendar at the target size, in virtual time."""

import math
import random
from dataclasses import replace

from marigolddoor_core.actions import ProposeCommand
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import Epoch, OperatorId, PoolId, RequestId, Revision, VmId
from marigolddoor_core.maintenance import BudgetLedger, BudgetWave, Maintenance, OneAtATime
from marigolddoor_core.maintenance.calendar import due_since_s
from marigolddoor_core.maintenance.waves import WavePolicy
from marigolddoor_core.placement import Placement
from marigolddoor_core.state.commands import MaintenanceStep, RecordMaintenance, RequestDrain
from marigolddoor_core.targets import Announcement, TargetState
from marigolddoor_standins.virtual import JobBehaviour, VirtualFleet, VirtualState
from marigolddoor_standins.virtual.samples import (
    SIZE,
    add_workers,
    job,
    organisation,
    pool,
    submit,
)

from bench.rows import Goal, GoalKind, Row

__all__ = ["rows"]

WAVE_VMS = 40
WAVE_BUDGET = 4
# A VM of the platform reboots in about a minute.
REBOOT_S = 60.0
CHECKPOINT_S = 0.2
STEP_S = 0.25

# One of 7 regions, each of which decides separately: 16,000 VMs and 182 pools in total.
REGIONS = 7
VMS = 16_000 // REGIONS
POOLS = 182 // REGIONS
FAILURES_PER_DAY = 89 / REGIONS
RESTARTS_PER_DAY = 4_000 / REGIONS
# A failed VM is replaced within 4 hours; a restart or a maintenance takes one step.
FAILED_STEPS = 8
CALENDAR_STEP_S = 1_800.0
DAY_S = 86_400.0
CALENDAR_DAYS = 49
SEED = 20_261_204


def wave_ratio(policy: WavePolicy) -> float:
    """Return the duration of a wave over 40 busy VMs, as a ratio to the bound of its budget.

    The bound contains only the checkpoint and the reboot of each VM.
    """
    declared = organisation([pool("web", WAVE_VMS, 2, WAVE_BUDGET)], [job("j")])
    ledger = BudgetLedger()
    maintenance = Maintenance(ledger, policy)
    fleet = VirtualFleet(
        VirtualState(declared), lambda: [Placement(), maintenance], STEP_S, 1.0, REBOOT_S
    )
    add_workers(fleet, "web", WAVE_VMS)
    submit(fleet, "j", 2 * WAVE_VMS, JobBehaviour(1e9, SIZE, checkpoint_s=CHECKPOINT_S))
    fleet.run(10.0)
    started_s = fleet.now_s
    request = RequestDrain(PoolId("web"), None, OperatorId("ada"), RequestId("wave"))
    fleet.state.apply(request, started_s)
    while any(vm.maintenance is not MaintenanceStep.DONE for vm in fleet.state.vms.values()):
        fleet.step()
    bound_s = math.ceil(WAVE_VMS / WAVE_BUDGET) * (CHECKPOINT_S + REBOOT_S)
    return (fleet.now_s - started_s) / bound_s


class Calendar:
    """The VMs of a region over 7 weeks, with failures and restarts."""

    def __init__(self, policy: WavePolicy) -> None:
        self.random = random.Random(SEED)
        size = VMS // POOLS
        # A fortieth of a pool may be out of service.
        pools = [pool(f"p{number}", size, 2, max(2, size // 40)) for number in range(POOLS)]
        self.state = VirtualState(organisation(pools))
        self.maintenance = Maintenance(BudgetLedger(), policy)
        fleet = VirtualFleet(self.state, list)
        for declared in pools:
            add_workers(fleet, declared.id, size)
        self.vms = dict(self.state.vms)
        self.targets = {vm: self._target(vm) for vm in self.vms}
        self.now_s = 1e9
        self.down: dict[VmId, int] = {}
        for vm, record in self.vms.items():
            never = replace(record, maintained_s=0.0)
            last_s = due_since_s(never, pools[0], self.now_s) or self.now_s
            self.vms[vm] = replace(record, maintained_s=last_s)
        self.longest_gap_s = 0.0

    def run(self) -> float:
        """Return the longest time between two maintenances of a VM, in days."""
        for _ in range(round(CALENDAR_DAYS * DAY_S / CALENDAR_STEP_S)):
            self.now_s += CALENDAR_STEP_S
            self._inject_failures()
            self._decide()
        ages = [self.now_s - record.maintained_s for record in self.vms.values()]
        return max(self.longest_gap_s, *ages) / DAY_S

    def _decide(self) -> None:
        fleet = Fleet(
            self.now_s,
            Revision(1),
            self.state.declaration,
            self.vms,
            targets=self.targets,
        )
        commands = [
            action.command
            for action in self.maintenance.decide(fleet)
            if isinstance(action, ProposeCommand)
        ]
        maintained = [command.vm for command in commands if isinstance(command, RecordMaintenance)]
        for vm in maintained:
            record = self.vms[vm]
            self.longest_gap_s = max(self.longest_gap_s, self.now_s - record.maintained_s)
            self.down[vm] = 1
            self.vms[vm] = replace(record, maintained_s=self.now_s)
        self.maintenance.ledger.reserved_at_s.clear()

    def _inject_failures(self) -> None:
        for vm, steps in tuple(self.down.items()):
            if steps > 1:
                self.down[vm] = steps - 1
            else:
                del self.down[vm]
                self.targets[vm] = self._target(vm)
        share = CALENDAR_STEP_S / DAY_S
        vms = list(self.vms)
        for rate, steps in ((FAILURES_PER_DAY, FAILED_STEPS), (RESTARTS_PER_DAY, 1)):
            count = int(rate * share) + (self.random.random() < rate * share % 1.0)
            for vm in self.random.sample(vms, count):
                self.down[vm] = max(steps, self.down.get(vm, 0))
        for vm in self.down:
            if self.targets[vm].state is TargetState.READY:
                self.targets[vm] = replace(self.targets[vm], state=TargetState.DEAD)

    def _target(self, vm: VmId) -> ObservedTarget:
        record = self.vms[vm]
        announcement = Announcement(
            vm,
            record.data_centre,
            record.rack,
            record.address,
            record.slots,
            0,
            record.capacity,
            Epoch(1),
        )
        return ObservedTarget(announcement, TargetState.READY, 1.0)


def rows() -> list[Row]:
    """Measure a wave and the calendar."""
    return [
        Row(
            "maintenance_wave_ratio",
            wave_ratio(BudgetWave()),
            "times the bound",
            wave_ratio(OneAtATime()),
            Goal(GoalKind.AT_MOST, 1.1),
        ),
        Row(
            "maintenance_longest_gap_days",
            Calendar(BudgetWave()).run(),
            "days",
            Calendar(OneAtATime()).run(),
            Goal(GoalKind.AT_MOST, 42.0),
        ),
    ]
