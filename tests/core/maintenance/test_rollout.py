"""Guards against roll-outs that exceed their waves, ignore degradation or cannot go back."""

from dataclasses import replace

import testtools
from marigolddoor_core.ids import JobId, OperatorId, RequestId, VmId
from marigolddoor_core.maintenance import AllAtOnce, BudgetLedger, Rollout, WaveSize
from marigolddoor_core.placement import Placement
from marigolddoor_core.state.commands import (
    AnswerQuestion,
    ApplyDeclaration,
    MaintenanceStep,
    RecordMaintenance,
)
from marigolddoor_core.state.objects import TaskState
from marigolddoor_standins.virtual import JobBehaviour, VirtualFleet, VirtualState
from marigolddoor_standins.virtual.samples import (
    SIZE,
    add_workers,
    job,
    organisation,
    pool,
    submit,
)

TASKS = 20
GOOD = JobBehaviour(1e9, SIZE)
BAD = JobBehaviour(1e9, SIZE, fails=True)


def running_fleet(wave_size: WaveSize | None = None) -> VirtualFleet:
    declaration = organisation([pool("web")], [job("j", version="1")])
    fleet = VirtualFleet(
        VirtualState(declaration), lambda: [Placement(), Rollout(BudgetLedger(), wave_size)]
    )
    add_workers(fleet, "web", 6)
    submit(fleet, "j", TASKS, GOOD)
    fleet.run(20)
    return fleet


def declare(fleet: VirtualFleet, version: str, behaviour: JobBehaviour) -> None:
    jobs = tuple(replace(each, version=version) for each in fleet.state.declaration.jobs)
    declaration = replace(fleet.state.declaration, jobs=jobs)
    request = RequestId(f"version {version}")
    fleet.behaviours[JobId("j")] = behaviour
    fleet.state.apply(
        ApplyDeclaration(fleet.state.revision, request, OperatorId("ada"), declaration), fleet.now_s
    )


def on_version(fleet: VirtualFleet, version: str) -> int:
    return sum(
        task.version == version and task.state is TaskState.LEASED
        for task in fleet.state.tasks.values()
    )


def answer(fleet: VirtualFleet, choice: str) -> None:
    (question,) = [q for q in fleet.state.questions.values() if q.subject.startswith("rollout:")]
    fleet.state.apply(
        AnswerQuestion(question.question, choice, OperatorId("ada"), RequestId("r")), fleet.now_s
    )


class TestWaves(testtools.TestCase):
    """Guards against a roll-out that replaces too many tasks at once, or stops without a reason."""

    scenarios = [
        ("a tenth", {"wave": None, "leader_change": False, "most": 2}),
        ("leader change during the roll-out", {"wave": None, "leader_change": True, "most": 4}),
        ("baseline", {"wave": AllAtOnce(), "leader_change": False, "most": TASKS}),
    ]

    def test_every_task_is_replaced(self) -> None:
        fleet = running_fleet(self.wave)
        declare(fleet, "2", GOOD)
        most = 0
        for second in range(300):
            fleet.step()
            running = sum(len(worker.running()) for worker in fleet.workers.values())
            most = max(most, TASKS - running)
            if self.leader_change and second == 40:
                fleet.change_leader()
        self.assertEqual(TASKS, on_version(fleet, "2"))
        self.assertLessEqual(most, self.most)
        self.assertEqual({}, dict(fleet.state.questions))


class TestDegradation(testtools.TestCase):
    """Guards against a bad version that reaches every task, and answers that have no effect."""

    scenarios = [
        ("stop", {"choice": "stop", "repaired": False, "old": 16, "version": "2"}),
        ("go back", {"choice": "go-back", "repaired": True, "old": 20, "version": "1"}),
        ("continue", {"choice": "continue", "repaired": True, "old": 0, "version": "2"}),
    ]

    def test_roll_out_stops_and_asks(self) -> None:
        fleet = running_fleet()
        declare(fleet, "2", BAD)
        fleet.run(120)
        untouched = on_version(fleet, "1")
        self.assertGreaterEqual(untouched, 16)
        if self.repaired:
            fleet.behaviours[JobId("j")] = GOOD
        answer(fleet, self.choice)
        fleet.run(400)
        self.assertEqual(self.version, fleet.state.declaration.jobs[0].version)
        self.assertGreaterEqual(on_version(fleet, "1"), self.old)
        if self.choice == "continue":
            self.assertEqual(0, on_version(fleet, "1"))


class TestPool(testtools.TestCase):
    """Guards against a roll-out in a pool without headroom in its budget."""

    scenarios = [
        ("at its budget", {"failed": False, "asks_after_s": 310}),
        ("a VM that did not come back", {"failed": True, "asks_after_s": 10}),
    ]

    def test_roll_out_waits_for_headroom(self) -> None:
        fleet = running_fleet()
        vm = VmId("web-5")
        epoch = fleet.state.vms[vm].epoch

        def record(*steps: MaintenanceStep) -> None:
            for step in steps:
                assert fleet.state.apply(RecordMaintenance(vm, epoch, step), fleet.now_s)

        record(MaintenanceStep.DRAINING, MaintenanceStep.REBOOTING)
        if self.failed:
            record(MaintenanceStep.FAILED)
        declare(fleet, "2", GOOD)
        fleet.run(self.asks_after_s)
        self.assertEqual(0, on_version(fleet, "2"))
        subjects = [question.subject for question in fleet.state.questions.values()]
        self.assertEqual(["rollout:j@2"], subjects)
        record(MaintenanceStep.VERIFYING, MaintenanceStep.DONE)
        fleet.run(400)
        self.assertEqual(TASKS, on_version(fleet, "2"))
