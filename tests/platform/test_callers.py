"""Guards against refusals that do not tell their callers the reason."""

import json
from types import SimpleNamespace

import anyio
import testtools
from marigolddoor_core.queue_calls import QueueCall, QueueOutcome, QueueReply
from marigolddoor_platform.callers import CallersInterface
from marigolddoor_platform.http import HttpRequest


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
