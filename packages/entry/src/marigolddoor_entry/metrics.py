"""Latencies by service and outcome, and counters, of one entry process or of several together."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from hdrh.histogram import HdrHistogram
from marigolddoor_core.ids import ServiceId
from marigolddoor_core.metrics import Counters, CounterSnapshot, Labels, Sample, family_text
from marigolddoor_core.requests.outcomes import Outcome

__all__ = ["LatencySnapshot", "Metrics", "MetricsSnapshot"]

# A unit of 0.1 ms and two digits keep a histogram under 20 KB and its error under 1%.
UNITS_PER_S = 10_000
MAX_LATENCY_S = 600.0
SIGNIFICANT_DIGITS = 2
# Upper bounds of the buckets on the text page.
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


@dataclass(frozen=True, slots=True)
class LatencySnapshot:
    """A histogram in the compressed form of hdrhistogram, the exact sum and the page's buckets."""

    service: ServiceId
    outcome: Outcome
    histogram: bytes
    sum_s: float
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """The metrics of one process at one moment."""

    latencies: tuple[LatencySnapshot, ...]
    counters: tuple[CounterSnapshot, ...]


class _Latency:
    """The latencies of one service with one outcome."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, int(MAX_LATENCY_S * UNITS_PER_S), SIGNIFICANT_DIGITS)
        self.sum_s = 0.0
        # Counted separately: computing them from the histogram takes 4 ms for each page.
        self.buckets = [0] * (len(BUCKETS_S) + 1)


class Metrics:
    """Records the latencies and counters of a process. Snapshots of several can be merged."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.latencies: dict[tuple[ServiceId, Outcome], _Latency] = {}

    def observe(self, service: ServiceId, outcome: Outcome, latency_s: float) -> None:
        """Record a request; its latency is limited to `MAX_LATENCY_S`."""
        latency = self._latency(service, outcome)
        clipped_s = min(max(latency_s, 0.0), MAX_LATENCY_S)
        latency.sum_s += clipped_s
        latency.buckets[bisect_left(BUCKETS_S, clipped_s)] += 1
        latency.histogram.record_value(max(1, round(clipped_s * UNITS_PER_S)))

    def quantile_s(self, service: ServiceId, outcome: Outcome, quantile: float) -> float:
        """Return a quantile of the latency, or 0 if no request is recorded."""
        latency = self.latencies.get((service, outcome))
        if latency is None:
            return 0.0
        return float(latency.histogram.get_value_at_percentile(quantile * 100)) / UNITS_PER_S

    def count(self, service: ServiceId, outcome: Outcome) -> int:
        """Return the number of requests recorded."""
        latency = self.latencies.get((service, outcome))
        return 0 if latency is None else int(latency.histogram.get_total_count())

    def snapshot(self) -> MetricsSnapshot:
        """Return everything recorded so far."""
        return MetricsSnapshot(
            tuple(
                LatencySnapshot(
                    service,
                    outcome,
                    latency.histogram.encode(),
                    latency.sum_s,
                    tuple(latency.buckets),
                )
                for (service, outcome), latency in self._sorted()
            ),
            self.counters.snapshot(),
        )

    def merge(self, snapshots: Iterable[MetricsSnapshot]) -> None:
        """Add the metrics of other processes."""
        for snapshot in snapshots:
            self.counters.merge(snapshot.counters)
            for part in snapshot.latencies:
                latency = self._latency(part.service, part.outcome)
                latency.histogram.decode_and_add(part.histogram)
                latency.sum_s += part.sum_s
                for i, count in enumerate(part.buckets):
                    latency.buckets[i] += count

    def page(self) -> str:
        """Return the metrics in the text exposition format."""
        samples: list[Sample] = []
        for (service, outcome), latency in self._sorted():
            samples += _samples(service, outcome, latency)
        return self.counters.page() + family_text(
            "marigolddoor_request_seconds",
            "Time from the receipt of a request to the end of its answer.",
            "histogram",
            samples,
        )

    def _latency(self, service: ServiceId, outcome: Outcome) -> _Latency:
        latency = self.latencies.get((service, outcome))
        if latency is None:
            latency = self.latencies[(service, outcome)] = _Latency()
        return latency

    def _sorted(self) -> list[tuple[tuple[ServiceId, Outcome], _Latency]]:
        return sorted(self.latencies.items(), key=lambda item: (item[0][0], item[0][1].value))


def _samples(service: ServiceId, outcome: Outcome, latency: _Latency) -> list[Sample]:
    counts = list(accumulate(latency.buckets))
    bounds = [f"{bound_s:g}" for bound_s in BUCKETS_S] + ["+Inf"]
    samples = [
        Sample(Labels(service, outcome.value, le=bound), count, "_bucket")
        for bound, count in zip(bounds, counts, strict=True)
    ]
    labels = Labels(service, outcome.value)
    return [
        *samples,
        Sample(labels, latency.sum_s, "_sum"),
        Sample(labels, counts[-1], "_count"),
    ]
