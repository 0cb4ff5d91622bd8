"""Guards against components of an entry process that work alone but are not connected."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from typing import Any

import anyio
import httpx
import testtools
from anyio.abc import TaskStatus
from marigolddoor_core.ids import DataCentreId, Epoch, LogIndex, PoolId, ProcessId, RequestId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.contract import MAX_BODY_BYTES
from marigolddoor_core.targets import TargetState
from marigolddoor_core.timeline import (
    EventId,
    EventKind,
    Recorder,
    Subject,
    TimelineFilter,
)
from marigolddoor_entry.control_link import ControlLink
from marigolddoor_entry.data_centre import DataCentre
from marigolddoor_entry.json_forms import to_json
from marigolddoor_entry.runtime import EntryAddresses, EntryRuntime, EntryRuntimeSettings
from marigolddoor_entry.settings import EntryLimits, EntrySettings
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.messages import WatchReply
from marigolddoor_wire.peers import Address, PeerPool

from tests.entry.fakes import (
    DATA_CENTRE,
    INTAKE,
    RENEWALS,
    Behaviour,
    FakeTarget,
    declared,
    running_entry,
)

KEY = SharedKey(b"k" * 32)
UNREACHABLE = Address("127.0.0.1:1")
LOOPBACK = Address("127.0.0.1:0")
VM = VmId("vm-1")
DEFAULT_LIMITS = EntryLimits()


@asynccontextmanager
async def running_runtime(
    target: FakeTarget, serve: bool = True, limits: EntryLimits = DEFAULT_LIMITS
) -> AsyncIterator[tuple[EntryRuntime, EntryAddresses, httpx.AsyncClient]]:
    """Run an entry process without control processes, and one announced target."""
    entry = EntrySettings(ProcessId("entry-1"), DATA_CENTRE, LOOPBACK, LOOPBACK, 0.05, 5.0, limits)
    runtime = EntryRuntime(EntryRuntimeSettings(entry, LOOPBACK, (), (UNREACHABLE,)), KEY)
    stopping, stopped = anyio.Event(), anyio.Event()

    async def run(*, task_status: TaskStatus[EntryAddresses]) -> None:
        await runtime.run(stopping, task_status=task_status)
        stopped.set()

    async with anyio.create_task_group() as group:
        await group.start(target.serve)
        if not serve:
            target.address = UNREACHABLE
        addresses = await group.start(run)
        changes = tuple(declared([target]))
        runtime._apply(WatchReply(LogIndex(1), True, changes))
        url = f"http://{addresses.targets}/marigolddoor/announce"
        announcement = replace(target.announcement(), epoch=Epoch(1))
        async with httpx.AsyncClient(trust_env=False) as client:
            await client.post(url, content=to_json(announcement))
            yield runtime, addresses, client
        stopping.set()
        with anyio.fail_after(10):
            await stopped.wait()
        group.cancel_scope.cancel()


async def send(
    addresses: EntryAddresses, client: httpx.AsyncClient, body: bytes = b"", **more: str
) -> httpx.Response:
    """Send a request of a caller."""
    headers = {"marigolddoor-service": RENEWALS, "marigolddoor-team": "pantry"}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    url = f"http://{addresses.callers}/x"
    return await client.request("PUT", url, headers=headers, content=body)


class DispatchReportTest(testtools.TestCase):
    """Only a target that attempts can't reach is suspected before its announcements are late."""

    scenarios = [
        ("reached", {"reports": [True] * 5, "expected": TargetState.READY}),
        ("two failures", {"reports": [False] * 2, "expected": TargetState.READY}),
        ("three failures", {"reports": [False] * 3, "expected": TargetState.SUSPECTED}),
        (
            "reached between failures",
            {"reports": [False, False, True, False, False], "expected": TargetState.READY},
        ),
        (
            "other target",
            {"vm": VmId("vm-2"), "reports": [False] * 3, "expected": TargetState.READY},
        ),
    ]
    vm = VM

    def test_report(self) -> None:
        anyio.run(self.report)

    async def report(self) -> None:
        changes: list[Any] = []
        async with PeerPool(KEY) as pool:
            link = ControlLink(pool, (UNREACHABLE,), ProcessId("e"), DataCentreId("dc-a"))
            data_centre = DataCentre(
                link, pool, (), lambda: changes.append(None), anyio.current_time
            )
            target = FakeTarget(VM, PoolId("renewals"), address="127.0.0.1:1")
            data_centre.announce(target.announcement(), Instant(anyio.current_time()))
            changes.clear()
            for reached in self.reports:
                data_centre.report_dispatch(self.vm, reached)
        self.assertEqual(self.expected, data_centre.members.holder.held[VM].state)
        self.assertEqual(self.expected is TargetState.SUSPECTED, bool(changes))


