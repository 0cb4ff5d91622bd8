"""Guards against errors in the budget, the calendar and the choice of VMs for a wave."""

from dataclasses import replace

import testtools
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import DataCentreId, PoolId, VmId
from marigolddoor_core.maintenance.budget import BudgetLedger, loss_of
from marigolddoor_core.maintenance.calendar import due_since_s
from marigolddoor_core.maintenance.waves import BudgetWave, Candidate, OneAtATime
from marigolddoor_core.state.commands import MaintenanceStep
from marigolddoor_core.targets import TargetState
from marigolddoor_standins.virtual import VirtualFleet, VirtualState
from marigolddoor_standins.virtual.samples import add_workers, organisation, pool

WEB = PoolId("web")
FIRST = VmId("web-0")


def fleet_of(size: int = 6, max_unavailable: int = 1, spare: bool = False) -> VirtualFleet:
    declaration = organisation([pool("web", size, 2, max_unavailable, spare)])
    fleet = VirtualFleet(VirtualState(declaration), list)
    add_workers(fleet, "web", 6)
    fleet.run(3)
    return fleet


class TestLoss(testtools.TestCase):
    """Guards against VMs out of service that are not counted, or counted twice."""

    scenarios = [
        ("complete", {"vm": {}, "target": {}, "set_aside": [], "taken": [], "total": 0}),
        ("draining", {"vm": {"maintenance": MaintenanceStep.DRAINING}, "total": 1}),
        ("rebooting", {"vm": {"maintenance": MaintenanceStep.REBOOTING}, "total": 1}),
        ("verifying", {"vm": {"maintenance": MaintenanceStep.VERIFYING}, "total": 1}),
        ("failed", {"vm": {"maintenance": MaintenanceStep.FAILED}, "total": 1}),
        ("done", {"vm": {"maintenance": MaintenanceStep.DONE}, "total": 0}),
        ("moving", {"vm": {"next_pool": PoolId("other")}, "total": 1}),
        ("suspected", {"target": {"state": TargetState.SUSPECTED}, "total": 1}),
        ("dead", {"target": {"state": TargetState.DEAD}, "total": 1}),
        ("never seen", {"target": None, "total": 1}),
        ("set aside", {"set_aside": [FIRST], "total": 1}),
        ("taken", {"taken": [FIRST], "total": 1}),
        (
            "draining and dead",
            {
                "vm": {"maintenance": MaintenanceStep.DRAINING},
                "target": {"state": TargetState.DEAD},
                "set_aside": [FIRST],
                "total": 1,
            },
        ),
        (
            "data centre unreachable",
            {"unresponsive": frozenset({DataCentreId("dc-0")}), "total": 4},
        ),
        ("pool lacks two", {"size": 8, "total": 2}),
        ("spare pool lent two", {"size": 8, "spare": True, "total": 0}),
    ]
    vm: dict = {}
    target: dict | None = {}
    set_aside: list = []
    taken: list = []
    unresponsive: frozenset = frozenset()
    size = 6
    spare = False

    def test_total_and_headroom(self) -> None:
        virtual_fleet = fleet_of(self.size, 3, self.spare)
        fleet = virtual_fleet.current_fleet()
        targets = dict(fleet.targets)
        observed = targets.pop(FIRST)
        if self.target is not None:
            targets[FIRST] = ObservedTarget(
                observed.announcement, self.target.get("state", observed.state), 0.0
            )
        vms = {**fleet.vms, FIRST: replace(fleet.vms[FIRST], **self.vm)}
        fleet = replace(
            fleet, vms=vms, targets=targets, unresponsive_data_centres=self.unresponsive
        )
        loss = loss_of(fleet, self.set_aside, self.taken)[WEB]
        self.assertEqual(self.total, loss.loss.total())
        self.assertEqual(3 - self.total, loss.headroom())


