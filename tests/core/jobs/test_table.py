"""Guards against jobs that run twice, end too early or are lost on a replica."""

from typing import Any

import testtools
from marigolddoor_core.ids import JobId, LogIndex, MachineId, RunNumber, TaskName, WaveId
from marigolddoor_core.jobs import (
    BeginUpkeep,
    CancelJob,
    EndRun,
    FinishWave,
    JobPhase,
    JobTable,
    OpenWave,
    OrderMove,
    RecordChanges,
    RunEnd,
    StoreConfiguration,
    TaskPhase,
)

from tests.core.jobs.fakes import Log, TestDocuments, accept, configuration, end, place

ONE = {"count": 1}
TWO = {"count": 2}
LONG_RUNNING = {"count": 1, "is_long_running": True}
GANG = {"count": 2, "is_gang": True}
LASTING_GANG = {**GANG, "is_long_running": True}
DONE, FAILED, LOST = RunEnd.DONE, RunEnd.FAILED, RunEnd.LOST
REJECTED = RunEnd.REJECTED


class PhaseTest(testtools.TestCase):
    """Guards against a job whose phase does not follow from the runs in the log."""

    scenarios = [
        ("accepted", {"steps": [ONE], "changes": [], "phase": JobPhase.ACTIVE}),
        (
            "one of two done",
            {
                "steps": [TWO],
                "changes": [place("j.0.0.0"), end("j.0.0.0")],
                "phase": JobPhase.ACTIVE,
            },
        ),
        (
            "all done",
            {
                "steps": [TWO],
                "changes": [
                    place("j.0.0.0"),
                    end("j.0.0.0"),
                    place("j.0.0.1"),
                    end("j.0.0.1"),
                ],
                "phase": JobPhase.COMPLETED,
            },
        ),
        (
            "second step waiting",
            {
                "steps": [ONE, {"count": 1, "depends_on": [0]}],
                "changes": [place("j.0.0.0"), end("j.0.0.0")],
                "phase": JobPhase.ACTIVE,
            },
        ),
        (
            "end of a run that was never placed",
            {"steps": [ONE], "changes": [end("j.0.0.0")], "phase": JobPhase.ACTIVE},
        ),
        (
            "late success of an earlier run that was lost",
            {
                "steps": [ONE],
                "changes": [
                    place("j.0.0.0"),
                    end("j.0.0.0", LOST),
                    place("j.0.0.0", 2),
                    end("j.0.0.0", DONE, 1),
                ],
                "phase": JobPhase.COMPLETED,
            },
        ),
        (
            "failed too often",
            {
                "steps": [ONE],
                "changes": [
                    change
                    for run in (1, 2, 3)
                    for change in (place("j.0.0.0", run), end("j.0.0.0", FAILED, run))
                ],
                "phase": JobPhase.FAILED,
            },
        ),
        (
            "lost often, failed twice",
            {
                "steps": [ONE],
                "changes": [
                    change
                    for run, how in enumerate((FAILED, LOST, LOST, FAILED, LOST), 1)
                    for change in (place("j.0.0.0", run), end("j.0.0.0", how, run))
                ],
                "phase": JobPhase.ACTIVE,
            },
        ),
        (
            "long-running task that failed",
            {
                "steps": [LONG_RUNNING],
                "changes": [
                    change
                    for run in range(1, 9)
                    for change in (place("j.0.0.0", run), end("j.0.0.0", FAILED, run))
                ],
                "phase": JobPhase.ACTIVE,
            },
        ),
        (
            "long-running task that ended done",
            {
                "steps": [LONG_RUNNING],
                "changes": [place("j.0.0.0"), end("j.0.0.0")],
                "phase": JobPhase.ACTIVE,
            },
        ),
        (
            "end of one gang member counts for all",
            {
                "steps": [GANG],
                "changes": [place("j.0.0.0"), place("j.0.0.1"), end("j.0.0.1")],
                "phase": JobPhase.COMPLETED,
            },
        ),
        (
            "end of a gang after one member was lost",
            {
                "steps": [GANG],
                "changes": [
                    place("j.0.0.0"),
                    place("j.0.0.1"),
                    end("j.0.0.0", LOST),
                    end("j.0.0.1"),
                ],
                "phase": JobPhase.COMPLETED,
            },
        ),
        (
            "end of a gang by the member that was lost",
            {
                "steps": [GANG],
                "changes": [
                    place("j.0.0.0"),
                    place("j.0.0.1"),
                    end("j.0.0.0", LOST),
                    end("j.0.0.0"),
                ],
                "phase": JobPhase.COMPLETED,
            },
        ),
        (
            "end of a long-running gang",
            {
                "steps": [LASTING_GANG],
                "changes": [
                    place("j.0.0.0"),
                    place("j.0.0.1"),
                    end("j.0.0.0"),
                    end("j.0.0.1"),
                ],
                "phase": JobPhase.ACTIVE,
            },
        ),
        (
            "late success of a gang that was placed again",
            {
                "steps": [GANG],
                "changes": [
                    place("j.0.0.0"),
                    place("j.0.0.1"),
                    end("j.0.0.0", LOST),
                    end("j.0.0.1", LOST),
                    place("j.0.0.0", 2),
                    place("j.0.0.1", 2),
                    end("j.0.0.1"),
                ],
                "phase": JobPhase.COMPLETED,
            },
        ),
        (
            "one member of a gang failed, the others were broken",
            {
                "steps": [GANG],
                "changes": [
                    place("j.0.0.0"),
                    place("j.0.0.1"),
                    end("j.0.0.0", FAILED),
                    end("j.0.0.1", RunEnd.BROKEN),
                ],
                "phase": JobPhase.ACTIVE,
            },
        ),
        (
            "cancelled",
            {
                "steps": [ONE],
                "changes": [place("j.0.0.0"), CancelJob(JobId("j")), end("j.0.0.0")],
                "phase": JobPhase.CANCELED,
            },
        ),
        (
            "cancelled after its end",
            {
                "steps": [ONE],
                "changes": [place("j.0.0.0"), end("j.0.0.0"), CancelJob(JobId("j"))],
                "phase": JobPhase.COMPLETED,
            },
        ),
        (
            "one of two occurrences",
            {
                "steps": [ONE],
                "changes": [place("j.0.0.0"), end("j.0.0.0")],
                "fields": {"occurrences": 2, "first_due_s": 5.0, "interval_s": 1.0},
                "phase": JobPhase.ACTIVE,
            },
        ),
    ]
    fields: dict[str, object] = {}

    def test_phase(self) -> None:
        log = Log()
        log.apply(accept("j", *self.steps, **self.fields))
        for change in self.changes:
            log.apply(change)
        self.assertIs(self.phase, log.table.jobs[JobId("j")].phase)

    def test_snapshot_keeps_everything(self) -> None:
        """A replica that restores a snapshot must not lose a run, a failure or an end."""
        log = Log()
        log.apply(accept("j", *self.steps, **self.fields), time_s=7.0)
        for change in self.changes:
            log.apply(change)
        copy = JobTable(TestDocuments())
        copy.restore(log.table.snapshot())
        self.assertEqual(log.table.snapshot(), copy.snapshot())
        original, restored = log.table.jobs[JobId("j")], copy.jobs[JobId("j")]
        self.assertEqual(original.done, restored.done)
        self.assertEqual(
            [task.name for task in original.placed_tasks()],
            [task.name for task in restored.placed_tasks()],
        )


