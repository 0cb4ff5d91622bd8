"""Guards against a team that runs more than its quota, and against work that its quota blocks."""

import testtools
from marigolddoor_core.dispatch import StartOrder
from marigolddoor_core.dispatch.quotas import NoQuotas
from marigolddoor_core.ids import TaskName, TeamId
from marigolddoor_core.jobs import PlaceRun, RunEnd, StoreConfiguration

from tests.core.dispatch.fakes import Fleet, heartbeat, running
from tests.core.jobs.fakes import Log, accept, configuration, end, with_teams

RED = TeamId("red")
TASK = "j.0.0.0"
GANG = {"count": 3, "is_gang": True}
SPECULATIVE = {"count": 1, "is_speculative": True}


def log_with(teams: dict[str, dict[str, int]] | None, **queues: str) -> Log:
    log = Log()
    document = configuration(1, **(queues or {"views": "desk"}))
    log.apply(StoreConfiguration(1, document if teams is None else with_teams(document, teams)))
    return log


def placed(changes: list[object]) -> list[str]:
    return [change.task for change in changes if isinstance(change, PlaceRun)]


class PlacementTest(testtools.TestCase):
    """Only what the quota admits is placed, and other work is placed in the same round."""

    scenarios = [
        (name, {"teams": teams, "step": step, "count": count})
        for name, teams, step, count in (
            ("no teams", None, {"count": 4}, 4),
            ("a team without a quota", {"red": {}}, {"count": 4}, 4),
            ("a team that is not configured", {"blue": {"cpu": 1000}}, {"count": 4}, 4),
            ("cores", {"red": {"cpu": 2500}}, {"count": 4}, 2),
            ("memory", {"red": {"memory": 300}}, {"count": 4}, 3),
            ("best-effort tasks", {"red": {"cpu": 2500}}, {"count": 4, "is_best_effort": True}, 2),
            ("a gang that fits", {"red": {"cpu": 3000}}, GANG, 3),
            ("a gang that does not fit", {"red": {"cpu": 2999}}, GANG, 0),
            (
                "long-running tasks",
                {"red": {"cpu": 1000}},
                {"count": 4, "is_long_running": True},
                1,
            ),
        )
    ]

    def test_placement(self) -> None:
        fleet = Fleet(log_with(self.teams))
        fleet.executor(cpu=8000)
        other = accept("other", {"count": 1}, team="green")
        names = placed(fleet.step(accept("j", self.step, team="red"), other))
        self.assertEqual(self.count, sum(name.startswith("j.") for name in names))
        self.assertIn("other.0.0.0", names)
        # Nor is a waiting task placed on a machine that is being emptied.
        fleet.dispatch.executors["i-1/100"].is_cordoned = True
        fleet.step()
        fleet.at(1.5).dispatch.is_planning_due = True
        self.assertEqual([], placed(fleet.step()))


class ChangedQuotaTest(testtools.TestCase):
    """A changed quota stops nothing, and an accepted job outlives its team."""

    scenarios = [
        (name, {"teams": teams, "has_new_leader": has_new_leader, "count": count})
        for name, teams, has_new_leader, count in (
            ("lowered", {"red": {"cpu": 1000}}, False, 2),
            ("lowered, new leader", {"red": {"cpu": 1000}}, True, 2),
            ("raised", {"red": {"cpu": 3000}}, False, 3),
            ("team removed", {"blue": {}}, False, 2),
            ("team removed, new leader", {"blue": {}}, True, 4),
            ("no teams", None, False, 4),
        )
    ]

    def test_changed(self) -> None:
        fleet = Fleet(log_with({"red": {"cpu": 2000}}))
        executor = fleet.executor(cpu=8000)
        fleet.step(accept("j", {"count": 4}, team="red"))
        document = configuration(2, views="desk")
        document = document if self.teams is None else with_teams(document, self.teams)
        fleet.step(StoreConfiguration(2, document))
        if self.has_new_leader:
            fleet = Fleet(fleet.log)
            executor = fleet.dispatch.current[executor.heartbeat.executor]
        rows = [running(name) for name in executor.runs]
        fleet.at(1.0).hold(executor, *rows)
        fleet.step()
        self.assertEqual(self.count, len(executor.runs))
        self.assertFalse(any(run.is_stopping for run in executor.runs.values()))
        # With one task less, the lowered quota is still reached.
        fleet.step(end("j.0.0.0"))
        held = 1 if self.teams == {"red": {"cpu": 1000}} else min(self.count, 3)
        self.assertEqual(held, len(executor.runs))


