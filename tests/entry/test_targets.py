"""Guards against misread announcements, and against dispatch to targets that left or stopped."""

import json
from dataclasses import replace
from typing import Any

import anyio
import testtools
from marigolddoor_core.ids import (
    Epoch,
    FencingToken,
    JobId,
    PoolId,
    ProcessId,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import (
    AnnouncementReply,
    Resources,
    TargetState,
    TaskOrder,
    TaskOrderKind,
    TaskPhase,
    TaskReport,
)
from marigolddoor_entry.demand import DemandMeter, DemandReporter
from marigolddoor_entry.json_forms import (
    JsonFormError,
    announcement_from_json,
    announcement_reply_from_json,
    to_json,
)
from marigolddoor_entry.local_targets import INTERVAL_S, OVERDUE_INTERVALS, LocalTargets
from marigolddoor_wire.messages import ServiceDemand, ShareReport

from tests.entry.fakes import CAPACITY, DATA_CENTRE, FakeTarget, running_entry

TASK = TaskReport(
    TaskId("t"), FencingToken(3), TaskPhase.RUNNING, Resources(1.5, 512, 1), 12.5, "why"
)
ANNOUNCEMENT = replace(
    FakeTarget(VmId("vm-1"), PoolId("renewals")).announcement(),
    address="127.0.0.1:1",
    tasks=(TASK,),
)
ORDER = TaskOrder(
    TaskOrderKind.START,
    TaskId("t"),
    JobId("j"),
    FencingToken(4),
    45.0,
    Resources(2.0, 1024),
    "run it",
)
REPLY = AnnouncementReply(1.0, PoolId("p"), ServiceId("s"), Epoch(7), True, (ORDER, ORDER))
NOW = Instant(10.0)


class JsonFormTest(testtools.TestCase):
    """Announcements and replies keep every field in JSON, including orders and tasks."""

    scenarios = [
        ("announcement", {"message": ANNOUNCEMENT, "parse": announcement_from_json}),
        ("reply", {"message": REPLY, "parse": announcement_reply_from_json}),
        (
            "reply without assignment",
            {"message": AnnouncementReply(2.0), "parse": announcement_reply_from_json},
        ),
    ]

    def test_round_trip(self) -> None:
        self.assertEqual(self.message, self.parse(to_json(self.message)))

    def test_versions(self) -> None:
        """A field that a newer version added is ignored."""
        fields = json.loads(to_json(self.message)) | {"newer": [1]}
        self.assertEqual(self.message, self.parse(json.dumps(fields).encode()))


class BadJsonTest(testtools.TestCase):
    """JSON that doesn't match the type is refused as a whole with JsonFormError and status 400."""

    scenarios = [
        ("no JSON", {"change": None}),
        ("no object", {"change": []}),
        ("missing field", {"change": {"vm": None}}),
        ("text for a number", {"change": {"slots": "8"}}),
        ("flag for a number", {"change": {"slots": True}}),
        ("no array", {"change": {"tasks": {}}}),
        ("unknown phase", {"change": {"tasks": [{**json.loads(to_json(REPLY)), "task": "t"}]}}),
    ]

    def bad(self) -> bytes:
        if self.change is None:
            return b"{"
        if isinstance(self.change, list):
            return b"[]"
        fields: dict[str, Any] = json.loads(to_json(ANNOUNCEMENT)) | self.change
        return json.dumps(
            {name: each for name, each in fields.items() if each is not None}
        ).encode()

    def test_refused(self) -> None:
        self.assertRaises(JsonFormError, announcement_from_json, self.bad())

    def test_http(self) -> None:
        anyio.run(self.http)

    async def http(self) -> None:
        async with running_entry([]) as entry:
            for path in ("announce", "leave"):
                response = await entry.client.post(f"/marigolddoor/{path}", content=self.bad())
                self.assertEqual(400, response.status_code)


class TargetsListenerTest(testtools.TestCase):
    """Requests of targets are answered by the process itself, never forwarded to a target."""

    scenarios = [
        ("get", {"method": "GET", "path": "/marigolddoor/announce", "expected": 404}),
        ("other path", {"method": "POST", "path": "/marigolddoor/other", "expected": 404}),
        ("unknown leave", {"method": "POST", "path": "/marigolddoor/leave", "expected": 404}),
        ("announce", {"method": "POST", "path": "/marigolddoor/announce", "expected": 200}),
    ]

    def test_path(self) -> None:
        anyio.run(self.path_answers)

    async def path_answers(self) -> None:
        async with running_entry([]) as entry:
            response = await entry.client.request(
                self.method, self.path, content=to_json(ANNOUNCEMENT)
            )
        self.assertEqual(self.expected, response.status_code)


def record(**changes: Any) -> VmRecord:
    default = VmRecord(
        VmId("vm-1"),
        DATA_CENTRE,
        ANNOUNCEMENT.rack,
        ANNOUNCEMENT.address,
        CAPACITY,
        8,
        PoolId("renewals"),
        Epoch(3),
    )
    return replace(default, **changes)


class TargetStateTest(testtools.TestCase):
    """A target is ready only while it is announced, not leaving and at the committed epoch."""

    scenarios = [
        ("ready", {"expected": TargetState.READY}),
        ("first announcement", {"epoch": 0, "expected": TargetState.READY}),
        ("old epoch", {"epoch": 2, "expected": TargetState.DRAINING}),
        ("moves", {"record": record(next_pool=PoolId("other")), "expected": TargetState.DRAINING}),
        ("leaving", {"leaving": True, "expected": TargetState.LEAVING}),
        (
            "overdue announcement",
            {"elapsed_s": OVERDUE_INTERVALS * INTERVAL_S + 0.1, "expected": TargetState.SUSPECTED},
        ),
        ("unassigned", {"record": None, "expected": None}),
    ]
    epoch = 3
    leaving = False
    elapsed_s = 0.0
    record: VmRecord | None = record()

    def test_state(self) -> None:
        local = LocalTargets()
        local.assign([self.record] if self.record else [])
        sent = replace(ANNOUNCEMENT, epoch=Epoch(self.epoch), leaving=self.leaving)
        reply = local.announce(sent, NOW)
        local.suspect(Instant(NOW + self.elapsed_s))
        states = [view.state for view in local.targets()]
        self.assertEqual([] if self.expected is None else [self.expected], states)
        self.assertEqual(self.record.pool if self.record else None, reply.pool)


class SlotShareTest(testtools.TestCase):
    """Two processes share the slots by their demand and never use more slots than exist."""

    scenarios = [
        ("peer idle", {"queued": 0, "expected": 4}),
        ("peer busy", {"queued": 30, "expected": 1}),
    ]

    def test_slots(self) -> None:
        anyio.run(self.slots_shared)

    async def slots_shared(self) -> None:
        target = FakeTarget(VmId("vm-1"), PoolId("renewals"))
        async with running_entry([target]) as entry:
            demand = ServiceDemand(ServiceId("renewals"), 0, 0, 0, 0, 0, 0, self.queued, 0.0)
            entry.process.receive_peer_demand(ShareReport(ProcessId("entry-2"), (demand,)))
            entry.process.receive_peer_demand(ShareReport(ProcessId("entry-1"), (demand,)))
            slots = entry.process.admission.pools[PoolId("renewals")].limit.slots
        self.assertEqual(self.expected, slots)


class DemandTest(testtools.TestCase):
    """Each report has the counts since the previous one and the time that slots were in use."""

    scenarios = [
        ("one slot", {"slots": 1, "seconds": 2.0, "expected": 2.0}),
        ("three slots", {"slots": 3, "seconds": 0.5, "expected": 1.5}),
    ]

    def test_report(self) -> None:
        meters = {ServiceId("s"): DemandMeter(counted_at=NOW)}
        meter = meters[ServiceId("s")]
        reporter = DemandReporter()
        meter.arrived = 5
        meter.add_slots(self.slots, NOW)
        later = Instant(NOW + self.seconds)
        first = reporter.report(meters, later)[0]
        self.assertEqual((5, self.slots), (first.arrived, first.in_flight))
        self.assertAlmostEqual(self.expected, first.slot_seconds)
        meter.arrived += 2
        meter.add_slots(-self.slots, later)
        second = reporter.report(meters, Instant(later + 9.0))[0]
        self.assertEqual((2, 0, 0.0), (second.arrived, second.in_flight, second.slot_seconds))
