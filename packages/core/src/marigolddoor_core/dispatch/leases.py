"""The lease on the runs of an executor, measured by the executor's own monotonic clock."""

from marigolddoor_core.instants import Instant

__all__ = ["ExecutorLease", "LeaseTiming"]

# The lowest rate of an executor's monotonic clock, relative to the local one.
SLOWEST_CLOCK_RATE = 0.98
# Covers the rounding of both clocks and a timer that fires late.
EXPIRY_MARGIN_S = 0.15


class LeaseTiming:
    """The maximum lease that executors grant, in seconds."""

    __slots__ = ("longest_s",)

    def __init__(self, longest_s: float) -> None:
        self.longest_s = longest_s

    @property
    def certain_expiry_s(self) -> float:
        """Return the seconds on the local clock after which a new lease has certainly expired."""
        return self.longest_s / SLOWEST_CLOCK_RATE + EXPIRY_MARGIN_S


class ExecutorLease:
    """The deadline to send, and the time at which every deadline sent has certainly passed.

    A deadline is a time on the executor's clock, so a delayed call does not extend the lease.
    """

    __slots__ = ("deadline_ms", "over_at", "read_at", "read_ms", "timing")

    def __init__(self, timing: LeaseTiming, now: Instant) -> None:
        self.timing = timing
        self.read_ms = 0
        self.read_at = now
        self.deadline_ms = 0
        # An earlier leader may have extended the lease just before `now`.
        self.over_at = Instant(now + timing.certain_expiry_s)

    @property
    def is_known(self) -> bool:
        """Return whether the executor's clock was ever read."""
        return self.read_ms > 0

    def observe(self, clock_ms: int, now: Instant) -> None:
        """Record a reading of the executor's clock from an answer that arrived at `now`."""
        if clock_ms >= self.read_ms:
            self.read_ms = clock_ms
            self.read_at = now

    def extend(self, now: Instant) -> int:
        """Return the deadline for a call that is sent at `now`, in ms of the executor's clock."""
        elapsed_ms = (now - self.read_at) * 1000
        self.deadline_ms = max(
            self.deadline_ms, int(self.read_ms + elapsed_ms + self.timing.longest_s * 1000)
        )
        wait_s = (self.deadline_ms - self.read_ms) / 1000 / SLOWEST_CLOCK_RATE + EXPIRY_MARGIN_S
        self.over_at = max(self.over_at, Instant(self.read_at + wait_s))
        return self.deadline_ms
