"""When a request may be sent to a target a second time."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.instants import Instant

__all__ = ["AttemptEnd", "RetryBudget", "may_retry"]

RETRY_RATIO = 0.1
# Lets a process with little traffic retry at all.
MIN_RETRIES = 3.0
MAX_SAVED_RETRIES = 100.0


class AttemptEnd(Enum):
    """How an attempt to run a request on a target ended."""

    ANSWERED = "answered"
    # The target provably did not start: nothing was sent, or it said so.
    NOT_STARTED = "not started"
    # The target has run the request and reports that it failed.
    FAILED = "failed"
    # No whole answer of this request came back.
    LOST = "lost"


@dataclass(slots=True)
class RetryBudget:
    """Allows one retry for every ten requests, so that retries can't multiply an overload."""

    saved: float = MIN_RETRIES

    def count_request(self) -> None:
        """Add the share of one request to the budget."""
        self.saved = min(self.saved + RETRY_RATIO, MAX_SAVED_RETRIES)

    def take(self) -> bool:
        """Take one retry out of the budget; return whether there was one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


def may_retry(
    end: AttemptEnd, idempotent: bool, deadline: Instant, now: Instant, budget: RetryBudget
) -> bool:
    """Return whether to try another target, and take the retry out of the budget if so."""
    if end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED) or now >= deadline:
        return False
    if end is AttemptEnd.LOST and not idempotent:
        return False
    return budget.take()
