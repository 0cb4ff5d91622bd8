"""Guards against answers without the reason of a refusal, and calls with another key than sent."""

import json
from types import SimpleNamespace
from typing import Any

import anyio
import testtools
from marigolddoor_core.jobs import NO_KEY, digest_key
from marigolddoor_core.queue_calls import QueueCall, QueueOutcome, QueueReply
from marigolddoor_platform.callers import CallersInterface
from marigolddoor_wire.http_server import HttpRequest


class RefusalTest(testtools.TestCase):
    """The reason of a refusal is in the body of the answer."""

    scenarios = [
        ("over the quota", {"outcome": QueueOutcome.REFUSED, "status": 429}),
        ("invalid", {"outcome": QueueOutcome.INVALID, "status": 400}),
    ]

    def test_reason(self) -> None:
        callers = CallersInterface(SimpleNamespace(call=self.call))  # type: ignore[arg-type]
        request = HttpRequest("POST", "/x/1", {"host": "a.example"}, b"{}")
        response = anyio.run(callers.respond, request)
        self.assertEqual(self.status, response.status)
        self.assertEqual({"error": "too large"}, json.loads(response.body))

    async def call(self, call: QueueCall, wait_s: float) -> QueueReply:
        return QueueReply(self.outcome, detail="too large")


class KeyTest(testtools.TestCase):
    """A key beyond ASCII was refused, since its header was not read as UTF-8."""

    scenarios = [
        (f"{sent!r}", {"sent": sent, "expected": expected})
        for sent, expected in (
            (None, NO_KEY),
            (b"", NO_KEY),
            (b"r1", digest_key("r1")),
            ("clé".encode(), digest_key("clé")),
            ("clé".encode("latin-1"), digest_key("clé")),
        )
    ]

    def test_key(self) -> None:
        calls: list[QueueCall] = []

        class Gateway:
            async def call(self, call: QueueCall, timeout_s: float) -> QueueReply:
                calls.append(call)
                return QueueReply(QueueOutcome.UNAUTHORIZED)

        gateway: Any = Gateway()
        headers = {} if self.sent is None else {"x-credential": self.sent.decode("latin-1")}
        request = HttpRequest("GET", "/tasks/n", {"host": "a.example", **headers}, b"")
        response = anyio.run(CallersInterface(gateway).respond, request)
        self.assertEqual((401, b"{}"), (response.status, response.body))
        self.assertEqual(self.expected, calls[0].key)
