"""Measured rates and times: decaying counters and the service time of a service."""

import math
from dataclasses import dataclass

from marigolddoor_core.instants import Instant

__all__ = ["DecayingRate", "ServiceTime"]

# Weight of the latest request in the mean service time. For exponentially distributed times the
# mean then varies by 9%, which the margins of admission cover. With 1/16 it varies by 18%, and
# requests that were admitted on a low estimate ended late.
TIME_WEIGHT = 1 / 64
# Assumed until the first request ends.
INITIAL_SERVICE_S = 0.05
# For exponentially distributed times, 1 in 1,000 requests exceeds the mean plus 8 deviations.
TAIL_DEVIATIONS = 8.0


@dataclass(slots=True)
class DecayingRate:
    """Events a second, weighted by `exp(-age / window_s)`."""

    window_s: float
    weight: float = 0.0
    updated: Instant = Instant(0.0)

    def add(self, amount: float, now: Instant) -> None:
        """Count `amount` events at `now`."""
        self.weight = self._decayed(now) + amount
        self.updated = now

    def rate(self, now: Instant) -> float:
        """Return the events a second."""
        return self._decayed(now) / self.window_s

    def _decayed(self, now: Instant) -> float:
        return self.weight * math.exp(min(0.0, self.updated - now) / self.window_s)


@dataclass(slots=True)
class ServiceTime:
    """The mean service time of a service and its mean deviation."""

    mean_s: float = INITIAL_SERVICE_S
    deviation_s: float = INITIAL_SERVICE_S / 2
    count: int = 0

    def add(self, service_s: float) -> None:
        """Record the time that one request took on its target."""
        self.count += 1
        # The first requests and the assumed time have equal weights.
        weight = max(TIME_WEIGHT, 1 / (1 + self.count))
        error = service_s - self.mean_s
        self.mean_s += weight * error
        self.deviation_s += weight * (abs(error) - self.deviation_s)

    def tail_s(self) -> float:
        """Return a time that few requests exceed."""
        return self.mean_s + TAIL_DEVIATIONS * self.deviation_s
