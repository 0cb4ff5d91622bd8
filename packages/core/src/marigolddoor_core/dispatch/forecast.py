"""Forecast of each service's demand from the period of its history.

Meant for queues that peak one after the other: each demands several times its mean for a few
seconds, and machines need 1.5 s to move. The period is the lag with the highest autocorrelation
over all services together. Without a clear period nothing is forecast, and machines follow the
current demand.
"""

import math

from marigolddoor_core.ids import ServiceId

__all__ = ["DemandForecast"]

BIN_S = 1.0
# Arrivals of the last two minutes are kept; a new leader knows ended jobs for just as long.
HISTORY_BINS = 120
# Moves take 1.5 s, too long to follow shorter periods, so these need no forecast.
MIN_PERIOD_BINS = 6
# A lag is considered once this much of a second period has passed.
MIN_OVERLAP_BINS = 4
# A period must have a higher correlation than this, plus a margin that grows as pairs of bins get
# fewer: by chance the correlation of n pairs reaches about 2 / sqrt(n).
MIN_CORRELATION = 0.4
CHANCE_FACTOR = 2.0
# The period is re-estimated after this time.
ESTIMATE_INTERVAL_S = 2.0


class DemandForecast:
    """Core-seconds that arrive at each service, in one-second bins of the replicated time."""

    def __init__(self) -> None:
        self.bins: dict[ServiceId, dict[int, float]] = {}
        self.first_bin: int | None = None
        self.period_bins: int | None = None
        self.estimated_s = -math.inf

    def arrived(self, service: ServiceId, work: float, time_s: float) -> None:
        """Record the work of a job that was accepted at `time_s`."""
        number = int(time_s // BIN_S)
        if self.first_bin is None or number < self.first_bin:
            self.first_bin = number
        bins = self.bins.setdefault(service, {})
        bins[number] = bins.get(number, 0.0) + work

    def expected_cores(self, service: ServiceId, from_s: float, until_s: float) -> float:
        """Return the peak forecast demand in cores between two future times, 0 if unknown."""
        if self.period_bins is None:
            return 0.0
        bins = self.bins.get(service, {})
        first, last = int(from_s // BIN_S), int(until_s // BIN_S)
        return max(
            (
                # A single large job may fall into the neighbouring bin, so two are averaged.
                (bins.get(n - self.period_bins, 0.0) + bins.get(n - self.period_bins + 1, 0.0))
                / 2
                / BIN_S
                for n in range(first, last + 1)
            ),
            default=0.0,
        )

    def update(self, now_s: float) -> None:
        """Re-estimate the period if that is due, and drop bins that are too old."""
        is_due = now_s - self.estimated_s >= ESTIMATE_INTERVAL_S
        if not is_due or self.first_bin is None or now_s < (self.first_bin + 2) * BIN_S:
            return
        self.estimated_s = now_s
        # The current bin is incomplete.
        last = int(now_s // BIN_S) - 1
        first = max(self.first_bin, last - HISTORY_BINS)
        for bins in self.bins.values():
            for number in [number for number in bins if number < first]:
                del bins[number]
        self.first_bin = first
        series = [
            [bins.get(number, 0.0) for number in range(first, last + 1)]
            for bins in self.bins.values()
        ]
        self.period_bins = _best_period(series, last - first + 1)


def _best_period(series: list[list[float]], length: int) -> int | None:
    """Return the lag with the highest correlation over all series, if it is high enough."""
    best, best_lag = 0.0, None
    smooth = [_smoothed(values) for values in series]
    for lag in range(MIN_PERIOD_BINS, length - MIN_OVERLAP_BINS + 1):
        correlation = _correlation(smooth, lag)
        pairs = len(series) * (length - lag)
        if correlation < min(0.95, MIN_CORRELATION + CHANCE_FACTOR / math.sqrt(pairs)):
            continue
        # Multiples of the period correlate as well, so a longer lag must be clearly better.
        if correlation > best * (1.0 if best_lag is None else 1.1):
            best, best_lag = correlation, lag
    return best_lag


def _smoothed(values: list[float]) -> list[float]:
    """Return the values smoothed with their neighbours, minus their mean."""
    mean = sum(values) / len(values)
    padded = [values[0], *values, values[-1]]
    return [(padded[i] + 2 * padded[i + 1] + padded[i + 2]) / 4 - mean for i in range(len(values))]


def _correlation(series: list[list[float]], lag: int) -> float:
    """Return the autocorrelation of all series at a lag of `lag` bins, from -1 to 1."""
    product = early = late = 0.0
    for values in series:
        for before, after in zip(values, values[lag:], strict=False):
            product += before * after
            early += before * before
            late += after * after
    return product / math.sqrt(early * late) if early and late else 0.0
