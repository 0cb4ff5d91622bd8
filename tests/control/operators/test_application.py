"""Guards against requests that change the state without a token, a valid body or a base."""

import json
import tomllib
from typing import Any

import anyio
import httpx
import testtools
from marigolddoor_control.operators.application import MAX_BODY_BYTES, OperatorsApplication
from marigolddoor_core.state.commands import AnswerQuestion, ApplyDeclaration, RequestDrain

from tests.operator_fakes import ANN_TOKEN, BEN_TOKEN, TEMPLATE, FakeSystem, fake_application

SOURCE = {
    "organisation": {
        "organisation": "example",
        "template": "template.toml",
        "parameters": {"order_workers": 4},
    },
    "template": tomllib.loads(TEMPLATE),
}
WRONG = {"organisation": {"parameters": {"order_workers": 0}, "colour": 1}, "template": {}}
APPLY = {"declaration": SOURCE, "base_revision": 1, "request": "a-1"}
ANSWER = {"question": "q22", "choice": "wait", "request": "b-1"}


def call(
    application: OperatorsApplication,
    method: str,
    path: str,
    body: Any = None,
    token: str | None = ANN_TOKEN,
) -> httpx.Response:
    """Return the response to one request; `body` may be bytes or a JSON value."""
    content = (
        body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    )
    headers = {} if token is None else {"Authorization": f"Bearer {token}"}

    async def request() -> httpx.Response:
        transport = httpx.ASGITransport(application)
        async with httpx.AsyncClient(transport=transport, base_url="http://system") as client:
            return await client.request(method, path, content=content, headers=headers)

    return anyio.run(request)


class RefusedTokenTest(testtools.TestCase):
    """A request without a known token gets no data and changes nothing."""

    scenarios = [
        (f"{name} {method} {path}", {"token": token, "method": method, "path": path, "body": body})
        for name, token in [("none", None), ("empty", ""), ("wrong", "x" + ANN_TOKEN)]
        for method, path, body in [
            ("POST", "/v1/apply", APPLY),
            ("POST", "/v1/answer", ANSWER),
            ("GET", "/v1/status", None),
            ("GET", "/metrics", None),
            ("GET", "/v1/nothing", None),
        ]
    ]

    def test_refused(self) -> None:
        system = FakeSystem()
        application = fake_application(system)
        response = call(application, self.method, self.path, self.body, self.token)
        self.assertEqual(401, response.status_code)
        self.assertEqual("UnauthorisedError", response.json()["error"])
        self.assertEqual([], system.proposed)


