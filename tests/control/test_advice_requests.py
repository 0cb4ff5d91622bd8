"""Guards against a request to the adviser that counts as open after its call has ended."""

from typing import Any

import anyio
import testtools
from loguru import logger
from marigolddoor_control.fleet.ports import NoAnswerError
from marigolddoor_core.dispatch import Advice, AdviceRequest
from marigolddoor_core.dispatch.advice import RETRY_S
from marigolddoor_core.jobs import StoreConfiguration

from bench.faults.virtual_loop import run_in_virtual_time
from tests.control.test_acknowledged_ends import ReportingExecutor
from tests.control.test_order_sender import lead
from tests.core.jobs.fakes import configuration

logger.disable("marigolddoor_control")


class ScriptedAdviser:
    """Answers with the listed outcomes, then approves the executor."""

    def __init__(self, outcomes: list[Exception | Advice]) -> None:
        self.outcomes = list(outcomes)
        self.calls = 0

    async def advise(self, request: AdviceRequest) -> Advice:
        self.calls += 1
        outcome = self.outcomes.pop(0) if self.outcomes else Advice({"i-1": "t"}, 3.0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class EndedCallTest(testtools.TestCase):
    scenarios = [
        ("approved", {"outcomes": [], "calls": 1}),
        ("no answer", {"outcomes": [NoAnswerError("no answer in time")], "calls": 2}),
        ("no answer twice", {"outcomes": [NoAnswerError("busy")] * 2, "calls": 3}),
        ("unexpected error", {"outcomes": [RuntimeError("a fault")], "calls": 2}),
        ("unreadable rows", {"outcomes": [Advice({}, 3.0, is_complete=False)], "calls": 2}),
    ]

    def test_next_request(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        adviser = ScriptedAdviser(self.outcomes)
        executor = ReportingExecutor(0)

        async def scenario(leadership: Any) -> None:
            await anyio.sleep(RETRY_S * (len(self.outcomes) + 1) + 1.0)
            self.assertEqual([], leadership.dispatch.tickets.open_requests)
            self.assertEqual(1, len(executor.starts))

        document = configuration(1, advised=("views",), views="desk")
        await lead(executor, scenario, StoreConfiguration(1, document), adviser)
        self.assertEqual(self.calls, adviser.calls)
