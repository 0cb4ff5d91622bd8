"""Checkers of the rules of the replicated state, independent of the machine's implementation."""

from typing import Any

from marigolddoor_core.ids import DataCentreId, LogIndex, VmId
from marigolddoor_core.state import commands as c
from marigolddoor_core.state import results as r
from marigolddoor_core.state.objects import Change, ObjectKind, TaskRecord, TaskState

from bench.faults.state import Step

# The retry window of the service whose keys are claimed.
RETRY_WINDOW_S = 600.0
# The VM id for commands that name no VM.
NO_VM = VmId("")
ACCEPTED = (r.Done, r.MoveBegun, r.LeaseGranted)


class RevisionChecker:
    """The revision never decreases, and each base revision has one successor."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        after = step.machine.revision
        if after < step.before.revision:
            return f"revision {step.before.revision} became {after}"
        if after > step.before.revision and step.command.base_revision != step.before.revision:
            return f"a change of revision {step.command.base_revision} became {after}"
        return None


class ResendChecker:
    """A resend of an operator's request returns the first result and changes nothing."""

    def __init__(self) -> None:
        self.results: dict[str, r.Result] = {}

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        if not isinstance(step.command, c.ApplyDeclaration | c.RequestDrain):
            return None
        known = step.command.request in self.results
        first = self.results.setdefault(step.command.request, step.result)
        if step.result != first:
            return f"first {first}, now {step.result}"
        if known and step.machine.revision != step.before.revision:
            return "a resend created a revision"
        if known and dict(step.machine.vms) != step.before.vms:
            return "a resend changed VMs"
        return None


class PoolChecker:
    """A VM has one pool in each epoch, moves only after a drain, and never repeats an epoch."""

    def __init__(self) -> None:
        self.pools: dict[tuple[str, int], str] = {}
        self.epochs: dict[str, int] = {}

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        for vm in step.machine.vms.values():
            pool = self.pools.setdefault((vm.vm, vm.epoch), vm.pool)
            if pool != vm.pool:
                return f"{vm.vm} is in {pool} and {vm.pool} in epoch {vm.epoch}"
            before = step.before.vms.get(vm.vm)
            if before is not None and before.pool != vm.pool and before.next_pool != vm.pool:
                return f"{vm.vm} moved to {vm.pool} without a drain"
            if before is None and vm.epoch <= self.epochs.get(vm.vm, 0):
                return f"{vm.vm} repeats epoch {vm.epoch}"
            if vm.epoch < self.epochs.get(vm.vm, 0):
                return f"the epoch of {vm.vm} went back to {vm.epoch}"
            self.epochs[vm.vm] = vm.epoch
        return None


class EpochChecker:
    """A command with another epoch than the current one has no effect."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        epoch = getattr(step.command, "epoch", None)
        if epoch is None or not isinstance(step.result, ACCEPTED):
            return None
        vm = step.before.vms.get(step.command.vm)
        if vm is None or vm.epoch != epoch:
            return f"accepted in epoch {None if vm is None else vm.epoch}"
        return None


class LeaseChecker:
    """A token has one holder, tokens increase, and leases of a task don't overlap."""

    def __init__(self) -> None:
        self.tokens: dict[str, int] = {}
        self.lease_until_s: dict[str, float] = {}

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        command, result = step.command, step.result
        if isinstance(result, r.LeaseGranted):
            task = command.task
            if result.token <= self.tokens.get(task, 0):
                return f"token {result.token} after {self.tokens[task]}"
            if step.machine.time_s < self.lease_until_s.get(task, 0.0):
                return f"leased before the lease until {self.lease_until_s[task]} expired"
            self.tokens[task] = result.token
            self.lease_until_s[task] = step.machine.time_s + command.lease_s
        elif isinstance(command, c.RenewLease | c.FinishTask) and isinstance(result, r.Done):
            if command.token != self.tokens.get(command.task):
                return f"accepted token {command.token}, not {self.tokens.get(command.task)}"
            if isinstance(command, c.FinishTask):
                self.lease_until_s[command.task] = 0.0
            else:
                lease_until_s = step.machine.time_s + command.lease_s
                self.lease_until_s[command.task] = max(
                    lease_until_s, self.lease_until_s[command.task]
                )
        return None


class DrainChecker:
    """A draining VM gets no lease, and a VM with a lease in force does not change its pool."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        command = step.command
        vm = step.before.vms.get(getattr(command, "vm", NO_VM))
        if vm is None or not isinstance(step.result, ACCEPTED):
            return None
        if isinstance(command, c.GrantLease) and vm.next_pool is not None:
            return f"a lease on {vm.vm}, which drains"
        if isinstance(command, c.FinishMove):
            for task in step.before.tasks.values():
                if task.vm == vm.vm and task.lease_until_s > step.machine.time_s:
                    return f"{vm.vm} moved with the lease of {task.task}"
        return None


class TaskChecker:
    """A task is kept until it ends, a declared one always, and a finished one does not change."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        after = step.machine.tasks
        for task in step.before.tasks.values():
            now = after.get(task.task)
            ended = task.state in (TaskState.FINISHED, TaskState.CANCELLED)
            # The command that cancels a task may also remove it.
            cancelled = getattr(step.command, "task", None) == task.task
            is_open = not ended and not cancelled and task.job in step.machine.jobs
            if now is None and is_open and not self.is_withdrawn(step, task):
                return f"{task.task} is lost"
            if now is not None and task.state is TaskState.FINISHED and now != task:
                return f"{task.task} is finished and became {now.state.value}"
        for job in step.machine.jobs.values():
            for number in range(job.tasks):
                if f"{job.id}/{number}" not in after:
                    return f"{job.id}/{number} is missing"
        return None

    @staticmethod
    def is_withdrawn(step: Step, task: TaskRecord) -> bool:
        """Return whether the declaration in this step reduces the job below the task's number."""
        declared = {f"{task.job}/{number}" for number in range(step.machine.jobs[task.job].tasks)}
        is_numbered = task.task.startswith(f"{task.job}/")
        is_change = isinstance(step.command, c.ApplyDeclaration)
        return is_change and is_numbered and task.task not in declared