class BadInputTest(testtools.TestCase):
    """Invalid input gets a typed error that names the problem, and proposes no command."""

    scenarios = [
        (
            name,
            {
                "method": method,
                "path": path,
                "body": body,
                "status": status,
                "error": error,
                "text": text,
            },
        )
        for name, method, path, body, status, error, text in [
            ("not JSON", "POST", "/v1/apply", b"{", 400, "BadRequestError", "not JSON"),
            ("deep", "POST", "/v1/apply", b"[" * 100_000, 400, "BadRequestError", "not JSON"),
            # These values pass as JSON, but can't be encoded for the other replicas.
            ("lone surrogate", "POST", "/v1/answer", {**ANSWER, "choice": "\ud800"}, 400,
             "BadRequestError", "not Unicode"),
            ("lone surrogate in a key", "POST", "/v1/apply",
             {**APPLY, "declaration": {**SOURCE, "template": {"\ud800": 1}}}, 400,
             "BadRequestError", "not Unicode"),
            ("65 bits", "POST", "/v1/apply", {**APPLY, "base_revision": 2**63}, 400,
             "BadRequestError", "more than 64 bits"),
            ("too large a number", "POST", "/v1/plan", b'{"declaration": 1e400}', 400,
             "BadRequestError", "a number is too large"),
            ("not a number", "POST", "/v1/apply",
             {**APPLY, "declaration": {**SOURCE, "template": {"a": float("nan")}}}, 400,
             "BadRequestError", "NaN is not a number"),
            ("list", "POST", "/v1/apply", [], 400, "PlainValueError", "expected a table"),
            ("no fields", "POST", "/v1/apply", {}, 400, "PlainValueError",
             "declaration is missing"),
            ("unknown field", "POST", "/v1/apply", {**APPLY, "force": True}, 400,
             "PlainValueError", "force is not known"),
            ("text base", "POST", "/v1/apply", {**APPLY, "base_revision": "1"}, 400,
             "PlainValueError", "base_revision is '1'; expected a whole number"),
            ("true base", "POST", "/v1/apply", {**APPLY, "base_revision": True}, 400,
             "PlainValueError", "base_revision is True"),
            ("empty request id", "POST", "/v1/apply", {**APPLY, "request": ""}, 400,
             "BadRequestError", "1 to 128 characters"),
            ("bad declaration", "POST", "/v1/apply",
             {**APPLY, "declaration": WRONG}, 400, "DeclarationError", "organisation: colour is"),
            ("drain of both", "POST", "/v1/drain", {"request": "r", "vm": "vm-1", "pool": "orders"},
             400, "BadRequestError", "either a pool or a vm"),
            ("drain of none", "POST", "/v1/drain", {"request": "r"}, 400, "BadRequestError",
             "either a pool or a vm"),
            ("no endpoint", "GET", "/v1/nothing", None, 404, "UnknownEndpointError", "/v1/nothing"),
            ("no pool", "GET", "/v1/pools?pool=x", None, 404, "UnknownSubjectError", "'x'"),
            ("no job", "GET", "/v1/jobs?job=x", None, 404, "UnknownSubjectError", "'x'"),
            ("wrong method", "GET", "/v1/apply", None, 405, "MethodNotAllowedError", "takes POST"),
            ("unknown query", "GET", "/v1/status?x=1", None, 400, "BadRequestError", "query x"),
            ("query twice", "GET", "/v1/jobs?job=a&job=b", None, 400, "BadRequestError", "once"),
            ("bad flag", "GET", "/v1/questions?all=1", None, 400, "BadRequestError", "true or"),
            ("bad limit", "GET", "/v1/timeline?limit=0", None, 400, "BadRequestError", "limit"),
            ("bad revision", "GET", "/v1/timeline?revision=-1", None, 400, "BadRequestError",
             "revision"),
            ("bad position", "GET", "/v1/timeline?after=e", None, 400, "BadRequestError", "after"),
            ("too large", "POST", "/v1/apply", b" " * (MAX_BODY_BYTES + 1), 413,
             "RequestTooLargeError", "over"),
        ]
    ]  # fmt: skip

    def test_refused(self) -> None:
        system = FakeSystem()
        response = call(fake_application(system), self.method, self.path, self.body)
        report = response.json()
        self.assertEqual((self.status, self.error), (response.status_code, report["error"]))
        self.assertIn(self.text, " ".join([report["message"], *report["problems"]]))
        self.assertEqual([], system.proposed)


class ChangeTest(testtools.TestCase):
    """A change has the token's operator as author, and the group's result is returned."""

    scenarios = [
        (name, {"path": path, "body": body, "status": status, "expected": expected})
        for name, path, body, status, expected in [
            ("apply", "/v1/apply", APPLY, 200, {"revision": 2, "request": "a-1", "author": "ann"}),
            ("old base", "/v1/apply", {**APPLY, "base_revision": 0}, 409,
             {"error": "RevisionConflictError", "current_revision": 1, "author": "zoe"}),
            ("answer", "/v1/answer", ANSWER, 200, {"request": "b-1", "author": "ann"}),
            ("no question", "/v1/answer", {**ANSWER, "question": "q9"}, 404,
             {"error": "UnknownSubjectError"}),
            ("closed question", "/v1/answer", {**ANSWER, "question": "q23"}, 422,
             {"error": "OperationRefusedError"}),
            ("no choice", "/v1/answer", {**ANSWER, "choice": "x"}, 422,
             {"error": "OperationRefusedError"}),
            ("drain pool", "/v1/drain", {"request": "d-1", "pool": "orders"}, 200,
             {"request": "d-1"}),
            ("drain no VM", "/v1/drain", {"request": "d-1", "vm": "vm-9"}, 404,
             {"error": "UnknownSubjectError"}),
            ("plan", "/v1/plan", {"declaration": SOURCE}, 200,
             {"revision": 1}),
        ]
    ]  # fmt: skip

    def test_result(self) -> None:
        system = FakeSystem()
        response = call(fake_application(system), "POST", self.path, self.body)
        self.assertEqual(self.status, response.status_code, response.text)
        report = response.json()
        self.assertEqual(self.expected, {name: report[name] for name in self.expected})
        for command in system.proposed:
            assert isinstance(command, ApplyDeclaration | AnswerQuestion | RequestDrain)
            self.assertEqual("ann", command.author)


