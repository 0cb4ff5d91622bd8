"""Tickets of an adviser, which decides which executors may run a step of a queue.

The set of approved executors does not change, but a ticket is valid for a limited time, and for one
incarnation of its executor. The adviser handles one call at a time, so calls wait here and not
there: the next one is chosen when it can be handled, and its answer comes while it is of use.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.ids import ExecutorId, ExecutorIncarnation
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import StepRecord

__all__ = ["Advice", "AdviceRequest", "Tickets"]

# The maximum number of executors that the adviser accepts in one call.
MAX_EXECUTORS = 100
# The adviser handles one of these while the other one is on its way.
MAX_OPEN_REQUESTS = 2
# A step without a ticket is asked about again after this long.
RETRY_S = 1.0
# Pause before the next request of any step after an unsuccessful one.
FAILURE_PAUSE_S = 0.25
# An executor that was not approved is named again after this long; the set should not change.
REFUSAL_RETRY_S = 60.0
# A ticket is not used for this long before it expires, since the start has to arrive in time.
START_MARGIN_S = 0.3
# A request should take at most this share of the validity of its tickets.
MAX_DECISION_SHARE = 0.5
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
class Advice:
    """The executors that may run a step, with their tickets, valid for `validity_s`.

    If `is_complete` is false, the answer may approve further executors.
    """

    tickets: Mapping[ExecutorId, str]
    validity_s: float
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    valid_until: Instant


class Tickets:
    """The tickets of all steps of queues that need advice, and the requests without an answer."""

    def __init__(self) -> None:
        self.known: dict[StepRecord, dict[ExecutorIncarnation, _Ticket]] = {}
        self.asked_at: dict[StepRecord, Instant] = {}
        # When each executor was last named in a request.
        self.named_at: dict[StepRecord, dict[ExecutorIncarnation, Instant]] = {}
        # When the adviser last left out an executor that a request had named.
        self.refused_at: dict[StepRecord, dict[ExecutorIncarnation, Instant]] = {}
        self.open_requests: list[AdviceRequest] = []
        self.answered_at = NEVER
        self.paused_until = NEVER
        # Executors to name in one request, so that its tickets are still valid when they arrive.
        self.name_limit = MAX_EXECUTORS

    def accepts_request(self, now: Instant) -> bool:
        """Return whether another request may be sent."""
        return len(self.open_requests) < MAX_OPEN_REQUESTS and now >= self.paused_until

    def request(
        self,
        step: StepRecord,
        executors: Iterable[Executor],
        now: Instant,
        room_on: Collection[ExecutorIncarnation],
    ) -> AdviceRequest | None:
        """Return the request that is due for a step, or None.

        A request names the executors first that no earlier one named, then those that were named
        longest ago. None is due while one of the executors has a valid ticket, nor about a step
        that has been asked about before and could start nowhere now.

        Args:
          step: the step.
          executors: the present executors that could run its tasks if the adviser approves them.
          now: the current time.
          room_on: those of the executors that could start a task of the step now.
        """
        asked_at = self.asked_at.get(step)
        if (
            not self.accepts_request(now)
            or any(request.step is step for request in self.open_requests)
            or (asked_at is not None and now - asked_at < RETRY_S)
        ):
            return None
        executors = list(executors)
        if any(self.ticket(step, executor, now) is not None for executor in executors):
            return None
        refused = self.refused_at.get(step, {})
        possible = [
            executor
            for executor in executors
            if now - refused.get(executor.incarnation, NEVER) >= REFUSAL_RETRY_S
        ]
        can_start = any(executor.incarnation in room_on for executor in possible)
        if not possible or (asked_at is not None and not can_start):
            return None
        self.asked_at[step] = now
        known = self.named_at.get(step, {})
        possible.sort(key=lambda executor: known.get(executor.incarnation, NEVER))
        named = tuple(possible[: self.name_limit])
        present = {executor.incarnation for executor in executors}
        self.named_at[step] = {
            **{life: named_at for life, named_at in known.items() if life in present},
            **{executor.incarnation: now for executor in named},
        }
        request = AdviceRequest(step, named)
        self.open_requests.append(request)
        return request

    def answered(
        self, request: AdviceRequest, advice: Advice, asked_at: Instant, now: Instant
    ) -> None:
        """Store the tickets of the adviser's answer to a request that was sent at `asked_at`."""
        self._close(request)
        # The adviser began with this request after it had answered the one before.
        begun_at = max(asked_at, self.answered_at)
        self.answered_at = now
        self._adjust_name_limit(len(request.executors), now - begun_at, advice.validity_s)
        if request.step not in self.asked_at:
            # Its job has ended meanwhile.
            return
        known = self.known.setdefault(request.step, {})
        refused = self.refused_at.setdefault(request.step, {})
        for executor in request.executors:
            text = advice.tickets.get(executor.heartbeat.executor)
            if text is not None:
                known[executor.incarnation] = _Ticket(text, Instant(begun_at + advice.validity_s))
                refused.pop(executor.incarnation, None)
            elif advice.is_complete:
                refused[executor.incarnation] = now

    def failed(self, request: AdviceRequest, now: Instant) -> None:
        """Record that a request got no usable answer."""
        self._close(request)
        self.paused_until = Instant(now + FAILURE_PAUSE_S)

    def _close(self, request: AdviceRequest) -> None:
        self.open_requests = [item for item in self.open_requests if item is not request]

    def _adjust_name_limit(self, named: int, decision_s: float, validity_s: float) -> None:
        """Name fewer executors if an answer took too much of the validity, else more again."""
        if decision_s > MAX_DECISION_SHARE * validity_s:
            self.name_limit = max(1, named // 2)
        elif named == self.name_limit and decision_s < MAX_DECISION_SHARE / 4 * validity_s:
            self.name_limit = min(MAX_EXECUTORS, named * 2)

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
            self.refused_at.pop(step, None)
