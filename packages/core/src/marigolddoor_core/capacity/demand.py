"""Estimates of the demand for each service: its mean, its peak and the joint peak of overflow."""

import math
from collections import deque
from dataclasses import dataclass, field

from marigolddoor_core.fleet import Demand

__all__ = ["MEAN_TIME_S", "PEAK_WINDOW_S", "DemandEstimate", "Peak", "needed_slots"]

# Longer than a full turn of rotating demand, so that the mean does not follow one burst.
MEAN_TIME_S = 180.0
# Peaks that lie further back no longer count; a shorter window would forget rare bursts.
PEAK_WINDOW_S = 900.0
BUCKET_S = 10.0


def needed_slots(demand: Demand) -> float:
    """Return the slots that the demand would hold if nothing queued or was refused.

    Refused requests would have held a slot as long as admitted ones did, by Little's law.
    """
    held = demand.slots
    refused = 0.0
    if demand.admitted > 0:
        refused = demand.refused * held / demand.admitted
    return held + demand.queued + refused


class Peak:
    """The largest value of the last 15 minutes, kept in buckets of 10 s."""

    def __init__(self) -> None:
        self.buckets: deque[tuple[float, float]] = deque()

    def add(self, value: float, now_s: float) -> None:
        """Take in a value."""
        start_s = now_s // BUCKET_S * BUCKET_S
        if self.buckets and self.buckets[-1][0] == start_s:
            self.buckets[-1] = (start_s, max(self.buckets[-1][1], value))
        else:
            self.buckets.append((start_s, value))
        while self.buckets[0][0] < now_s - PEAK_WINDOW_S:
            self.buckets.popleft()

    def value(self) -> float:
        """Return the peak, 0 before the first value."""
        return max((value for _, value in self.buckets), default=0.0)


@dataclass(slots=True)
class DemandEstimate:
    """The demand for one service in slots.

    The mean is weighted by age with a time constant of 3 minutes. It is divided by the sum of the
    weights, so that the first samples do not count for more than later ones.
    """

    latest: float = 0.0
    total: float = 0.0
    weight: float = 0.0
    first_s: float | None = None
    last_s: float = 0.0
    peak: Peak = field(default_factory=Peak)

    def add(self, slots: float, now_s: float) -> None:
        """Take in the slots that are needed now."""
        if self.first_s is None:
            self.first_s, self.last_s = now_s, now_s - 1.0
        step_s = now_s - self.last_s
        if step_s <= 0.0:
            return
        keep = math.exp(-step_s / MEAN_TIME_S)
        self.total = self.total * keep + slots * step_s
        self.weight = self.weight * keep + step_s
        self.last_s = now_s
        self.latest = slots
        self.peak.add(slots, now_s)

    def mean(self) -> float:
        """Return the mean demand."""
        return self.total / self.weight if self.weight else 0.0

    def observed_s(self, now_s: float) -> float:
        """Return for how long the demand has been observed."""
        return 0.0 if self.first_s is None else now_s - self.first_s
