"""A small system behind the operators' HTTP: agreed state, rules of declarations and timeline.

Everything in it is deterministic, so that whole sessions can be compared with files.
"""

import dataclasses
import hashlib
from collections.abc import Mapping
from typing import Any

from loguru import logger
from marigolddoor_control.operators import OperatorsApplication, OperatorService, parse_tokens
from marigolddoor_core.declaration import Declaration, Job, Pool, Service, Team
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    JobId,
    LogIndex,
    OperatorId,
    OrganisationId,
    PoolId,
    ProcessId,
    QuestionId,
    RackId,
    ReplicaId,
    RequestId,
    Revision,
    ServiceId,
    TaskId,
    TeamId,
    VmId,
)
from marigolddoor_core.operations import BadRequestError, InForce, TimelinePosition
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.state.commands import (
    AnswerQuestion,
    ApplyDeclaration,
    Choice,
    Command,
    Fact,
    MaintenanceStep,
    RequestDrain,
)
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, TaskState, VmRecord
from marigolddoor_core.state.results import (
    AlreadyAnswered,
    DeclarationAccepted,
    Done,
    Refusal,
    Refused,
    Result,
    RevisionConflict,
)
from marigolddoor_core.targets import Announcement, Resources, TargetState
from marigolddoor_core.timeline import (
    EventKind,
    MissingProcess,
    Recorder,
    Subject,
    Timeline,
    TimelineFilter,
    merge,
)

# Refusals are the purpose of most tests here; their log lines would hide real failures.
logger.disable("marigolddoor_control.operators")

ANN_TOKEN = "ann-test-token"
BEN_TOKEN = "ben-test-token"
SIZE = Resources(16.0, 32_000)
START_MS = 1_764_842_400_000


@dataclasses.dataclass(frozen=True)
class FakePlan:
    """What the fake rules say about a change."""

    added_pools: tuple[PoolId, ...]
    removed_pools: tuple[PoolId, ...]


class FakeRules:
    """Reads `name`, `pools` (name to size) of the organisation; the template gives `budget`."""

    def read_declaration(
        self,
        organisation: Mapping[str, Any],
        template: Mapping[str, Any],
        organisation_file: str,
        template_file: str,
    ) -> Declaration:
        """Return the declaration, or raise with every pool that has no VM."""
        bad = [name for name, size in organisation.get("pools", {}).items() if size < 1]
        if bad:
            raise BadRequestError(
                *(
                    f"{organisation_file}: pools.{name} is below 1; allowed: 1 or more"
                    for name in bad
                )
            )
        return Declaration(
            OrganisationId(organisation["name"]),
            (Service(ServiceId("orders"), PoolId("orders"), False, 6),),
            tuple(
                Pool(PoolId(name), size, 1, template.get("budget", 1))
                for name, size in organisation["pools"].items()
            ),
            (Team(TeamId("counter"), 8, 16.0),),
            (
                Job(JobId("settle"), PoolId("orders"), TeamId("counter"), 2, SIZE),
                Job(JobId("report"), PoolId("orders"), TeamId("counter"), 1, SIZE, urgent=True),
            ),
        )

    def plan(
        self, current: Declaration, proposed: Declaration, vms: Mapping[VmId, VmRecord]
    ) -> FakePlan:
        """Return the pools that come and go."""
        old = {pool.id for pool in current.pools}
        new = {pool.id for pool in proposed.pools}
        return FakePlan(tuple(sorted(new - old)), tuple(sorted(old - new)))


