"""Guards against a team that takes the room of others, and against room left unused."""

from dataclasses import replace

import testtools
from marigolddoor_core.dispatch import ArrivalOrder
from marigolddoor_core.dispatch.team_shares import SharedOrder, TeamDemand, team_shares
from marigolddoor_core.ids import TeamId
from marigolddoor_core.jobs import PlaceRun, StepRecord, StoreConfiguration, TaskSize, TeamSettings

from tests.core.dispatch.fakes import Fleet, finished
from tests.core.jobs.fakes import QUEUE, SERVICE, Log, accept, configuration, with_teams


class TeamSharesTest(testtools.TestCase):
    """The shares are weighted max-min fair, and what a team doesn't request goes to the others.

    Each demand is (held cores, cores waited for, memory waited for, weight) on 10 cores and 100 MB.
    """

    scenarios = [
        ("no teams", {"demands": {}, "shares": {}}),
        ("one team", {"demands": {"a": (0, 20, 0, 1)}, "shares": {"a": 1.0}}),
        (
            "no contention",
            {"demands": {"a": (1, 2, 0, 1), "b": (0, 4, 0, 1)}, "shares": {"a": 0.3, "b": 0.4}},
        ),
        (
            "equal weights",
            {"demands": {"a": (0, 60, 0, 1), "b": (0, 10, 0, 1)}, "shares": {"a": 0.5, "b": 0.5}},
        ),
        (
            "unequal weights",
            {"demands": {"a": (0, 60, 0, 3), "b": (0, 10, 0, 1)}, "shares": {"a": 0.75, "b": 0.25}},
        ),
        (
            "unrequested room is divided by weight",
            {
                "demands": {"a": (0, 60, 0, 2), "b": (0, 10, 0, 1), "c": (0, 1, 0, 7)},
                "shares": {"a": 0.6, "b": 0.3, "c": 0.1},
            },
        ),
        (
            "what is held counts",
            {"demands": {"a": (9, 5, 0, 1), "b": (0, 10, 0, 1)}, "shares": {"a": 0.5, "b": 0.5}},
        ),
        (
            "each team's dominant resource",
            {
                "demands": {"a": (0, 20, 50, 1), "b": (0, 5, 200, 1)},
                "shares": {"a": 0.8, "b": 0.8},
            },
        ),
        (
            "an exhausted resource stops only the teams that use it",
            {
                "demands": {"a": (0, 30, 0, 1), "b": (0, 30, 0, 1), "c": (0, 0, 80, 1)},
                "shares": {"a": 0.5, "b": 0.5, "c": 0.8},
            },
        ),
        (
            "no demand",
            {"demands": {"a": (0, 0, 0, 1), "b": (0, 20, 0, 1)}, "shares": {"a": 0.0, "b": 1.0}},
        ),
        (
            "a weight of 0",
            {"demands": {"a": (0, 20, 0, 0), "b": (0, 4, 0, 1)}, "shares": {"a": 0.6, "b": 0.4}},
        ),
    ]

    def test_shares(self) -> None:
        demands = {
            TeamId(team): TeamDemand(TaskSize(held), TaskSize(cores, memory), weight)
            for team, (held, cores, memory, weight) in self.demands.items()
        }
        shares = team_shares(demands, TaskSize(10, 100))
        self.assertEqual(self.shares, {team: round(share, 6) for team, share in shares.items()})


class GivenOrder:
    """Keeps the order of the steps."""

    def sort(self, steps: list[StepRecord], time_s: float) -> list[StepRecord]:
        return list(steps)


def steps_of(*jobs: tuple[str, str, int, bool]) -> list[StepRecord]:
    """Return one step per job, of `count` tasks of 1 core each."""
    log = Log()
    for job, team, count, is_long_running in jobs:
        step = {"count": count, "memory": 0, "is_long_running": is_long_running}
        log.apply(replace(accept(job, step), team=TeamId(team)))
    return [job.step(0, 0) for job in log.table.jobs.values()]


