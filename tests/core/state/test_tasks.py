"""Guards against tasks that are lost, run twice, or are not created from a declaration."""

from dataclasses import replace

import testtools
from marigolddoor_core.ids import FencingToken, TaskId, VmId
from marigolddoor_core.state import commands as c
from marigolddoor_core.state import results as r
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.objects import TaskState
from marigolddoor_core.targets import TaskPhase

from bench.faults import state_commands as f

NO_JOBS = replace(f.DECLARATION, jobs=())


class DeclaredTasksTest(testtools.TestCase):
    """The tasks of a job follow its declared number of tasks; other changes leave them alone."""

    scenarios = [
        (name, {"commands": commands, "expected": expected})
        for name, commands, expected in [
            ("created", [], {"report/0": "waiting", "report/1": "waiting"}),
            (
                "more",
                [f.declare(1, "r2", f.with_job(3))],
                {"report/0": "waiting", "report/1": "waiting", "report/2": "waiting"},
            ),
            (
                "fewer",
                [f.declare(1, "r2", f.with_job(1))],
                {"report/0": "waiting", "report/1": "cancelled"},
            ),
            (
                "fewer and more again",
                [f.declare(1, "r2", f.with_job(1)), f.declare(2, "r3", f.with_job(2))],
                {"report/0": "waiting", "report/1": "waiting"},
            ),
            (
                "a new version restarts nothing",
                [f.register(), f.grant(), f.declare(1, "r2", f.with_job(2, "2"))],
                {"report/0": "leased", "report/1": "waiting"},
            ),
            (
                "a task that an operator cancelled stays cancelled",
                [c.CancelTask(f.grant().task), f.declare(1, "r2", f.with_job(2, "2"))],
                {"report/0": "cancelled", "report/1": "waiting"},
            ),
            (
                "a finished task does not run again",
                [
                    f.register(),
                    f.grant(),
                    f.end(),
                    f.declare(1, "r2", f.with_job(0)),
                    f.declare(2, "r3", f.with_job(1)),
                ],
                {"report/0": "finished", "report/1": "cancelled"},
            ),
            ("no job", [f.declare(1, "r2", NO_JOBS)], {}),
            ("a submitted task of a removed job", [f.submit("t"), f.declare(1, "r2", NO_JOBS)], {}),
            (
                "a running task of a removed job stays on record while its lease is in force",
                [f.register(), f.grant(), f.declare(1, "r2", NO_JOBS, time_s=44.0)],
                {"report/0": "cancelled"},
            ),
            (
                "a later declaration removes it",
                [
                    f.register(),
                    f.grant(),
                    f.declare(1, "r2", NO_JOBS),
                    f.declare(2, "r3", NO_JOBS, time_s=45.0),
                ],
                {},
            ),
        ]
    ]

    def test_states(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare(), *self.commands)
        states = {task.task: task.state.value for task in machine.tasks.values()}
        self.assertEqual(self.expected, states)


class EndOfRunTest(testtools.TestCase):
    """After a run that did not finish the task waits again; `failed_on` lists each VM once."""

    scenarios = [
        (phase.value, {"phase": phase, "state": state, "failures": failures})
        for phase, state, failures in [
            (TaskPhase.FINISHED, TaskState.FINISHED, 0),
            (TaskPhase.FAILED, TaskState.WAITING, 2),
            (TaskPhase.CHECKPOINTED, TaskState.WAITING, 0),
            (TaskPhase.STOPPED, TaskState.WAITING, 0),
        ]
    ]

    def test_end(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare(), f.register(), f.grant(), f.end(1, self.phase))
        if self.state is TaskState.WAITING:
            f.apply_all(machine, f.grant(), f.end(2, self.phase))
        task = machine.tasks[f.grant().task]
        self.assertEqual((self.state, None, 0.0), (task.state, task.vm, task.lease_until_s))
        self.assertEqual(self.failures, task.failures)
        self.assertEqual((VmId("vm-1"),) if self.failures else (), task.failed_on)


