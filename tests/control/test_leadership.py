"""Guards against a data centre that a new leader never hears and nobody is asked about."""

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
    """A data centre that was cut off with the old leader is silent at the new one as well."""

    scenarios = [
        ("not heard, too early to tell", {"heard_s": [], "now_s": 114.0, "silent": []}),
        ("not heard", {"heard_s": [], "now_s": 116.0, "silent": ["dc-1"]}),
        ("heard before the election only", {"heard_s": [99.0], "now_s": 116.0, "silent": ["dc-1"]}),
        ("heard since", {"heard_s": [102.0, 115.0], "now_s": 116.0, "silent": []}),
        ("heard, then silent", {"heard_s": [102.0], "now_s": 108.0, "silent": ["dc-1"]}),
    ]

    def test_silent(self) -> None:
        clock = SimpleNamespace(now_s=0.0)
        vms = [record(announcement(f"vm-{n}", f"dc-{n}", "r-0"), "web") for n in range(2)]
        state: Any = SimpleNamespace(
            revision=Revision(1),
            declaration=declaration([("web", 2)]),
            vms={vm.vm: vm for vm in vms},
            tasks={},
            questions={},
        )
        consensus: Any = SimpleNamespace(is_leader=True, agreed_time=lambda: clock.now_s)
        leadership = Leadership(state, consensus, lambda: clock.now_s)
        events = [(ELECTED_S, None), (self.now_s - 0.5, "dc-0")]
        events += [(heard_s, "dc-1") for heard_s in self.heard_s]
        for at_s, data_centre in sorted(events, key=lambda event: event[0]):
            clock.now_s = at_s
            if data_centre is None:
                leadership.create_decisions()
            else:
                leadership.record_demand(report(data_centre))
        clock.now_s = self.now_s
        fleet = leadership.current_fleet()
        assert fleet is not None
        self.assertEqual(self.silent, sorted(fleet.unresponsive_data_centres))
        asked = [finding.draft.subject for finding in unreachable_data_centres(fleet, {})]
        self.assertEqual([f"{UNREACHABLE_DATA_CENTRE}{name}" for name in self.silent], asked)


def report(data_centre: str) -> ReportDemand:
    """Return the report of an entry process in the data centre."""
    return ReportDemand(ProcessId(f"entry-{data_centre}"), DataCentreId(data_centre), 1.0, ())
