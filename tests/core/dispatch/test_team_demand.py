"""Guards against machines for work that waits for the quota of its team."""

from dataclasses import replace

import testtools
from marigolddoor_core.ids import QueueName
from marigolddoor_core.jobs import AcceptJob, CancelJob, StoreConfiguration

from tests.core.dispatch.test_rebalancing import CONFIGURATION, OTHER, fleet_with, moves
from tests.core.jobs.fakes import SERVICE, accept, with_teams

LONG_RUNNING = {"count": 4, "is_long_running": True, "spread_limit": 1}


def flood(job: str, count: int = 90) -> AcceptJob:
    return accept(job, {"count": count, "estimated_s": 1.0}, team="red")


def elsewhere(job: AcceptJob) -> AcceptJob:
    return replace(job, queue=QueueName("others"), service=OTHER)


class DemandTest(testtools.TestCase):
    """The cores that a team requests, over all services, stay within its quota.

    There is one machine of 4 cores in use; three more are on standby.
    """

    scenarios = [
        (name, {"quota": quota, "jobs": jobs, "cores": cores, "acquired": acquired})
        for name, quota, jobs, cores, acquired in (
            ("no quota", {}, [flood("j")], (90, 0), 3),
            ("within the quota", {"cpu": 20000}, [flood("j", 9)], (9, 0), 2),
            ("cores", {"cpu": 6000}, [flood("j")], (6, 0), 1),
            ("memory", {"memory": 600}, [flood("j")], (6, 0), 1),
            ("two services", {"cpu": 6000}, [flood("j"), elsewhere(flood("k"))], (3, 3), 1),
            ("small jobs", {"cpu": 6000}, [flood(f"j{n}", 9) for n in range(10)], (6, 0), 1),
            # One machine for each task that may run, but none besides once others use the quota.
            ("a service", {"cpu": 4000}, [accept("l", LONG_RUNNING, team="red")], (0, 0), 3),
            (
                "the quota is in use",
                {"cpu": 4000},
                [accept("l", LONG_RUNNING, team="red"), flood("j")],
                (0, 0),
                0,
            ),
            ("the service waits", {"cpu": 500}, [accept("l", LONG_RUNNING, team="red")], (0, 0), 0),
        )
    ]

    def test_demand(self) -> None:
        fleet = fleet_with(1, standby=3)
        document = with_teams(CONFIGURATION.replace(b":1,", b":2,", 1), {"red": self.quota})
        fleet.step(StoreConfiguration(2, document))
        fleet.step(*self.jobs)
        self.assertEqual(self.cores, self.needed(fleet.dispatch.work.needed))
        fleet.at(0.3).step()
        self.assertEqual(self.acquired, len(moves(fleet)))
        # A new quota applies to the open jobs, and jobs that end leave nothing behind.
        fleet.step(StoreConfiguration(3, CONFIGURATION.replace(b":1,", b":3,", 1)))
        tasks = [sum(s.count for s in fleet.log.table.jobs[j.job].spec.steps) for j in self.jobs]
        batch = sum(count for job, count in zip(self.jobs, tasks, strict=True) if job.job != "l")
        self.assertEqual(batch, sum(self.needed(fleet.dispatch.work.needed)))
        fleet.step(*(CancelJob(job.job) for job in self.jobs))
        self.assertEqual((0, 0), self.needed(fleet.dispatch.work.needed))
        self.assertEqual({}, fleet.dispatch.work.teams)

    def needed(self, cores: dict[str, float]) -> tuple[float, float]:
        return round(cores.get(SERVICE, 0.0), 6), round(cores.get(OTHER, 0.0), 6)
