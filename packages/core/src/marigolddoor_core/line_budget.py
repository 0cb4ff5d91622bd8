"""Bounds the log lines of one kind of event, so that many of them do not displace other lines."""

__all__ = ["LineBudget"]

# A leader on 1.5 cores that refuses 1,000 calls a second would write 1,000 lines; its process may
# write 400 of all kinds. This many show which caller is refused, and why.
LINES_PER_S = 20
BURST_LINES = 40


class LineBudget:
    """Admits lines up to a rate (token bucket).

    Example:
      >>> budget = LineBudget(lines_per_s=1, burst=2)
      >>> [budget.admits(0.0) for _ in range(3)], budget.admits(1.0)
      ([True, True, False], True)
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: int = BURST_LINES) -> None:
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.tokens = float(burst)
        self.refilled_at = 0.0

    def admits(self, now: float) -> bool:
        """Return whether a line may be written at `now`, in seconds of a steady clock."""
        refill = max(0.0, now - self.refilled_at) * self.lines_per_s
        self.tokens = min(float(self.burst), self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
