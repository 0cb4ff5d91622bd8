"""Guards against parts of an entry process that work alone and are not connected."""

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
NOBODY = Address("127.0.0.1:1")
LOOPBACK = Address("127.0.0.1:0")
VM = VmId("vm-1")
DEFAULT_LIMITS = EntryLimits()


@asynccontextmanager
async def running_runtime(
    target: FakeTarget, serve: bool = True, limits: EntryLimits = DEFAULT_LIMITS
) -> AsyncIterator[tuple[EntryRuntime, EntryAddresses, httpx.AsyncClient]]:
    """Run an entry process without control processes, and a target that announced itself."""
    entry = EntrySettings(ProcessId("entry-1"), DATA_CENTRE, LOOPBACK, LOOPBACK, 0.05, 5.0, limits)
    runtime = EntryRuntime(EntryRuntimeSettings(entry, LOOPBACK, (), (NOBODY,)), KEY)
    stopping, stopped = anyio.Event(), anyio.Event()

    async def run(*, task_status: TaskStatus[EntryAddresses]) -> None:
        await runtime.run(stopping, task_status=task_status)
        stopped.set()

    async with anyio.create_task_group() as group:
        await group.start(target.serve)
        if not serve:
            target.address = NOBODY
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
    """A target that requests can't reach is suspected before it is silent, and no other one."""

    scenarios = [
        ("reached", {"reports": [True] * 5, "due": TargetState.READY}),
        ("two failures", {"reports": [False] * 2, "due": TargetState.READY}),
        ("three failures", {"reports": [False] * 3, "due": TargetState.SUSPECTED}),
        (
            "reached between failures",
            {"reports": [False, False, True, False, False], "due": TargetState.READY},
        ),
        ("other target", {"vm": VmId("vm-2"), "reports": [False] * 3, "due": TargetState.READY}),
    ]
    vm = VM

    def test_report(self) -> None:
        anyio.run(self.report)

    async def report(self) -> None:
        changes: list[Any] = []
        async with PeerPool(KEY) as pool:
            link = ControlLink(pool, (NOBODY,), ProcessId("e"), DataCentreId("dc-a"))
            data_centre = DataCentre(
                link, pool, (), lambda: changes.append(None), anyio.current_time
            )
            target = FakeTarget(VM, PoolId("renewals"), address="127.0.0.1:1")
            data_centre.announce(target.announcement(), Instant(anyio.current_time()))
            changes.clear()
            for reached in self.reports:
                data_centre.report_dispatch(self.vm, reached)
        self.assertEqual(self.due, data_centre.members.holder.held[VM].state)
        self.assertEqual(self.due is TargetState.SUSPECTED, bool(changes))


class ConnectedTest(testtools.TestCase):
    """The end of a request reaches the holder and the metrics of the runtime."""

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
    """The limits of the settings are in force, not the constants behind their defaults."""

    scenarios = [
        ("both allowed", {"limits": EntryLimits(1024, 2048), "due": ("answered", None)}),
        ("body", {"limits": EntryLimits(1023, 2048), "due": ("not-run", "body-too-large")}),
        ("answer", {"limits": EntryLimits(1024, 1024), "due": ("failed", "run-failed")}),
        (
            "above the defaults",
            {
                "limits": EntryLimits(2 * MAX_BODY_BYTES, 4 * MAX_BODY_BYTES),
                "body": b"x" * (MAX_BODY_BYTES + 1),
                "due": ("answered", None),
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
        due = (headers["marigolddoor-outcome"], headers.get("marigolddoor-error"))
        self.assertEqual(self.due, due)


class RequestEventsTest(testtools.TestCase):
    """The id in the reply finds all events of the request, linked, without body or key."""

    scenarios = [
        (
            "answered",
            {"due": ["request received", "request sent", "request answered"], "text": "status 200"},
        ),
        (
            "refused by the contract",
            {"headers": {"marigolddoor_priority": "x"}, "due": ["request refused"]}
            | {"text": "bad-header", "counted": 'refusals_total{reason="bad-header"} 1'},
        ),
        (
            "refused in admission",
            {"pool": PoolId("intake"), "due": ["request received", "request refused"]}
            | {"text": "no-target"}
            | {"counted": 'refusals_total{service="renewals",reason="no-target"} 1'},
        ),
        (
            "failed",
            {"behaviour": Behaviour.REPORT_FAILED, "text": "run-failed"}
            | {"due": ["request received", "request sent", "request failed"]},
        ),
        (
            "retried",
            {"behaviour": Behaviour.CRASH, "text": "outcome-unknown"}
            | {"due": ["request received", "request sent", "request retried", "request unknown"]}
            | {"counted": 'retries_total{service="renewals"} 1'},
        ),
        (
            "no quorum for the claim",
            {"headers": {"marigolddoor_service": INTAKE}, "pool": PoolId("intake")}
            | {"due": ["request received", "request refused"], "text": "no-quorum"},
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
        wanted = TimelineFilter(request=RequestId(reply.headers["marigolddoor-request-id"]))
        events = runtime.recorder.fetch(wanted).events
        self.assertEqual(self.due, [event.kind.value for event in events])
        self.assertEqual(self.text, events[-1].text)
        self.assertEqual([None, *(event.id for event in events[:-1])], [e.cause for e in events])
        self.assertEqual(
            [VM if event.kind is EventKind.REQUEST_SENT else None for event in events],
            [None if e.kind is EventKind.REQUEST_RETRIED else e.subject.vm for e in events],
        )
        self.assertNotIn("secret", repr(events))
        self.assertIn(self.counted, runtime.metrics.page())


class ClaimEventsTest(testtools.TestCase):
    """The claim of a request is on its timeline, and a waiting resend does not flood it."""

    scenarios = [
        ("first", {"sent": [b"a"], "due": ["claim granted"]}),
        ("resend", {"sent": [b"a", b"a"], "due": ["claim granted", "claim refused"]}),
        ("other body", {"sent": [b"a", b"b"], "due": ["claim granted", "claim refused"]}),
        (
            "waiting resend",
            {"sent": [b"a", b"a"], "behaviour": Behaviour.SLOW}
            | {"due": ["claim granted", "claim refused", "claim refused"]},
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
                # A slow run is still going on when the resend comes.
                due = "claim granted" if self.behaviour is Behaviour.SLOW else "request answered"
                while not number and due not in [one.kind.value for one in recorder.events]:
                    await anyio.sleep(0.01)
        kinds = [event.kind.value for event in recorder.events]
        self.assertEqual(self.due, [kind for kind in kinds if kind.startswith("claim")])
        self.assertNotIn("secret", repr(recorder.events))
