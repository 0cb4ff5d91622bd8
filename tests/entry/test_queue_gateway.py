"""Guards against callers that are held by an entry process which can't serve them.

On trouble-3 of tmpa-jellyworks two entry processes were cut off for 10 s. They held each caller for
its whole time, 2.95 s of 3 s, while the others could have served it.
"""

from collections.abc import Callable
from typing import Any

import anyio
import testtools
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome, QueueReply
from marigolddoor_entry.queue_gateway import QueueGateway
from marigolddoor_wire.errors import PeerRefusedError, PeerTimeoutError, PeerUnreachableError
from marigolddoor_wire.peers import Address
from marigolddoor_wire.queue_messages import AskQueue, NotLeading, QueueAnswer

A, B, C = (Address(f"10.0.0.{number}:7060") for number in (1, 2, 3))
MEMBERS = (A, B, C)
SUBMIT = QueueCall(QueueMethod.SUBMIT, "queues.example", "/tasks/0123456789abcdef", b"{}")
READ = QueueCall(QueueMethod.READ, "queues.example", "/tasks/0123456789abcdef")
ANSWERED = QueueAnswer(QueueReply(QueueOutcome.ANSWERED), MEMBERS)
CALLER_S = 2.85


class FakePool:
    """Answers by address: a reply, an error to raise, or None for silence."""

    def __init__(self, **replies: Any) -> None:
        self.replies = replies
        self.asked: list[str] = []

    async def call(self, address: Address, message: AskQueue, timeout_s: float) -> Any:
        self.asked.append(address)
        reply = self.replies["abc"[MEMBERS.index(address)]]
        if reply is None:
            await anyio.sleep(timeout_s)
            raise PeerTimeoutError(f"no reply from {address}")
        await anyio.sleep(0.001)
        if isinstance(reply, Exception):
            raise reply
        return reply


UNREACHABLE = PeerUnreachableError("no connection")
REFUSED = PeerRefusedError("nobody listens")
TO_B = NotLeading(B, MEMBERS)
NOBODY = NotLeading("", MEMBERS)


async def converse(
    pool: FakePool, course: Callable[[QueueGateway, FakePool], Any], found: Address | None = A
) -> Any:
    """Run `course` beside a gateway that probes and takes `found` for the leader."""
    gateway = QueueGateway(MEMBERS, pool)  # type: ignore[arg-type]
    if found is not None:
        gateway.search.record_answer(found, MEMBERS, gateway.clock())

    async def probe() -> None:
        while True:
            await gateway.probe()
            await gateway.wait_for_probe()

    async with anyio.create_task_group() as group:
        group.start_soon(probe)
        outcome = await course(gateway, pool)
        group.cancel_scope.cancel()
    return outcome


class OutcomeTest(testtools.TestCase):
    """What callers are told, and how soon, by what the control processes do.

    A leader that falls silent is found out by a probe: within 0.5 s until the probe, 0.4 s without
    its answer and 0.4 s without the others'. A minority is told from an election after 1.5 s
    without an answer, by the next search of 0.5 s. `at_most_s` leaves 0.5 s for a busy machine.
    """

    scenarios = [
        (
            "cut off, so the caller may go elsewhere",
            (SUBMIT, {"a": None, "b": None, "c": None}, QueueOutcome.UNKNOWN, 1.3 + 0.5),
        ),
        (
            "left with a minority of the control processes",
            (READ, {"a": None, "b": None, "c": NOBODY}, QueueOutcome.UNAVAILABLE, 2.0 + 0.5),
        ),
        (
            "no connection, so the job did not arrive",
            (
                SUBMIT,
                {"a": UNREACHABLE, "b": UNREACHABLE, "c": UNREACHABLE},
                QueueOutcome.UNAVAILABLE,
                0.5,
            ),
        ),
        (
            "cut off, and nothing is changed by a read",
            (READ, {"a": None, "b": None, "c": None}, QueueOutcome.UNAVAILABLE, 1.3 + 0.5),
        ),
        (
            "the leader falls silent and another one leads",
            (SUBMIT, {"a": None, "b": ANSWERED, "c": TO_B}, QueueOutcome.ANSWERED, 1.3 + 0.5),
        ),
        (
            "the leader is gone and another one leads",
            (SUBMIT, {"a": REFUSED, "b": ANSWERED, "c": TO_B}, QueueOutcome.ANSWERED, 0.5),
        ),
    ]
    scenarios = [
        (name, {"message": message, "replies": replies, "expected": expected, "at_most_s": most_s})
        for name, (message, replies, expected, most_s) in scenarios
    ]

    def test_outcome(self) -> None:
        async def course(gateway: QueueGateway, _: FakePool) -> float:
            began = gateway.clock()
            reply = await gateway.call(self.message, CALLER_S)
            self.assertEqual(self.expected, reply.outcome)
            return gateway.clock() - began

        took_s = anyio.run(converse, FakePool(**self.replies), course)
        self.assertTrue(took_s < self.at_most_s, f"{took_s} s")


