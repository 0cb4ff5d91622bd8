"""Guards against requests that end without one of the four outcomes, or with a wrong one."""

import hashlib
import re
from pathlib import Path
from typing import Any

import anyio
import httpx
import testtools
from marigolddoor_core.ids import IdempotencyKey, PoolId, ProcessId, VmId
from marigolddoor_core.requests.contract import MAX_BODY_BYTES
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.requests.refusals import OutcomeUnknownError, RunFailedError, refusal_types
from marigolddoor_core.state.commands import Claim
from marigolddoor_entry.callers import MAX_BODIES_BYTES
from marigolddoor_entry.json_forms import to_json

from tests.entry.fakes import (
    INTAKE,
    RENEWALS,
    Behaviour,
    FakeGroup,
    FakeTarget,
    Running,
    running_entry,
)

# The digest of a POST of "b" to /x.
DIGEST = hashlib.sha256(b"POST /x\nb").digest()
PAGE = Path(__file__).resolve().parents[2] / "docs" / "caller-contract.md"


def renewals(
    behaviour: Behaviour = Behaviour.ANSWER, name: str = "vm-1", **more: Any
) -> FakeTarget:
    return FakeTarget(VmId(name), PoolId("renewals"), behaviour, **more)


def intake(behaviour: Behaviour = Behaviour.ANSWER, name: str = "vm-9", **more: Any) -> FakeTarget:
    return FakeTarget(VmId(name), PoolId("intake"), behaviour, **more)


def summary(response: httpx.Response) -> tuple[int, str, str]:
    headers = response.headers
    return (
        response.status_code,
        headers["marigolddoor-outcome"],
        headers.get("marigolddoor-error", ""),
    )


class AnsweredTest(testtools.TestCase):
    """A target receives a request with its headers, and the caller receives the whole answer."""

    def test_answer(self) -> None:
        anyio.run(self.answer)

    async def answer(self) -> None:
        target = renewals()
        async with running_entry([target]) as entry:
            response = await entry.request(path="/a?b=c", x_own="kept")
        self.assertEqual((200, "/a?b=c ran 1 "), (response.status_code, response.text))
        self.assertEqual((200, "answered", ""), summary(response))
        sent_headers = target.received_headers[0]
        self.assertEqual(
            ("renewals", "1", "kept"),
            (
                sent_headers["marigolddoor-service"],
                sent_headers["marigolddoor-epoch"],
                sent_headers["x-own"],
            ),
        )
        self.assertTrue(0 < int(sent_headers["marigolddoor-remaining-ms"]) <= 10_000)