class HeldTest(testtools.TestCase):
    """A run counts until it has certainly ended, also after its end is committed.

    The quota admits one task. Without the guard a second one starts in each case.
    """

    scenarios = [
        (name, {"step": step, "events": events, "is_held": is_held})
        for name, step, events, is_held in (
            ("sent", {"count": 1}, ["sent"], True),
            ("running", {"count": 1}, ["sent", "listed"], True),
            ("given up on a silent executor", SPECULATIVE, ["sent", "listed", "silent"], True),
            ("listed again", SPECULATIVE, ["sent", "listed", "silent", 1, "listed"], True),
            ("gone", SPECULATIVE, ["sent", "listed", "silent", 1, "missing"], False),
            (
                "gone before a late start",
                SPECULATIVE,
                ["sent", "silent", 1, "missing"],
                True,
            ),
            ("lease expired", SPECULATIVE, ["sent", "listed", "silent", 7, "expired"], False),
            ("incarnation ended", {"count": 1}, ["sent", "listed", "ended"], False),
            ("ended with a start in flight", {"count": 1}, ["sent", "ended"], True),
            ("the start is too old", {"count": 1}, ["sent", "ended", 20, "expired"], False),
            ("restarted with a start in flight", {"count": 1}, ["sent", "restarted"], True),
            ("lease over, late start", {"count": 1}, [1, "sent", 7, "expired"], True),
            (
                "late start was stopped",
                {"count": 1},
                ["sent", "ended", 1, "restarted", "stopped", 2, "missing"],
                False,
            ),
            (
                "late start was listed",
                {"count": 1},
                ["sent", "leader", 7, "expired", 8, "returned"],
                True,
            ),
            ("new leader", {"count": 1}, ["sent", "listed", "leader"], True),
            ("new leader, gone", {"count": 1}, ["sent", "leader", 1, "missing"], False),
            ("new leader, lease over", {"count": 1}, ["sent", "leader", 7, "expired"], False),
            ("new leader, given up", SPECULATIVE, ["listed", "silent", "leader"], True),
            ("superseded", {"count": 1}, ["superseded"], True),
            ("superseded, lease over", {"count": 1}, ["superseded", 7, "beat", "expired"], False),
            ("new leader, superseded", {"count": 1}, ["superseded", "leader"], True),
            ("superseded, then gone", {"count": 1}, ["superseded", "leader", 1, "missing"], False),
        )
    ]

    def test_held(self) -> None:
        self.assertEqual(not self.is_held, self.starts_another(None))

    def test_unguarded(self) -> None:
        self.assertTrue(self.starts_another(NoQuotas()))
        if self.is_held:
            self.assertTrue(self.fleet.dispatch.usage.of(RED).cpu_milli > 1000)

    def starts_another(self, quotas: NoQuotas | None) -> bool:
        self.quotas = quotas
        self.fleet = fleet = Fleet(log_with({"red": {"cpu": 1000}}), quotas)
        fleet.executor(1).extend_lease(fleet.now)
        fleet.step(accept("j", self.step, team="red"))
        self.started, self.seconds, self.run = [], 0, 1
        for event in self.events:
            if isinstance(event, int):
                self.seconds = event
            else:
                getattr(self, event)()
            self.commit()
        fleet.at(self.seconds)
        self.fleet.at(self.seconds).executor(2)
        self.commit(accept("k", {"count": 1}, team="red"))
        return bool(self.started)

    def commit(self, *changes: object) -> None:
        self.started += placed(self.fleet.at(self.seconds).step(*changes))

    @property
    def first(self) -> object:
        return self.fleet.dispatch.current["i-1"]

    def sent(self) -> None:
        for order in self.fleet.take_orders():
            if isinstance(order, StartOrder):
                self.fleet.dispatch.start_sent(order, self.fleet.now)
                self.order = order

    def listed(self) -> None:
        if hasattr(self, "order"):
            self.fleet.dispatch.start_answered(self.order)
        self.fleet.hold(self.first, running(TASK, self.run))

    def missing(self) -> None:
        self.fleet.at(self.seconds).hold(self.first)

    def silent(self) -> None:
        self.fleet.dispatch.unanswered(self.first, self.fleet.now)

    def ended(self) -> None:
        self.fleet.dispatch.end_incarnation(self.first, self.fleet.now)

    def restarted(self) -> None:
        self.fleet.executor(1, born_ms=200)

    def returned(self) -> None:
        """Have the next incarnation list the run in its first report."""
        beat = heartbeat(1, born_ms=200)
        self.fleet.at(self.seconds).dispatch.receive_heartbeat(beat, self.fleet.now)
        self.listed()

    def beat(self) -> None:
        beat = heartbeat(1, sequence=9)
        self.fleet.at(self.seconds).dispatch.receive_heartbeat(beat, self.fleet.now)

    def stopped(self) -> None:
        self.fleet.dispatch.stop_confirmed(self.first, TaskName(TASK), 1, self.fleet.now)

    def expired(self) -> None:
        self.fleet.at(self.seconds).dispatch.expire(self.fleet.now)

    def leader(self) -> None:
        self.fleet = Fleet(self.fleet.log, self.quotas, self.seconds)

    def superseded(self) -> None:
        self.fleet.step(end(TASK, RunEnd.LOST))
        self.fleet.hold(self.first, running(TASK, 2))
        self.fleet.step(end(TASK, RunEnd.DONE))
        self.run = 2
