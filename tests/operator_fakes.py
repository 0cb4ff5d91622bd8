"""A fake system behind the operators' HTTP: a state machine, target states and a timeline.

It is deterministic, so that sessions can be compared with golden files.
"""

import dataclasses
import hashlib
import tomllib
from typing import Any

from loguru import logger
from marigolddoor_control.operators import OperatorsApplication, OperatorService, parse_tokens
from marigolddoor_core import declaration
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    FencingToken,
    LogIndex,
    OperatorId,
    PoolId,
    ProcessId,
    RackId,
    ReplicaId,
    RequestId,
    Revision,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.operations import InForce, TimelinePosition
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.state.commands import (
    ApplyDeclaration,
    BeginMove,
    Choice,
    CloseQuestion,
    Command,
    Fact,
    FinishTask,
    GrantLease,
    MaintenanceStep,
    OpenQuestion,
    RecordMaintenance,
    RegisterVm,
    SetAsideTask,
)
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import Refused, Result
from marigolddoor_core.targets import Announcement, Resources, TargetState, TaskPhase
from marigolddoor_core.timeline import (
    EventKind,
    MissingProcess,
    Recorder,
    Subject,
    Timeline,
    TimelineFilter,
    merge,
)

# Most tests here cause refusals, whose log lines would hide those of real failures.
logger.disable("marigolddoor_control.operators")

ANN_TOKEN = "ann-test-token"
BEN_TOKEN = "ben-test-token"
SIZE = Resources(16.0, 32_000)
START_MS = 1_764_842_400_000


TEMPLATE = """
[parameters.order_workers]
type = "integer"
default = 3
minimum = 1

[services.orders]
pool = "orders"
idempotent = false
floor_slots = 6

[services.help]
pool = "support"
idempotent = true
floor_slots = 4

[pools.orders]
size = "${order_workers}"
floor = 1
max_unavailable = 1

[pools.support]
size = 2
floor = 1
max_unavailable = 1
spare = true

[teams.counter]
slots = 8
cores = 16

[jobs.settle]
pool = "orders"
team = "counter"
tasks = 2
cores = 2
memory_mb = 4000

[jobs.report]
pool = "orders"
team = "counter"
tasks = 1
cores = 2
memory_mb = 4000
urgent = true
"""
ORGANISATION = 'organisation = "example"\ntemplate = "template.toml"\n'
QUESTION = OpenQuestion(
    "vm vm-3",
    "VM vm-3 did not return from its reboot. Should it be replaced?",
    (Fact("vm-3 was rebooted", 400.0), Fact("pool orders has 1 of 3 VMs left", 990.0)),
    (
        Choice("replace", "vm-3 is retired and the wave goes on"),
        Choice("wait", "the wave stays stopped for an hour"),
    ),
    "wait",
    3900.0,
    700.0,
)
REPORT = TaskId("report/0")
EPOCH = Epoch(1)


def failed_run(vm: str, token: int) -> tuple[Command, ...]:
    """Return the commands of a failed run of the task `REPORT`."""
    return (
        GrantLease(REPORT, VmId(vm), EPOCH, 45.0),
        FinishTask(REPORT, FencingToken(token), TaskPhase.FAILED, "exit 1"),
    )


def maintenance(vm: str, *steps: MaintenanceStep) -> tuple[Command, ...]:
    """Return the commands that record maintenance steps of a VM."""
    return tuple(RecordMaintenance(VmId(vm), EPOCH, step) for step in steps)


def history() -> tuple[Command, ...]:
    """Return the commands that build the initial state of every session."""
    declared = declaration.read_declaration(
        tomllib.loads(ORGANISATION), tomllib.loads(TEMPLATE), "organisation.toml", "template.toml"
    )
    pools = {"vm-1": "orders", "vm-2": "orders", "vm-3": "orders", "vm-4": "support",
             "vm-5": "support"}  # fmt: skip
    registration = (DataCentreId("east"), RackId("rack-1"), "127.0.0.1:9000", SIZE, 8)
    step = MaintenanceStep
    return (
        ApplyDeclaration(Revision(0), RequestId("first"), OperatorId("zoe"), declared),
        *(RegisterVm(VmId(vm), *registration, PoolId(pool)) for vm, pool in pools.items()),
        GrantLease(TaskId("settle/0"), VmId("vm-1"), EPOCH, 2000.0),
        *failed_run("vm-1", 1),
        *failed_run("vm-2", 2),
        *failed_run("vm-4", 3),
        SetAsideTask(REPORT, "failed on 3 workers: exit 1"),
        BeginMove(VmId("vm-2"), EPOCH, PoolId("support")),
        *maintenance("vm-3", step.DRAINING, step.REBOOTING),
        *maintenance("vm-5", step.DRAINING, step.REBOOTING, step.VERIFYING, step.DONE),
        QUESTION,
        dataclasses.replace(QUESTION, subject="pool support"),
    )


