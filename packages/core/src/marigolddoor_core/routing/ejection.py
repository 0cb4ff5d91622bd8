"""Temporary ejection of a target that fails, with backoff and one probe at a time."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.instants import Instant

__all__ = ["EjectionState", "TargetHealth"]

# Weight of the latest attempt in the share of successes.
SUCCESS_WEIGHT = 0.1
# Fewer failures in a row than this are taken for single faults of requests.
FAILURES_TO_EJECT = 3
# A target that succeeds less often than this is ejected even without failures in a row.
MIN_SUCCESS_SHARE = 0.5
MIN_ATTEMPTS = 10
# A target is slow if its mean latency is this many times the median of the others.
SLOW_FACTOR = 3.0
# Weight of the latest latency in the mean, and the attempts between two comparisons.
LATENCY_WEIGHT = 1 / 8
ATTEMPTS_TO_COMPARE = 8
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0


class EjectionState(Enum):
    """Whether a target gets work."""

    IN = "in"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass(slots=True)
class TargetHealth:
    """The record of one target's attempts."""

    state: EjectionState = EjectionState.IN
    success_share: float = 1.0
    attempts: int = 0
    failures_in_a_row: int = 0
    latency_s: float = 0.0
    latencies: int = 0
    backoff_s: float = FIRST_BACKOFF_S
    probe_at: Instant = Instant(0.0)

    def succeeded(self) -> None:
        """Count a success. The success of a probe brings the target back."""
        self.attempts += 1
        self.failures_in_a_row = 0
        self.success_share += SUCCESS_WEIGHT * (1.0 - self.success_share)
        if self.state is not EjectionState.IN:
            self.bring_back()
        elif self.success_share > 0.95:
            self.backoff_s = FIRST_BACKOFF_S

    def answered(self, latency_s: float) -> bool:
        """Count the latency of an answer; return whether to compare it with other targets now."""
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.latencies += 1
        return self.latencies % ATTEMPTS_TO_COMPARE == 0

    def bring_back(self) -> None:
        """Give the target work again."""
        self.state = EjectionState.IN
        # The old failures must not eject the target again at its first new one.
        self.success_share = max(self.success_share, MIN_SUCCESS_SHARE + SUCCESS_WEIGHT)
        self.attempts = 0
        self.failures_in_a_row = 0
        self.latency_s = 0.0
        self.latencies = 0

    def failed(self, now: Instant) -> None:
        """Count a failure. The failure of a probe doubles the backoff."""
        self.attempts += 1
        self.failures_in_a_row += 1
        self.success_share -= SUCCESS_WEIGHT * self.success_share
        if self.state is EjectionState.PROBING:
            self.lengthen_backoff()
            self.eject(now)

    def should_eject(self) -> bool:
        """Return whether the failures speak for an ejection."""
        if self.state is not EjectionState.IN:
            return False
        return self.failures_in_a_row >= FAILURES_TO_EJECT or (
            self.attempts >= MIN_ATTEMPTS and self.success_share < MIN_SUCCESS_SHARE
        )

    def eject(self, now: Instant) -> None:
        """Give the target nothing until a probe is due."""
        self.state = EjectionState.EJECTED
        self.probe_at = Instant(now + self.backoff_s)

    def lengthen_backoff(self) -> None:
        """Double the backoff of the next ejection."""
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)

    def probe_due(self, now: Instant) -> bool:
        """Return whether one request may try the target."""
        return self.state is EjectionState.EJECTED and now >= self.probe_at
