"""Guards against rule violations after random sequences of racing, late and repeated commands.

Each checker also runs against machines without the guard that it checks, and must report a fault.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import testtools
from marigolddoor_core.ids import DataCentreId, Epoch, FencingToken, LogIndex
from marigolddoor_core.state import commands as c
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.objects import ObjectKind, TaskState
from marigolddoor_core.state.results import (
    DeclarationAccepted,
    LeaseGranted,
    RevisionConflict,
)

from bench.faults import state_checkers as k
from bench.faults.state import CLAIMS_LIMIT_BYTES, EAST, Step, first_fault, new_machine
from bench.faults.state_guards import grant_without_claim, keep_epoch

SEEDS = range(12)
STEPS = 700
# A machine without a guard is reported in at least one of these runs.
UNGUARDED_SEEDS = range(40)


def all_checkers() -> list[Any]:
    """Return a fresh checker of each kind."""
    return [
        k.RevisionChecker(),
        k.ResendChecker(),
        k.PoolChecker(),
        k.EpochChecker(),
        k.LeaseChecker(),
        k.DrainChecker(),
        k.TaskChecker(),
        k.ClaimChecker(),
        k.MemoryChecker(CLAIMS_LIMIT_BYTES),
        k.AnswerChecker(),
        k.QuestionChecker(),
        k.TimeChecker(),
        k.SnapshotChecker(),
        k.WatchChecker(None, 1),
        k.WatchChecker(EAST, 5),
    ]


class RandomTest(testtools.TestCase):
    """No checker reports a fault of the unmodified machine."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in SEEDS]

    def test_no_fault(self) -> None:
        self.assertIsNone(first_fault(self.seed, STEPS, all_checkers()))


class CoverageTest(testtools.TestCase):
    """The random commands include accepted and refused ones of every kind."""

    def test_results(self) -> None:
        seen: set[tuple[type[Any], str]] = set()

        class Recorder:
            def check(self, step: Step) -> str | None:
                refusal = getattr(step.result, "refusal", None)
                name = type(step.result).__name__
                seen.add((type(step.command), name if refusal is None else refusal.value))
                return None

        for seed in SEEDS:
            first_fault(seed, STEPS, [Recorder()])
        results = {result for _, result in seen}
        self.assertLessEqual(
            {
                "DeclarationAccepted",
                "RevisionConflict",
                "MoveBegun",
                "LeaseGranted",
                "ClaimGranted",
                "ClaimPending",
                "ClaimFinished",
                "BodyMismatch",
                "ClaimsFull",
                "QuestionOpened",
                "AlreadyAnswered",
                "old epoch",
                "old token",
                "lease held",
                "not draining",
                "draining",
                "finished",
                "invalid",
                "not claimant",
                "unknown",
            },
            results,
        )
        for command_type in c.Command.__args__:
            accepted = {result for command, result in seen if command is command_type}
            self.assertTrue(
                accepted & {"Done", "MoveBegun", "LeaseGranted", "ClaimGranted", "QuestionOpened"}
                or DeclarationAccepted.__name__ in accepted,
                f"{command_type.__name__} is never accepted",
            )


def ignore_base_revision(machine: StateMachine) -> None:
    part = machine._declarations
    apply = part.apply
    part.apply = lambda command, vms: apply(replace(command, base_revision=part.revision), vms)


def drop_request_results(machine: StateMachine) -> None:
    part = machine._request_results
    apply_once = part.apply_once

    def without_memory(request: Any, author: Any, apply: Any) -> Any:
        part.results.clear()
        return apply_once(request, author, apply)

    part.apply_once = without_memory


def lower_revision(machine: StateMachine) -> None:
    apply = machine._declarations.apply

    def lower(command: Any, vms: Any) -> Any:
        result = apply(command, vms)
        if isinstance(result, RevisionConflict):
            machine._declarations.revision = command.base_revision
        return result

    machine._declarations.apply = lower


def ignore_epoch(machine: StateMachine) -> None:
    part = machine._vms
    current = part.current
    part.current = lambda vm, epoch: current(vm, part.vms[vm].epoch if vm in part.vms else epoch)


def skip_drain(machine: StateMachine) -> None:
    part = machine._vms

    def move(command: Any, now_s: float) -> Any:
        vm = part.current(command.vm, command.epoch)
        if hasattr(vm, "pool"):
            pool = command.pool
            part._put(replace(vm, pool=pool, epoch=Epoch(vm.epoch + 1), next_pool=None))
        return vm if not hasattr(vm, "pool") else LeaseGranted(FencingToken(0))

    machine._appliers[c.BeginMove] = move


def repeat_epochs(machine: StateMachine) -> None:
    part = machine._vms
    retire = part.retire

    def without_memory(command: Any, now_s: float) -> Any:
        result = retire(command, now_s)
        part.retired_epoch = Epoch(0)
        return result

    machine._appliers[c.RetireVm] = without_memory


