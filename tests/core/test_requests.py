"""Guards against accepted bad headers, second runs of a claim and unbounded retries."""

from typing import Any

import testtools
from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import (
    ClaimId,
    IdempotencyKey,
    LogIndex,
    PoolId,
    ProcessId,
    RequestId,
    Revision,
    ServiceId,
    TeamId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.answers import (
    ForeignAnswerError,
    TruncatedAnswerError,
    check_echo,
    check_length,
)
from marigolddoor_core.requests.catalogue import Catalogue
from marigolddoor_core.requests.claim_tracker import (
    ClaimKey,
    ClaimNextStep,
    ClaimPhase,
    ClaimStateError,
    ClaimTracker,
    stored_answer,
)
from marigolddoor_core.requests.contract import Priority, parse_request
from marigolddoor_core.requests.refusals import (
    BadHeaderError,
    BodyTooLargeError,
    DeadlineExpiredError,
    MissingKeyError,
    UnknownServiceError,
)
from marigolddoor_core.requests.retries import INITIAL_TOKENS, AttemptEnd, RetryBudget, may_retry
from marigolddoor_core.state.objects import Change, ObjectKind, RevisionRecord
from marigolddoor_core.state.results import (
    BodyMismatch,
    ClaimFinished,
    ClaimGranted,
    ClaimPending,
    ClaimsFull,
)

SERVICES = {
    ServiceId("rotas"): Service(ServiceId("rotas"), PoolId("p"), True, 1, default_deadline_s=4.0),
    ServiceId("bookings"): Service(ServiceId("bookings"), PoolId("p"), False, 1),
}
GOOD = {b"marigolddoor-service": b"rotas", b"marigolddoor-team": b"ringers"}
NOW = Instant(100.0)


def parse(headers: dict[bytes, bytes], *more: tuple[bytes, bytes]) -> Any:
    return parse_request(
        [*headers.items(), *more], SERVICES.get, lambda team: team == TeamId("ringers"), NOW
    )


class ParseRequestTest(testtools.TestCase):
    """Guards against a valid request that is misread, or whose deadline is off."""

    scenarios = [
        ("defaults", {"headers": {}, "expected": (Priority.NORMAL, 104.0, None)}),
        (
            "all headers",
            {
                "headers": {
                    b"marigolddoor-priority": b"urgent",
                    b"marigolddoor-deadline-ms": b"250",
                    b"marigolddoor-service": b"bookings",
                    b"idempotency-key": b"a b",
                },
                "expected": (Priority.URGENT, 100.25, "a b"),
            },
        ),
        (
            "key of an idempotent service is ignored",
            {"headers": {b"idempotency-key": b"k"}, "expected": (Priority.NORMAL, 104.0, None)},
        ),
    ]

    def test_parsed(self) -> None:
        request = parse(GOOD | self.headers)
        self.assertEqual(self.expected, (request.priority, request.deadline, request.key))


class BadHeadersTest(testtools.TestCase):
    """Guards against a malformed header that is accepted with a guessed value."""

    scenarios = [
        ("empty service", {"bad": {b"marigolddoor-service": b""}, "error": BadHeaderError}),
        ("unknown service", {"bad": {b"marigolddoor-service": b"x"}, "error": UnknownServiceError}),
        ("unknown team", {"bad": {b"marigolddoor-team": b"x"}, "error": BadHeaderError}),
        ("not ASCII", {"bad": {b"marigolddoor-team": b"\xff"}, "error": BadHeaderError}),
        ("unknown priority", {"bad": {b"marigolddoor-priority": b"high"}, "error": BadHeaderError}),
        ("fraction", {"bad": {b"marigolddoor-deadline-ms": b"1.5"}, "error": BadHeaderError}),
        ("too long", {"bad": {b"marigolddoor-deadline-ms": b"600001"}, "error": BadHeaderError}),
        ("huge", {"bad": {b"marigolddoor-deadline-ms": b"9" * 5000}, "error": BadHeaderError}),
        ("zero", {"bad": {b"marigolddoor-deadline-ms": b"0"}, "error": DeadlineExpiredError}),
        ("past", {"bad": {b"marigolddoor-deadline-ms": b"-5"}, "error": DeadlineExpiredError}),
        ("no key", {"bad": {b"marigolddoor-service": b"bookings"}, "error": MissingKeyError}),
        ("empty key", {"bad": {b"idempotency-key": b""}, "error": BadHeaderError}),
        ("long key", {"bad": {b"idempotency-key": b"k" * 129}, "error": BadHeaderError}),
        ("key with a slash", {"bad": {b"idempotency-key": b"a/b"}, "error": BadHeaderError}),
        ("large body", {"bad": {b"content-length": b"1048577"}, "error": BodyTooLargeError}),
    ]

    def test_refused(self) -> None:
        self.assertRaises(self.error, parse, GOOD | self.bad)

    def test_repeated(self) -> None:
        """A repeated header is refused, since it is ambiguous which value applies."""
        for item in self.bad.items():
            self.assertRaises(BadHeaderError, parse, GOOD | self.bad, item)


class AnswerCheckTest(testtools.TestCase):
    """Guards against delivering an answer that is truncated or belongs to another request."""

    scenarios = [
        ("whole", {"echo": [b"r1"], "length": b"3", "error": None}),
        ("foreign", {"echo": [b"r2"], "length": b"3", "error": ForeignAnswerError}),
        ("no echo", {"echo": [], "length": b"3", "error": ForeignAnswerError}),
        ("two echoes", {"echo": [b"r1", b"r2"], "length": b"3", "error": ForeignAnswerError}),
        ("short", {"echo": [b"r1"], "length": b"4", "error": TruncatedAnswerError}),
        ("long", {"echo": [b"r1"], "length": b"2", "error": TruncatedAnswerError}),
        ("no number", {"echo": [b"r1"], "length": b"x", "error": TruncatedAnswerError}),
        ("no length", {"echo": [b"r1"], "length": None, "error": TruncatedAnswerError}),
    ]

    def test_check(self) -> None:
        headers = [(b"marigolddoor-request-id", echo) for echo in self.echo]
        if self.length is not None:
            headers.append((b"content-length", self.length))

        def check() -> None:
            check_echo(headers, RequestId("r1"))
            check_length(headers, 200, "GET", 3)

        if self.error is None:
            check()
        else:
            self.assertRaises(self.error, check)


class RetryTest(testtools.TestCase):
    """Guards against retries that may run a request twice or come after the deadline."""

    scenarios = [
        (
            "answered",
            {"end": AttemptEnd.ANSWERED, "idempotent": True, "at": 0.0, "expected": False},
        ),
        ("failed", {"end": AttemptEnd.FAILED, "idempotent": True, "at": 0.0, "expected": False}),
        ("lost", {"end": AttemptEnd.LOST, "idempotent": True, "at": 0.0, "expected": True}),
        (
            "lost, not idempotent",
            {"end": AttemptEnd.LOST, "idempotent": False, "at": 0.0, "expected": False},
        ),
        (
            "unsent",
            {"end": AttemptEnd.NOT_STARTED, "idempotent": False, "at": 0.0, "expected": True},
        ),
        (
            "too late",
            {"end": AttemptEnd.NOT_STARTED, "idempotent": True, "at": 1.0, "expected": False},
        ),
    ]

    def test_retry(self) -> None:
        budget = RetryBudget()
        is_retried = may_retry(self.end, self.idempotent, Instant(1.0), Instant(self.at), budget)
        self.assertEqual(self.expected, is_retried)

    def test_budget(self) -> None:
        """Even if every attempt fails, retries stay at a tenth of the requests."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.count_request()
            while budget.try_acquire():
                retries += 1
        self.assertTrue(retries <= 100 + INITIAL_TOKENS, retries)


KEY = ClaimKey(ServiceId("bookings"), IdempotencyKey("k"))
OWN = ProcessId("me")
CLAIM = ClaimId(7)
STORED = stored_answer(200, "text/plain", b"yes", b"d")


class ClaimResultTest(testtools.TestCase):
    """Guards against a claim result that leads to the wrong next step."""

    scenarios = [
        ("granted", {"result": ClaimGranted(CLAIM), "expected": ClaimNextStep.RUN}),
        ("own, result lost", {"result": ClaimPending(CLAIM, OWN), "expected": ClaimNextStep.RUN}),
        (
            "other process",
            {"result": ClaimPending(CLAIM, ProcessId("x")), "expected": ClaimNextStep.WAIT},
        ),
        ("finished", {"result": ClaimFinished(CLAIM, STORED), "expected": ClaimNextStep.RESEND}),
        ("other body", {"result": BodyMismatch(), "expected": ClaimNextStep.REFUSE_BODY}),
        ("full", {"result": ClaimsFull(), "expected": ClaimNextStep.REFUSE_FULL}),
    ]

    def test_settle(self) -> None:
        tracker = ClaimTracker(OWN)
        self.assertTrue(tracker.begin(KEY, b"d", NOW))
        self.assertEqual(self.expected, tracker.resolve(KEY, self.result))
        granted = self.expected is ClaimNextStep.RUN
        self.assertEqual(ClaimPhase.GRANTED if granted else None, tracker.phase(KEY))


class ClaimBookTest(testtools.TestCase):
    """Guards against a claim that is dispatched twice or released after its dispatch."""

    scenarios = [
        ("dispatch twice", {"steps": ["dispatch", "dispatch"], "error": True}),
        ("release after dispatch", {"steps": ["dispatch", "release"], "error": True}),
        ("finish before dispatch", {"steps": ["finish"], "error": True}),
        ("dispatch after release", {"steps": ["release", "dispatch"], "error": True}),
        (
            "dispatch after not started",
            {"steps": ["dispatch", "not_started", "dispatch"], "error": False},
        ),
        (
            "release after not started",
            {"steps": ["dispatch", "not_started", "release"], "error": False},
        ),
        ("finish", {"steps": ["dispatch", "finish"], "error": False}),
        ("finish twice", {"steps": ["dispatch", "finish", "finish"], "error": True}),
    ]

    def test_steps(self) -> None:
        tracker = ClaimTracker(OWN)
        tracker.begin(KEY, b"d", NOW)
        tracker.resolve(KEY, ClaimGranted(CLAIM))

        def run() -> None:
            for step in self.steps:
                arguments = (KEY, STORED) if step == "finish" else (KEY,)
                getattr(tracker, step)(*arguments)

        if self.error:
            self.assertRaises(ClaimStateError, run)
        else:
            run()
        # Until the group has committed the end, the key stays in use in this process.
        self.assertFalse(tracker.begin(KEY, b"d", NOW))

    def test_known(self) -> None:
        """Between the end of a run and its commit, a resent request gets the answer from here."""
        tracker = ClaimTracker(OWN)
        tracker.begin(KEY, b"d", NOW)
        tracker.resolve(KEY, ClaimGranted(CLAIM))
        self.assertEqual(ClaimPending(CLAIM, OWN), tracker.known_result(KEY, b"d"))
        tracker.dispatch(KEY)
        tracker.finish(KEY, STORED)
        self.assertEqual(ClaimFinished(CLAIM, STORED), tracker.known_result(KEY, b"d"))
        self.assertEqual(BodyMismatch(), tracker.known_result(KEY, b"other"))
        tracker.committed(KEY)
        self.assertEqual(None, tracker.known_result(KEY, b"d"))


def revision(number: int, index: int) -> Change:
    record = RevisionRecord(Revision(number), "op")  # type: ignore[arg-type]
    return Change(ObjectKind.REVISION, "revision", LogIndex(index), record)


def pool(size: int, index: int) -> Change:
    return Change(ObjectKind.POOL, "p", LogIndex(index), Pool(PoolId("p"), size, 1, 1))


class CatalogueTest(testtools.TestCase):
    """Guards against objects in force that are replaced by older ones of a lagging replica."""

    scenarios = [
        ("older delta", {"index": 4, "snapshot": False, "expected": (5, 2, 6)}),
        ("older snapshot", {"index": 4, "snapshot": True, "expected": (5, 2, 6)}),
        ("newer delta", {"index": 9, "snapshot": False, "expected": (9, 2, 3)}),
    ]

    def test_apply(self) -> None:
        catalogue = Catalogue()
        catalogue.apply(LogIndex(5), [revision(2, 5), pool(6, 5)], True)
        old = [revision(1, self.index), pool(3, self.index)]
        catalogue.apply(LogIndex(self.index), old, self.snapshot)
        size = catalogue.pools[PoolId("p")].size
        self.assertEqual(self.expected, (catalogue.index, catalogue.revision, size))

    def test_removed(self) -> None:
        catalogue = Catalogue()
        team = Team(TeamId("t"), 1, 1.0)
        catalogue.apply(LogIndex(1), [Change(ObjectKind.TEAM, "t", LogIndex(1), team)], True)
        catalogue.apply(LogIndex(2), [Change(ObjectKind.TEAM, "t", LogIndex(2), None)], False)
        self.assertEqual({}, catalogue.teams)