class RefusalTest(testtools.TestCase):
    """A refused request gets its typed error and is not sent to any target."""

    scenarios = [
        (
            "no service",
            {"headers": {"marigolddoor_service": "LEFT OUT"}, "expected": (400, "bad-header")},
        ),
        (
            "no team",
            {"headers": {"marigolddoor_team": "LEFT OUT"}, "expected": (400, "bad-header")},
        ),
        (
            "strange team",
            {"headers": {"marigolddoor_team": "other"}, "expected": (400, "bad-header")},
        ),
        (
            "strange class",
            {"headers": {"marigolddoor_priority": "now"}, "expected": (400, "bad-header")},
        ),
        (
            "no number",
            {"headers": {"marigolddoor_deadline_ms": "1s"}, "expected": (400, "bad-header")},
        ),
        (
            "unknown service",
            {"headers": {"marigolddoor_service": "other"}, "expected": (404, "unknown-service")},
        ),
        (
            "expired deadline",
            {"headers": {"marigolddoor_deadline_ms": "0"}, "expected": (504, "deadline-expired")},
        ),
        ("missing key", {"service": INTAKE, "expected": (428, "missing-key")}),
        (
            "body too large",
            {"body": b"x" * (MAX_BODY_BYTES + 1), "expected": (413, "body-too-large")},
        ),
        (
            "no quorum",
            {
                "service": INTAKE,
                "headers": {"idempotency_key": "k"},
                "quorum": False,
                "expected": (503, "no-quorum"),
            },
        ),
        (
            "claims full",
            {
                "service": INTAKE,
                "headers": {"idempotency_key": "k"},
                "full": True,
                "expected": (503, "claims-full"),
            },
        ),
        (
            "claim refused",
            {
                "service": INTAKE,
                "headers": {"idempotency_key": "k"},
                "refuses": True,
                "expected": (409, "claim-refused"),
            },
        ),
        (
            "epoch refused everywhere",
            {"behaviour": Behaviour.REFUSE, "expected": (503, "no-target")},
        ),
        (
            "claimed and epoch refused",
            {
                "behaviour": Behaviour.REFUSE,
                "service": INTAKE,
                "headers": {"idempotency_key": "k"},
                "expected": (503, "no-target"),
            },
        ),
        ("no target", {"announced": False, "expected": (503, "no-target")}),
    ]
    service = RENEWALS
    body = b""
    quorum = True
    full = False
    refuses = False
    announced = True
    behaviour = Behaviour.ANSWER
    headers: dict[str, str] = {}

    def test_refusal(self) -> None:
        anyio.run(self.refusal)

    async def refusal(self) -> None:
        group = FakeGroup()
        group.quorum, group.full, group.refuses = self.quorum, self.full, self.refuses
        targets = [renewals(self.behaviour), intake(self.behaviour)] if self.announced else []
        async with running_entry(targets, group) as entry:
            response = await entry.post(self.body, self.service, **self.headers)
            await anyio.sleep(0.05)
        status, code = self.expected
        self.assertEqual((status, "not-run", code), summary(response))
        self.assertEqual(0, sum(target.runs for target in targets))
        # A claim that is not released would make the outcome of the caller's retry "unknown".
        self.assertEqual({}, group.claims)


class OverloadTest(testtools.TestCase):
    """Under overload a request is refused at once with its reason, or admitted and answered."""

    scenarios = [
        (
            "queue full",
            {"slots": 1, "team_slots": 64, "requests": 60, "expected": (503, "queue-full")},
        ),
        (
            "over quota",
            {"slots": 8, "team_slots": 1, "requests": 40, "expected": (429, "over-quota")},
        ),
        (
            "cannot finish in time",
            {
                "slots": 1,
                "team_slots": 64,
                "requests": 20,
                "deadline_ms": "600",
                "expected": (503, "cannot-finish-in-time"),
            },
        ),
    ]
    deadline_ms = "10000"

    def test_load(self) -> None:
        anyio.run(self.load)

    async def load(self) -> None:
        target = renewals(Behaviour.SLOW, slots=self.slots, delay_s=0.04)
        responses: list[httpx.Response] = []
        async with running_entry([target], team_slots=self.team_slots) as entry:

            async def send() -> None:
                responses.append(await entry.request(marigolddoor_deadline_ms=self.deadline_ms))

            async with anyio.create_task_group() as group:
                for _ in range(self.requests):
                    group.start_soon(send)
        outcomes = {summary(response) for response in responses}
        status, code = self.expected
        self.assertEqual({(200, "answered", ""), (status, "not-run", code)}, outcomes)
        refused = [response for response in responses if response.status_code == status]
        self.assertTrue(all(int(each.headers["retry-after"]) >= 1 for each in refused))
        self.assertEqual(len(responses) - len(refused), target.runs)