class TestCalendar(testtools.TestCase):
    """Guards against VMs that are never due, due too often or all due at once."""

    scenarios = [("a day", {"interval_s": 86_400.0}), ("6 weeks", {"interval_s": 3_628_800.0})]

    def test_each_vm_is_due_once_per_interval(self) -> None:
        virtual_fleet = fleet_of()
        declaration = replace(pool("web"), maintenance_interval_s=self.interval_s)
        step_s = self.interval_s / 500
        record = next(iter(virtual_fleet.state.vms.values()))
        for number in range(50):
            vm = replace(record, vm=VmId(f"vm-{number}"), maintained_s=0.0)
            times: list[float] = []
            for tick in range(2_000):
                now_s = tick * step_s
                if due_since_s(vm, declaration, now_s) is not None:
                    times.append(now_s)
                    vm = replace(vm, maintained_s=now_s)
            gaps = [after - before for before, after in zip([0.0, *times], times, strict=False)]
            self.assertLessEqual(max(gaps), self.interval_s)
            self.assertGreaterEqual(min(gaps[1:]), 0.8 * self.interval_s)

    def test_due_times_are_spread(self) -> None:
        declaration = replace(pool("web"), maintenance_interval_s=self.interval_s)
        record = next(iter(fleet_of().state.vms.values()))
        due = [0] * 10
        for number in range(1_000):
            vm = replace(record, vm=VmId(f"vm-{number}"), maintained_s=0.0)
            for tenth in range(10):
                now_s = (tenth + 1) / 10 * 0.9 * self.interval_s
                if due_since_s(vm, declaration, now_s - 1e-6) is not None:
                    due[tenth] += 1
                    break
        self.assertTrue(all(60 <= count <= 140 for count in due), due)


class TestWave(testtools.TestCase):
    """Guards against waves that exceed the budget or spread over more racks than needed."""

    scenarios = [
        ("budget of one", {"policy": BudgetWave(), "budget": 1, "taken": ["web-0"]}),
        ("budget of two", {"policy": BudgetWave(), "budget": 2, "taken": ["web-0", "web-1"]}),
        ("budget exhausted", {"policy": BudgetWave(), "budget": 0, "taken": []}),
        ("baseline", {"policy": OneAtATime(), "budget": 3, "taken": ["web-0"]}),
        (
            "rack with a loss first",
            {"policy": BudgetWave(), "budget": 2, "dead": "web-5", "taken": ["web-4"]},
        ),
        (
            "a loss is repaired without headroom",
            {"policy": BudgetWave(), "budget": 1, "aside": "web-3", "taken": ["web-3"]},
        ),
        (
            "a set-aside worker waits while the budget is exceeded",
            {
                "policy": BudgetWave(),
                "budget": 1,
                "dead": "web-5",
                "aside": "web-3",
                "taken": [],
            },
        ),
    ]
    dead = ""
    aside = ""

    def test_chosen_vms(self) -> None:
        virtual_fleet = fleet_of(6, self.budget)
        if self.dead:
            virtual_fleet.workers[VmId(self.dead)].unresponsive = True
            virtual_fleet.run(8)
        fleet = virtual_fleet.current_fleet()
        loss = loss_of(fleet, [VmId(self.aside)] if self.aside else [], [])[WEB]
        candidates = [Candidate(vm, 0.0) for vm in fleet.vms if vm != self.dead]
        self.assertEqual(self.taken, self.policy.choose(loss, candidates))


class TestLedger(testtools.TestCase):
    """Guards against two decisions that use the same headroom in one round."""

    scenarios = [
        ("not committed yet", {"step": None, "after_s": 5.0, "counted": True}),
        ("committed", {"step": MaintenanceStep.DRAINING, "after_s": 1.0, "counted": False}),
        ("timed out", {"step": None, "after_s": 31.0, "counted": False}),
    ]

    def test_vm_counts_until_committed_or_timed_out(self) -> None:
        virtual_fleet = fleet_of()
        ledger = BudgetLedger()
        ledger.reserve(FIRST, virtual_fleet.now_s)
        vms = {FIRST: replace(virtual_fleet.state.vms[FIRST], maintenance=self.step)}
        ledger.release_settled(vms, virtual_fleet.now_s + self.after_s)
        self.assertEqual(self.counted, FIRST in ledger.reserved_at_s)