class SharedOrderTest(testtools.TestCase):
    """Steps beyond their team's share come last, and everything else keeps the inner order.

     The inner order is that of the jobs: their names begin with their teams, - if none; L marks a
     long-running one.
    .
    """

    scenarios = [
        ("one team", {"jobs": "a1 a2 a3", "free": 1, "held": {}, "order": "a1 a2 a3"}),
        ("no team", {"jobs": "-1 -2 -3", "free": 1, "held": {}, "order": "-1 -2 -3"}),
        ("room for all", {"jobs": "a1 a2 a3 b1", "free": 4, "held": {}, "order": "a1 a2 a3 b1"}),
        (
            "a flood",
            {"jobs": "a1 a2 a3 a4 b1 b2", "free": 4, "held": {}, "order": "a1 a2 b1 b2 a3 a4"},
        ),
        (
            "a flood that holds most",
            {"jobs": "a1 a2 b1", "free": 1, "held": {"a": 3}, "order": "b1 a1 a2"},
        ),
        (
            "a weight of 3",
            {"jobs": "a1 a2 c1 c2 c3 c4", "free": 4, "held": {}, "order": "a1 c1 c2 c3 a2 c4"},
        ),
        (
            "shares below one task",
            {"jobs": "a1 a2 b1 d1", "free": 1, "held": {}, "order": "a1 b1 d1 a2"},
        ),
        (
            "without a team",
            {"jobs": "-1 -2 -3 -4 a1 a2", "free": 5, "held": {}, "order": "-1 -2 -3 a1 a2 -4"},
        ),
        (
            "beyond the rate",
            {
                "jobs": "a1! a2! a3! b1 b2 b3 b4! a4",
                "free": 4,
                "held": {},
                "order": "b1 b2 a4 b3 a1! a2! a3! b4!",
            },
        ),
        (
            "long-running first",
            {"jobs": "a1 a2 b1 aL", "free": 2, "held": {}, "order": "aL b1 a1 a2"},
        ),
        (
            "unrequested room",
            {"jobs": "a1 a2 a3 a4 b1", "free": 4, "held": {}, "order": "a1 a2 a3 b1 a4"},
        ),
    ]

    def test_order(self) -> None:
        steps = steps_of(
            *((job, job[0].replace("-", ""), 1, job.endswith("L")) for job in self.jobs.split())
        )
        teams = {
            TeamId(team): TeamSettings(TeamId(team), weight=weight)
            for team, weight in (("a", 1.0), ("b", 1.0), ("c", 3.0), ("d", 1.0))
        }
        order = SharedOrder(
            GivenOrder(),
            teams,
            lambda team: TaskSize(1000 * self.held.get(team, 0)),
            TaskSize(1000 * self.free, 1000),
            lambda job: job.endswith("!"),
        )
        self.assertEqual(self.order, " ".join(step.job.job for step in order.sort(steps, 0.0)))


class DispatchTest(testtools.TestCase):
    """A dispatch applies shares only where teams are configured.

    Team `a` floods a pool with 4 free cores and its jobs come first; then `b` sends one. Where a
    team holds runs, they use 4 further cores.
    """

    scenarios = [
        ("no teams", {"teams": None, "holder": "", "placed": "a0 a1 a2 a3"}),
        ("teams", {"teams": {"a": {}, "b": {}}, "holder": "", "placed": "a0 a1 a2 b0"}),
        ("a holds as much", {"teams": {"a": {}, "b": {}}, "holder": "a", "placed": "a0 a1 a2 b0"}),
        ("b holds as much", {"teams": {"a": {}, "b": {}}, "holder": "b", "placed": "a0 a1 a2 a3"}),
    ]

    def test_placements(self) -> None:
        log = Log()
        document = configuration(1, **{QUEUE: SERVICE})
        if self.teams is not None:
            document = with_teams(document, self.teams)
        log.apply(StoreConfiguration(1, document))
        fleet = Fleet(log)
        fleet.dispatch.order = ArrivalOrder()
        fleet.executor(cpu=8000 if self.holder else 4000)
        if self.holder:
            fleet.step(replace(accept("held", {"count": 4}), team=TeamId(self.holder)))
        for number in range(6):
            log.apply(replace(accept(f"a{number}", {"count": 1}), team=TeamId("a")))
        log.apply(replace(accept("b0", {"count": 1}), team=TeamId("b")), time_s=1.0)
        changes = fleet.step()
        placed = sorted(change.task[:2] for change in changes if isinstance(change, PlaceRun))
        self.assertEqual(self.placed, " ".join(placed))


class IdleTeamTest(testtools.TestCase):
    """A team that was idle must regain its share as runs end, though another floods the pool."""

    def test_share_regained(self) -> None:
        log = Log()
        log.apply(
            StoreConfiguration(
                1, with_teams(configuration(1, **{QUEUE: SERVICE}), {"a": {}, "b": {}})
            )
        )
        fleet = Fleet(log)
        executor = fleet.executor(cpu=4000)
        for number in range(12):
            log.apply(replace(accept(f"a{number}", {"count": 1}), team=TeamId("a")))
        fleet.step()
        self.assertEqual(4, len(executor.runs))
        for number in range(4):
            log.apply(replace(accept(f"b{number}", {"count": 1}), team=TeamId("b")))
        for ended, held in ((1, 1), (2, 2), (3, 2), (4, 2)):
            first = next(task for task in executor.runs if task.startswith("a"))
            fleet.at(ended / 10).hold(executor, ends=(finished(ended, first),))
            executor.seen = ended
            fleet.step()
            self.assertEqual(held, sum(task.startswith("b") for task in executor.runs))
