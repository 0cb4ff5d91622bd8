"""Estimates of the demand for each service: its mean, its peak and the joint peak of overflow."""

import math
from collections import deque
from dataclasses import dataclass, field

from marigolddoor_core.fleet import Demand

__all__ = ["MEAN_TIME_S", "PEAK_WINDOW_S", "DemandEstimate", "Peak"]

# Longer than a full turn of rotating demand, so that the mean does not follow one burst.
MEAN_TIME_S = 180.0
# Peaks that lie further back no longer count; a shorter window would forget rare bursts.
PEAK_WINDOW_S = 900.0


class Peak:
    """The largest value of the last 15 minutes.

    Keeps only values that no later one exceeds, so the first one is the peak.
    """

    def __init__(self) -> None:
        self.falling: deque[tuple[float, float]] = deque()

    def add(self, value: float, now_s: float) -> None:
        """Take in a value."""
        while self.falling and self.falling[-1][1] <= value:
            self.falling.pop()
        self.falling.append((now_s, value))
        while self.falling[0][0] < now_s - PEAK_WINDOW_S:
            self.falling.popleft()

    def value(self) -> float:
        """Return the peak, 0 before the first value."""
        return self.falling[0][1] if self.falling else 0.0


@dataclass(slots=True)
class DemandEstimate:
    """The demand for one service in slots.

    `latest` is what would serve all arrivals and start everything that is queued now. The mean is
    of the offered load alone, arrivals times the time that a request holds a slot: a queue is load
    that was counted when it arrived. It is weighted by age with a time constant of 3 minutes and
    divided by the sum of the weights, so that the first samples do not count for more.
    """

    latest: float = 0.0
    offered: float = 0.0
    hold_s: float = 0.0
    total: float = 0.0
    weight: float = 0.0
    first_s: float | None = None
    last_s: float = 0.0
    peak: Peak = field(default_factory=Peak)

    def add(self, demand: Demand, now_s: float) -> None:
        """Take in the demand of the last interval."""
        if self.first_s is None:
            self.first_s, self.last_s = now_s, now_s - 1.0
        step_s = now_s - self.last_s
        if step_s <= 0.0 or demand.interval_s <= 0.0:
            return
        if demand.admitted > 0:
            self.hold_s = demand.slots * demand.interval_s / demand.admitted
        self.offered = offered = demand.arrived * self.hold_s / demand.interval_s
        keep = math.exp(-step_s / MEAN_TIME_S)
        self.total = self.total * keep + offered * step_s
        self.weight = self.weight * keep + step_s
        self.last_s = now_s
        self.latest = max(offered, demand.slots) + demand.queued
        self.peak.add(offered, now_s)

    def mean(self) -> float:
        """Return the mean demand."""
        return self.total / self.weight if self.weight else 0.0

    def observed_s(self, now_s: float) -> float:
        """Return for how long the demand has been observed."""
        return 0.0 if self.first_s is None else now_s - self.first_s
