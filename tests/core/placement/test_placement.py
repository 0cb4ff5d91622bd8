"""Tests of the placement decision on a fleet in virtual time."""

from collections import Counter

import testtools
from marigolddoor_core.actions import OrderTask
from marigolddoor_core.declaration import Job, Team
from marigolddoor_core.ids import JobId, PoolId, TaskId, TeamId, VmId
from marigolddoor_core.placement import NoPreemption, Placement
from marigolddoor_core.state.commands import (
    AnswerQuestion,
    BeginMove,
    CancelTask,
    GrantLease,
    MaintenanceStep,
    RecordMaintenance,
)
from marigolddoor_core.state.objects import TaskState
from marigolddoor_core.targets import Resources, TaskPhase
from marigolddoor_standins.virtual import JobBehaviour, VirtualFleet, VirtualState
from marigolddoor_standins.virtual.samples import (
    SIZE,
    TEAM,
    add_workers,
    job,
    organisation,
    pool,
    submit,
)

STEADY = JobBehaviour(1e9, SIZE)


def fleet_of(*jobs: Job, workers: int = 6, placement: Placement | None = None) -> VirtualFleet:
    declared = organisation([pool("web"), pool("other")], jobs, [Team(TEAM, 1_000, 1_000.0)])
    fleet = VirtualFleet(VirtualState(declared), lambda: [placement or Placement()])
    add_workers(fleet, "web", workers)
    add_workers(fleet, "other", 2)
    return fleet


def states(fleet: VirtualFleet, of_job: str) -> Counter[TaskState]:
    return Counter(task.state for task in fleet.state.tasks.values() if task.job == of_job)


class TestFit(testtools.TestCase):
    """Guards against workers whose tasks exceed their capacity."""

    scenarios = [
        ("cores bind", {"size": Resources(5.0, 1_000), "placed": 18}),
        ("memory binds", {"size": Resources(1.0, 16_000), "placed": 12}),
        ("all fit", {"size": Resources(1.0, 1_000), "placed": 20}),
        ("no accelerators", {"size": Resources(1.0, 1_000, 1), "placed": 0}),
        ("too large", {"size": Resources(17.0, 1_000), "placed": 0}),
    ]

    def test_placed(self) -> None:
        fleet = fleet_of(job("j", size=self.size))
        submit(fleet, "j", 20, JobBehaviour(1e9, self.size))
        fleet.run(10)
        self.assertEqual(self.placed, states(fleet, "j")[TaskState.LEASED])
        for worker in fleet.workers.values():
            used = sum((run.behaviour.usage for run in worker.running()), Resources(0.0, 0))
            self.assertTrue(used.fits(worker.capacity))
            self.assertTrue(worker.vm.startswith("web") or not worker.running())

    def test_a_job_that_never_fits_is_asked_about_at_once(self) -> None:
        fleet = fleet_of(job("j", size=self.size))
        submit(fleet, "j", 1, JobBehaviour(1e9, self.size))
        fleet.run(2)
        subjects = [question.subject for question in fleet.state.questions.values()]
        self.assertEqual([] if self.placed else ["job-never-fits:j"], subjects)