class LargeBodiesTest(testtools.TestCase):
    """Many large bodies at once are refused before they exhaust the memory."""

    def test_bodies(self) -> None:
        anyio.run(self.bodies)

    async def bodies(self) -> None:
        target = renewals(Behaviour.SLOW, delay_s=0.02)
        outcomes: set[tuple[int, str, str]] = set()
        async with running_entry([target]) as entry:
            callers = entry.process.callers
            assert callers is not None
            callers.body_bytes = MAX_BODIES_BYTES - 3 * MAX_BODY_BYTES

            async def send() -> None:
                response = await entry.post(b"x" * MAX_BODY_BYTES, RENEWALS)
                outcomes.add(summary(response))

            async with anyio.create_task_group() as group:
                for _ in range(8):
                    group.start_soon(send)
            self.assertEqual(MAX_BODIES_BYTES - 3 * MAX_BODY_BYTES, callers.body_bytes)
        self.assertEqual({(200, "answered", ""), (503, "not-run", "queue-full")}, outcomes)


class DisconnectTest(testtools.TestCase):
    """A disconnect cancels a queued request, but not a dispatched one with a claim."""

    scenarios = [
        ("waiting", {"service": RENEWALS, "busy": True, "runs": 1}),
        ("running and claimed", {"service": INTAKE, "busy": False, "runs": 1}),
    ]

    def test_disconnect(self) -> None:
        anyio.run(self.disconnect)

    async def disconnect(self) -> None:
        targets = [
            renewals(Behaviour.SLOW, slots=1, delay_s=0.2),
            intake(Behaviour.SLOW, slots=1, delay_s=0.2),
        ]
        target = targets[0] if self.service == RENEWALS else targets[1]
        async with running_entry(targets) as entry:
            async with anyio.create_task_group() as group:
                if self.busy:
                    group.start_soon(entry.request)
                    await anyio.sleep(0.05)
                with anyio.move_on_after(0.05):
                    await entry.post(b"b", self.service, idempotency_key="k")
                await anyio.sleep(0.35)
            self.assertEqual(self.runs, target.runs)
            callers = entry.process.callers
            assert callers is not None
            self.assertEqual(0, callers.active)
            if self.service == INTAKE:
                resent = await entry.post(b"b", self.service, idempotency_key="k")
                self.assertEqual((200, b"/x ran 1 b"), (resent.status_code, resent.content))
                self.assertEqual(1, target.runs)


class BadAnswerTest(testtools.TestCase):
    """A caller never receives a truncated answer or the answer of another request."""

    scenarios = [
        ("truncated", {"behaviour": Behaviour.TRUNCATE, "expected": (504, "unknown")}),
        ("without a length", {"behaviour": Behaviour.NO_LENGTH, "expected": (504, "unknown")}),
        ("foreign", {"behaviour": Behaviour.FOREIGN, "expected": (504, "unknown")}),
        ("without an echo", {"behaviour": Behaviour.NO_ECHO, "expected": (504, "unknown")}),
        ("crash after dispatch", {"behaviour": Behaviour.CRASH, "expected": (504, "unknown")}),
        ("late", {"behaviour": Behaviour.SLOW, "expected": (504, "unknown")}),
        ("failed run", {"behaviour": Behaviour.REPORT_FAILED, "expected": (502, "failed")}),
        ("too large", {"behaviour": Behaviour.HUGE, "expected": (502, "failed")}),
        ("an error is an answer", {"behaviour": Behaviour.FAIL, "expected": (500, "answered")}),
    ]

    def test_claimed(self) -> None:
        anyio.run(self.claimed)

    def test_retried(self) -> None:
        anyio.run(self.retried)

    async def claimed(self) -> None:
        target = intake(self.behaviour)
        async with running_entry([target]) as entry:
            first = await entry.post(b"b", idempotency_key="k", marigolddoor_deadline_ms="200")
            await anyio.sleep(0.2)
            resent = await entry.post(b"b", idempotency_key="k", marigolddoor_deadline_ms="200")
            outcome = await entry.client.get("/marigolddoor/outcomes/intake/k")
        status, name = self.expected
        self.assertEqual((status, name), summary(first)[:2])
        # The target receives the caller's remaining time, not the longer limit of a claimed run.
        self.assertTrue(int(target.received_headers[0]["marigolddoor-remaining-ms"]) <= 200)
        self.assertEqual(1, target.runs)
        if name == "unknown":
            self.assertEqual("/marigolddoor/outcomes/intake/k", first.headers["location"])
        if self.behaviour is Behaviour.SLOW:
            # The late answer is stored and returned to the resend.
            self.assertEqual((200, "answered"), summary(resent)[:2])
            self.assertEqual("answered", outcome.json()["outcome"])
        else:
            self.assertEqual((status, name), summary(resent)[:2])
            self.assertEqual(name, outcome.json()["outcome"])

    async def retried(self) -> None:
        """An idempotent request is retried on the other target if its answer was lost."""
        failing, working = renewals(self.behaviour, delay_s=1.0), renewals(name="vm-2")
        responses = []
        async with running_entry([failing, working]) as entry:
            while failing.runs == 0:
                responses.append(await entry.request(marigolddoor_deadline_ms="200"))
        status, name = self.expected
        retried = name == "unknown" and self.behaviour is not Behaviour.SLOW
        expected = (200, "answered") if retried else (status, name)
        self.assertEqual(expected, summary(responses[-1])[:2])