class PlacementTest(testtools.TestCase):
    """Guards against placing a task that is placed or done, or whose job has ended."""

    scenarios = [
        ("waiting", {"before": [], "number": 1, "accepted": True}),
        ("placed", {"before": [place("j.0.0.0")], "number": 2, "accepted": False}),
        (
            "after a loss",
            {"before": [place("j.0.0.0"), end("j.0.0.0", LOST)], "number": 2, "accepted": True},
        ),
        (
            "with the number of the lost run",
            {"before": [place("j.0.0.0"), end("j.0.0.0", LOST)], "number": 1, "accepted": False},
        ),
        ("done", {"before": [place("j.0.0.0"), end("j.0.0.0")], "number": 2, "accepted": False}),
        ("cancelled", {"before": [CancelJob(JobId("j"))], "number": 1, "accepted": False}),
    ]

    def test_placement(self) -> None:
        log = Log()
        log.apply(accept("j", {"count": 2}), *self.before)
        log.apply(place("j.0.0.0", self.number, "i-2/5"))
        task = log.table.task("j.0.0.0")
        assert task is not None
        is_placed = task.phase is TaskPhase.PLACED and task.incarnation == "i-2/5"
        self.assertEqual(self.accepted, is_placed)


class StartedJobTest(testtools.TestCase):
    """A job has started once the end of a run shows it, not when a task was placed.

    A placement is committed before the executor is called, which may reject it.
    """

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("placed", {"ends": (), "has_started": False}),
        *(
            (
                how.value,
                {"ends": (end("j.0.0.0", how),), "has_started": how not in (REJECTED, LOST)},
            )
            for how in RunEnd
        ),
        (
            "lost after another run of the job was confirmed",
            {
                "ends": (EndRun(TaskName("j.0.0.0"), RunNumber(1), LOST, has_begun=True),),
                "has_started": True,
            },
        ),
        (
            "rejected after an earlier run had failed",
            {
                "ends": (end("j.0.0.0", FAILED), place("j.0.0.0", 2), end("j.0.0.0", REJECTED, 2)),
                "has_started": True,
            },
        ),
    ]

    def test_started(self) -> None:
        log = Log()
        log.apply(accept("j", TWO), place("j.0.0.0"), *self.ends)
        restored = JobTable(TestDocuments())
        restored.restore(log.table.snapshot())
        for table in (log.table, restored):
            self.assertEqual(self.has_started, table.jobs[JobId("j")].has_started)


