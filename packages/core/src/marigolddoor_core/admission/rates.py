"""Measured rates and times: decaying counters and the service time of a service."""

import math
from dataclasses import dataclass

from marigolddoor_core.instants import Instant

__all__ = ["DecayingRate", "ServiceTime"]

# Weight of the latest request in the mean service time. With an exponential spread, the mean then
# varies by 9%, which the margins of admission cover; with 1/16 it varies by 18%, and requests that
# were admitted at a low reading ran late.
TIME_WEIGHT = 1 / 64
# Before the first request ends, this time is assumed for each.
INITIAL_SERVICE_S = 0.05
# With an exponential spread, 1 in 1,000 requests takes longer than the mean plus 8 deviations.
TAIL_DEVIATIONS = 8.0


@dataclass(slots=True)
class DecayingRate:
    """Events a second, weighted by `exp(-age / window_s)`."""

    window_s: float
    weight: float = 0.0
    at: Instant = Instant(0.0)

    def add(self, amount: float, now: Instant) -> None:
        """Count `amount` events at `now`."""
        self.weight = self._decayed(now) + amount
        self.at = now

    def rate(self, now: Instant) -> float:
        """Return the events a second."""
        return self._decayed(now) / self.window_s

    def _decayed(self, now: Instant) -> float:
        return self.weight * math.exp(min(0.0, self.at - now) / self.window_s)


@dataclass(slots=True)
class ServiceTime:
    """The mean service time of a service and its mean deviation."""

    mean_s: float = INITIAL_SERVICE_S
    deviation_s: float = INITIAL_SERVICE_S / 2
    count: int = 0

    def add(self, service_s: float) -> None:
        """Count the time that one request took on its target."""
        self.count += 1
        # The first requests count equally, together with the assumed time.
        weight = max(TIME_WEIGHT, 1 / (1 + self.count))
        error = service_s - self.mean_s
        self.mean_s += weight * error
        self.deviation_s += weight * (abs(error) - self.deviation_s)

    def tail_s(self) -> float:
        """Return a time that few requests exceed."""
        return self.mean_s + TAIL_DEVIATIONS * self.deviation_s
