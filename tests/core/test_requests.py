"""Guards against bad headers taken for good ones, second runs of a claim and unbounded retries."""

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
from marigolddoor_core.requests.claims import (
    ClaimBook,
    ClaimKey,
    ClaimNextStep,
    ClaimPhase,
    ClaimStateError,
    kept_answer,
)
from marigolddoor_core.requests.contract import Priority, parse_request
from marigolddoor_core.requests.refusals import (
    BadHeaderError,
    BodyTooLargeError,
    DeadlineExpiredError,
    MissingKeyError,
    UnknownServiceError,
)
from marigolddoor_core.requests.retries import MIN_RETRIES, AttemptEnd, RetryBudget, may_retry
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
    """A request that keeps the contract is read with its deadline from its receipt."""

    scenarios = [
        ("defaults", {"headers": {}, "due": (Priority.NORMAL, 104.0, None)}),
        (
            "all headers",
            {
                "headers": {
                    b"marigolddoor-priority": b"urgent",
                    b"marigolddoor-deadline-ms": b"250",
                    b"marigolddoor-service": b"bookings",
                    b"idempotency-key": b"a b",
                },
                "due": (Priority.URGENT, 100.25, "a b"),
            },
        ),
        (
            "key of an idempotent service has no effect",
            {"headers": {b"idempotency-key": b"k"}, "due": (Priority.NORMAL, 104.0, None)},
        ),
    ]

    def test_parsed(self) -> None:
        request = parse(GOOD | self.headers)
        self.assertEqual(self.due, (request.priority, request.deadline, request.key))


