"""Fault runs of requests whose answers are late, foreign, truncated or lost.

The checks of answers, the claim tracker, the retry rule and the state machine are production code.
Entry processes, targets and the network between them are simulated.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from marigolddoor_core.ids import (
    ClaimId,
    IdempotencyKey,
    LogIndex,
    ProcessId,
    RequestId,
    ServiceId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.answers import (
    ForeignAnswerError,
    TruncatedAnswerError,
    check_echo,
    check_length,
)
from marigolddoor_core.requests.claim_tracker import (
    ClaimKey,
    ClaimNextStep,
    ClaimPhase,
    ClaimStateError,
    ClaimTracker,
    stored_answer,
)
from marigolddoor_core.requests.outcomes import REQUEST_ID_HEADER
from marigolddoor_core.requests.retries import AttemptEnd, RetryBudget, may_retry
from marigolddoor_core.state.commands import (
    Claim,
    Command,
    FinishClaim,
    KeptAnswer,
    ReleaseClaim,
)
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import ClaimFinished, Result

from bench.faults import state_commands

__all__ = [
    "AllChecks",
    "AnswerChecks",
    "AnswerRun",
    "Delivery",
    "ReleaseAfterDispatch",
    "WithoutEchoCheck",
    "WithoutLengthCheck",
]

Headers = Sequence[tuple[bytes, bytes]]

PROCESSES = ("p1", "p2", "p3")
CLAIMED_SERVICE = ServiceId("orders")
IDEMPOTENT_SERVICE = ServiceId("help")
DEADLINE_S = 10.0
RETRY_WINDOW_S = 600.0
MAX_BODY_BYTES = 400
# The number of recent answers of which a foreign answer is chosen.
RECENT_ANSWERS = 8
RESEND_SHARE = 0.3
# Share of claims whose result is lost on the way to the process that proposed them.
LOST_RESULT_SHARE = 0.05


class Delivery(Enum):
    """The response to an attempt."""

    WHOLE = "whole"
    LATE = "late answer to the request before"
    FOREIGN = "answer to another request"
    NO_ECHO = "answer without an id"
    TRUNCATED = "truncated"
    NO_LENGTH = "truncated, without a length"
    LOST = "lost after the run"
    NOT_STARTED = "not started"


class AnswerChecks(Protocol):
    """Checks an answer before any part of it is sent to the caller."""

    def check(self, headers: Headers, request: RequestId, body_bytes: int) -> None:
        """Raise an error if the answer is not the complete answer to `request`."""
        ...


class AllChecks:
    """Both checks, in the order of the dispatcher."""

    def check(self, headers: Headers, request: RequestId, body_bytes: int) -> None:
        """Check the echoed id, then the length."""
        check_echo(headers, request)
        check_length(headers, 200, "POST", body_bytes)


class WithoutEchoCheck:
    """The checks without the guard against foreign answers."""

    def check(self, headers: Headers, request: RequestId, body_bytes: int) -> None:
        """Check the length only."""
        check_length(headers, 200, "POST", body_bytes)


class WithoutLengthCheck:
    """The checks without the guard against partial answers."""

    def check(self, headers: Headers, request: RequestId, body_bytes: int) -> None:
        """Check the echoed id only."""
        check_echo(headers, request)


class ReleaseAfterDispatch(ClaimTracker):
    """A claim tracker without the guard against the release of a dispatched claim."""

    def release(self, key: ClaimKey) -> ClaimId:
        """Release a claim in any phase."""
        entry = self.entries[key]
        entry.phase = ClaimPhase.GRANTED
        return super().release(key)


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller. A resend has the key of an earlier request and its own id."""

    id: RequestId
    service: ServiceId
    key: ClaimKey

    @property
    def is_claimed(self) -> bool:
        """Return whether the request may run only once."""
        return self.service == CLAIMED_SERVICE


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a target to a request."""

    request: Request
    body: bytes

    @property
    def headers(self) -> Headers:
        """Return the headers of the complete answer."""
        return (
            (REQUEST_ID_HEADER.encode(), self.request.id.encode()),
            (b"content-length", str(len(self.body)).encode()),
        )


@dataclass
class AnswerRun:
    """The requests of one seed, and counts of the answers that callers received."""

    seed: int
    checks: AnswerChecks = field(default_factory=AllChecks)
    new_tracker: Callable[[ProcessId], ClaimTracker] = ClaimTracker
    new_machine: Callable[[], StateMachine] = StateMachine
    requests: int = 0
    delivered: int = 0
    refused: int = 0
    foreign_answers: int = 0
    partial_answers: int = 0
    false_not_run: int = 0
    runs: Counter[ClaimKey] = field(default_factory=Counter)
    delivery_counts: Counter[Delivery] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.machine = self.new_machine()
        self.now_s = 0.0
        self._propose(state_commands.declare())
        self.trackers = [self.new_tracker(ProcessId(name)) for name in PROCESSES]
        self.budget = RetryBudget()
        self.sent: list[Request] = []
        self.answers: list[Answer] = []
        # The requests by the id that begins the body of their answer.
        self.request_by_id: dict[bytes, Request] = {}

    @property
    def double_runs(self) -> int:
        """Return the number of runs of claimed requests after the first of each key."""
        return sum(count - 1 for key, count in self.runs.items() if key.service == CLAIMED_SERVICE)

    def run(self, requests: int) -> None:
        """Send requests one after the other."""
        for _ in range(requests):
            self.now_s += self.rng.choice((0.0, 0.1, 1.0))
            self.requests += 1
            self.budget.count_request()
            request = self._next_request()
            tracker = self.rng.choice(self.trackers)
            if not request.is_claimed or self._claim_key(tracker, request):
                self._serve(tracker, request)

    def _next_request(self) -> Request:
        request_id = RequestId(f"r{self.requests}")
        if self.sent and self.rng.random() < RESEND_SHARE:
            first = self.rng.choice(self.sent[-20:])
            return Request(request_id, first.service, first.key)
        service = self.rng.choice((CLAIMED_SERVICE, CLAIMED_SERVICE, IDEMPOTENT_SERVICE))
        key = ClaimKey(service, IdempotencyKey(f"k{self.requests}"))
        request = Request(request_id, service, key)
        self.sent.append(request)
        return request

    def _propose(self, command: Command) -> Result:
        return self.machine.apply(LogIndex(self.machine.index + 1), command)

    def _claim_key(self, tracker: ClaimTracker, request: Request) -> bool:
        """Claim the key of a request; return whether the request runs now."""
        expires_at = Instant(self.now_s + RETRY_WINDOW_S)
        if not tracker.begin(request.key, b"digest", expires_at):
            return False
        deadline_s = self.now_s + DEADLINE_S
        claim = Claim(*request.key, b"digest", tracker.process, deadline_s, self.now_s)
        result = self._propose(claim)
        if self.rng.random() < LOST_RESULT_SHARE:
            tracker.withdraw(request.key)
            return False
        step = tracker.resolve(request.key, result)
        if isinstance(result, ClaimFinished) and result.answer is not None:
            self._deliver(request, result.answer.body or b"", is_stored=True)
        return step is ClaimNextStep.RUN

    def _serve(self, tracker: ClaimTracker, request: Request) -> None:
        deadline = Instant(self.now_s + DEADLINE_S)
        while True:
            if request.is_claimed:
                tracker.dispatch(request.key)
            end, body = self._attempt(request)
            if end is AttemptEnd.ANSWERED:
                self._deliver(request, body)
                if request.is_claimed:
                    self._finish(
                        tracker, request, stored_answer(200, "text/plain", body, b"digest")
                    )
                return
            if end is AttemptEnd.NOT_STARTED and request.is_claimed:
                tracker.not_started(request.key)
            is_idempotent = not request.is_claimed
            if not may_retry(end, is_idempotent, deadline, Instant(self.now_s), self.budget):
                break
        if request.is_claimed:
            self._release_claim(tracker, request)

    def _release_claim(self, tracker: ClaimTracker, request: Request) -> None:
        """Release the claim and refuse the request as not run; else record an unknown outcome."""
        try:
            claim = tracker.release(request.key)
        except ClaimStateError:
            self._finish(tracker, request, None)
            return
        self.refused += 1
        self.false_not_run += self.runs[request.key] > 0
        self._propose(ReleaseClaim(claim, tracker.process, self.now_s))
        tracker.committed(request.key)

    def _finish(self, tracker: ClaimTracker, request: Request, answer: KeptAnswer | None) -> None:
        claim = tracker.finish(request.key, answer)
        self._propose(FinishClaim(claim, tracker.process, answer, self.now_s))
        tracker.committed(request.key)

    def _attempt(self, request: Request) -> tuple[AttemptEnd, bytes]:
        delivery = self.rng.choice((*Delivery, Delivery.WHOLE, Delivery.WHOLE))
        self.delivery_counts[delivery] += 1
        if delivery is Delivery.NOT_STARTED:
            return AttemptEnd.NOT_STARTED, b""
        self.runs[request.key] += 1
        headers, body = self._apply_fault(delivery, self._answer(request))
        if delivery is Delivery.LOST:
            return AttemptEnd.LOST, b""
        try:
            self.checks.check(headers, request.id, len(body))
        except (ForeignAnswerError, TruncatedAnswerError):
            return AttemptEnd.LOST, b""
        return AttemptEnd.ANSWERED, body

    def _answer(self, request: Request) -> Answer:
        padding = b"." * self.rng.randrange(1, MAX_BODY_BYTES)
        answer = Answer(request, request.id.encode() + b":" + padding + b"$")
        self.request_by_id[request.id.encode()] = request
        self.answers = [*self.answers[-RECENT_ANSWERS:], answer]
        return answer

    def _apply_fault(self, delivery: Delivery, answer: Answer) -> tuple[Headers, bytes]:
        """Return the headers and the body that the entry process receives for `answer`."""
        if delivery is Delivery.LATE and len(self.answers) > 1:
            answer = self.answers[-2]
        elif delivery is Delivery.FOREIGN:
            answer = self.rng.choice(self.answers)
        elif delivery is Delivery.NO_ECHO:
            return self.answers[0].headers[1:], self.answers[0].body
        prefix = answer.body[: self.rng.randrange(len(answer.body))]
        if delivery is Delivery.TRUNCATED:
            return answer.headers, prefix
        if delivery is Delivery.NO_LENGTH:
            return answer.headers[:1], prefix
        return answer.headers, answer.body

    def _deliver(self, request: Request, body: bytes, is_stored: bool = False) -> None:
        """Compare a delivered body with the complete answer to the request, and count faults.

        A stored answer is that of an earlier request with the same key.
        """
        self.delivered += 1
        sender, _, rest = body.partition(b":")
        original = self.request_by_id.get(sender)
        if original is None or not rest.endswith(b"$"):
            self.partial_answers += 1
        elif original.key != request.key or not (is_stored or original == request):
            self.foreign_answers += 1