class FailureTest(testtools.TestCase):
    """Without a quorum nothing changes; a lost result is reported as unknown."""

    scenarios = [
        ("no quorum", {"no_quorum": True, "status": 503, "error": "NoQuorumError", "revision": 1}),
        (
            "lost result",
            {
                "no_quorum": False,
                "status": 504,
                "error": "ProposalOutcomeUnknownError",
                "revision": 2,
            },
        ),
    ]

    def test_apply(self) -> None:
        system = FakeSystem()
        system.no_quorum, system.lose_results = self.no_quorum, 1
        response = call(fake_application(system), "POST", "/v1/apply", APPLY)
        self.assertEqual(self.status, response.status_code)
        self.assertEqual(self.error, response.json()["error"])
        self.assertEqual(self.revision, system.revision)


class ResendTest(testtools.TestCase):
    """A resent request gets the first result and changes nothing; a conflicting one is refused."""

    def test_apply(self) -> None:
        system = FakeSystem()
        application = fake_application(system)
        first = call(application, "POST", "/v1/apply", APPLY)
        self.assertEqual(first.json(), call(application, "POST", "/v1/apply", APPLY).json())
        conflicting = call(application, "POST", "/v1/apply", {**APPLY, "request": "b"}, BEN_TOKEN)
        self.assertEqual((409, "ann"), (conflicting.status_code, conflicting.json()["author"]))
        self.assertEqual(2, system.revision)

    def test_answer(self) -> None:
        system = FakeSystem()
        application = fake_application(system)
        for _ in range(2):
            self.assertEqual(200, call(application, "POST", "/v1/answer", ANSWER).status_code)
        other = {**ANSWER, "choice": "replace", "request": "b-2"}
        response = call(application, "POST", "/v1/answer", other, BEN_TOKEN)
        self.assertEqual(409, response.status_code)
        self.assertEqual(("wait", "ann"), (response.json()["choice"], response.json()["author"]))


class ReadTest(testtools.TestCase):
    """Reports match the state; a VM that is moving or rebooting counts as unavailable."""

    scenarios = [
        (name, {"path": path, "expected": expected})
        for name, path, expected in [
            ("status", "/v1/status", {"revision": 1, "vms": 5, "ready": 3, "open_questions": 1,
                                      "tasks_set_aside": 1, "behind": ["entry-2"]}),
            ("budget", "/v1/pools?pool=orders", {"pools.0.available": 1, "pools.0.unavailable": 2,
                                                 "pools.0.within_budget": False}),
            ("after maintenance", "/v1/pools?pool=support", {"pools.0.available": 2}),
            ("job", "/v1/jobs?job=settle", {"jobs.0.leased": 1, "jobs.0.waiting": 1}),
            ("set aside", "/v1/jobs?job=report", {"jobs.0.set_aside.0.failures": 3}),
            ("open question", "/v1/questions", {"questions.0.default_in_s": 3600.0,
                                                "questions.0.facts.0.age_s": 600.0}),
            ("all questions", "/v1/questions?all=true", {"questions.1.closed": True}),
            ("timeline", "/v1/timeline?vm=vm-2&after=control-1/2,entry-1/1",
             {"events.0.subject.request": "req-7", "events.1.kind": "move finished",
              "missing.0.reason": "no connection"}),
        ]
    ]  # fmt: skip

    def test_report(self) -> None:
        response = call(fake_application(FakeSystem()), "GET", self.path)
        self.assertEqual(200, response.status_code, response.text)
        for path, expected in self.expected.items():
            value: Any = response.json()
            for step in path.split("."):
                value = value[int(step)] if step.isdigit() else value[step]
            self.assertEqual(expected, value, path)

    def test_metrics(self) -> None:
        response = call(fake_application(FakeSystem()), "GET", "/metrics")
        self.assertIn("marigolddoor_up 1", response.text)
