"""Estimates the demand for services: the mean, the peak and the joint peak of the overflow."""

import math
from collections import deque
from dataclasses import dataclass, field

from marigolddoor_core.fleet import Demand

__all__ = ["MEAN_TIME_S", "PEAK_WINDOW_S", "DemandEstimate", "Peak"]

# Longer than a full cycle of peaks that rotate over services, so that the mean does not follow one
# burst.
MEAN_TIME_S = 180.0
# Older peaks no longer count; a shorter window would miss rare bursts.
PEAK_WINDOW_S = 900.0


class Peak:
    """The maximum over the last 15 minutes.

    Keeps only values that no later value exceeds, so the first one is the peak.
    """

    def __init__(self) -> None:
        self.decreasing: deque[tuple[float, float]] = deque()

    def add(self, value: float, now_s: float) -> None:
        """Add a value."""
        while self.decreasing and self.decreasing[-1][1] <= value:
            self.decreasing.pop()
        self.decreasing.append((now_s, value))
        while self.decreasing[0][0] < now_s - PEAK_WINDOW_S:
            self.decreasing.popleft()

    def value(self) -> float:
        """Return the peak; 0 before the first value."""
        return self.decreasing[0][1] if self.decreasing else 0.0


@dataclass(slots=True)
class DemandEstimate:
    """The demand for one service in slots.

    `latest` covers all arrivals and every queued request. The mean covers the offered load only,
    which is the arrival rate times the time that a request holds a slot, because queued requests
    were counted on arrival. It decays exponentially with a time constant of 3 minutes and is
    divided by the sum of the weights, so that the first samples do not count for more.
    """

    latest: float = 0.0
    offered: float = 0.0
    holding_time_s: float = 0.0
    total: float = 0.0
    weight: float = 0.0
    first_s: float | None = None
    last_s: float = 0.0
    peak: Peak = field(default_factory=Peak)

    def add(self, demand: Demand, now_s: float) -> None:
        """Add the demand of the last interval."""
        if self.first_s is None:
            self.first_s, self.last_s = now_s, now_s - 1.0
        step_s = now_s - self.last_s
        if step_s <= 0.0 or demand.interval_s <= 0.0:
            return
        if demand.admitted > 0:
            self.holding_time_s = demand.slots * demand.interval_s / demand.admitted
        self.offered = offered = demand.arrived * self.holding_time_s / demand.interval_s
        decay = math.exp(-step_s / MEAN_TIME_S)
        self.total = self.total * decay + offered * step_s
        self.weight = self.weight * decay + step_s
        self.last_s = now_s
        self.latest = max(offered, demand.slots) + demand.queued
        self.peak.add(offered, now_s)

    def mean(self) -> float:
        """Return the mean demand."""
        return self.total / self.weight if self.weight else 0.0

    def observed_s(self, now_s: float) -> float:
        """Return for how long the demand has been observed."""
        return 0.0 if self.first_s is None else now_s - self.first_s
