"""Retries of requests and their budget."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.instants import Instant

__all__ = ["AttemptEnd", "RetryBudget", "may_retry"]

RETRY_RATIO = 0.1
# The initial tokens let a process with little traffic retry.
INITIAL_TOKENS = 3.0
MAX_TOKENS = 100.0


class AttemptEnd(Enum):
    """How an attempt to run a request on a target ended."""

    ANSWERED = "answered"
    # The request provably did not start: it was not sent, or the target reported so.
    NOT_STARTED = "not started"
    # The target ran the request and reported that it failed.
    FAILED = "failed"
    # No complete and matching answer was received.
    LOST = "lost"


@dataclass(slots=True)
class RetryBudget:
    """A token bucket of one retry per ten requests, so that retries can't amplify an overload."""

    tokens: float = INITIAL_TOKENS

    def count_request(self) -> None:
        """Add the tokens for one request."""
        self.tokens = min(self.tokens + RETRY_RATIO, MAX_TOKENS)

    def try_acquire(self) -> bool:
        """Take a token for one retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(
    end: AttemptEnd, idempotent: bool, deadline: Instant, now: Instant, budget: RetryBudget
) -> bool:
    """Return whether to try another target; if so, the retry is deducted from the budget."""
    if end in (AttemptEnd.ANSWERED, AttemptEnd.FAILED) or now >= deadline:
        return False
    if end is AttemptEnd.LOST and not idempotent:
        return False
    return budget.try_acquire()