class OutcomeRecordTest(testtools.TestCase):
    """The outcome of a request is recorded in the holder and in the metrics of the runtime."""

    scenarios = [
        ("reached", {"serve": True, "outcome": "answered", "failures": 0}),
        ("not reached", {"serve": False, "outcome": "not-run", "failures": 1}),
    ]

    def test_request(self) -> None:
        anyio.run(self.request)

    async def request(self) -> None:
        target = FakeTarget(VM, PoolId("renewals"))
        async with running_runtime(target, self.serve) as (runtime, addresses, client):
            response = await send(addresses, client)
            page = await client.get(f"http://{addresses.targets}/marigolddoor/metrics")
            hidden = await client.get(f"http://{addresses.callers}/marigolddoor/metrics")
            assert runtime.data_centre is not None
            held = runtime.data_centre.members.holder.held[VM]
        self.assertEqual(self.outcome, response.headers["marigolddoor-outcome"])
        self.assertEqual(self.failures, held.failures)
        self.assertIn(
            f'marigolddoor_request_seconds_count{{service="renewals",outcome="{self.outcome}"}} 1',
            page.text,
        )
        self.assertTrue(page.headers["content-type"].startswith("text/plain; version=0.0.4"))
        self.assertEqual(404, hidden.status_code)


class LimitsTest(testtools.TestCase):
    """The configured limits apply, also above the default constants."""

    scenarios = [
        ("both allowed", {"limits": EntryLimits(1024, 2048), "expected": ("answered", None)}),
        ("body", {"limits": EntryLimits(1023, 2048), "expected": ("not-run", "body-too-large")}),
        ("answer", {"limits": EntryLimits(1024, 1024), "expected": ("failed", "run-failed")}),
        (
            "above the defaults",
            {
                "limits": EntryLimits(2 * MAX_BODY_BYTES, 4 * MAX_BODY_BYTES),
                "body": b"x" * (MAX_BODY_BYTES + 1),
                "expected": ("answered", None),
            },
        ),
    ]
    body = b"x" * 1024

    def test_limits(self) -> None:
        anyio.run(self.request)

    async def request(self) -> None:
        target = FakeTarget(VM, PoolId("renewals"))
        async with running_runtime(target, limits=self.limits) as (_, addresses, client):
            headers = (await send(addresses, client, self.body)).headers
        actual = (headers["marigolddoor-outcome"], headers.get("marigolddoor-error"))
        self.assertEqual(self.expected, actual)