class IdempotencyKeyTest(testtools.TestCase):
    """A request runs once per key: resends get the first answer, and another body is refused."""

    def test_resend(self) -> None:
        anyio.run(self.resend)

    def test_other_body(self) -> None:
        anyio.run(self.other_body)

    def test_other_process(self) -> None:
        anyio.run(self.other_process)

    def test_lost_result(self) -> None:
        anyio.run(self.lost_result)

    async def resend(self) -> None:
        target = intake(Behaviour.SLOW, delay_s=0.1)
        async with running_entry([target]) as entry:
            texts: list[bytes] = []

            async def send() -> None:
                texts.append((await entry.post(b"b", idempotency_key="k")).content)

            async with anyio.create_task_group() as group:
                for _ in range(5):
                    group.start_soon(send)
        self.assertEqual([b"/x ran 1 b"] * 5, texts)
        self.assertEqual(1, target.runs)

    async def other_body(self) -> None:
        target = intake()
        async with running_entry([target]) as entry:
            await entry.post(b"b", idempotency_key="k")
            other = await entry.post(b"c", idempotency_key="k")
            path = await entry.post(b"b", idempotency_key="k", path="/y")
        self.assertEqual((422, "not-run", "key-reused"), summary(other))
        self.assertEqual((422, "not-run", "key-reused"), summary(path))
        self.assertEqual([b"b"], target.bodies)

    async def other_process(self) -> None:
        """A resend through another process waits for the first run and gets its answer."""
        group = FakeGroup()
        target = intake(Behaviour.SLOW, delay_s=0.2)
        async with (
            running_entry([target], group) as one,
            running_entry([target], group, "entry-2", serve_targets=False) as two,
            anyio.create_task_group() as tasks,
        ):
            first: list[httpx.Response] = []

            async def send() -> None:
                first.append(await one.post(b"b", idempotency_key="k"))

            tasks.start_soon(send)
            await anyio.sleep(0.05)
            late = await two.post(b"b", idempotency_key="k", marigolddoor_deadline_ms="100")
            self.assertEqual((504, "unknown", "outcome-unknown"), summary(late))
            resent = await two.post(b"b", idempotency_key="k")
        self.assertEqual([b"/x ran 1 b"] * 2, [resent.content, first[0].content])
        self.assertEqual(1, target.runs)

    async def lost_result(self) -> None:
        """A claim whose result was lost doesn't block the key, and no run belongs to it."""
        group = FakeGroup()
        group.lose_results = 1
        target = intake()
        async with running_entry([target], group) as entry:
            first = await entry.post(b"b", idempotency_key="k")
            self.assertEqual((503, "not-run", "no-quorum"), summary(first))
            self.assertEqual(0, target.runs)
            resent = await entry.post(b"b", idempotency_key="k")
        self.assertEqual((200, "answered", ""), summary(resent))
        self.assertEqual(1, target.runs)


