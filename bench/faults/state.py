"""Fault runs of the state machine with random racing, late and repeated commands.

A second machine is restored from a snapshot of the first one at random steps, and checkers check
every step. A checker sees commands, results and public state only.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

from marigolddoor_core.ids import (
    ClaimId,
    DataCentreId,
    Epoch,
    FencingToken,
    JobId,
    LogIndex,
    PoolId,
    QuestionId,
    TaskId,
    VmId,
)
from marigolddoor_core.state import commands as c
from marigolddoor_core.state import results as r
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, VmRecord
from marigolddoor_core.targets import TaskPhase

from bench.faults import state_commands as f

VMS = [f"vm-{n}" for n in range(4)]
POOLS = ["web", "spare"]
KEYS = [f"k{n}" for n in range(6)]
TASKS = ["report/0", "report/1", "report/2", "t0", "t1", "t2"]
TOMBSTONE_LIMIT = 3
CLAIMS_LIMIT_BYTES = 2_600
MAX_ENDED_TASKS = 1

MachineFactory = Callable[[], StateMachine]


@dataclass(frozen=True, slots=True)
class View:
    """The public state before a step."""

    time_s: float
    revision: int
    vms: dict[VmId, VmRecord]
    tasks: dict[TaskId, TaskRecord]
    questions: dict[QuestionId, QuestionRecord]


@dataclass(frozen=True, slots=True)
class Step:
    """One command with its result on both machines. `restored` is the second machine."""

    command: Any
    result: r.Result
    before: View
    machine: StateMachine
    restored: StateMachine
    restored_result: r.Result


class Checker(Protocol):
    """Checks each step against one rule."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        ...


