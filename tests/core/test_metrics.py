"""Guards against counters that are lost in a merge and pages that a scraper cannot parse."""

import testtools
from marigolddoor_core.metrics import CounterKind, Counters, Labels, Sample, family_text


class CountersTest(testtools.TestCase):
    """Guards against wrong sums over processes for a combination of labels."""

    def test_merge(self) -> None:
        first, second = Counters(), Counters()
        first.add(CounterKind.REFUSALS, Labels("orders", reason="queue full"), 2)
        second.add(CounterKind.REFUSALS, Labels("orders", reason="queue full"))
        second.add(CounterKind.FAILOVERS)
        first.merge(second.snapshot())
        self.assertEqual(
            "# HELP marigolddoor_refusals_total Requests that were refused as not run.\n"
            "# TYPE marigolddoor_refusals_total counter\n"
            'marigolddoor_refusals_total{service="orders",reason="queue full"} 3\n'
            "# HELP marigolddoor_failovers_total Changes of the leader, or of the control process "
            "that is used.\n"
            "# TYPE marigolddoor_failovers_total counter\n"
            "marigolddoor_failovers_total 1\n",
            first.page(),
        )


class LabelTest(testtools.TestCase):
    """Guards against label values that break the exposition format."""

    scenarios = [
        ("quote", {"value": 'a"b', "shown": 'a\\"b'}),
        ("backslash", {"value": "a\\n", "shown": "a\\\\n"}),
        ("line end", {"value": "a\nb", "shown": "a\\nb"}),
    ]

    def test_escape(self) -> None:
        text = family_text("m", "h", "gauge", [Sample(Labels(self.value), 1)])
        self.assertIn(f'm{{service="{self.shown}"}} 1\n', text)
