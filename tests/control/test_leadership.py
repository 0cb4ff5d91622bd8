"""Guards against an unreachable data centre for which a new leader raises no question."""

from types import SimpleNamespace
from typing import Any

import testtools
from marigolddoor_control.leadership import Leadership
from marigolddoor_core.ids import DataCentreId, ProcessId, Revision
from marigolddoor_core.questions.detectors import UNREACHABLE_DATA_CENTRE, unreachable_data_centres
from marigolddoor_wire.messages import ReportDemand

from tests.core.fleets import announcement, declaration, record

ELECTED_S = 100.0


class NewLeaderTest(testtools.TestCase):
    """A data centre that did not report to the new leader in time counts as unresponsive."""

    scenarios = [
        ("no report, before the timeout", {"reports_s": [], "now_s": 114.0, "unresponsive": []}),
        ("no report", {"reports_s": [], "now_s": 116.0, "unresponsive": ["dc-1"]}),
        (
            "report before the election only",
            {"reports_s": [99.0], "now_s": 116.0, "unresponsive": ["dc-1"]},
        ),
        (
            "reports since the election",
            {"reports_s": [102.0, 115.0], "now_s": 116.0, "unresponsive": []},
        ),
        (
            "reports, then unresponsive",
            {"reports_s": [102.0], "now_s": 108.0, "unresponsive": ["dc-1"]},
        ),
    ]

    def test_unresponsive(self) -> None:
        clock = SimpleNamespace(now_s=0.0)
        vms = [record(announcement(f"vm-{n}", f"dc-{n}", "r-0"), "web") for n in range(2)]
        state: Any = SimpleNamespace(
            revision=Revision(1),
            declaration=declaration([("web", 2)]),
            vms={vm.vm: vm for vm in vms},
            tasks={},
            questions={},
        )
        consensus: Any = SimpleNamespace(is_leader=True, consensus_time=lambda: clock.now_s)
        leadership = Leadership(state, consensus, lambda: clock.now_s)
        events = [(ELECTED_S, None), (self.now_s - 0.5, "dc-0")]
        events += [(report_s, "dc-1") for report_s in self.reports_s]
        for at_s, data_centre in sorted(events, key=lambda event: event[0]):
            clock.now_s = at_s
            if data_centre is None:
                leadership.create_decisions()
            else:
                leadership.record_demand(report(data_centre))
        clock.now_s = self.now_s
        fleet = leadership.current_fleet()
        assert fleet is not None
        self.assertEqual(self.unresponsive, sorted(fleet.unresponsive_data_centres))
        asked = [finding.draft.subject for finding in unreachable_data_centres(fleet, {})]
        self.assertEqual([f"{UNREACHABLE_DATA_CENTRE}{name}" for name in self.unresponsive], asked)


def report(data_centre: str) -> ReportDemand:
    """Return the report of an entry process in the data centre."""
    return ReportDemand(ProcessId(f"entry-{data_centre}"), DataCentreId(data_centre), 1.0, ())
