"""Guards against latencies that are lost or shifted when the metrics of processes are merged."""

import random

import testtools
from marigolddoor_core.ids import ServiceId
from marigolddoor_core.metrics import CounterKind, Labels
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_entry.metrics import MAX_LATENCY_S, Metrics

ORDERS = ServiceId("orders")
ANSWERED = Outcome.ANSWERED


class LatencyTest(testtools.TestCase):
    """Each latency is recorded with an error under 1%, and out-of-range values are clipped."""

    scenarios = [
        ("typical", {"latency_s": 0.0153, "expected_s": 0.0153}),
        ("long", {"latency_s": 42.0, "expected_s": 42.0}),
        ("below a unit", {"latency_s": 0.0, "expected_s": 0.0001}),
        ("clock went back", {"latency_s": -1.0, "expected_s": 0.0001}),
        ("over the limit", {"latency_s": 1e9, "expected_s": MAX_LATENCY_S}),
    ]

    def test_observe(self) -> None:
        metrics = Metrics()
        metrics.observe(ORDERS, ANSWERED, self.latency_s)
        found_s = metrics.quantile_s(ORDERS, ANSWERED, 1.0)
        self.assertLessEqual(abs(found_s - self.expected_s), 0.01 * self.expected_s)
        self.assertEqual(1, metrics.count(ORDERS, ANSWERED))


class MergeTest(testtools.TestCase):
    """Merged snapshots equal the metrics of one process that recorded every request."""

    scenarios = [(f"{count} processes", {"count": count}) for count in (1, 2, 9)]

    def test_merge(self) -> None:
        rng = random.Random(7)
        combined, parts = Metrics(), [Metrics() for _ in range(self.count)]
        for _ in range(500):
            outcome = rng.choice(list(Outcome))
            latency_s = rng.expovariate(20.0)
            for metrics in (combined, rng.choice(parts)):
                metrics.observe(ORDERS, outcome, latency_s)
                metrics.counters.add(CounterKind.RETRIES, Labels(ORDERS))
        merged = Metrics()
        merged.merge(part.snapshot() for part in parts)
        for outcome in Outcome:
            self.assertEqual(combined.count(ORDERS, outcome), merged.count(ORDERS, outcome))
            for quantile in (0.5, 0.99, 1.0):
                self.assertEqual(
                    combined.quantile_s(ORDERS, outcome, quantile),
                    merged.quantile_s(ORDERS, outcome, quantile),
                )
        self.assertEqual(combined.counters.snapshot(), merged.counters.snapshot())
        buckets = [line for line in combined.page().splitlines() if "_bucket" in line]
        self.assertEqual(
            buckets, [line for line in merged.page().splitlines() if "_bucket" in line]
        )


class PageTest(testtools.TestCase):
    """Buckets are cumulative, and the last one equals the count."""

    def test_page(self) -> None:
        metrics = Metrics()
        for latency_s in (0.004, 0.004, 0.3, 70.0):
            metrics.observe(ORDERS, ANSWERED, latency_s)
        lines = dict(line.rsplit(" ", 1) for line in metrics.page().splitlines() if line[0] != "#")
        prefix = 'marigolddoor_request_seconds_bucket{service="orders",outcome="answered",le='
        actual = {bound: lines[f'{prefix}"{bound}"}}'] for bound in ("0.002", "0.005", "0.5", "60")}
        self.assertEqual({"0.002": "0", "0.005": "2", "0.5": "3", "60": "3"}, actual)
        self.assertEqual("4", lines[f'{prefix}"+Inf"}}'])
        labels = '{service="orders",outcome="answered"}'
        self.assertEqual("4", lines[f"marigolddoor_request_seconds_count{labels}"])
        self.assertEqual("70.308", lines[f"marigolddoor_request_seconds_sum{labels}"])