class ClaimChecker:
    """A key is granted once until its claim is released or its retry window has passed."""

    def __init__(self) -> None:
        self.expires_at_s: dict[str, float] = {}
        self.key_by_claim: dict[int, str] = {}

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        command, result = step.command, step.result
        if isinstance(command, c.ReleaseClaim) and isinstance(result, r.Done):
            self.expires_at_s.pop(self.key_by_claim.pop(command.claim), None)
        elif isinstance(result, r.ClaimGranted):
            if step.machine.time_s < self.expires_at_s.get(command.key, 0.0):
                return f"{command.key} is granted twice"
            deadline_s = max(command.deadline_s, step.machine.time_s)
            self.expires_at_s[command.key] = deadline_s + RETRY_WINDOW_S
            self.key_by_claim[result.claim] = command.key
        return None


class MemoryChecker:
    """Claims stay within their memory limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        bodies = [claim.answer.body for claim in step.machine.claims.values() if claim.answer]
        used = 400 * len(step.machine.claims) + sum(len(body or b"") for body in bodies)
        return None if used <= self.limit_bytes else f"{used} bytes of claims"


class AnswerChecker:
    """The answer to a claim or a question never changes, and a claim gets no other claimant."""

    def __init__(self) -> None:
        self.answers: dict[Any, Any] = {}

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        for claim in step.machine.claims.values():
            if claim.finished:
                first = self.answers.setdefault(claim.claim, (claim.answer, claim.claimant))
                if first != (claim.answer, claim.claimant):
                    return f"claim {claim.claim} had {first}, now {claim.answer}"
        for question in step.machine.questions.values():
            if question.answer is not None:
                first = self.answers.setdefault(question.question, question.answer)
                if first != question.answer:
                    return f"{question.question} had {first}, now {question.answer}"
        if isinstance(step.result, r.ClaimFinished):
            known = self.answers.get(step.result.claim)
            if known is None or known[0] != step.result.answer:
                return f"answered {step.result.answer}, stored {known}"
        return None


class QuestionChecker:
    """Each subject has at most one open question."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        subjects = [
            question.subject for question in step.machine.questions.values() if not question.closed
        ]
        return None if len(set(subjects)) == len(subjects) else f"open twice: {subjects}"


class TimeChecker:
    """The consensus time never decreases."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        if step.machine.time_s < step.before.time_s:
            return f"{step.before.time_s} became {step.machine.time_s}"
        return None


class SnapshotChecker:
    """A machine that was restored from a snapshot has the same state and the same results."""

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        if step.result != step.restored_result:
            return f"{step.result}, after a restore {step.restored_result}"
        if step.machine.snapshot() != step.restored.snapshot():
            return "the states differ"
        # A watcher at the last index gets a delta; one at 0 mostly needs removals long compacted.
        for index in (LogIndex(0), LogIndex(step.machine.index - 1)):
            changes = step.machine.changes_after(index, None)
            if changes != step.restored.changes_after(index, None):
                return f"the changes after {index} differ"
        return None


class WatchChecker:
    """A watcher that polls at intervals has the objects of the machine and no removed ones."""

    def __init__(self, data_centre: DataCentreId | None, period: int) -> None:
        self.data_centre = data_centre
        self.period = period
        self.steps = 0
        self.index = LogIndex(0)
        self.objects: dict[tuple[ObjectKind, str], Change] = {}

    def check(self, step: Step) -> str | None:
        """Return a description of the fault, or None."""
        self.steps += 1
        if self.steps % self.period:
            return None
        changes = step.machine.changes_after(self.index, self.data_centre)
        if changes is None:
            self.objects.clear()
            changes = step.machine.all_changes(self.data_centre)
        for change in changes:
            self.objects.pop((change.kind, change.key), None)
            if change.value is not None:
                self.objects[change.kind, change.key] = change
        self.index = step.machine.index
        expected = step.machine.all_changes(self.data_centre)
        if set(self.objects) != {(change.kind, change.key) for change in expected}:
            return "the watcher has other objects"
        if any(self.objects[change.kind, change.key] != change for change in expected):
            return "the watcher has old values"
        vms = {change.key for change in expected if change.kind is ObjectKind.VM}
        expected_vms = {
            vm.vm for vm in step.machine.vms.values() if self.data_centre in (None, vm.data_centre)
        }
        return None if vms == expected_vms else f"VMs {vms}, not {expected_vms}"
