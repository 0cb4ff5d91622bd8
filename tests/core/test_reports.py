"""Guards against lost deltas, late reports of old holders and silence taken for absence."""

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
    """A gap in a holder's deltas makes the leader ask for a full list."""

    scenarios = [
        ("first is a delta", {"reports": [(5, False)], "wanted": [True]}),
        ("first is full", {"reports": [(5, True)], "wanted": [False]}),
        ("in order", {"reports": [(1, True), (2, False)], "wanted": [False, False]}),
        ("gap", {"reports": [(1, True), (3, False)], "wanted": [False, True]}),
        ("gap, then full", {"reports": [(1, True), (3, True)], "wanted": [False, False]}),
        ("repeated", {"reports": [(1, True), (1, False)], "wanted": [False, True]}),
    ]

    def test_gap(self) -> None:
        reports = FleetReports()
        wanted = [
            reports.record_targets(ONE, sequence, full, [], [], Instant(1.0)).is_missing_delta
            for sequence, full in self.reports
        ]
        self.assertEqual(self.wanted, wanted)


class NewsTest(testtools.TestCase):
    """A round begins at once for news only: 16,000 workers announce themselves all the time."""

    scenarios = [
        ("nothing changed", {"change": {}, "news": False}),
        ("busy slots", {"change": {"busy_slots": 5}, "news": False}),
        ("drained", {"change": {"drained": True}, "news": True}),
        ("rebooted", {"change": {"incarnation": "2"}, "news": True}),
        ("another epoch", {"change": {"epoch": 2}, "news": True}),
        ("a task", {"change": {"tasks": (TASK,)}, "news": True}),
    ]

    def test_news(self) -> None:
        reports = FleetReports()
        first = reports.record_targets(ONE, 1, True, [observed(TARGET)], [], Instant(1.0))
        self.assertTrue(first.has_news)
        changed = dataclasses.replace(TARGET, **self.change)
        second = reports.record_targets(ONE, 2, False, [observed(changed)], [], Instant(2.0))
        self.assertEqual(self.news, second.has_news)


class HolderTest(testtools.TestCase):
    """The latest announcement counts, whichever holder reports it and in whatever order."""

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

    def test_known(self) -> None:
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


class SilenceTest(testtools.TestCase):
    """A data centre is silent only after it was heard and then was not for 5 s."""

    scenarios = [
        ("just heard", {"now": 2.0, "silent": [], "demand": 3}),
        ("late", {"now": 5.9, "silent": [], "demand": 3}),
        ("silent", {"now": 6.1, "silent": ["dc-0"], "demand": None}),
    ]

    def test_silent(self) -> None:
        reports = FleetReports()
        service = ServiceId("orders")
        demand = {service: Demand(1.0, 3, 3, 0, 0, 0, 0.5)}
        reports.record_entry(
            EntryReport(ONE, DataCentreId("dc-0"), Instant(1.0), Revision(2), demand)
        )
        now = Instant(self.now)
        self.assertEqual(self.silent, sorted(reports.silent_data_centres(now)))
        total = reports.demand(now).get(service)
        self.assertEqual(self.demand, total.arrived if total else None)


class RestartTest(testtools.TestCase):
    """A restarted entry process replaces itself; one at another address stays."""

    scenarios = [
        ("same address", {"address": "127.0.0.1:1", "known": [TWO]}),
        ("other address", {"address": "127.0.0.1:2", "known": [ONE, TWO]}),
        ("no address", {"address": "", "known": [ONE, TWO]}),
    ]

    def test_entries(self) -> None:
        reports = FleetReports()
        for process, address in ((ONE, "127.0.0.1:1"), (TWO, self.address)):
            reports.record_entry(
                EntryReport(process, DataCentreId("dc-0"), Instant(1.0), Revision(2), {}, address)
            )
        self.assertEqual(self.known, list(reports.entries))
