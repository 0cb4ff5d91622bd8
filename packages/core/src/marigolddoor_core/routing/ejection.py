"""Temporary ejection of failing or slow targets, with backoff and one probe at a time."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.instants import Instant

__all__ = ["EjectionState", "TargetHealth"]

# Weight of the latest attempt in the moving average of successes.
SUCCESS_WEIGHT = 0.1
# Fewer consecutive failures than this are attributed to the requests, not to the target.
FAILURES_TO_EJECT = 3
# A target with a lower success rate is ejected even without consecutive failures.
MIN_SUCCESS_RATE = 0.5
MIN_ATTEMPTS = 10
# A target is slow if its mean latency exceeds the median of the others by this factor.
SLOW_FACTOR = 3.0
# Weight of the latest latency in the moving average, and the answers between two comparisons.
LATENCY_WEIGHT = 1 / 8
ATTEMPTS_TO_COMPARE = 8
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


class EjectionState(Enum):
    """Whether a target gets requests."""

    IN_ROTATION = "in"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(slots=True)
class TargetHealth:
    """Statistics of the attempts on one target, and its ejection state."""

    state: EjectionState = EjectionState.IN_ROTATION
    success_rate: float = 1.0
    attempts: int = 0
    consecutive_failures: int = 0
    latency_s: float = 0.0
    latency_samples: int = 0
    backoff_s: float = FIRST_BACKOFF_S
    probe_at: Instant = Instant(0.0)

    def record_success(self) -> None:
        """Record a success. The success of a probe readmits the target."""
        self.attempts += 1
        self.consecutive_failures = 0
        self.success_rate += SUCCESS_WEIGHT * (1.0 - self.success_rate)
        if self.state is not EjectionState.IN_ROTATION:
            self.readmit()
        elif self.success_rate > 0.95:
            self.backoff_s = FIRST_BACKOFF_S

    def record_latency(self, latency_s: float) -> bool:
        """Record the latency of an answer; return whether to compare it with other targets."""
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.latency_samples += 1
        return self.latency_samples % ATTEMPTS_TO_COMPARE == 0

    def readmit(self) -> None:
        """Return an ejected target to rotation."""
        self.state = EjectionState.IN_ROTATION
        # Without this, old failures would eject the target again at its first new failure.
        self.success_rate = max(self.success_rate, MIN_SUCCESS_RATE + SUCCESS_WEIGHT)
        self.attempts = 0
        self.consecutive_failures = 0
        self.latency_s = 0.0
        self.latency_samples = 0

    def record_failure(self, now: Instant) -> None:
        """Record a failure. The failure of a probe doubles the backoff."""
        self.attempts += 1
        self.consecutive_failures += 1
        self.success_rate -= SUCCESS_WEIGHT * self.success_rate
        if self.state is EjectionState.PROBING:
            self.lengthen_backoff()
            self.eject(now)

    def should_eject(self) -> bool:
        """Return whether the failures have reached a threshold for ejection."""
        if self.state is not EjectionState.IN_ROTATION:
            return False
        return self.consecutive_failures >= FAILURES_TO_EJECT or (
            self.attempts >= MIN_ATTEMPTS and self.success_rate < MIN_SUCCESS_RATE
        )

    def eject(self, now: Instant) -> None:
        """Send the target no requests until a probe is due."""
        self.state = EjectionState.EJECTED
        self.probe_at = Instant(now + self.backoff_s)

    def lengthen_backoff(self) -> None:
        """Double the backoff of the next ejection."""
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)

    def is_probe_due(self, now: Instant) -> bool:
        """Return whether one request may be sent as a probe."""
        return self.state is EjectionState.EJECTED and now >= self.probe_at