class FakeSystem:
    """The agreed state of one replica, which also accepts commands."""

    def __init__(self) -> None:
        self.replica = ReplicaId("r1")
        self.leader: ReplicaId | None = ReplicaId("r1")
        self.index = LogIndex(40)
        self.time_s = 1000.0
        self.revision = Revision(1)
        self.author = OperatorId("zoe")
        rules = FakeRules()
        self.declaration: Declaration = rules.read_declaration(
            {"name": "example", "pools": {"orders": 3, "support": 2}}, {}, "", ""
        )
        self.vms = {
            vm.vm: vm
            for vm in (
                fake_vm("vm-1", "orders"),
                fake_vm("vm-2", "orders", next_pool=PoolId("support")),
                fake_vm("vm-3", "orders", maintenance=MaintenanceStep.REBOOTING),
                fake_vm("vm-4", "support"),
                fake_vm("vm-5", "support", maintenance=MaintenanceStep.DONE),
            )
        }
        self.targets = {
            VmId(name): ObservedTarget(fake_announcement(name), state, 0.5)
            for name, state in (
                ("vm-1", TargetState.READY),
                ("vm-2", TargetState.READY),
                ("vm-3", TargetState.DEAD),
                ("vm-4", TargetState.READY),
                ("vm-5", TargetState.READY),
            )
        }
        self.tasks = {
            task.task: task
            for task in (
                TaskRecord(TaskId("settle-1"), JobId("settle"), TaskState.LEASED),
                TaskRecord(TaskId("settle-2"), JobId("settle"), TaskState.WAITING),
                TaskRecord(
                    TaskId("report-1"),
                    JobId("report"),
                    TaskState.SET_ASIDE,
                    failures=3,
                    failed_on=(VmId("vm-1"), VmId("vm-2"), VmId("vm-4")),
                    reason="failed on 3 workers: exit 1",
                ),
            )
        }
        self.questions = {
            QuestionId("q1"): fake_question("q1"),
            QuestionId("q2"): closed_question(),
        }
        self.in_force = (
            InForce(ProcessId("entry-2"), Revision(0)),
            InForce(ProcessId("entry-1"), Revision(1), DataCentreId("east"), 0.2),
        )
        self.results: dict[RequestId, Result] = {}
        self.proposed: list[Command] = []
        # Set to make the next proposals fail before or after they are committed.
        self.no_quorum = False
        self.lose_results = 0

    @property
    def jobs(self) -> Mapping[JobId, Job]:
        """The declared jobs."""
        return {job.id: job for job in self.declaration.jobs}

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Commit and apply a command on the spot."""
        if self.no_quorum:
            raise NoQuorumError("no leader with a quorum is known")
        self.proposed.append(command)
        assert isinstance(command, ApplyDeclaration | AnswerQuestion | RequestDrain)
        result = self.results.get(command.request)
        if result is None:
            result = self.apply(command)
            self.results[command.request] = result
        if self.lose_results > 0:
            self.lose_results -= 1
            raise ProposalOutcomeUnknownError("no result within 5 s")
        return result

    def apply(self, command: ApplyDeclaration | AnswerQuestion | RequestDrain) -> Result:
        """Change the state."""
        if isinstance(command, ApplyDeclaration):
            if command.base_revision != self.revision:
                return RevisionConflict(command.base_revision, self.revision, self.author)
            self.revision = Revision(self.revision + 1)
            self.author, self.declaration = command.author, command.declaration
            return DeclarationAccepted(self.revision)
        if isinstance(command, RequestDrain):
            pools = {pool.id for pool in self.declaration.pools}
            if command.pool in pools or command.vm in self.vms:
                return Done()
            return Refused(Refusal.UNKNOWN, f"there is no {command.pool or command.vm!r}")
        return self.apply_answer(command)

    def apply_answer(self, command: AnswerQuestion) -> Result:
        """Record an answer unless there is one."""
        question = self.questions.get(command.question)
        if question is None:
            return Refused(Refusal.UNKNOWN, f"there is no question {command.question!r}")
        if question.closed:
            return Refused(Refusal.FINISHED, "the question is closed")
        if question.answer is not None and question.author is not None:
            return AlreadyAnswered(question.answer, question.author)
        if command.choice not in [choice.name for choice in question.choices]:
            return Refused(Refusal.INVALID, f"there is no choice {command.choice!r}")
        self.questions[command.question] = dataclasses.replace(
            question, answer=command.choice, author=command.author
        )
        return Done()


def fake_vm(name: str, pool: str, **parts: Any) -> VmRecord:
    """Return a VM of `pool`."""
    return VmRecord(
        VmId(name),
        DataCentreId("east"),
        RackId("rack-1"),
        "127.0.0.1:9000",
        SIZE,
        8,
        PoolId(pool),
        Epoch(3),
        **parts,
    )


def fake_announcement(name: str) -> Announcement:
    """Return an announcement of an idle target."""
    return Announcement(
        VmId(name),
        DataCentreId("east"),
        RackId("rack-1"),
        "127.0.0.1:9000",
        8,
        0,
        SIZE,
        Epoch(3),
    )


def fake_question(name: str) -> QuestionRecord:
    """Return an open question."""
    return QuestionRecord(
        QuestionId(name),
        "vm vm-3",
        "VM vm-3 did not return from its reboot. Should it be replaced?",
        (Fact("vm-3 was rebooted", 400.0), Fact("pool orders has 1 of 3 VMs left", 990.0)),
        (
            Choice("replace", "vm-3 is retired and the wave goes on"),
            Choice("wait", "the wave stays stopped for an hour"),
        ),
        "wait",
        4600.0,
        700.0,
    )


def closed_question() -> QuestionRecord:
    """Return a question whose reason went away."""
    return dataclasses.replace(fake_question("q2"), subject="pool support", closed=True)


class FakeTimeline:
    """The timeline of three processes, one of which can't be reached."""

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
        entry.observe(control.last, START_MS - 300)
        draining = entry.record(
            EventKind.TARGET_DRAINING, START_MS - 300, vm, "vm-2 takes no new work", begun
        )
        entry.record(
            EventKind.REQUEST_ANSWERED,
            START_MS + 900,
            Subject(request=RequestId("req-7"), vm=VmId("vm-2"), service=ServiceId("orders")),
            "answered with 200 in 912 ms",
        )
        control.observe(entry.last, START_MS + 910)
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
    """A page with one metric."""

    def page(self) -> str:
        """Return the page."""
        return "# TYPE marigolddoor_up gauge\nmarigolddoor_up 1\n"


def fake_application(
    system: FakeSystem, timeline: FakeTimeline | None = None
) -> OperatorsApplication:
    """Return the real application over the fake system, with tokens of ann and ben."""
    lines = (
        f"{name} {hashlib.sha256(token.encode()).hexdigest()}\n"
        for name, token in (("ann", ANN_TOKEN), ("ben", BEN_TOKEN))
    )
    service = OperatorService(system, system, FakeRules(), timeline or FakeTimeline())
    return OperatorsApplication(service, parse_tokens("".join(lines)), FakeMetrics())
