"""Guards against ending an executor that deregistered while its runs go on."""

import testtools
from marigolddoor_core.dispatch.departures import Departure
from marigolddoor_core.instants import Instant


class DepartureTest(testtools.TestCase):
    """Each event is a pair of its time in seconds and what happened."""

    scenarios = [
        ("no event", {"events": [], "announced": False, "ended": False}),
        ("deregistered", {"events": [(0, "announce")], "announced": True, "ended": False}),
        ("disconnected", {"events": [(0, "disconnected")], "announced": False, "ended": False}),
        (
            "deregistered, disconnected",
            {"events": [(0, "announce"), (1, "disconnected")], "announced": True, "ended": True},
        ),
        (
            "disconnected, and the deregistration arrives later",
            {"events": [(0, "disconnected"), (1, "announce")], "announced": True, "ended": True},
        ),
        (
            "an answer after the connection was closed",
            {
                "events": [(0, "announce"), (0.5, "disconnected"), (0.8, "answer")],
                "announced": True,
                "ended": False,
            },
        ),
        (
            "an answer that was on its way",
            {"events": [(0, "announce"), (0.9, "answer")], "announced": True, "ended": False},
        ),
        (
            "a later answer",
            {"events": [(0, "announce"), (1.1, "answer")], "announced": False, "ended": False},
        ),
        (
            "a later answer while it drains",
            {"events": [(0, "announce"), (1.1, "draining")], "announced": True, "ended": False},
        ),
        (
            "deregistered again",
            {
                "events": [(0, "announce"), (0.9, "announce"), (1.1, "answer")],
                "announced": False,
                "ended": False,
            },
        ),
    ]

    def test_evidence(self) -> None:
        departure = Departure()
        for time_s, event in self.events:
            now = Instant(10.0 + time_s)
            if event == "announce":
                departure.announce(now)
            elif event == "disconnected":
                departure.disconnected()
            else:
                departure.answered(event == "draining", now)
        self.assertEqual(self.announced, departure.is_announced)
        self.assertEqual(self.ended, departure.has_ended)