class CrashTest(testtools.TestCase):
    """After a crash of the entry process no caller gets "not run", and no resend runs again."""

    scenarios = [
        ("after the dispatch", {"delay_s": 0.0, "runs": 1}),
        ("before the dispatch", {"delay_s": 0.2, "runs": 0}),
    ]

    def test_crash(self) -> None:
        anyio.run(self.crash)

    async def crash(self) -> None:
        group = FakeGroup()
        group.delay_s = self.delay_s
        target = intake(Behaviour.SLOW, delay_s=0.5)
        first_outcomes: list[object] = []
        async with (
            running_entry([target], group) as one,
            running_entry([target], group, "entry-2", serve_targets=False) as two,
        ):

            async def send() -> None:
                try:
                    first_outcomes.append(summary(await one.post(b"b", idempotency_key="k")))
                except httpx.HTTPError:
                    first_outcomes.append("closed")

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.1)
                one.crash()
            group.delay_s = 0.0
            # The claim of the crashed process may be committed after the crash.
            await group.propose(Claim(INTAKE, IdempotencyKey("k"), DIGEST, ProcessId("entry-1"), 1))
            resent = await two.post(b"b", idempotency_key="k", marigolddoor_deadline_ms="300")
        unknown = (504, "unknown", "outcome-unknown")
        self.assertIn(first_outcomes, ([unknown], ["closed"]))
        self.assertEqual(unknown, summary(resent))
        self.assertEqual(self.runs, target.runs)


class InternalErrorTest(testtools.TestCase):
    """An internal error of the entry process gives the outcome "unknown", never a bare 500."""

    scenarios = [
        ("idempotent", {"service": RENEWALS}),
        ("claimed", {"service": INTAKE}),
    ]

    def test_fault(self) -> None:
        anyio.run(self.fault)

    async def fault(self) -> None:
        targets = [renewals(), intake()]
        async with running_entry(targets) as entry:
            assert entry.process.callers is not None
            routing = entry.process.callers.routing
            entry.process.callers.routing = None  # type: ignore[assignment]
            response = await entry.post(b"b", self.service, idempotency_key="k")
            entry.process.callers.routing = routing
            await anyio.sleep(0.05)
            # The process continues, and the claim that was not dispatched is released.
            resent = await entry.post(b"b", self.service, idempotency_key="k")
        self.assertEqual((504, "unknown", "outcome-unknown"), summary(response))
        self.assertEqual((200, "answered", ""), summary(resent))


class OutOfOrderTest(testtools.TestCase):
    """Each caller receives its own answer if the answers arrive in another order."""

    def test_order(self) -> None:
        anyio.run(self.order)

    async def order(self) -> None:
        targets = [renewals(Behaviour.PATH_MS, f"vm-{index}") for index in range(3)]
        answers: dict[str, str] = {}
        async with running_entry(targets) as entry:

            async def send(path: str) -> None:
                answers[path] = (await entry.request(path=path)).text.split()[0]

            async with anyio.create_task_group() as group:
                for index in range(120):
                    group.start_soon(send, f"/{(index * 37) % 121}")
        self.assertEqual({path: path for path in answers}, answers)
        self.assertEqual(120, len(answers))


class ServiceIsolationTest(testtools.TestCase):
    """Overload of one service takes no slots from the other one."""

    scenarios = [
        ("least urgent", {"priority": "batch"}),
        ("most urgent", {"priority": "urgent"}),
    ]

    def test_isolation(self) -> None:
        anyio.run(self.isolation)

    async def isolation(self) -> None:
        targets = [renewals(Behaviour.SLOW, delay_s=0.05), intake(Behaviour.SLOW, delay_s=0.05)]
        responses: list[httpx.Response] = []
        async with running_entry(targets, team_slots=500) as entry:

            async def send_overload() -> None:
                await entry.request(marigolddoor_priority=self.priority)

            async def send(key: str) -> None:
                headers = {"idempotency_key": key, "marigolddoor_deadline_ms": "1000"}
                responses.append(await entry.post(b"b", **headers))

            async with anyio.create_task_group() as group:
                for index in range(300):
                    group.start_soon(send_overload)
                    if index % 30 == 0:
                        group.start_soon(send, str(index))
        self.assertEqual([(200, "answered", "")] * 10, [summary(each) for each in responses])


