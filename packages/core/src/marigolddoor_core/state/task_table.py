"""Tasks and their leases."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import replace

from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.ids import FencingToken, JobId, TaskId, VmId
from marigolddoor_core.state.commands import (
    CancelTask,
    FinishTask,
    GrantLease,
    RenewLease,
    SetAsideTask,
    SubmitTask,
)
from marigolddoor_core.state.declarations import Declarations
from marigolddoor_core.state.journal import Journal
from marigolddoor_core.state.objects import ObjectKind, TaskRecord, TaskState
from marigolddoor_core.state.results import Done, LeaseGranted, Refusal, Refused, Result
from marigolddoor_core.state.vm_table import VmTable, in_maintenance
from marigolddoor_core.targets import TaskPhase

__all__ = ["TaskTable", "declared_task_id"]

ENDED = frozenset({TaskState.FINISHED, TaskState.CANCELLED})

# Ended tasks that are not declared are kept so that a late resend of their submission does not run
# them again. At about 500 bytes each they take 5 MB.
ENDED_TASKS_KEPT = 10_000


def declared_task_id(job: JobId, number: int) -> TaskId:
    """Return the id of the task `number` that the declaration of `job` creates."""
    return TaskId(f"{job}/{number}")


class TaskTable:
    """Holds the tasks. A task has at most one lease, whose token increases with every grant.

    `removed_token` is the highest token of a removed task. A new task starts with it, so that a
    reused task id never repeats a token.
    """

    def __init__(
        self,
        journal: Journal,
        declarations: Declarations,
        vms: VmTable,
        ended_kept: int = ENDED_TASKS_KEPT,
    ) -> None:
        self.journal = journal
        self.ended_kept = ended_kept
        self.declarations = declarations
        self.vms = vms
        self.tasks: dict[TaskId, TaskRecord] = {}
        self.removed_token = FencingToken(0)
        self._by_job: dict[JobId, set[TaskId]] = {}
        self._leased_on: dict[VmId, set[TaskId]] = {}
        # Ended tasks that are not declared, in the order of their last change.
        self._ended: OrderedDict[TaskId, None] = OrderedDict()

    def submit(self, command: SubmitTask, now_s: float) -> Result:
        """Accept a task, or make one that was set aside wait again."""
        if not command.task:
            return Refused(Refusal.INVALID, "a task needs an id")
        if command.job not in self.declarations.jobs:
            return Refused(Refusal.UNKNOWN, f"no job {command.job!r}")
        owner, separator, _ = command.task.partition("/")
        if separator and owner != command.job:
            return Refused(Refusal.INVALID, f"{command.task!r} is an id of job {owner!r}")
        task = self.tasks.get(command.task)
        if task is None:
            self._put(self._new_task(command.task, command.job, now_s))
            return Done()
        if task.job != command.job:
            return Refused(Refusal.INVALID, f"{command.task!r} is a task of job {task.job!r}")
        if task.state is TaskState.SET_ASIDE:
            self._put(replace(task, state=TaskState.WAITING, failures=0, failed_on=(), reason=""))
        return Done()

    def grant(self, command: GrantLease, now_s: float) -> Result:
        """Lease a waiting task, or one whose lease has expired, under the next token."""
        task = self._find_open(command.task)
        if isinstance(task, Refused):
            return task
        if task.state is TaskState.SET_ASIDE:
            return Refused(Refusal.INVALID, f"{task.task} is set aside")
        if command.lease_s <= 0.0:
            return Refused(Refusal.INVALID, "the duration of a lease must be positive")
        vm = self.vms.current(command.vm, command.epoch)
        if isinstance(vm, Refused):
            return vm
        if vm.next_pool is not None or in_maintenance(vm):
            return Refused(Refusal.DRAINING, f"{vm.vm} takes no new tasks")
        if now_s < task.lease_until_s:
            return Refused(
                Refusal.LEASE_HELD, f"{task.task} is leased for {task.lease_until_s - now_s:.1f} s"
            )
        token = FencingToken(task.token + 1)
        job = self.declarations.jobs.get(task.job)
        self._put(
            replace(
                task,
                state=TaskState.LEASED,
                version="" if job is None else job.version,
                token=token,
                vm=vm.vm,
                lease_until_s=now_s + command.lease_s,
            )
        )
        return LeaseGranted(token)

    def renew(self, command: RenewLease, now_s: float) -> Result:
        """Extend the lease of the current token; a lease is never shortened."""
        task = self._find_leased(command.task, command.token)
        if isinstance(task, Refused):
            return task
        if command.lease_s <= 0.0:
            return Refused(Refusal.INVALID, "the duration of a lease must be positive")
        self._put(replace(task, lease_until_s=max(task.lease_until_s, now_s + command.lease_s)))
        return Done()

    def finish(self, command: FinishTask, now_s: float) -> Result:
        """Record the end of the run under the current token."""
        task = self._find_leased(command.task, command.token)
        if isinstance(task, Refused):
            return task
        if command.phase is TaskPhase.RUNNING:
            return Refused(Refusal.INVALID, "a running task has not ended")
        ended = replace(
            task, state=TaskState.WAITING, vm=None, lease_until_s=0.0, reason=command.reason
        )
        if command.phase is TaskPhase.FINISHED:
            ended = replace(ended, state=TaskState.FINISHED)
        elif command.phase is TaskPhase.FAILED:
            failed_on = task.failed_on
            if task.vm is not None and task.vm not in failed_on:
                failed_on = (*failed_on, task.vm)
            ended = replace(ended, failures=task.failures + 1, failed_on=failed_on)
        self._put(ended)
        self._drop_oldest_ended(now_s)
        return Done()

    def cancel(self, command: CancelTask, now_s: float) -> Result:
        """Cancel a task. Its lease is kept until it expires, because the run may continue."""
        task = self.tasks.get(command.task)
        if task is None:
            return Refused(Refusal.UNKNOWN, f"no task {command.task!r}")
        if task.state is TaskState.FINISHED:
            return Refused(Refusal.FINISHED, f"{task.task} is finished")
        self._put(replace(task, state=TaskState.CANCELLED))
        self._drop_oldest_ended(now_s)
        return Done()

    def set_aside(self, command: SetAsideTask, now_s: float) -> Result:
        """Stop placing a task that is not running."""
        task = self._find_open(command.task)
        if isinstance(task, Refused):
            return task
        if task.state is TaskState.LEASED and now_s < task.lease_until_s:
            return Refused(Refusal.LEASE_HELD, f"{task.task} is running")
        if task.state is not TaskState.SET_ASIDE:
            self._put(replace(task, state=TaskState.SET_ASIDE, vm=None, reason=command.reason))
        return Done()

    def reconcile_jobs(self, before: Mapping[JobId, Job], now_s: float) -> None:
        """Create and cancel tasks so that they match the declared jobs.

        The tasks of a job that is no longer declared are removed, except those whose lease is in
        force: these are cancelled.
        """
        after = self.declarations.jobs
        for job in after.values():
            declared = before[job.id].tasks if job.id in before else 0
            for number in range(declared, job.tasks):
                self._create_or_revive(declared_task_id(job.id, number), job.id, now_s)
            for number in range(job.tasks, declared):
                self._withdraw(declared_task_id(job.id, number))
        # Sorted, because the order of the changes is part of the state, and a restored replica has
        # built its sets in another order.
        for job_id in sorted(self._by_job.keys() - after.keys()):
            for task_id in sorted(self._by_job[job_id]):
                if self.tasks[task_id].lease_until_s <= now_s:
                    self._remove(self.tasks[task_id])
                else:
                    self._withdraw(task_id)
        self._drop_oldest_ended(now_s)

    def has_lease_on(self, vm: VmId, now_s: float) -> bool:
        """Return whether a lease on `vm` is in force, even that of a cancelled task."""
        return any(self.tasks[task].lease_until_s > now_s for task in self._leased_on.get(vm, ()))

    def restore(self, tasks: Iterable[TaskRecord], removed_token: FencingToken) -> None:
        """Replace all tasks with those of a snapshot."""
        self.tasks = {}
        self.removed_token = removed_token
        self._by_job = {}
        self._leased_on = {}
        self._ended.clear()
        for task in tasks:
            self._index(task)

    def _new_task(self, task: TaskId, job: JobId, now_s: float) -> TaskRecord:
        return TaskRecord(task, job, TaskState.WAITING, token=self.removed_token, submitted_s=now_s)

    def _create_or_revive(self, task_id: TaskId, job: JobId, now_s: float) -> None:
        task = self.tasks.get(task_id)
        if task is None:
            self._put(self._new_task(task_id, job, now_s))
        elif task.state is TaskState.FINISHED:
            self._ended.pop(task_id, None)
        elif task.state is TaskState.CANCELLED:
            # With the next token, a late end of the cancelled run cannot end the new one.
            self._put(
                replace(task, state=TaskState.WAITING, vm=None, token=FencingToken(task.token + 1))
            )

    def _withdraw(self, task_id: TaskId) -> None:
        """Cancel a task that is no longer declared, unless it has ended."""
        task = self.tasks.get(task_id)
        if task is None:
            return
        if task.state not in ENDED:
            task = replace(task, state=TaskState.CANCELLED)
        # Recorded as a change even if the task has ended: restoring a snapshot derives the order of
        # the ended tasks from the order of changes.
        self._index(task)
        self.journal.put(ObjectKind.TASK, task_id, task)

    def _find_open(self, task_id: TaskId) -> TaskRecord | Refused:
        task = self.tasks.get(task_id)
        if task is None:
            return Refused(Refusal.UNKNOWN, f"no task {task_id!r}")
        if task.state in ENDED:
            return Refused(Refusal.FINISHED, f"{task_id} is {task.state.value}")
        return task

    def _find_leased(self, task_id: TaskId, token: FencingToken) -> TaskRecord | Refused:
        task = self._find_open(task_id)
        if isinstance(task, Refused):
            return task
        if token != task.token or task.state is not TaskState.LEASED:
            return Refused(Refusal.OLD_TOKEN, f"token {token} holds no lease on {task_id}")
        return task

    def _put(self, task: TaskRecord) -> None:
        if self.tasks.get(task.task) != task:
            self._index(task)
            self.journal.put(ObjectKind.TASK, task.task, task)

    def _index(self, task: TaskRecord) -> None:
        before = self.tasks.get(task.task)
        if before is not None and before.vm is not None and before.vm != task.vm:
            self._remove_from_vm(before.vm, task.task)
        if task.vm is not None:
            self._leased_on.setdefault(task.vm, set()).add(task.task)
        self.tasks[task.task] = task
        self._by_job.setdefault(task.job, set()).add(task.task)
        self._ended.pop(task.task, None)
        if task.state in ENDED and not self._is_declared(task):
            self._ended[task.task] = None

    def _is_declared(self, task: TaskRecord) -> bool:
        job = self.declarations.jobs.get(task.job)
        _, separator, number = task.task.rpartition("/")
        if job is None or not separator or not number.isdecimal():
            return False
        return task.task == declared_task_id(job.id, int(number)) and int(number) < job.tasks

    def _drop_oldest_ended(self, now_s: float) -> None:
        while len(self._ended) > self.ended_kept:
            oldest = self.tasks[next(iter(self._ended))]
            # A cancelled run may continue until its lease expires; until then the record prevents
            # a second lease of the task.
            if oldest.lease_until_s > now_s:
                return
            self._remove(oldest)

    def _remove(self, task: TaskRecord) -> None:
        if task.vm is not None:
            self._remove_from_vm(task.vm, task.task)
        del self.tasks[task.task]
        self._ended.pop(task.task, None)
        job_tasks = self._by_job[task.job]
        job_tasks.remove(task.task)
        if not job_tasks:
            del self._by_job[task.job]
        self.removed_token = max(self.removed_token, task.token)
        self.journal.remove(ObjectKind.TASK, task.task)

    def _remove_from_vm(self, vm: VmId, task: TaskId) -> None:
        leased = self._leased_on[vm]
        leased.remove(task)
        if not leased:
            del self._leased_on[vm]
