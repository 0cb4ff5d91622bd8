"""Guards against refusals that flood the log, and against pages that grow with each team."""

from types import SimpleNamespace

import anyio
import testtools
from loguru import logger
from marigolddoor_control.fleet.service import FleetService
from marigolddoor_control.fleet.team_report import (
    MAX_TEAMS,
    RefusalReason,
    Refusals,
    rows_page,
    team_rows,
)
from marigolddoor_core.dispatch.team_usage import TeamUsage
from marigolddoor_core.ids import JobId, QueueName, TeamId
from marigolddoor_core.jobs import AcceptJob, StoreConfiguration, digest_key
from marigolddoor_core.line_budget import BURST_LINES
from marigolddoor_core.queue_calls import QueueCall, QueueMethod

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import SERVICE, Log, configuration, document, with_teams

QUEUES = configuration(1, views=SERVICE)


class FloodTest(testtools.TestCase):
    """A caller with a wrong key left no room in the log for other lines.

    Each refusal is counted, and no line or metric contains the key or its digest.
    """

    def test_lines(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, with_teams(QUEUES, {"red": {"keys": ["r1"]}})))
        consensus = SimpleNamespace(is_leader=True)
        service = FleetService(log.table, consensus, lambda: 5.0)  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(has_ended=False)  # type: ignore[assignment]
        lines: list[str] = []
        handler = logger.add(lines.append, format="{message}")
        self.addCleanup(logger.remove, handler)
        logger.enable("marigolddoor_control")
        self.addCleanup(logger.disable, "marigolddoor_control")
        call = QueueCall(QueueMethod.READ, "a.example", "/views/n", key=digest_key("s3cret"))
        for _ in range(500):
            anyio.run(service.call_queue, call)
        self.assertEqual(BURST_LINES, len(lines))
        self.assertIn("/views/n", lines[0])
        self.assertIn('calls_refused_total{reason="key"} 500', service.refusals.page())
        for text in (*lines, service.refusals.page()):
            self.assertNotIn("s3cret", text)
            self.assertNotIn(digest_key("s3cret").hex(), text)


class PageTest(testtools.TestCase):
    """The page names each team up to a limit and sums the others, also those that were removed."""

    scenarios = [
        (f"{teams} teams", {"teams": teams, "lines": lines})
        for teams, lines in ((1, 1), (MAX_TEAMS, MAX_TEAMS), (MAX_TEAMS + 1, MAX_TEAMS + 1))
    ] + [("3 times as many", {"teams": 3 * MAX_TEAMS, "lines": MAX_TEAMS + 1})]

    def test_size(self) -> None:
        log = Log()
        teams = {f"t-{number:04}": {"cpu": 10} for number in range(self.teams)}
        log.apply(StoreConfiguration(1, with_teams(QUEUES, teams)))
        page = rows_page(team_rows(log.table, TeamUsage(), lambda _: False, 0.0))
        quotas = [
            line for line in page.splitlines() if line.startswith("marigolddoor_team_quota_mc")
        ]
        self.assertEqual(self.lines, len(quotas))
        self.assertEqual(10 * self.teams, sum(int(line.split()[-1]) for line in quotas))
        refusals = Refusals()
        for name in teams:
            refusals.add(TeamId(name), RefusalReason.INVALID)
        counts = [line for line in refusals.page().splitlines() if line[0] != "#"]
        self.assertEqual(self.lines, len(counts))
        self.assertEqual(self.teams, sum(int(line.split()[-1]) for line in counts))


class RowTest(testtools.TestCase):
    """The page names the teams with jobs or a quota, with what they hold and what waits."""

    def test_rows(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, with_teams(QUEUES, {"red": {"cpu": 9000}})))
        fleet = Fleet(log)
        fleet.executor()
        fleet.step(*(self.accepted(job, team) for job, team in (("a", "red"), ("b", "blue"))))
        fleet.step()
        rows = team_rows(log.table, fleet.dispatch.usage, fleet.dispatch.has_begun, 9.0)
        self.assertEqual(["blue", "red"], [row.team for row in rows])
        self.assertEqual([0, 9000], [row.quota.cpu_milli for row in rows])
        self.assertEqual([500, 500], [row.running.cpu_milli for row in rows])
        self.assertEqual([1, 1], [row.waiting_jobs for row in rows])
        self.assertEqual([9.0, 9.0], [row.oldest_wait_s for row in rows])

    def accepted(self, job: str, team: str) -> AcceptJob:
        body = document({"count": 1, "cpu": 500})
        return AcceptJob(JobId(job), QueueName("views"), SERVICE, 3, body, TeamId(team))