def ignore_leases_of_moving_vms(machine: StateMachine) -> None:
    machine._tasks.has_lease_on = lambda vm, now_s: False


def ignore_lease(machine: StateMachine) -> None:
    part = machine._tasks
    find_open = part._find_open

    def find_without_lease(task: Any) -> Any:
        found = find_open(task)
        return replace(found, lease_until_s=0.0) if hasattr(found, "token") else found

    part._find_open = find_without_lease


def repeat_token(machine: StateMachine) -> None:
    part = machine._tasks
    put = part._put

    def keep(task: Any) -> None:
        put(replace(task, token=FencingToken(1)) if task.state is TaskState.LEASED else task)

    part._put = keep


def repeat_removed_tokens(machine: StateMachine) -> None:
    part = machine._tasks
    reconcile = part.reconcile_jobs

    def without_memory(before: Any, now_s: float) -> None:
        reconcile(before, now_s)
        part.removed_token = FencingToken(0)

    part.reconcile_jobs = without_memory


def ignore_token(machine: StateMachine) -> None:
    part = machine._tasks
    find_leased = part._find_leased
    part._find_leased = lambda task, token: find_leased(
        task, part.tasks[task].token if task in part.tasks else 0
    )


def ignore_drain(machine: StateMachine) -> None:
    part = machine._tasks
    grant = part.grant

    def grant_anyway(command: Any, now_s: float) -> Any:
        vm = machine._vms.vms.get(command.vm)
        if vm is not None:
            machine._vms.vms[vm.vm] = replace(vm, next_pool=None)
        result = grant(command, now_s)
        if vm is not None:
            machine._vms.vms[vm.vm] = vm
        return result

    machine._appliers[c.GrantLease] = grant_anyway


def lose_cancelled_tasks(machine: StateMachine) -> None:
    part = machine._tasks
    cancel = part.cancel

    def lose(command: Any, now_s: float) -> Any:
        result = cancel(command, now_s)
        if command.task in part.tasks:
            part._remove(part.tasks[command.task])
        return result

    machine._appliers[c.CancelTask] = lose


def lose_failed_tasks(machine: StateMachine) -> None:
    part = machine._tasks
    finish = part.finish

    def lose(command: Any, now_s: float) -> Any:
        result = finish(command, now_s)
        task = part.tasks.get(command.task)
        if task is not None and task.state is TaskState.WAITING and task.failures:
            part._remove(task)
        return result

    machine._appliers[c.FinishTask] = lose


def withdraw_without_a_change(machine: StateMachine) -> None:
    part = machine._tasks

    def withdraw(task_id: Any) -> None:
        task = part.tasks.get(task_id)
        if task is not None and task.state is not TaskState.FINISHED:
            part._put(replace(task, state=TaskState.CANCELLED))
        elif task is not None:
            part._index(task)

    part._withdraw = withdraw


def run_finished_tasks(machine: StateMachine) -> None:
    part = machine._tasks
    find_open = part._find_open
    part._find_open = lambda task: part.tasks.get(task) or find_open(task)


def drop_claims_early(machine: StateMachine) -> None:
    expire = machine._claims.expire
    machine._appliers[c.ExpireClaims] = lambda command, now_s: expire(command, now_s + 60.0)


def drop_claims_when_full(machine: StateMachine) -> None:
    part = machine._claims
    part._expire = lambda now_s: [part._remove(claim) for claim in list(part.claims.values())]


def ignore_memory(machine: StateMachine) -> None:
    machine._claims.limit_bytes = 10**9


def change_answers(machine: StateMachine) -> None:
    part = machine._claims
    find_held = part._find_held

    def find_unfinished(claim: Any, claimant: Any) -> Any:
        found = find_held(claim, claimant)
        return replace(found, finished=False) if hasattr(found, "finished") else found

    part._find_held = find_unfinished


def change_question_answers(machine: StateMachine) -> None:
    part = machine._questions
    answer = part.answer

    def answer_again(command: Any, now_s: float) -> Any:
        known = part.questions.get(command.question)
        if known is not None:
            part.questions[known.question] = replace(known, answer=None, author=None)
        return answer(command, now_s)

    machine._appliers[c.AnswerQuestion] = answer_again


def ask_twice(machine: StateMachine) -> None:
    part = machine._questions
    ask = part.open

    def ask_again(command: Any, now_s: float, index: LogIndex) -> Any:
        part._unclosed_by_subject.clear()
        return ask(command, now_s, index)

    part.open = ask_again


def let_time_go_back(machine: StateMachine) -> None:
    apply = machine.apply

    def apply_with_lower_time(index: LogIndex, command: Any) -> Any:
        machine.time_s = min(machine.time_s, command.time_s)
        return apply(index, command)

    machine.apply = apply_with_lower_time


