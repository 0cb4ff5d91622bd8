"""Guards against an operations page with log lines or metrics that the code no longer writes."""

import re
from pathlib import Path

import testtools
from marigolddoor_control.fleet.team_report import RefusalReason, Refusals, TeamRow, rows_page
from marigolddoor_core.ids import TeamId
from marigolddoor_core.jobs import TaskSize
from marigolddoor_core.metrics import CounterKind

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = "\n".join(
    path.read_text()
    for folder in ("packages", "platform")
    for path in (ROOT / folder).glob("**/src/**/*.py")
)


def refusals_page() -> str:
    refusals = Refusals()
    refusals.add(TeamId("red"), RefusalReason.KEY)
    return refusals.page()


class LinesTest(testtools.TestCase):
    """Each log line that the page's procedures rely on is in the code and on the page."""

    scenarios = [
        (words, {"words": words})
        for words in (
            "lines were left out",
            "http: refused",
            "fleet: job {} in {} for {}, configuration {}: {}, {} tasks, {} steps, critical path",
            "fleet: run {} {}: placed on {}, {} mcores left, contact {:.2f} s ago",
            "fleet: job {}: {} after {:.2f} s",
            "fleet: move of {} from {} to {}: {}",
            "fleet: move of {} ordered: {} needs {:.0f} of {:.0f} cores",
            "entry: {} {}{}: {} after {:.0f} ms of {:.0f}, leader {}, last answer",
            "entry: lost contact with leader {}",
            "entry: partitioned, {} of {} control processes respond",
            "fleet: became leader with token",
            "fleet: leadership ended",
            "fleet: job {} may have been committed",
            "fleet: {} {}{}: no queue in configuration {}",
            "fleet: {} {}{}: refused, {}",
            "{}, but an earlier attempt may have been accepted",
            "agreement: {} has an empty data folder, asks {} and {}",
            "fleet: heartbeat of {} at {} on machine {} ignored, which would displace {}",
            "peers: a message to {} was not sent",
            "stops voting",
            "fleet: machine {} is no longer listed",
            "rejected a stale fencing token",
            "fleet: executor {}: {} rows of its report are unreadable: {}",
            "runs count as lost, not listed in the report requested",
            "fleet: run {} {} is missing at executor {}, confirmed",
            "the settings are not reloaded",
        )
    ]

    def test_line(self) -> None:
        self.assertIn(self.words, SOURCES)
        fixed = max(re.split(r"\{[^}]*\}", self.words), key=len).strip(" :,")
        self.assertIn(fixed, PAGE)


class MetricsTest(testtools.TestCase):
    """The page explains each of these counters."""

    scenarios = [
        (kind.value, {"kind": kind})
        for kind in (
            CounterKind.JOBS,
            CounterKind.RUNS,
            CounterKind.RUNS_MISSING,
            CounterKind.ORDERS_UNANSWERED,
            CounterKind.UNEXPECTED_ERRORS,
            CounterKind.MOVES,
            CounterKind.FAILOVERS,
        )
    ]

    def test_metric(self) -> None:
        self.assertIn(f"marigolddoor_{self.kind.value}_total", PAGE)


class TeamMetricsTest(testtools.TestCase):
    """The page on teams explains each metric of teams that the leader serves."""

    scenarios = [
        (name, {"name": name})
        for name in sorted(
            set(
                re.findall(
                    "marigolddoor_(?:team|calls)_[a-z_]+",
                    rows_page([TeamRow(TeamId("red"), TaskSize(), TaskSize())]) + refusals_page(),
                )
            )
        )
    ]

    def test_metric(self) -> None:
        self.assertIn(self.name, (ROOT / "docs" / "operators" / "teams.md").read_text())
