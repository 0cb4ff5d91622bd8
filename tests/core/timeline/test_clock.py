"""Guards against hybrid times that decrease, equal that of their cause or follow a wrong clock."""

import testtools
from marigolddoor_core.timeline.clock import MAX_DRIFT_MS, HybridTime, observe, tick


class TickTest(testtools.TestCase):
    """The time of an event is later than the last one, also if the wall clock went back."""

    scenarios = [
        ("clock ahead", {"physical": 20, "expected": HybridTime(20, 0)}),
        ("clock unchanged", {"physical": 10, "expected": HybridTime(10, 4)}),
        ("clock goes back", {"physical": 5, "expected": HybridTime(10, 4)}),
    ]

    def test_tick(self) -> None:
        last = HybridTime(10, 3)
        self.assertEqual(self.expected, tick(last, self.physical))
        self.assertGreater(tick(last, self.physical), last)


class ObserveTest(testtools.TestCase):
    """A received time advances the clock, unless it exceeds the drift limit."""

    scenarios = [
        ("older", {"remote": HybridTime(8, 9), "expected": HybridTime(10, 4)}),
        ("newer", {"remote": HybridTime(12, 9), "expected": HybridTime(12, 10)}),
        (
            "beyond the drift limit",
            {"remote": HybridTime(11 + MAX_DRIFT_MS), "expected": HybridTime(10, 4)},
        ),
    ]

    def test_observe(self) -> None:
        self.assertEqual(self.expected, observe(HybridTime(10, 3), self.remote, 10))