class FailingTargetTest(testtools.TestCase):
    """A target that fails every request quickly must not attract more requests."""

    def test_share(self) -> None:
        anyio.run(self.share)

    async def share(self) -> None:
        failing, working = renewals(Behaviour.FAIL), renewals(name="vm-2")
        async with running_entry([failing, working]) as entry:
            for _ in range(60):
                await entry.request()
        self.assertTrue(
            failing.runs <= 12, f"{failing.runs} of 60 requests went to the failing target"
        )


class LeavingTargetTest(testtools.TestCase):
    """A leaving target receives no new requests."""

    def test_leave(self) -> None:
        anyio.run(self.leave)

    async def leave(self) -> None:
        leaving, staying = renewals(), renewals(name="vm-2")
        async with running_entry([leaving, staying]) as entry:
            await self.post(entry, leaving)
            runs = leaving.runs
            for _ in range(20):
                await entry.request()
        self.assertEqual(runs, leaving.runs)
        self.assertEqual(20, staying.runs)

    async def post(self, entry: Running, target: FakeTarget) -> None:
        response = await entry.client.post(
            f"http://{entry.bound.targets}/marigolddoor/leave",
            content=to_json(target.announcement()),
        )
        self.assertEqual(200, response.status_code)


class StopTest(testtools.TestCase):
    """A graceful stop first reports not ready, then completes the requests and their claims."""

    def test_stop(self) -> None:
        anyio.run(self.stop)

    async def stop(self) -> None:
        targets = [renewals(Behaviour.SLOW, delay_s=0.3), intake(Behaviour.SLOW, delay_s=0.3)]
        group = FakeGroup()
        group.delay_s = 0.1
        async with running_entry(targets, group) as entry:
            self.assertEqual(200, (await entry.client.get("/ready")).status_code)
            responses: list[httpx.Response] = []

            async def send(service: Any) -> None:
                responses.append(await entry.post(b"b", service, idempotency_key="k"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, RENEWALS)
                tasks.start_soon(send, INTAKE)
                await anyio.sleep(0.05)
                entry.process.request_stop()
                self.assertEqual(503, (await entry.client.get("/ready")).status_code)
                self.assertEqual(200, (await entry.client.get("/healthz")).status_code)
        self.assertEqual([(200, "answered", "")] * 2, [summary(each) for each in responses])
        self.assertEqual(1, entry.group.commands["FinishClaim"])


class ContractPageTest(testtools.TestCase):
    """The caller contract page lists every error with its status, and exactly the four outcomes."""

    def test_errors(self) -> None:
        rows = re.findall(r"^\| `([a-z-]+)` \| (\d+) \| `([a-z-]+)` \|", PAGE.read_text(), re.M)
        errors = (*refusal_types(), RunFailedError, OutcomeUnknownError)
        expected = {(error.code, str(error.status), error.outcome.value) for error in errors}
        self.assertEqual(expected, set(rows))

    def test_outcomes(self) -> None:
        rows = re.findall(r"^\| `([a-z-]+)` \| [a-z]", PAGE.read_text(), re.M)
        self.assertEqual({outcome.value for outcome in Outcome}, set(rows))


class MissingClaimTest(testtools.TestCase):
    """The outcome of a key without a claim is never "not run": the claim may have expired."""

    def test_no_claim(self) -> None:
        anyio.run(self.no_claim)

    async def no_claim(self) -> None:
        async with running_entry([]) as entry:
            response = await entry.client.get(
                "/marigolddoor/outcomes/intake/" + IdempotencyKey("k")
            )
        self.assertEqual((404, "unknown"), summary(response)[:2])