class TestSpread(testtools.TestCase):
    """Guards against a job with all tasks in one rack, which loses them with it."""

    scenarios = [("two racks", {"tasks": 4}), ("more tasks", {"tasks": 8})]

    def test_tasks_are_spread_over_racks(self) -> None:
        fleet = fleet_of(job("j"), workers=8)
        submit(fleet, "j", self.tasks, STEADY)
        fleet.run(3)
        racks = Counter(w.rack for w in fleet.workers.values() for _ in w.running())
        self.assertEqual([self.tasks // 2] * 2, list(racks.values()))


class TestQuota(testtools.TestCase):
    """Guards against a team that runs more than its quota."""

    scenarios = [("two tasks", {"cores": 8.0, "placed": 2}), ("none", {"cores": 3.0, "placed": 0})]

    def test_quota(self) -> None:
        small = TeamId("small")
        declared = organisation(
            [pool("web")],
            [job("a", team=small), job("b", team=small), job("c")],
            [Team(small, 10, self.cores), Team(TEAM, 10, 100.0)],
        )
        fleet = VirtualFleet(VirtualState(declared), lambda: [Placement()])
        add_workers(fleet, "web", 6)
        for name in ("a", "b", "c"):
            submit(fleet, name, 2, STEADY)
        fleet.run(5)
        placed = states(fleet, "a")[TaskState.LEASED] + states(fleet, "b")[TaskState.LEASED]
        self.assertEqual(self.placed, placed)
        self.assertEqual(2, states(fleet, "c")[TaskState.LEASED])


class TestPreemption(testtools.TestCase):
    """Guards against urgent tasks that wait for batch tasks, and batch tasks that are lost."""

    scenarios = [
        ("checkpoints in time", {"checkpoint_s": 0.2, "preemption": None, "urgent": 3}),
        ("never checkpoints", {"checkpoint_s": 1e9, "preemption": None, "urgent": 3}),
        ("baseline", {"checkpoint_s": 0.2, "preemption": NoPreemption(), "urgent": 0}),
    ]

    def test_urgent_tasks_start(self) -> None:
        batch, urgent = job("batch"), job("urgent", urgent=True)
        fleet = fleet_of(batch, urgent, placement=Placement(self.preemption))
        submit(fleet, "batch", 30, JobBehaviour(1e9, SIZE, checkpoint_s=self.checkpoint_s))
        fleet.run(5)
        submit(fleet, "urgent", 3, STEADY)
        fleet.run(10)
        self.assertEqual(self.urgent, states(fleet, "urgent")[TaskState.LEASED])
        self.assertEqual(24 - self.urgent, states(fleet, "batch")[TaskState.LEASED])
        self.assertEqual(30, states(fleet, "batch").total())


class TestEndsOfRuns(testtools.TestCase):
    """Guards against ends of runs that are not committed, or committed with the wrong phase."""

    scenarios = [
        ("finishes", {"run_s": 5.0, "fails": False, "state": TaskState.FINISHED}),
        ("fails everywhere", {"run_s": 5.0, "fails": True, "state": TaskState.SET_ASIDE}),
        ("runs on", {"run_s": 1e9, "fails": False, "state": TaskState.LEASED}),
    ]

    def test_state(self) -> None:
        fleet = fleet_of(job("j"))
        submit(fleet, "j", 1, JobBehaviour(self.run_s, SIZE, self.fails))
        fleet.run(200)
        self.assertEqual(self.state, fleet.state.tasks[TaskId("j/0")].state)

    def test_a_lost_proposal_is_retried(self) -> None:
        fleet = fleet_of(job("j"))
        submit(fleet, "j", 1, JobBehaviour(self.run_s, SIZE, self.fails))
        seen: Counter[type] = Counter()

        def lose_first(command: object) -> bool:
            seen[type(command)] += 1
            return seen[type(command)] == 1

        fleet.lose_proposal = lose_first
        fleet.run(200)
        self.assertEqual(self.state, fleet.state.tasks[TaskId("j/0")].state)


class TestLostWorker(testtools.TestCase):
    """Guards against a task that runs twice, or never again, after its worker was lost."""

    scenarios = [
        ("crash", {"crashes": True, "change_leader": False}),
        ("silence", {"crashes": False, "change_leader": False}),
        ("silence and a new leader", {"crashes": False, "change_leader": True}),
    ]

    def test_the_task_runs_elsewhere_after_its_lease(self) -> None:
        fleet = fleet_of(job("j"))
        submit(fleet, "j", 1, STEADY)
        fleet.run(60)
        holder = next(worker for worker in fleet.workers.values() if worker.running())
        if self.crashes:
            holder.go_down(fleet.now_s, 1e9)
        holder.unresponsive = True
        if self.change_leader:
            fleet.change_leader()
        most = 0
        for _ in range(60):
            fleet.step()
            most = max(most, sum(len(worker.running()) for worker in fleet.workers.values()))
        self.assertEqual(1, most)
        self.assertNotEqual(holder.vm, fleet.state.tasks[TaskId("j/0")].vm)


class TestFaultyWorker(testtools.TestCase):
    """Guards against a faulty worker that attracts the tasks of a pool and fails them all."""

    scenarios = [
        ("one job", {"jobs": 1, "set_aside": False}),
        ("two jobs", {"jobs": 2, "set_aside": True}),
        ("four jobs", {"jobs": 4, "set_aside": True}),
    ]

    def test_set_aside(self) -> None:
        names = [f"j{number}" for number in range(self.jobs)]
        fleet = fleet_of(*(job(name) for name in names), workers=6)
        fleet.workers[VmId("web-0")].fails_all = True
        for round_number in range(8):
            for name in names:
                submit(fleet, name, 2, JobBehaviour(8.0, SIZE), first=2 * round_number)
            fleet.run(20)
        subjects = [question.subject for question in fleet.state.questions.values()]
        self.assertEqual(["worker-set-aside:web-0"] if self.set_aside else [], subjects)
        for name in names:
            self.assertEqual({TaskState.FINISHED: 16}, states(fleet, name))


class TestAnswers(testtools.TestCase):
    """Guards against answers that are not carried out."""

    scenarios = [
        ("wait", {"choice": "wait", "state": TaskState.WAITING}),
        ("cancel", {"choice": "cancel", "state": TaskState.CANCELLED}),
    ]

    def test_never_fits(self) -> None:
        fleet = fleet_of(job("j", size=Resources(99.0, 1)))
        submit(fleet, "j", 3, STEADY)
        fleet.run(2)
        (question,) = fleet.state.questions.values()
        answer = AnswerQuestion(question.question, self.choice, "ada", "r1")  # type: ignore[arg-type]
        fleet.state.apply(answer, fleet.now_s)
        fleet.run(50)
        self.assertEqual({self.state: 3}, states(fleet, "j"))
        self.assertEqual(1, len(fleet.state.questions))


class TestCancellation(testtools.TestCase):
    """Guards against cancelled tasks that keep running or keep their capacity."""

    scenarios = [("few", {"tasks": 3}), ("full pool", {"tasks": 24})]

    def test_cancelled_tasks_free_their_capacity(self) -> None:
        fleet = fleet_of(job("j"), job("next"))
        tasks = submit(fleet, "j", self.tasks, STEADY)
        fleet.run(5)
        for task in tasks:
            fleet.state.apply(CancelTask(task), fleet.now_s)
        submit(fleet, "next", 24, STEADY)
        fleet.run(8)
        running = [run for worker in fleet.workers.values() for run in worker.running()]
        self.assertEqual({JobId("next")}, {run.job for run in running})
        self.assertEqual(24, len(running))


class TestOverload(testtools.TestCase):
    """Guards against workers overloaded by tasks that use more than their job declares."""

    scenarios = [
        ("memory", {"usage": Resources(1.0, 10_000)}),
        ("cores", {"usage": Resources(6.0, 1_000)}),
    ]

    def test_relief(self) -> None:
        fleet = fleet_of(job("j", size=Resources(1.0, 1_000)))
        submit(fleet, "j", 60, JobBehaviour(1e9, self.usage))
        fleet.run(120)
        for worker in fleet.workers.values():
            reports = [run.report(fleet.now_s) for run in worker.running()]
            used = sum((report.usage for report in reports), Resources(0.0, 0))
            self.assertTrue(used.fits(worker.capacity), f"{worker.vm} uses {used}")
        self.assertEqual(60, states(fleet, "j").total())

    def test_urgent_tasks_are_relieved_last(self) -> None:
        size = Resources(1.0, 1_000)
        fleet = fleet_of(job("j", size=size), job("u", size=size, urgent=True), workers=1)
        submit(fleet, "u", 1, JobBehaviour(1e9, size))
        submit(fleet, "j", 10, JobBehaviour(1e9, self.usage))
        fleet.run(60)
        phases = {
            run.phase for w in fleet.workers.values() for run in w.runs.values() if run.job == "u"
        }
        self.assertEqual({TaskPhase.RUNNING}, phases)


class TestRepeatedRounds(testtools.TestCase):
    """Guards against the same grant being proposed in every round until it is committed."""

    scenarios = [("small", {"tasks": 5}), ("more than fit", {"tasks": 40})]

    def test_one_grant_for_each_task(self) -> None:
        fleet = fleet_of(job("j"))
        submit(fleet, "j", self.tasks, STEADY)
        proposed: list[TaskId] = []

        def lose(command: object) -> bool:
            if isinstance(command, GrantLease):
                proposed.append(command.task)
            return True

        fleet.lose_proposal = lose
        fleet.run(5)
        self.assertEqual(sorted(set(proposed)), sorted(proposed))
        self.assertEqual(min(self.tasks, 24), len(proposed))


class TestReplacedTask(testtools.TestCase):
    """Guards against a task that is not placed because another one ended when it arrived.

    A blocked job was once identified by its number of waiting tasks, which then stays the same.
    """

    scenarios = [("normal", {"urgent": False}), ("urgent", {"urgent": True})]

    def test_the_next_task_is_placed_at_once(self) -> None:
        fleet = fleet_of(job("j", urgent=self.urgent))
        for number in range(5):
            submit(fleet, "j", 1, STEADY, first=number)
            fleet.run(1)
        fleet.run(1)
        self.assertEqual({TaskState.LEASED: 5}, states(fleet, "j"))


class TestUrgentStart(testtools.TestCase):
    """Guards against urgent tasks that wait for tasks which cannot be evicted.

    A task with a lease that has not started yet ignores a checkpoint order. A worker that ignores
    orders frees no capacity either.
    """

    scenarios = [
        *((f"{steps} steps after the flood", {"steps": steps, "ignoring": 0, "within_s": 1.0})
          for steps in range(1, 8)),
        ("one worker ignores orders", {"steps": 100, "ignoring": 1, "within_s": 6.2}),
    ]  # fmt: skip

    def test_start(self) -> None:
        declared = organisation([pool("web")], [job("batch"), job("urgent", urgent=True)])
        fleet = VirtualFleet(VirtualState(declared), lambda: [Placement()], 0.05)
        for vm in add_workers(fleet, "web", 6)[: self.ignoring]:
            fleet.workers[vm].ignores_ends = True
        submit(fleet, "batch", 60, STEADY)
        fleet.run(self.steps * 0.05)
        tasks = submit(fleet, "urgent", 3, STEADY)
        fleet.run(self.within_s)
        running = [run.task for worker in fleet.workers.values() for run in worker.running()]
        self.assertTrue(set(tasks).issubset(running), running)


class TestUnstartedRun(testtools.TestCase):
    """Guards against a task that waits for the end of a lease under which it never started."""

    scenarios = [("moves", {"step": False}), ("maintenance", {"step": True})]

    def test_the_task_is_placed_elsewhere_at_once(self) -> None:
        fleet = fleet_of(job("j"))
        submit(fleet, "j", 1, STEADY)
        fleet.run(1)
        vm = fleet.state.tasks[TaskId("j/0")].vm
        assert vm is not None
        epoch = fleet.state.vms[vm].epoch
        command = (
            RecordMaintenance(vm, epoch, MaintenanceStep.DRAINING)
            if self.step
            else BeginMove(vm, epoch, PoolId("other"))
        )
        fleet.state.apply(command, fleet.now_s)
        fleet.run(5)
        (run,) = [run for worker in fleet.workers.values() for run in worker.running()]
        self.assertEqual(2, run.token)


class TestRoundsWithoutChanges(testtools.TestCase):
    """Guards against rounds whose cost grows with tasks times workers.

    A blocked job is retried only after a change that could let it be placed.
    """

    scenarios = [
        ("full pool", {"tasks": 60, "size": SIZE}),
        ("never fits", {"tasks": 60, "size": Resources(99.0, 1)}),
        ("nothing waits", {"tasks": 3, "size": SIZE}),
    ]

    def test_no_search_without_a_change(self) -> None:
        placement = Placement()
        fleet = fleet_of(job("j", size=self.size), placement=placement)
        submit(fleet, "j", self.tasks, JobBehaviour(1e9, self.size))
        fleet.run(30)
        searches: list[Resources] = []
        for capacity in placement.index.pools.values():
            find = capacity.free.find

            def search(size, accept, find=find):  # type: ignore[no-untyped-def]
                searches.append(size)
                return find(size, accept)

            capacity.free.find = search  # type: ignore[method-assign]
        fleet.run(10)
        self.assertEqual([], searches)
        submit(fleet, "j", 1, STEADY, first=self.tasks)
        fleet.run(3)
        self.assertTrue(searches)


class TestStartOrder(testtools.TestCase):
    """Guards against a start order whose lease ends later than the leader assumes."""

    scenarios = [("first order", {"rounds": 2}), ("repeated order", {"rounds": 20})]

    def test_the_lease_ends_in_time_at_the_latest_receipt(self) -> None:
        placement = Placement()
        fleet = fleet_of(job("j"), placement=placement)
        for worker in fleet.workers.values():
            worker.ignores_starts = True
        submit(fleet, "j", 1, STEADY)
        fleet.run(self.rounds)
        orders: list[OrderTask] = []
        while not orders:
            fleet.now_s += 1.0
            actions = placement.decide(fleet.current_fleet())
            orders = [action for action in actions if isinstance(action, OrderTask)]
        latest_s = orders[0].send_by_s + 2.0
        until_s = fleet.state.tasks[TaskId("j/0")].lease_until_s
        self.assertLessEqual(latest_s + orders[0].order.lease_s, until_s)
        self.assertLessEqual(orders[0].send_by_s, fleet.now_s + 1.0)