class BadHeadersTest(testtools.TestCase):
    """A header that breaks the contract is refused, not guessed."""

    scenarios = [
        ("empty service", {"bad": {b"marigolddoor-service": b""}, "error": BadHeaderError}),
        ("unknown", {"bad": {b"marigolddoor-service": b"x"}, "error": UnknownServiceError}),
        ("unknown team", {"bad": {b"marigolddoor-team": b"x"}, "error": BadHeaderError}),
        ("not ASCII", {"bad": {b"marigolddoor-team": b"\xff"}, "error": BadHeaderError}),
        ("class", {"bad": {b"marigolddoor-priority": b"high"}, "error": BadHeaderError}),
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
        """Two values leave open which one counts."""
        for item in self.bad.items():
            self.assertRaises(BadHeaderError, parse, GOOD | self.bad, item)


class AnswerCheckTest(testtools.TestCase):
    """An answer that is foreign or not whole is never taken for the answer."""

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
    """Only what is safe to run again is retried, and never after the deadline."""

    scenarios = [
        ("answered", {"end": AttemptEnd.ANSWERED, "idempotent": True, "at": 0.0, "due": False}),
        ("failed", {"end": AttemptEnd.FAILED, "idempotent": True, "at": 0.0, "due": False}),
        ("lost", {"end": AttemptEnd.LOST, "idempotent": True, "at": 0.0, "due": True}),
        ("lost once", {"end": AttemptEnd.LOST, "idempotent": False, "at": 0.0, "due": False}),
        ("unsent", {"end": AttemptEnd.NOT_STARTED, "idempotent": False, "at": 0.0, "due": True}),
        ("too late", {"end": AttemptEnd.NOT_STARTED, "idempotent": True, "at": 1.0, "due": False}),
    ]

    def test_retry(self) -> None:
        budget = RetryBudget()
        due = may_retry(self.end, self.idempotent, Instant(1.0), Instant(self.at), budget)
        self.assertEqual(self.due, due)

    def test_budget(self) -> None:
        """Retries of a total failure stay at a tenth of the requests."""
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.count_request()
            while budget.take():
                retries += 1
        self.assertTrue(retries <= 100 + MIN_RETRIES, retries)


KEY = ClaimKey(ServiceId("bookings"), IdempotencyKey("k"))
OWN = ProcessId("me")
CLAIM = ClaimId(7)
KEPT = kept_answer(200, "text/plain", b"yes", b"d")


class ClaimResultTest(testtools.TestCase):
    """Each result of a claim allows exactly one next step."""

    scenarios = [
        ("granted", {"result": ClaimGranted(CLAIM), "due": ClaimNextStep.RUN}),
        ("own, result lost", {"result": ClaimPending(CLAIM, OWN), "due": ClaimNextStep.RUN}),
        (
            "other process",
            {"result": ClaimPending(CLAIM, ProcessId("x")), "due": ClaimNextStep.WAIT},
        ),
        ("finished", {"result": ClaimFinished(CLAIM, KEPT), "due": ClaimNextStep.RESEND}),
        ("other body", {"result": BodyMismatch(), "due": ClaimNextStep.REFUSE_BODY}),
        ("full", {"result": ClaimsFull(), "due": ClaimNextStep.REFUSE_FULL}),
    ]

    def test_settle(self) -> None:
        book = ClaimBook(OWN)
        self.assertTrue(book.begin(KEY, b"d", NOW))
        self.assertEqual(self.due, book.settle(KEY, self.result))
        granted = self.due is ClaimNextStep.RUN
        self.assertEqual(ClaimPhase.GRANTED if granted else None, book.phase(KEY))


class ClaimBookTest(testtools.TestCase):
    """A claim is dispatched once, and given up only if it was not dispatched."""

    scenarios = [
        ("dispatch twice", {"steps": ["dispatch", "dispatch"], "error": True}),
        ("release after dispatch", {"steps": ["dispatch", "release"], "error": True}),
        ("finish before dispatch", {"steps": ["finish"], "error": True}),
        ("dispatch after release", {"steps": ["release", "dispatch"], "error": True}),
        ("again after proof", {"steps": ["dispatch", "not_started", "dispatch"], "error": False}),
        ("release after proof", {"steps": ["dispatch", "not_started", "release"], "error": False}),
        ("finish", {"steps": ["dispatch", "finish"], "error": False}),
        ("finish twice", {"steps": ["dispatch", "finish", "finish"], "error": True}),
    ]

    def test_steps(self) -> None:
        book = ClaimBook(OWN)
        book.begin(KEY, b"d", NOW)
        book.settle(KEY, ClaimGranted(CLAIM))

        def run() -> None:
            for step in self.steps:
                arguments = (KEY, KEPT) if step == "finish" else (KEY,)
                getattr(book, step)(*arguments)

        if self.error:
            self.assertRaises(ClaimStateError, run)
        else:
            run()
        # Until the group has committed the end, nobody here may take the key up again.
        self.assertFalse(book.begin(KEY, b"d", NOW))

    def test_known(self) -> None:
        """Between the end of a run and its commit, a resend gets the answer from here."""
        book = ClaimBook(OWN)
        book.begin(KEY, b"d", NOW)
        book.settle(KEY, ClaimGranted(CLAIM))
        self.assertEqual(ClaimPending(CLAIM, OWN), book.known(KEY, b"d"))
        book.dispatch(KEY)
        book.finish(KEY, KEPT)
        self.assertEqual(ClaimFinished(CLAIM, KEPT), book.known(KEY, b"d"))
        self.assertEqual(BodyMismatch(), book.known(KEY, b"other"))
        book.stored(KEY)
        self.assertEqual(None, book.known(KEY, b"d"))


def revision(number: int, index: int) -> Change:
    record = RevisionRecord(Revision(number), "op")  # type: ignore[arg-type]
    return Change(ObjectKind.REVISION, "revision", LogIndex(index), record)


def pool(size: int, index: int) -> Change:
    return Change(ObjectKind.POOL, "p", LogIndex(index), Pool(PoolId("p"), size, 1, 1))


class CatalogueTest(testtools.TestCase):
    """What is in force never goes back, whichever replica sends it."""

    scenarios = [
        ("older delta", {"index": 4, "snapshot": False, "due": (5, 2, 6)}),
        ("older snapshot", {"index": 4, "snapshot": True, "due": (5, 2, 6)}),
        ("newer delta", {"index": 9, "snapshot": False, "due": (9, 2, 3)}),
    ]

    def test_apply(self) -> None:
        catalogue = Catalogue()
        catalogue.apply(LogIndex(5), [revision(2, 5), pool(6, 5)], True)
        old = [revision(1, self.index), pool(3, self.index)]
        catalogue.apply(LogIndex(self.index), old, self.snapshot)
        size = catalogue.pools[PoolId("p")].size
        self.assertEqual(self.due, (catalogue.index, catalogue.revision, size))

    def test_removed(self) -> None:
        catalogue = Catalogue()
        team = Team(TeamId("t"), 1, 1.0)
        catalogue.apply(LogIndex(1), [Change(ObjectKind.TEAM, "t", LogIndex(1), team)], True)
        catalogue.apply(LogIndex(2), [Change(ObjectKind.TEAM, "t", LogIndex(2), None)], False)
        self.assertEqual({}, catalogue.teams)