class RevivedTaskTest(testtools.TestCase):
    """A task cancelled and declared again waits for its old lease; the old run's end is ignored."""

    def test_old_run(self) -> None:
        machine = StateMachine()
        results = f.apply_all(
            machine,
            f.declare(),
            f.register(),
            f.grant(),
            f.declare(1, "r2", f.with_job(0)),
            f.declare(2, "r3", f.with_job(1)),
            f.grant(time_s=44.0),
            f.end(1),
            f.grant(time_s=45.0),
        )
        self.assertEqual(r.Refusal.LEASE_HELD, results[-3].refusal)
        self.assertEqual(r.Refusal.OLD_TOKEN, results[-2].refusal)
        self.assertEqual(r.LeaseGranted(FencingToken(3)), results[-1])


class ReusedTaskIdTest(testtools.TestCase):
    """A reused task id gets higher tokens, so that a late end of the old run has no effect."""

    def test_token_increases(self) -> None:
        machine = StateMachine()
        results = f.apply_all(
            machine,
            f.declare(),
            f.register(),
            f.grant(),
            f.declare(1, "r2", NO_JOBS, time_s=45.0),
            f.declare(2, "r3"),
            f.grant(),
            f.end(1),
        )
        self.assertEqual(r.LeaseGranted(FencingToken(2)), results[-2])
        self.assertEqual(r.Refusal.OLD_TOKEN, results[-1].refusal)


class EndedTasksTest(testtools.TestCase):
    """The number of ended tasks is limited, but declared tasks and leases in force are kept."""

    def machine(self) -> StateMachine:
        machine = StateMachine(ended_tasks_kept=2)
        f.apply_all(machine, f.declare(), f.register())
        return machine

    def test_oldest_is_dropped(self) -> None:
        machine = self.machine()
        names = [f"t{number}" for number in range(5)]
        f.apply_all(machine, *(f.submit(name) for name in names))
        f.apply_all(machine, *(c.CancelTask(f.submit(name).task) for name in names))
        self.assertEqual({"report/0", "report/1", "t3", "t4"}, set(machine.tasks))

    def test_declared_tasks_are_kept(self) -> None:
        machine = self.machine()
        f.apply_all(machine, f.declare(1, "r2", f.with_job(5)))
        f.apply_all(machine, *(c.CancelTask(f.submit(f"report/{n}").task) for n in range(5)))
        self.assertEqual(5, len(machine.tasks))
        f.apply_all(machine, f.declare(2, "r3", f.with_job(1)))
        self.assertEqual({"report/0", "report/3", "report/4"}, set(machine.tasks))

    def test_leases_in_force_are_kept(self) -> None:
        machine = self.machine()
        names = [f"t{number}" for number in range(4)]
        f.apply_all(machine, *(f.submit(name) for name in names))
        f.apply_all(machine, f.grant("t0"))
        cancel = [c.CancelTask(f.submit(name).task) for name in names]
        f.apply_all(machine, *cancel)
        self.assertIn("t0", machine.tasks)
        f.apply_all(machine, replace(cancel[3], time_s=45.0))
        self.assertEqual({"report/0", "report/1", "t2", "t3"}, set(machine.tasks))


class VersionTest(testtools.TestCase):
    """A run records the version of its job, so that a roll-out ends once each task has run it.

    Without the version, every task seemed to run another version and was restarted endlessly.
    """

    scenarios = [
        ("first version", {"versions": ["1"]}),
        ("new version", {"versions": ["1", "2"]}),
    ]

    def test_version_of_the_run(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare(), f.register())
        for number, version in enumerate(self.versions):
            f.apply_all(
                machine,
                f.declare(number + 1, f"version {version}", f.with_job(1, version)),
                f.grant(),
            )
            task = machine.tasks[TaskId("report/0")]
            self.assertEqual((TaskState.LEASED, version), (task.state, task.version))
            f.apply_all(machine, f.end(task.token, TaskPhase.CHECKPOINTED))
