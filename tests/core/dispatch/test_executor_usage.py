"""Guards against wrong sums of what teams hold in a service and what its executors have free."""

from dataclasses import replace

import testtools
from marigolddoor_core.dispatch.executors import free_size, teamless_size
from marigolddoor_core.ids import TeamId
from marigolddoor_core.jobs import TaskSize

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import SERVICE, accept


class HeldSizeTest(testtools.TestCase):
    """Two executors of 4 cores hold 3 tasks of team `a` and 1 task without a team."""

    scenarios = [
        ("a team", {"team": "a", "held": TaskSize(3000, 300)}),
        ("no team", {"team": "", "held": TaskSize(2000, 100)}),
        ("a team without runs", {"team": "b", "held": TaskSize()}),
    ]

    def test_usage(self) -> None:
        fleet = Fleet()
        executors = [fleet.executor(number, cpu=4000) for number in (1, 2)]
        jobs = (accept("j", {"count": 3}), accept("k", {"count": 1, "cpu": 2000}))
        fleet.step(replace(jobs[0], team=TeamId("a")), jobs[1])
        team = TeamId(self.team)
        held = fleet.dispatch.usage.of_service(SERVICE, team) if team else teamless_size(executors)
        self.assertEqual(self.held, held)
        self.assertEqual(TaskSize(3000, 16000 - 400), free_size(executors))


class FreeSizeTest(testtools.TestCase):
    """An executor that holds more than it has must not lower the room of the others."""

    def test_overcommitted(self) -> None:
        fleet = Fleet()
        executors = [fleet.executor(number, cpu=4000) for number in (1, 2)]
        executors[0].free_cpu = -1000
        self.assertEqual(4000, free_size(executors).cpu_milli)
