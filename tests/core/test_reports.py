"""Guards against lost deltas, outdated reports and data centres wrongly taken for unreachable."""

import dataclasses

import testtools
from marigolddoor_core.fleet import Demand
from marigolddoor_core.ids import (
    DataCentreId,
    FencingToken,
    ProcessId,
    Revision,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.reports import EntryReport, FleetReports
from marigolddoor_core.targets import Resources, TaskPhase, TaskReport

from tests.core.fleets import announcement, observed

ONE = ProcessId("entry-1")
TWO = ProcessId("entry-2")
TARGET = announcement("vm-1", "dc-0", "r-0")
TASK = TaskReport(TaskId("t"), FencingToken(1), TaskPhase.FINISHED, Resources(1.0, 1), 2.0)
OTHER = announcement("vm-2", "dc-0", "r-0")


class SequenceTest(testtools.TestCase):
    """Guards against a lost delta after which the leader does not request a full list."""

    scenarios = [
        ("first is a delta", {"reports": [(5, False)], "wanted": [True]}),
        ("first is full", {"reports": [(5, True)], "wanted": [False]}),
        ("in order", {"reports": [(1, True), (2, False)], "wanted": [False, False]}),
        ("gap", {"reports": [(1, True), (3, False)], "wanted": [False, True]}),
        ("gap, then full", {"reports": [(1, True), (3, True)], "wanted": [False, False]}),
        ("repeated", {"reports": [(1, True), (1, False)], "wanted": [False, True]}),
    ]

    def test_gap_requests_full_list(self) -> None:
        reports = FleetReports()
        wanted = [
            reports.record_targets(ONE, sequence, full, [], [], Instant(1.0)).is_missing_delta
            for sequence, full in self.reports
        ]
        self.assertEqual(self.wanted, wanted)


class UpdatesTest(testtools.TestCase):
    """Guards against a round for each announcement; 16,000 workers announce continuously."""

    scenarios = [
        ("nothing changed", {"change": {}, "updates": False}),
        ("busy slots", {"change": {"busy_slots": 5}, "updates": False}),
        ("drained", {"change": {"drained": True}, "updates": True}),
        ("rebooted", {"change": {"incarnation": "2"}, "updates": True}),
        ("another epoch", {"change": {"epoch": 2}, "updates": True}),
        ("a task", {"change": {"tasks": (TASK,)}, "updates": True}),
    ]

    def test_changes_trigger_a_round(self) -> None:
        reports = FleetReports()
        first = reports.record_targets(ONE, 1, True, [observed(TARGET)], [], Instant(1.0))
        self.assertTrue(first.has_news)
        changed = dataclasses.replace(TARGET, **self.change)
        second = reports.record_targets(ONE, 2, False, [observed(changed)], [], Instant(2.0))
        self.assertEqual(self.updates, second.has_news)


class HolderTest(testtools.TestCase):
    """Guards against an older announcement that replaces a newer one of another holder."""

    scenarios = [
        ("gone at its holder", {"second": (ONE, True, [], []), "known": []}),
        ("not in the other's full list", {"second": (TWO, True, [], []), "known": ["vm-1"]}),
        ("gone by the other holder", {"second": (TWO, False, [], ["vm-1"]), "known": ["vm-1"]}),
        ("gone by its holder", {"second": (ONE, False, [], ["vm-1"]), "known": []}),
        (
            "a delta keeps the rest",
            {"second": (ONE, False, [observed(OTHER)], []), "known": ["vm-1", "vm-2"]},
        ),
    ]

    def test_known_targets(self) -> None:
        reports = FleetReports()
        reports.record_targets(ONE, 1, True, [observed(TARGET)], [], Instant(1.0))
        holder, full, targets, gone = self.second
        reports.record_targets(holder, 2, full, targets, map(VmId, gone), Instant(2.0))
        self.assertEqual(self.known, sorted(reports.targets(Instant(2.0))))

    def test_older_announcement_of_another_holder(self) -> None:
        reports = FleetReports()
        reports.record_targets(ONE, 1, True, [observed(TARGET, age_s=0.0)], [], Instant(9.0))
        reports.record_targets(TWO, 1, True, [observed(TARGET, age_s=8.0)], [], Instant(9.5))
        self.assertEqual(1.0, reports.targets(Instant(10.0))[TARGET.vm].age_s)


class UnresponsiveDataCentreTest(testtools.TestCase):
    """Guards against a data centre that counts as unreachable before 5 s without a report."""

    scenarios = [
        ("just reported", {"now": 2.0, "unresponsive": [], "demand": 3}),
        ("late", {"now": 5.9, "unresponsive": [], "demand": 3}),
        ("timed out", {"now": 6.1, "unresponsive": ["dc-0"], "demand": None}),
    ]

    def test_unresponsive_data_centres(self) -> None:
        reports = FleetReports()
        service = ServiceId("orders")
        demand = {service: Demand(1.0, 3, 3, 0, 0, 0, 0.5)}
        reports.record_entry(
            EntryReport(ONE, DataCentreId("dc-0"), Instant(1.0), Revision(2), demand)
        )
        now = Instant(self.now)
        self.assertEqual(self.unresponsive, sorted(reports.unresponsive_data_centres(now)))
        total = reports.demand(now).get(service)
        self.assertEqual(self.demand, total.arrived if total else None)


class RestartTest(testtools.TestCase):
    """Guards against entries of restarted processes that stay, or of running ones that vanish."""

    scenarios = [
        ("same address", {"address": "127.0.0.1:1", "known": [TWO]}),
        ("other address", {"address": "127.0.0.1:2", "known": [ONE, TWO]}),
        ("no address", {"address": "", "known": [ONE, TWO]}),
    ]

    def test_known_entries(self) -> None:
        reports = FleetReports()
        for process, address in ((ONE, "127.0.0.1:1"), (TWO, self.address)):
            reports.record_entry(
                EntryReport(process, DataCentreId("dc-0"), Instant(1.0), Revision(2), {}, address)
            )
        self.assertEqual(self.known, list(reports.entries))