class FakeSystem:
    """One replica that commits at once: the real state machine with fixed target states."""

    def __init__(self) -> None:
        self.replica = ReplicaId("r1")
        self.leader: ReplicaId | None = ReplicaId("r1")
        self.state = StateMachine()
        for command in history():
            result = self.commit(command)
            assert not isinstance(result, Refused), f"{command}: {result}"
        self.question, closed = self.state.questions
        self.commit(CloseQuestion(closed, "vm-3 is back", 1000.0))
        states = dict.fromkeys(map(VmId, ("vm-1", "vm-2", "vm-4", "vm-5")), TargetState.READY)
        states[VmId("vm-3")] = TargetState.DEAD
        self.targets = {
            vm: ObservedTarget(fake_announcement(vm), state, 0.5) for vm, state in states.items()
        }
        self.in_force = (
            InForce(ProcessId("entry-2"), Revision(0)),
            InForce(ProcessId("entry-1"), Revision(1), DataCentreId("east"), 0.2),
        )
        self.proposed: list[Command] = []
        # Makes proposals fail before (`no_quorum`) or after (`lose_results`) they are committed.
        self.no_quorum = False
        self.lose_results = 0

    def __getattr__(self, name: str) -> Any:
        """Return a part of the replicated state."""
        return getattr(self.state, name)

    def commit(self, command: Command) -> Result:
        """Apply a command at the next index."""
        return self.state.apply(LogIndex(self.state.index + 1), command)

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Commit a command and return its result."""
        if self.no_quorum:
            raise NoQuorumError("no leader with a quorum is known")
        self.proposed.append(command)
        result = self.commit(command)
        if self.lose_results > 0:
            self.lose_results -= 1
            raise ProposalOutcomeUnknownError("no result within 5 s")
        return result


def fake_announcement(vm: VmId) -> Announcement:
    """Return an announcement of an idle target."""
    return Announcement(
        vm, DataCentreId("east"), RackId("rack-1"), "127.0.0.1:9000", 8, 0, SIZE, EPOCH
    )


class FakeTimeline:
    """The timeline of three processes, one of which is unreachable."""

    def __init__(self) -> None:
        entry, control = Recorder(ProcessId("entry-1")), Recorder(ProcessId("control-1"))
        vm = Subject(vm=VmId("vm-2"), pool=PoolId("orders"))
        accepted = control.record(
            EventKind.REVISION_ACCEPTED,
            START_MS,
            Subject(revision=Revision(1)),
            "zoe changed pool support from 1 to 2 VMs",
        )
        begun = control.record(
            EventKind.MOVE_BEGUN, START_MS + 40, vm, "vm-2 drains towards support", accepted
        )
        entry.observe(control.last_time, START_MS - 300)
        draining = entry.record(
            EventKind.TARGET_DRAINING, START_MS - 300, vm, "vm-2 takes no new work", begun
        )
        entry.record(
            EventKind.REQUEST_ANSWERED,
            START_MS + 900,
            Subject(request=RequestId("req-7"), vm=VmId("vm-2"), service=ServiceId("orders")),
            "answered with 200 in 912 ms",
        )
        control.observe(entry.last_time, START_MS + 910)
        control.record(
            EventKind.MOVE_FINISHED, START_MS + 1_200, vm, "vm-2 is in support <epoch 4>", draining
        )
        self.recorders = (entry, control)
        self.missing: tuple[MissingProcess, ...] = (
            MissingProcess("127.0.0.1:7003", "no connection"),
        )

    async def fetch(
        self, wanted: TimelineFilter, after: tuple[TimelinePosition, ...], limit: int
    ) -> Timeline:
        """Return the merged events."""
        positions = {position.process: position.sequence for position in after}
        parts = [
            recorder.fetch(wanted, positions.get(recorder.process, 0), limit)
            for recorder in self.recorders
        ]
        return merge(parts, self.missing)


class FakeMetrics:
    """A metrics page with one metric."""

    def page(self) -> str:
        """Return the page."""
        return "# TYPE marigolddoor_up gauge\nmarigolddoor_up 1\n"


def fake_application(
    system: FakeSystem, timeline: FakeTimeline | None = None
) -> OperatorsApplication:
    """Return the real application on the fake system, with tokens of ann and ben."""
    lines = (
        f"{name} {hashlib.sha256(token.encode()).hexdigest()}\n"
        for name, token in (("ann", ANN_TOKEN), ("ben", BEN_TOKEN))
    )
    service = OperatorService(system, system, declaration, timeline or FakeTimeline())
    return OperatorsApplication(service, parse_tokens("".join(lines)), FakeMetrics())
