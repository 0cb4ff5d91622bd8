"""Guards against messages that lose or change a field, and against malformed input."""

import dataclasses

import testtools
from marigolddoor_core.declaration import Declaration, Job, Pool, Service, Team
from marigolddoor_core.ids import (
    ClaimId,
    DataCentreId,
    Epoch,
    FencingToken,
    IdempotencyKey,
    JobId,
    LogIndex,
    OperatorId,
    OrganisationId,
    PoolId,
    ProcessId,
    RackId,
    RequestId,
    Revision,
    ServiceId,
    TaskId,
    TeamId,
    VmId,
)
from marigolddoor_core.state.commands import (
    ApplyDeclaration,
    Choice,
    Claim,
    Fact,
    FinishClaim,
    FinishTask,
    KeptAnswer,
    OpenQuestion,
    RegisterVm,
)
from marigolddoor_core.state.objects import Change, ObjectKind, TaskRecord, TaskState, VmRecord
from marigolddoor_core.state.results import ClaimFinished, Done, Refusal, Refused
from marigolddoor_core.targets import (
    Announcement,
    Resources,
    TargetState,
    TaskPhase,
    TaskReport,
)
from marigolddoor_core.timeline import (
    Event,
    EventId,
    EventKind,
    HybridTime,
    ProcessTimeline,
    Subject,
)
from marigolddoor_wire.codec import THRIFT_MODULES, DecodeError, decode, encode
from marigolddoor_wire.messages import (
    FetchTimelineReply,
    Propose,
    ProposeReply,
    ReportTargets,
    TargetReport,
    WatchReply,
)
from marigolddoor_wire.schema import MODULES

SIZE = Resources(16.0, 32_000, 2)
VM = VmRecord(
    VmId("vm-1"),
    DataCentreId("east"),
    RackId("r1"),
    "127.0.0.1:9000",
    SIZE,
    8,
    PoolId("web"),
    Epoch(3),
)
DECLARATION = Declaration(
    OrganisationId("example"),
    (Service(ServiceId("orders"), PoolId("web"), False, 6),),
    (Pool(PoolId("web"), 6, 4, 1, spare=True),),
    (Team(TeamId("shop"), 8, 16.0),),
    (Job(JobId("report"), PoolId("web"), TeamId("shop"), 3, SIZE),),
)
ANNOUNCEMENT = Announcement(
    VmId("vm-1"),
    DataCentreId("east"),
    RackId("r1"),
    "127.0.0.1:9000",
    8,
    2,
    SIZE,
    Epoch(3),
    tasks=(TaskReport(TaskId("t"), FencingToken(4), TaskPhase.RUNNING, SIZE, 1.5),),
)


class RoundTripTest(testtools.TestCase):
    """A message is decoded unchanged, including unset optional fields and nested types."""

    scenarios = [
        (type(message).__name__ + suffix, {"message": message})
        for suffix, message in [
            (
                "",
                ApplyDeclaration(Revision(4), RequestId("r"), OperatorId("ann"), DECLARATION, 2.0),
            ),
            ("", RegisterVm(VM.vm, VM.data_centre, VM.rack, VM.address, SIZE, 8, VM.pool, 1.0)),
            ("", FinishTask(TaskId("t"), FencingToken(2), TaskPhase.FAILED, "exit 1")),
            ("", Claim(ServiceId("s"), IdempotencyKey("k"), b"\0\xff", ProcessId("p"), 9.0)),
            ("_unknown", FinishClaim(ClaimId(3), ProcessId("p"), None)),
            (
                "_no_body",
                FinishClaim(ClaimId(3), ProcessId("p"), KeptAnswer(200, "text/plain", None, b"d")),
            ),
            (
                "",
                OpenQuestion("s", "Why?", (Fact("f", 1.0),), (Choice("a", "b"),), "a", 60.0),
            ),
            ("", Refused(Refusal.OLD_EPOCH, "3 is over")),
            ("", ClaimFinished(ClaimId(1), None)),
            (
                "",
                WatchReply(
                    LogIndex(7),
                    False,
                    (
                        Change(ObjectKind.VM, "vm-1", LogIndex(7), VM),
                        Change(ObjectKind.VM, "vm-2", LogIndex(6), None),
                        Change(
                            ObjectKind.TASK,
                            "t",
                            LogIndex(5),
                            TaskRecord(TaskId("t"), JobId("j"), TaskState.WAITING),
                        ),
                    ),
                ),
            ),
            ("", Propose(Claim(ServiceId("s"), IdempotencyKey("k"), b"", ProcessId("p"), 9.0), 1)),
            ("", ProposeReply(Done())),
            (
                "",
                FetchTimelineReply(
                    ProcessTimeline(
                        ProcessId("p"),
                        (
                            Event(
                                EventId("p/1"),
                                ProcessId("p"),
                                1,
                                HybridTime(5, 2),
                                EventKind.MOVE_BEGUN,
                                Subject(service=ServiceId("s"), vm=VmId("vm-1")),
                                cause=EventId("q/9"),
                            ),
                        ),
                        1,
                    )
                ),
            ),
            (
                "",
                ReportTargets(
                    ProcessId("p"),
                    DataCentreId("east"),
                    3,
                    True,
                    (TargetReport(ANNOUNCEMENT, TargetState.READY, 0.5),),
                    (VmId("vm-9"),),
                ),
            ),
        ]
    ]

    def test_round_trip(self) -> None:
        self.assertEqual(self.message, decode(encode(self.message)))


class IdlTest(testtools.TestCase):
    """The IDL has every field of every dataclass; a missing one would be dropped silently."""

    scenarios = [
        (name, {"message_type": value})
        for module in MODULES
        for name, value in vars(module).items()
        if isinstance(value, type)
        and dataclasses.is_dataclass(value)
        and value.__module__ == module.__name__
        and name not in ("AnnouncementReply", "TaskOrder")
    ]

    def test_fields(self) -> None:
        name = self.message_type.__name__
        structs = [getattr(module, name) for module in THRIFT_MODULES if hasattr(module, name)]
        self.assertEqual(1, len(structs), f"thrift structs for {name}")
        struct = structs[0]
        in_idl = [spec[2].replace("service_id", "service") for spec in struct.thrift_spec if spec]
        self.assertEqual([field.name for field in dataclasses.fields(self.message_type)], in_idl)


class MalformedInputTest(testtools.TestCase):
    """Malformed bytes raise a typed error and are never decoded to a wrong message."""

    scenarios = [
        ("empty", {"data": b""}),
        ("random bytes", {"data": b"\xff" * 40}),
        ("truncated", {"data": encode(Done())[:3]}),
        ("unknown type", {"data": encode(Done()).replace(b"Done", b"Dune")}),
        (
            "unknown enum",
            {"data": encode(Refused(Refusal.UNKNOWN)).replace(b"unknown", b"unheard")},
        ),
    ]

    def test_decode_error(self) -> None:
        self.assertRaises(DecodeError, decode, self.data)