class DuplicateChangeTest(testtools.TestCase):
    """Guards against a repeated change that resets a job or a wave."""

    def test_job(self) -> None:
        log = Log()
        log.apply(accept("j", ONE), place("j.0.0.0"), end("j.0.0.0", RunEnd.LAPSED))
        log.apply(accept("j", TWO))
        self.assertEqual(1, log.table.jobs[JobId("j")].spec.task_count)
        self.assertTrue(log.table.jobs[JobId("j")].has_started)

    def test_wave(self) -> None:
        log = Log()
        wave = OpenWave(WaveId(1), (MachineId("m"),), 20.0, 1)
        log.apply(wave, BeginUpkeep(WaveId(1), MachineId("m")), FinishWave(WaveId(1)))
        log.apply(wave)
        self.assertTrue(log.table.waves[WaveId(1)].is_finished)


class ConfigurationTest(testtools.TestCase):
    """Guards against a late older version that replaces a newer one."""

    scenarios = [
        ("ascending", {"versions": [3, 7], "in_force": 7}),
        ("older version arrives late", {"versions": [7, 3], "in_force": 7}),
        ("same version again", {"versions": [7, 7], "in_force": 7}),
    ]

    def test_version(self) -> None:
        log = Log()
        for number, version in enumerate(self.versions):
            written = configuration(version, **{f"q{number}": "desk"})
            log.apply(StoreConfiguration(version, written))
        self.assertEqual(self.in_force, log.table.version)
        first = self.versions.index(self.in_force)
        assert log.table.configuration is not None
        self.assertEqual([f"q{first}"], list(log.table.configuration.by_name))


class RetentionTest(testtools.TestCase):
    """Guards against ended jobs that are removed too early or never."""

    scenarios = [
        ("within the retention", {"later_s": 125.0, "is_known": True}),
        ("after the retention", {"later_s": 200.0, "is_known": False}),
    ]

    def test_retention(self) -> None:
        log = Log()
        log.apply(accept("j", ONE), place("j.0.0.0"), end("j.0.0.0"), time_s=1000.0)
        log.table.apply(LogIndex(9), RecordChanges((), 1000.0 + self.later_s))
        self.assertEqual(self.is_known, JobId("j") in log.table.jobs)


class MachineOrdersTest(testtools.TestCase):
    """Guards against a new leader that does not know the orders of the previous one."""

    scenarios = [
        ("move", {"change": OrderMove(MachineId("m")), "later_s": 10.0, "known": ["m"]}),
        (
            "maintenance",
            {"change": BeginUpkeep(WaveId(1), MachineId("m")), "later_s": 10.0, "known": ["m"]},
        ),
        ("expired", {"change": OrderMove(MachineId("m")), "later_s": 17.0, "known": []}),
    ]

    def test_orders(self) -> None:
        log = Log()
        log.apply(self.change, time_s=1000.0)
        restored = JobTable(TestDocuments())
        restored.restore(log.table.snapshot())
        for table in (log.table, restored):
            table.apply(LogIndex(9), RecordChanges((), 1000.0 + self.later_s))
            self.assertEqual(self.known, list(table.machine_orders))


class CheckpointTest(testtools.TestCase):
    """The checkpoints that the two tasks of a step are started with again.

    Third review: after a crash of the executor of one member of a gang, its members were started
    with different checkpoints, so that they did not come together.
    """

    scenarios = [
        ("a gang, one member crashed", {"step": GANG, "saved": ("", "b"), "expected": ("b", "b")}),
        ("a gang, both reported", {"step": GANG, "saved": ("a", "b"), "expected": ("b", "b")}),
        ("a gang, no checkpoint", {"step": GANG, "saved": ("", ""), "expected": ("", "")}),
        ("single tasks", {"step": TWO, "saved": ("a", ""), "expected": ("a", "")}),
    ]

    def test_checkpoints(self) -> None:
        log = Log()
        log.apply(accept("j", self.step), place("j.0.0.0"), place("j.0.0.1"))
        for index, checkpoint in enumerate(self.saved):
            how = RunEnd.BROKEN if checkpoint else LOST
            log.apply(EndRun(TaskName(f"j.0.0.{index}"), RunNumber(1), how, checkpoint))
        tasks = log.table.jobs[JobId("j")].step(0, 0).tasks
        self.assertEqual(list(self.expected), [task.checkpoint for task in tasks])