def without(**changes: Any) -> Callable[[StateMachine], None]:
    """Return a modification that leaves a part out of snapshots."""

    def patch(machine: StateMachine) -> None:
        snapshot = machine.snapshot
        machine.snapshot = lambda: replace(snapshot(), **changes)

    patch.__name__ = f"snapshot without {', '.join(changes)}"
    return patch


def restore_without(part: str, attribute: str) -> Callable[[StateMachine], None]:
    """Return a modification that loses an attribute of a part when a snapshot is restored."""

    def patch(machine: StateMachine) -> None:
        restore = machine.restore

        def lose(snapshot: Any) -> None:
            restore(snapshot)
            getattr(getattr(machine, part), attribute).clear()

        machine.restore = lose

    patch.__name__ = f"restore without {attribute}"
    return patch


def ignore_leases_after_restore(machine: StateMachine) -> None:
    restore = machine.restore

    def lose(snapshot: Any) -> None:
        restore(snapshot)
        ignore_leases_of_moving_vms(machine)

    machine.restore = lose


def drop_removals(machine: StateMachine) -> None:
    machine._journal.remove = lambda kind, key, data_centre=None: [
        stream.entries.pop(key, None)
        for name, stream in machine._journal._streams.items()
        if name.startswith(kind.value)
    ]


def reset_compaction(machine: StateMachine) -> None:
    journal = machine._journal
    changes_after = journal.changes_after

    def without_compaction(index: LogIndex, data_centre: Any) -> Any:
        for stream in journal._streams.values():
            stream.compacted_index = LogIndex(0)
        return changes_after(index, data_centre)

    journal.changes_after = without_compaction


def ignore_data_centre_of_removals(machine: StateMachine) -> None:
    journal = machine._journal
    remove = journal.remove

    def elsewhere(kind: ObjectKind, key: str, data_centre: Any = None) -> None:
        for name, stream in journal._streams.items():
            if name.startswith(kind.value):
                stream.entries.pop(key, None)
        remove(kind, key, DataCentreId("none") if data_centre else None)

    journal.remove = elsewhere


class UnguardedMachineTest(testtools.TestCase):
    """A checker reports a machine from which the guard of its rule was removed."""

    scenarios = [
        (f"{checker}, {guard.__name__}", {"guard": guard, "make": make})
        for guard, checker, make in [
            (guard, make().__class__.__name__, make)
            for guard, make in [
                (ignore_base_revision, k.RevisionChecker),
                (lower_revision, k.RevisionChecker),
                (drop_request_results, k.ResendChecker),
                (ignore_epoch, k.EpochChecker),
                (keep_epoch, k.PoolChecker),
                (skip_drain, k.PoolChecker),
                (repeat_epochs, k.PoolChecker),
                (ignore_leases_of_moving_vms, k.DrainChecker),
                (ignore_drain, k.DrainChecker),
                (ignore_lease, k.LeaseChecker),
                (repeat_token, k.LeaseChecker),
                (repeat_removed_tokens, k.LeaseChecker),
                (ignore_token, k.LeaseChecker),
                (lose_cancelled_tasks, k.TaskChecker),
                (lose_failed_tasks, k.TaskChecker),
                (withdraw_without_a_change, k.SnapshotChecker),
                (run_finished_tasks, k.TaskChecker),
                (drop_claims_early, k.ClaimChecker),
                (drop_claims_when_full, k.ClaimChecker),
                (grant_without_claim, k.ClaimChecker),
                (ignore_memory, lambda: k.MemoryChecker(CLAIMS_LIMIT_BYTES)),
                (change_answers, k.AnswerChecker),
                (change_question_answers, k.AnswerChecker),
                (ask_twice, k.QuestionChecker),
                (let_time_go_back, k.TimeChecker),
                (without(requests=()), k.SnapshotChecker),
                (without(claims=()), k.SnapshotChecker),
                (without(time_s=0.0), k.SnapshotChecker),
                (without(retired_epoch=Epoch(0)), k.SnapshotChecker),
                (without(removed_token=FencingToken(0)), k.SnapshotChecker),
                (without(compactions=()), k.SnapshotChecker),
                (restore_without("_questions", "_unclosed_by_subject"), k.SnapshotChecker),
                (ignore_leases_after_restore, k.SnapshotChecker),
                (restore_without("_claims", "_by_expiry"), k.SnapshotChecker),
                (drop_removals, lambda: k.WatchChecker(None, 1)),
                (reset_compaction, lambda: k.WatchChecker(None, 40)),
                (ignore_data_centre_of_removals, lambda: k.WatchChecker(EAST, 5)),
            ]
        ]
    ]

    def test_reported(self) -> None:
        def unguarded() -> StateMachine:
            machine = new_machine()
            self.guard(machine)
            return machine

        self.assertTrue(
            any(first_fault(seed, STEPS, [self.make()], unguarded) for seed in UNGUARDED_SEEDS),
            f"no run reports {self.guard.__name__}",
        )
