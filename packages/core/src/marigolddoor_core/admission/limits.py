"""A concurrency limit that adapts to the measured latency, bounded by the slots of the process."""

from dataclasses import dataclass

__all__ = ["AdaptiveLimit"]

# A window whose mean exceeds the base by this factor indicates queueing at the targets.
SLOW_FACTOR = 2.0
DECREASE = 0.9
# The limit keeps at least an eighth of the slots, so that the latency is still measured.
MIN_SHARE = 1 / 8
# The mean of fewer requests varies so much that an unusually fast window sets the base too low, and
# ordinary windows then count as slow.
MIN_WINDOW = 64
# Raises the base by 1% a window, so that it follows a sustained increase of the service time.
BASE_DRIFT = 1.01


@dataclass(slots=True)
class AdaptiveLimit:
    """Additive increase up to `slots`, multiplicative decrease while the latency is high."""

    slots: int = 0
    limit: float = 0.0
    base_s: float = 0.0
    window_sum_s: float = 0.0
    window_count: int = 0

    def set_slots(self, slots: int) -> None:
        """Set the upper bound. A limit at the old bound moves to the new one."""
        at_bound = self.limit >= self.slots
        self.slots = slots
        self.limit = float(slots) if at_bound else min(self.limit, float(slots))

    def current(self) -> int:
        """Return the number of requests that may run at once."""
        if self.slots == 0:
            return 0
        return max(1, int(self.limit))

    def add(self, latency_s: float) -> None:
        """Record the latency of one request."""
        self.window_sum_s += latency_s
        self.window_count += 1
        if self.window_count < max(MIN_WINDOW, self.slots):
            return
        mean_s = self.window_sum_s / self.window_count
        self.window_sum_s = 0.0
        self.window_count = 0
        if self.base_s == 0.0 or mean_s < self.base_s:
            self.base_s = mean_s
        if mean_s > SLOW_FACTOR * self.base_s:
            self.limit = max(self.limit * DECREASE, self.slots * MIN_SHARE)
        else:
            self.limit = min(self.limit + 1.0, float(self.slots))
        self.base_s *= BASE_DRIFT
