"""Tickets of an adviser, which decides which executors may run a step of a queue.

The set of approved executors does not change, but a ticket is valid for a limited time, and for one
incarnation of its executor.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.ids import ExecutorId, ExecutorIncarnation
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import StepRecord

__all__ = ["AdviceRequest", "Tickets"]

# The maximum number of executors that the adviser accepts in one call.
MAX_EXECUTORS = 100
# An unsuccessful call is repeated after this long: the adviser handles one call at a time.
RETRY_S = 1.0
# A ticket is not used for this long before it expires, since the start has to arrive in time.
START_MARGIN_S = 0.3
NEVER = Instant(-math.inf)


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Asks which of the executors may run a step."""

    step: StepRecord
    executors: tuple[Executor, ...]

    @property
    def name(self) -> str:
        """Return the name of the step."""
        return f"{self.step.job.job}.{self.step.occurrence}.{self.step.number}"


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    valid_until: Instant


class Tickets:
    """The tickets of all steps of queues that need advice."""

    def __init__(self) -> None:
        self.known: dict[StepRecord, dict[ExecutorIncarnation, _Ticket]] = {}
        self.asked_at: dict[StepRecord, Instant] = {}
        # When each executor was last named in a request.
        self.named_at: dict[StepRecord, dict[ExecutorIncarnation, Instant]] = {}

    def request(
        self, step: StepRecord, executors: Iterable[Executor], now: Instant
    ) -> AdviceRequest | None:
        """Return the request that is due for a step, or None.

        A request names the executors first that no earlier one named, then those that were named
        longest ago. None is due while one of the executors has a valid ticket.

        Args:
          step: the step.
          executors: the present executors that could run its tasks if the adviser approves them.
          now: the current time.
        """
        executors = list(executors)
        asked_at = self.asked_at.get(step)
        if asked_at is not None and now - asked_at < RETRY_S:
            return None
        missing = [e for e in executors if self.ticket(step, e, now) is None]
        if not missing or (asked_at is not None and len(missing) < len(executors)):
            return None
        self.asked_at[step] = now
        known = self.named_at.get(step, {})
        missing.sort(key=lambda executor: known.get(executor.incarnation, NEVER))
        named = tuple(missing[:MAX_EXECUTORS])
        present = {executor.incarnation for executor in executors}
        self.named_at[step] = {
            **{life: named_at for life, named_at in known.items() if life in present},
            **{executor.incarnation: now for executor in named},
        }
        return AdviceRequest(step, named)

    def approved(
        self,
        request: AdviceRequest,
        tickets: Mapping[ExecutorId, str],
        validity_s: float,
        asked_at: Instant,
    ) -> None:
        """Store the tickets of the adviser's answer to a request that was sent at `asked_at`."""
        known = self.known.setdefault(request.step, {})
        for executor in request.executors:
            text = tickets.get(executor.heartbeat.executor)
            if text is not None:
                known[executor.incarnation] = _Ticket(text, Instant(asked_at + validity_s))

    def ticket(self, step: StepRecord, executor: Executor, now: Instant) -> str | None:
        """Return the ticket for a start at `now`; None if there is no valid one."""
        ticket = self.known.get(step, {}).get(executor.incarnation)
        is_valid = ticket is not None and now < ticket.valid_until - START_MARGIN_S
        return ticket.text if ticket is not None and is_valid else None

    def forget(self, steps: Iterable[StepRecord]) -> None:
        """Drop the tickets of steps whose job has ended."""
        for step in steps:
            self.known.pop(step, None)
            self.asked_at.pop(step, None)
            self.named_at.pop(step, None)
