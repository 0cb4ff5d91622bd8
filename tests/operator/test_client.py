"""Guards against a change sent under two ids, or reported as not done when it may have been."""

import json
from typing import Any

import anyio
import httpx
import testtools
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import PoolId, RequestId
from marigolddoor_core.operations.requests import DrainRequest
from marigolddoor_operator.client import CHANGE_ROUNDS, OperatorClient
from marigolddoor_operator.errors import ExitCode, exit_code
from marigolddoor_operator.settings import OperatorSettings

SETTINGS = OperatorSettings(("http://127.0.0.1:1", "http://127.0.0.1:2"), "token", None, 1.0)
DONE = {"request": "r", "author": "ann"}

ANSWERS: dict[str, Any] = {
    "done": (200, DONE),
    "follower": (200, {**DONE, "from_leader": False}),
    "no quorum": (503, {"error": "NoQuorumError", "message": "no leader"}),
    "lost": (504, {"error": "ProposalOutcomeUnknownError", "message": "no result"}),
    "internal": (500, {"error": "InternalError", "message": "failed"}),
    "conflict": (409, {"error": "RevisionConflictError", "message": "another came first"}),
    "wrong token": (401, {"error": "UnauthorisedError", "message": "unknown token"}),
    "bad": (400, {"error": "BadRequestError", "message": "bad"}),
    "other service": (502, "<html>"),
    "not JSON": (200, b"\xff{"),
    "refused": httpx.ConnectError("refused"),
    "untrusted": httpx.ConnectError("[SSL: CERTIFICATE_VERIFY_FAILED] self-signed certificate"),
    "cut": httpx.ReadError("cut"),
    "late": httpx.ReadTimeout("late"),
}


class ScriptedTransport(httpx.AsyncBaseTransport):
    """Transport that returns the planned answers in order and records the requests."""

    def __init__(self, plan: list[str]) -> None:
        self.plan = plan
        self.requests: list[tuple[int | None, Any]] = []

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Return or raise the next planned answer; the last one repeats."""
        body = await request.aread()
        self.requests.append((request.url.port, json.loads(body) if body else None))
        answer = ANSWERS[self.plan[min(len(self.requests), len(self.plan)) - 1]]
        if isinstance(answer, Exception):
            raise answer
        status, content = answer
        if isinstance(content, dict):
            return httpx.Response(status, json=content)
        return httpx.Response(status, content=content)


async def no_pause(seconds: float) -> bool:
    """Return at once."""
    return True


class ChangeTest(testtools.TestCase):
    """Guards against an exit code that contradicts the attempts, and a new id on a retry."""

    scenarios = [
        (" then ".join(plan), {"plan": plan, "code": code, "sent": sent})
        for plan, code, sent in [
            (["done"], ExitCode.DONE, 1),
            (["refused", "done"], ExitCode.DONE, 2),
            (["no quorum", "done"], ExitCode.DONE, 2),
            (["lost", "done"], ExitCode.DONE, 2),
            (["cut", "refused", "done"], ExitCode.DONE, 3),
            (["late", "conflict"], ExitCode.CONFLICT, 2),
            (["conflict"], ExitCode.CONFLICT, 1),
            (["wrong token"], ExitCode.REFUSED, 1),
            (["bad"], ExitCode.INVALID, 1),
            (["refused", "no quorum"], ExitCode.UNREACHABLE, 2),
            # The first attempt may have changed something, and no later one shows the outcome.
            (["cut", "refused"], ExitCode.UNKNOWN, 2 * CHANGE_ROUNDS),
            (["lost", "no quorum"], ExitCode.UNKNOWN, 2 * CHANGE_ROUNDS),
            (["lost", "wrong token"], ExitCode.UNKNOWN, 2 * CHANGE_ROUNDS),
            (["internal"], ExitCode.UNKNOWN, 2 * CHANGE_ROUNDS),
            (["other service"], ExitCode.UNKNOWN, 2 * CHANGE_ROUNDS),
            (["not JSON"], ExitCode.UNKNOWN, 2 * CHANGE_ROUNDS),
        ]
    ]

    def test_change(self) -> None:
        transport = ScriptedTransport(self.plan)
        request = DrainRequest(RequestId("r"), pool=PoolId("p"))

        async def change() -> ExitCode:
            async with OperatorClient(SETTINGS, no_pause, transport) as client:
                try:
                    self.assertEqual(
                        DONE, await client.change("/v1/drain", request, request.request)
                    )
                except MarigolddoorError as error:
                    return exit_code(error)
                return ExitCode.DONE

        self.assertEqual(self.code, anyio.run(change))
        self.assertEqual(self.sent, len(transport.requests))
        self.assertEqual({"r"}, {body["request"] for _, body in transport.requests})


class ReadTest(testtools.TestCase):
    """Guards against a read that skips an endpoint, or retries after every endpoint has failed."""

    scenarios = [
        (" then ".join(plan), {"plan": plan, "code": code, "sent": sent})
        for plan, code, sent in [
            (["done"], ExitCode.DONE, 1),
            (["late", "done"], ExitCode.DONE, 2),
            (["internal", "done"], ExitCode.DONE, 2),
            (["refused", "cut"], ExitCode.UNREACHABLE, 2),
            # A follower's report lacks the states of VMs, so that the next endpoint is tried.
            (["follower", "done"], ExitCode.DONE, 2),
            (["follower", "cut"], ExitCode.DONE, 2),
            (["wrong token"], ExitCode.REFUSED, 1),
        ]
    ]

    def test_read(self) -> None:
        transport = ScriptedTransport(self.plan)

        async def read() -> ExitCode:
            async with OperatorClient(SETTINGS, no_pause, transport) as client:
                try:
                    await client.read("/v1/status", {})
                except MarigolddoorError as error:
                    return exit_code(error)
                return ExitCode.DONE

        self.assertEqual(self.code, anyio.run(read))
        self.assertEqual([1, 2][: self.sent], [port for port, _ in transport.requests])


class ReasonTest(testtools.TestCase):
    """Guards against an untrusted certificate that is reported as an endpoint that is down."""

    scenarios = [
        ("down", {"plan": ["refused"], "reason": "http://127.0.0.1:2: no connection"}),
        ("certificate", {"plan": ["untrusted"], "reason": "certificate is not trusted"}),
        ("no quorum", {"plan": ["no quorum"], "reason": "no leader"}),
    ]

    def test_reason(self) -> None:
        async def read() -> str:
            async with OperatorClient(SETTINGS, no_pause, ScriptedTransport(self.plan)) as client:
                try:
                    await client.read("/v1/status", {})
                except MarigolddoorError as error:
                    return str(error)
                return ""

        self.assertIn(self.reason, anyio.run(read))
