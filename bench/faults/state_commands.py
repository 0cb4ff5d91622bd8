"""A small declaration and sample commands on it, for fault runs and tests of the state machine."""

from dataclasses import replace
from typing import Any

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
    QuestionId,
    RackId,
    RequestId,
    Revision,
    ServiceId,
    TaskId,
    TeamId,
    VmId,
)
from marigolddoor_core.state import commands as c
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import Result
from marigolddoor_core.targets import Resources, TaskPhase

SIZE = Resources(16.0, 32_000)
DECLARATION = Declaration(
    OrganisationId("example"),
    (
        Service(ServiceId("orders"), PoolId("web"), False, 6),
        Service(ServiceId("help"), PoolId("spare"), True, 2, rank=1),
    ),
    (Pool(PoolId("web"), 6, 4, 1), Pool(PoolId("spare"), 6, 2, 2, spare=True)),
    (Team(TeamId("shop"), 8, 16.0),),
    (Job(JobId("report"), PoolId("web"), TeamId("shop"), 2, Resources(2.0, 1_000)),),
)


def with_job(tasks: int, version: str = "1") -> Declaration:
    """Return the declaration with another number of tasks and version of its job."""
    job = replace(DECLARATION.jobs[0], tasks=tasks, version=version)
    return replace(DECLARATION, jobs=(job,))


def declare(
    base: int = 0,
    request: str = "r1",
    declaration: Declaration = DECLARATION,
    author: str = "ann",
    time_s: float = 0.0,
) -> c.ApplyDeclaration:
    """Return the change of an operator to `declaration`."""
    return c.ApplyDeclaration(
        Revision(base), RequestId(request), OperatorId(author), declaration, time_s
    )


def register(
    vm: str = "vm-1", pool: str = "web", data_centre: str = "east", **changes: Any
) -> c.RegisterVm:
    """Return the registration of a VM; `changes` replace its fields."""
    command = c.RegisterVm(
        VmId(vm),
        DataCentreId(data_centre),
        RackId("rack-1"),
        "127.0.0.1:9000",
        SIZE,
        8,
        PoolId(pool),
    )
    return replace(command, **changes)


def begin(vm: str = "vm-1", epoch: int = 1, pool: str = "spare") -> c.BeginMove:
    """Return the start of a move to `pool`."""
    return c.BeginMove(VmId(vm), Epoch(epoch), PoolId(pool))


def finish(vm: str = "vm-1", epoch: int = 1, time_s: float = 0.0) -> c.FinishMove:
    """Return the end of a move."""
    return c.FinishMove(VmId(vm), Epoch(epoch), time_s)


def retire(vm: str = "vm-1", epoch: int = 1) -> c.RetireVm:
    """Return the removal of a VM."""
    return c.RetireVm(VmId(vm), Epoch(epoch))


def maintain(step: c.MaintenanceStep, epoch: int = 1, time_s: float = 0.0) -> c.RecordMaintenance:
    """Return the report of a maintenance step of `vm-1`."""
    return c.RecordMaintenance(VmId("vm-1"), Epoch(epoch), step, time_s)


MAINTENANCE = [
    maintain(step)
    for step in (
        c.MaintenanceStep.DRAINING,
        c.MaintenanceStep.REBOOTING,
        c.MaintenanceStep.VERIFYING,
        c.MaintenanceStep.DONE,
    )
]


def drain(pool: str | None = None, vm: str | None = None, request: str = "d1") -> c.RequestDrain:
    """Return the request of an operator to drain a pool or a VM."""
    return c.RequestDrain(
        None if pool is None else PoolId(pool),
        None if vm is None else VmId(vm),
        OperatorId("ann"),
        RequestId(request),
    )


def submit(task: str = "t", job: str = "report") -> c.SubmitTask:
    """Return the submission of a task."""
    return c.SubmitTask(TaskId(task), JobId(job))


def grant(
    task: str = "report/0",
    vm: str = "vm-1",
    epoch: int = 1,
    lease_s: float = 45.0,
    time_s: float = 0.0,
) -> c.GrantLease:
    """Return the grant of a lease."""
    return c.GrantLease(TaskId(task), VmId(vm), Epoch(epoch), lease_s, time_s)


def renew(token: int = 1, time_s: float = 0.0, lease_s: float = 45.0) -> c.RenewLease:
    """Return the renewal of the lease of `report/0`."""
    return c.RenewLease(TaskId("report/0"), FencingToken(token), lease_s, time_s)


def end(token: int = 1, phase: TaskPhase = TaskPhase.FINISHED, time_s: float = 0.0) -> c.FinishTask:
    """Return the end of a run of `report/0`."""
    return c.FinishTask(TaskId("report/0"), FencingToken(token), phase, "", time_s)


def claim(
    key: str = "k",
    claimant: str = "p1",
    digest: bytes = b"d",
    deadline_s: float = 10.0,
    time_s: float = 0.0,
) -> c.Claim:
    """Return a claim on a key of the service `orders`."""
    return c.Claim(
        ServiceId("orders"), IdempotencyKey(key), digest, ProcessId(claimant), deadline_s, time_s
    )


def stored_answer(body: bytes | None = b"ok", status: int = 200) -> c.KeptAnswer:
    """Return an answer as it is stored for resends."""
    return c.KeptAnswer(status, "text/plain", body, b"digest of " + (body or b"")[:8])


def finish_claim(
    claim_id: int, answer: c.KeptAnswer | None, claimant: str = "p1", time_s: float = 0.0
) -> c.FinishClaim:
    """Return the end of a claimed run; `answer` is None if its outcome is unknown."""
    return c.FinishClaim(ClaimId(claim_id), ProcessId(claimant), answer, time_s)


def release(claim_id: int, claimant: str = "p1") -> c.ReleaseClaim:
    """Return the release of a claim."""
    return c.ReleaseClaim(ClaimId(claim_id), ProcessId(claimant))


def ask(subject: str = "vm-1 silent", **changes: Any) -> c.OpenQuestion:
    """Return a question with two choices; `changes` replace its fields."""
    command = c.OpenQuestion(
        subject,
        "Replace vm-1?",
        (c.Fact("silent for 60 s", 0.0),),
        (c.Choice("wait", "nothing changes"), c.Choice("replace", "vm-1 is retired")),
        "wait",
        60.0,
    )
    return replace(command, **changes)


def answer(question: str, choice: str = "wait", author: str = "ann") -> c.AnswerQuestion:
    """Return the answer of an operator to a question."""
    return c.AnswerQuestion(QuestionId(question), choice, OperatorId(author), RequestId("a"))


def apply_all(machine: StateMachine, *commands: Any) -> list[Result]:
    """Apply the commands at the next indexes and return their results."""
    return [machine.apply(LogIndex(machine.index + 1), command) for command in commands]
