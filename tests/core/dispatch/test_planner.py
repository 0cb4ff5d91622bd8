"""Guards against placements that a job's constraints or an executor's state or capacity forbid."""

import testtools
from marigolddoor_core.dispatch import ExecutorState
from marigolddoor_core.jobs import PlaceRun

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import accept

READY, DRAINING = ExecutorState.READY, ExecutorState.DRAINING


class PlacementTest(testtools.TestCase):
    """Checks how many tasks of one step are placed on each executor, by executor number."""

    scenarios = [
        ("fits", {"step": {"count": 2}, "executors": [{}], "placed": {1: 2}}),
        ("no capacity for all", {"step": {"count": 6}, "executors": [{}], "placed": {1: 4}}),
        (
            "spread over the executors with the most free cores",
            {"step": {"count": 4}, "executors": [{}, {}], "placed": {1: 2, 2: 2}},
        ),
        ("draining", {"step": {"count": 1}, "executors": [{"state": DRAINING}], "placed": {}}),
        (
            "other service",
            {"step": {"count": 1}, "executors": [{"service": "x"}], "placed": {}},
        ),
        (
            "label",
            {
                "step": {"count": 2, "required_label": "b"},
                "executors": [{}, {"labels": ("b",)}],
                "placed": {2: 2},
            },
        ),
        (
            "at most one on an executor",
            {
                "step": {"count": 3, "spread_limit": 1},
                "executors": [{}, {}],
                "placed": {1: 1, 2: 1},
            },
        ),
        (
            "on the preferred rack",
            {
                "step": {"count": 2, "preferred_rack": "r2"},
                "executors": [{}, {"rack": "r2", "cpu": 3000}],
                "placed": {2: 2},
            },
        ),
        (
            "on another rack if the preferred one is full",
            {
                "step": {"count": 2, "preferred_rack": "r2"},
                "executors": [{}, {"rack": "r2", "cpu": 1000}],
                "placed": {1: 1, 2: 1},
            },
        ),
        (
            "a gang that fits",
            {"step": {"count": 6, "is_gang": True}, "executors": [{}, {}], "placed": {1: 3, 2: 3}},
        ),
        (
            "a gang that does not fit waits as a whole",
            {"step": {"count": 9, "is_gang": True}, "executors": [{}, {}], "placed": {}},
        ),
        (
            "tightly coupled tasks on one rack",
            {
                "step": {"count": 3, "is_tightly_coupled": True},
                "executors": [{"cpu": 2000}, {"rack": "r2", "cpu": 3000}],
                "placed": {2: 3},
            },
        ),
        (
            "best-effort tasks take no cores",
            {"step": {"count": 9, "is_best_effort": True}, "executors": [{}], "placed": {1: 9}},
        ),
        (
            "memory bounds the placement too",
            {"step": {"count": 9, "memory": 3000, "cpu": 0}, "executors": [{}], "placed": {1: 2}},
        ),
    ]

    def test_placement(self) -> None:
        fleet = Fleet()
        executors = [
            fleet.executor(number, **fields) for number, fields in enumerate(self.executors, 1)
        ]
        fleet.step(accept("j", self.step))
        placed = {
            number: len(executor.runs)
            for number, executor in enumerate(executors, 1)
            if executor.runs
        }
        self.assertEqual(self.placed, placed)


class DependencyTest(testtools.TestCase):
    """A step must not start before the steps that it depends on, or before it is due."""

    def test_dependent_step(self) -> None:
        fleet = Fleet()
        fleet.executor()
        changes = fleet.step(accept("j", {"count": 1}, {"count": 1, "depends_on": [0]}))
        tasks = [change.task for change in changes if isinstance(change, PlaceRun)]
        self.assertEqual(["j.0.0.0"], tasks)

    def test_due_time(self) -> None:
        fleet = Fleet()
        fleet.executor()
        job = accept("j", {"count": 1}, first_due_s=50.0, occurrences=2, interval_s=10.0)
        fleet.step(job)
        self.assertEqual([], fleet.dispatch.take_changes(fleet.now, 49.9))
        changes = fleet.dispatch.take_changes(fleet.now, 50.0)
        fleet.dispatch.is_planning_due = True
        changes += fleet.dispatch.take_changes(fleet.now, 50.0)
        tasks = [change.task for change in changes if isinstance(change, PlaceRun)]
        self.assertEqual(["j.0.0.0"], tasks[:1])