def new_machine() -> StateMachine:
    """Return a machine with limits small enough to be reached in a run."""
    return StateMachine(CLAIMS_LIMIT_BYTES, TOMBSTONE_LIMIT, MAX_ENDED_TASKS)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that a checker reported for a step."""

    step: int
    checker: Checker
    text: str
    command: Any


def faults(
    seed: int, steps: int, checkers: Sequence[Checker], make_machine: MachineFactory = new_machine
) -> Iterator[Fault]:
    """Run a machine and yield each fault that a checker reports."""
    rng = random.Random(seed)
    machine, restored = make_machine(), make_machine()
    generator = CommandGenerator(rng)
    for number in range(steps):
        if rng.random() < 0.05:
            restored = make_machine()
            restored.restore(machine.snapshot())
        command = generator.next_command(machine)
        index = LogIndex(machine.index + rng.choice((1, 1, 1, 2)))
        before = View(
            machine.time_s,
            machine.revision,
            dict(machine.vms),
            dict(machine.tasks),
            dict(machine.questions),
        )
        result = machine.apply(index, command)
        step = Step(command, result, before, machine, restored, restored.apply(index, command))
        generator.record_result(result)
        for checker in checkers:
            text = checker.check(step)
            if text is not None:
                yield Fault(number, checker, text, command)


def first_fault(
    seed: int, steps: int, checkers: Sequence[Checker], make_machine: MachineFactory = new_machine
) -> str | None:
    """Return the first fault that a checker reports, with its step, or None."""
    for fault in faults(seed, steps, checkers, make_machine):
        name = type(fault.checker).__name__
        return f"seed {seed}, step {fault.step}: {name}: {fault.text}; after {fault.command}"
    return None


class CommandGenerator:
    """Generates the commands of operators, workers, entry processes and leaders.

    Some are based on outdated state.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.sent: list[Any] = []
        self.claims: list[ClaimId] = []
        self.requests = 0
        self.time_s = 0.0
        # Several commands in a row on the same VM and task reach more of their states.
        self.vm = VmId(VMS[0])
        self.task = TaskId(TASKS[0])

    def next_command(self, machine: StateMachine) -> Any:
        """Return a new command, or an earlier one that arrives late or is repeated."""
        if self.sent and self.rng.random() < 0.25:
            command = self.rng.choice(self.sent[-60:])
            return command if self.rng.random() < 0.5 else replace(command, time_s=self.time_s)
        steps_s = (0.0, 0.0, 0.1, 1.0, 1.0, 5.0, 20.0)
        self.time_s += 650.0 if self.rng.random() < 0.01 else self.rng.choice(steps_s)
        # A new leader's clock may be behind that of the previous leader.
        time_s = self.time_s - self.rng.choice((0.0, 0.0, 30.0))
        command = replace(self._command(machine), time_s=time_s)
        self.sent.append(command)
        return command

    def record_result(self, result: r.Result) -> None:
        """Record the claims that were granted, for later commands on them."""
        if isinstance(result, r.ClaimGranted):
            self.claims.append(result.claim)

    def _command(self, machine: StateMachine) -> Any:
        choose = self.rng.choice
        make_command = choose(
            (
                self._declare,
                self._register,
                self._vm_command,
                self._vm_command,
                self._vm_command,
                self._task_command,
                self._task_command,
                self._task_command,
                self._claim_command,
                self._claim_command,
                self._question_command,
            )
        )
        return make_command(machine)

    def _declare(self, machine: StateMachine) -> Any:
        self.requests += 1
        base = max(machine.revision - self.rng.choice((0, 0, 0, 1)), 0)
        declaration = f.with_job(self.rng.choice((0, 1, 2, 2, 3, 3)), self.rng.choice("12"))
        if self.rng.random() < 0.05:
            declaration = replace(declaration, jobs=())
        if self.rng.random() < 0.1:
            declaration = replace(declaration, pools=declaration.pools[:1])
        author = self.rng.choice(("ann", "ben"))
        return f.declare(base, f"r{self.requests}", declaration, author)

    def _register(self, machine: StateMachine) -> Any:
        vm = self.rng.choice(VMS)
        home = "east" if vm in VMS[:2] else "west"
        return f.register(
            vm,
            self.rng.choice(POOLS),
            home if self.rng.random() < 0.8 else self.rng.choice(("east", "west")),
            address=self.rng.choice(("127.0.0.1:9000", "127.0.0.1:9001")),
        )

    def _epoch(self, machine: StateMachine, vm: VmId) -> Epoch:
        known = machine.vms.get(vm)
        epoch = 1 if known is None else known.epoch
        return Epoch(epoch - self.rng.choice((0, 0, 0, 0, 1)))

    def next_vm(self) -> VmId:
        """Return the VM of the next command."""
        if self.rng.random() < 0.4:
            self.vm = VmId(self.rng.choice(VMS))
        return self.vm

    def _vm_command(self, machine: StateMachine) -> Any:
        vm = self.next_vm()
        epoch = self._epoch(machine, vm)
        begin = c.BeginMove(vm, epoch, PoolId(self.rng.choice(POOLS)))
        finish = c.FinishMove(vm, epoch)
        step = c.RecordMaintenance(vm, epoch, self.rng.choice(list(c.MaintenanceStep)))
        self.requests += 1
        drain = f.drain(None, vm, f"r{self.requests}")
        return self.rng.choice(
            (*[begin] * 4, *[finish] * 4, *[step] * 3, c.RetireVm(vm, epoch), drain)
        )

    def _task_command(self, machine: StateMachine) -> Any:
        if self.rng.random() < 0.4:
            self.task = TaskId(self.rng.choice(TASKS))
        task = self.task
        vm = self.next_vm()
        known = machine.tasks.get(task)
        token = 1 if known is None else known.token
        token = FencingToken(token - self.rng.choice((0, 0, 0, 1)))
        lease_s = self.rng.choice((1.0, 45.0))
        grant = c.GrantLease(task, vm, self._epoch(machine, vm), lease_s)
        finish = c.FinishTask(task, token, self.rng.choice(list(TaskPhase)))
        return self.rng.choice(
            (
                *[c.SubmitTask(task, JobId("report"))] * 2,
                *[grant] * 6,
                *[c.RenewLease(task, token, lease_s)] * 2,
                *[finish] * 3,
                c.CancelTask(task),
                c.SetAsideTask(task, "fails"),
            )
        )

    def _claim_command(self, machine: StateMachine) -> Any:
        claimant = self.rng.choice(("p1", "p2"))
        known = self.claims[-6:] or [ClaimId(1)]
        body = self.rng.choice((b"a", b"b" * 300, None))
        return self.rng.choice(
            (
                f.claim(
                    self.rng.choice(KEYS),
                    claimant,
                    self.rng.choice((b"d", b"d", b"e")),
                    self.time_s + 10.0,
                ),
                f.claim(self.rng.choice(KEYS), claimant, b"d", self.time_s + 10.0),
                f.finish_claim(self.rng.choice(known), f.stored_answer(body), claimant),
                f.finish_claim(self.rng.choice(known), None, claimant),
                f.release(self.rng.choice(known), claimant),
                c.ExpireClaims(),
            )
        )

    def _question_command(self, machine: StateMachine) -> Any:
        question = self.rng.choice([*machine.questions, "q0"])
        return self.rng.choice(
            (
                f.ask(self.rng.choice(("vm-1", "quota"))),
                f.answer(question, self.rng.choice(("wait", "replace"))),
                c.CloseQuestion(QuestionId(question), "over"),
            )
        )


EAST = DataCentreId("east")