class ElectionTest(testtools.TestCase):
    """While the control processes react, callers wait for a leader as long as they have time."""

    scenarios = [
        ("nobody leads yet", {"others": NOBODY}),
        ("all control processes start again", {"others": REFUSED}),
    ]

    def test_wait(self) -> None:
        async def course(gateway: QueueGateway, pool: FakePool) -> QueueOutcome:
            async def elect() -> None:
                await anyio.sleep(0.5)
                pool.replies["c"] = ANSWERED

            async with anyio.create_task_group() as group:
                group.start_soon(elect)
                return (await gateway.call(SUBMIT, CALLER_S)).outcome

        pool = FakePool(a=self.others, b=self.others, c=self.others)
        self.assertEqual(QueueOutcome.ANSWERED, anyio.run(converse, pool, course, None))

    def test_time_over(self) -> None:
        async def course(gateway: QueueGateway, pool: FakePool) -> QueueReply:
            return await gateway.call(SUBMIT, 0.3)

        pool = FakePool(a=self.others, b=self.others, c=self.others)
        reply = anyio.run(converse, pool, course, None)
        self.assertEqual(QueueOutcome.UNAVAILABLE, reply.outcome)
        self.assertTrue(reply.retry_after_s > 0)


class ReadinessTest(testtools.TestCase):
    """An entry process that is cut off is not ready, and is again once it reaches a leader."""

    def test_readiness(self) -> None:
        async def wait(gateway: QueueGateway, expected: bool) -> None:
            with anyio.fail_after(3):
                while gateway.is_connected is not expected:
                    await anyio.sleep(0.01)

        async def course(gateway: QueueGateway, pool: FakePool) -> None:
            await wait(gateway, True)
            pool.replies.update(a=None, b=None, c=None)
            began = gateway.clock()
            await wait(gateway, False)
            self.assertTrue(gateway.clock() - began < 1.3 + 0.5)
            self.assertEqual(
                QueueOutcome.UNAVAILABLE, (await gateway.call(SUBMIT, CALLER_S)).outcome
            )
            pool.replies.update(b=ANSWERED)
            await wait(gateway, True)
            self.assertEqual(QueueOutcome.ANSWERED, (await gateway.call(SUBMIT, CALLER_S)).outcome)

        anyio.run(converse, FakePool(a=ANSWERED, b=TO_B, c=TO_B), course)


class ProbeTest(testtools.TestCase):
    """Calls do not look for the leader themselves: waiting ones cost no messages."""

    def test_messages(self) -> None:
        async def course(gateway: QueueGateway, pool: FakePool) -> int:
            async with anyio.create_task_group() as group:
                for _ in range(50):
                    group.start_soon(gateway.call, SUBMIT, 0.5)
            return len(pool.asked)

        pool = FakePool(a=NOBODY, b=NOBODY, c=NOBODY)
        # Three control processes, asked each 0.1 s for 0.5 s.
        self.assertTrue(anyio.run(converse, pool, course, None) <= 3 * 6)