class RequestEventsTest(testtools.TestCase):
    """The timeline has all events of a request under its id, linked and without body or key."""

    scenarios = [
        (
            "answered",
            {
                "expected": ["request received", "request sent", "request answered"],
                "text": "status 200",
            },
        ),
        (
            "refused by the contract",
            {"headers": {"marigolddoor_priority": "x"}, "expected": ["request refused"]}
            | {"text": "bad-header", "counted": 'refusals_total{reason="bad-header"} 1'},
        ),
        (
            "refused in admission",
            {"pool": PoolId("intake"), "expected": ["request received", "request refused"]}
            | {"text": "no-target"}
            | {"counted": 'refusals_total{service="renewals",reason="no-target"} 1'},
        ),
        (
            "failed",
            {"behaviour": Behaviour.REPORT_FAILED, "text": "run-failed"}
            | {"expected": ["request received", "request sent", "request failed"]},
        ),
        (
            "retried",
            {"behaviour": Behaviour.CRASH, "text": "outcome-unknown"}
            | {
                "expected": [
                    "request received",
                    "request sent",
                    "request retried",
                    "request unknown",
                ]
            }
            | {"counted": 'retries_total{service="renewals"} 1'},
        ),
        (
            "no quorum for the claim",
            {"headers": {"marigolddoor_service": INTAKE}, "pool": PoolId("intake")}
            | {"expected": ["request received", "request refused"], "text": "no-quorum"},
        ),
    ]
    headers: dict[str, str] = {}
    pool = PoolId("renewals")
    behaviour = Behaviour.ANSWER
    counted = ""

    def test_events(self) -> None:
        anyio.run(self.request)

    async def request(self) -> None:
        target = FakeTarget(VM, self.pool, self.behaviour)
        async with running_runtime(target) as (runtime, addresses, client):
            reply = await send(
                addresses, client, b"secret body", idempotency_key="secret-key", **self.headers
            )
        by_request = TimelineFilter(request=RequestId(reply.headers["marigolddoor-request-id"]))
        events = runtime.recorder.fetch(by_request).events
        self.assertEqual(self.expected, [event.kind.value for event in events])
        self.assertEqual(self.text, events[-1].text)
        self.assertEqual([None, *(event.id for event in events[:-1])], [e.cause for e in events])
        self.assertEqual(
            [VM if event.kind is EventKind.REQUEST_SENT else None for event in events],
            [None if e.kind is EventKind.REQUEST_RETRIED else e.subject.vm for e in events],
        )
        self.assertNotIn("secret", repr(events))
        self.assertIn(self.counted, runtime.metrics.page())


class ClaimEventsTest(testtools.TestCase):
    """The timeline has the claim events of a request, and few events of a waiting resend."""

    scenarios = [
        ("first", {"sent": [b"a"], "expected": ["claim granted"]}),
        ("resend", {"sent": [b"a", b"a"], "expected": ["claim granted", "claim refused"]}),
        ("other body", {"sent": [b"a", b"b"], "expected": ["claim granted", "claim refused"]}),
        (
            "waiting resend",
            {"sent": [b"a", b"a"], "behaviour": Behaviour.SLOW}
            | {"expected": ["claim granted", "claim refused", "claim refused"]},
        ),
    ]
    behaviour = Behaviour.ANSWER

    def test_claims(self) -> None:
        anyio.run(self.claim)

    async def claim(self) -> None:
        recorder = Recorder(ProcessId("e"))

        def record(kind: EventKind, subject: Subject, text: str, cause: EventId | None) -> EventId:
            return recorder.record(kind, 1, subject, text, cause)

        target = FakeTarget(VM, PoolId("intake"), self.behaviour, delay_s=1.0)
        async with (
            running_entry([target], record_event=record) as entry,
            anyio.create_task_group() as group,
        ):
            for number, body in enumerate(self.sent):
                group.start_soon(partial(entry.post, body, idempotency_key="secret-key"))
                # A slow run is still in progress when the resend arrives.
                awaited = (
                    "claim granted" if self.behaviour is Behaviour.SLOW else "request answered"
                )
                while not number and awaited not in [one.kind.value for one in recorder.events]:
                    await anyio.sleep(0.01)
        kinds = [event.kind.value for event in recorder.events]
        self.assertEqual(self.expected, [kind for kind in kinds if kind.startswith("claim")])
        self.assertNotIn("secret", repr(recorder.events))
