"""Guards against jobs of a flooding team that count as agreed, and against the reverse."""

from dataclasses import replace

import testtools
from marigolddoor_core.dispatch.team_rates import BURST_S, TeamRates
from marigolddoor_core.ids import JobId, TeamId
from marigolddoor_core.jobs import CancelJob, JobRecord, StoreConfiguration

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import QUEUE, SERVICE, Log, accept, configuration, with_teams


def jobs_at(rate: float, duration_s: float, team: str = "a") -> list[JobRecord]:
    """Return jobs that arrive at an even rate."""
    log = Log()
    for number in range(int(rate * duration_s)):
        job = replace(accept(f"j{number}", {"count": 1}), team=TeamId(team))
        log.apply(job, time_s=number / rate)
    return list(log.table.jobs.values())


class RateTest(testtools.TestCase):
    """Team `a` agreed on 2 jobs a second; the burst is 20 jobs."""

    scenarios = [
        ("at the rate", {"rate": 2, "duration_s": 60, "team": "a", "marked": 0}),
        (
            "six times the rate",
            {"rate": 12, "duration_s": 60, "team": "a", "marked": 720 - 20 - 119},
        ),
        ("a burst", {"rate": 100, "duration_s": 0.2, "team": "a", "marked": 0}),
        ("no agreed rate", {"rate": 100, "duration_s": 5, "team": "", "marked": 0}),
    ]

    def test_marks(self) -> None:
        rates = TeamRates({TeamId("a"): 2.0}.get)
        jobs = jobs_at(self.rate, self.duration_s, self.team)
        for job in jobs:
            rates.accepted(job)
        # Tokens are fractions, so a job may be marked one earlier or later.
        self.assertLessEqual(abs(self.marked - len(rates.beyond)), 1)

    def test_takeover(self) -> None:
        """A new leader must mark the same jobs, in whatever order its table lists them."""
        jobs = jobs_at(self.rate, self.duration_s, self.team)
        rates, successor = TeamRates({TeamId("a"): 2.0}.get), TeamRates({TeamId("a"): 2.0}.get)
        for job in jobs:
            rates.accepted(job)
        successor.take_over(reversed(jobs))
        self.assertEqual(rates.beyond, successor.beyond)


class DispatchTest(testtools.TestCase):
    """The marks must follow jobs and configurations, and not outlive them."""

    def test_marks(self) -> None:
        log = Log()
        queues = configuration(1, **{QUEUE: SERVICE})
        log.apply(StoreConfiguration(1, with_teams(queues, {"a": {"weight": 1}})))
        fleet = Fleet(log)
        count = int(BURST_S) + 2
        for number in range(count):
            log.apply(replace(accept(f"j{number}", {"count": 1}), team=TeamId("a")))
        rates = fleet.dispatch.team_rates
        marked = {JobId(f"j{count - 2}"), JobId(f"j{count - 1}")}
        self.assertEqual(marked, rates.beyond)
        self.assertEqual(marked, Fleet(log).dispatch.team_rates.beyond)
        log.table.observer = fleet.dispatch
        log.apply(CancelJob(JobId(f"j{count - 1}")))
        self.assertEqual({JobId(f"j{count - 2}")}, rates.beyond)
        log.apply(StoreConfiguration(2, with_teams(configuration(2, **{QUEUE: SERVICE}), {})))
        self.assertEqual({}, rates.buckets)
