"""A few rules of the state machine, enough to see what the leader's decisions cause."""

from dataclasses import replace

from marigolddoor_core.declaration import Declaration
from marigolddoor_core.ids import Epoch, FencingToken, QuestionId, RequestId, Revision, TaskId, VmId
from marigolddoor_core.state.commands import (
    AnswerQuestion,
    ApplyDeclaration,
    BeginMove,
    CancelTask,
    CloseQuestion,
    Command,
    FinishMove,
    FinishTask,
    GrantLease,
    MaintenanceStep,
    OpenQuestion,
    RecordMaintenance,
    RetireVm,
    SetAsideTask,
    SubmitTask,
)
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, TaskState, VmRecord
from marigolddoor_core.targets import TaskPhase

__all__ = ["VirtualState"]

ENDED = (TaskState.FINISHED, TaskState.CANCELLED)


class VirtualState:
    """Applies the commands of decisions. A command that does not apply changes nothing."""

    def __init__(self, declaration: Declaration) -> None:
        self.declaration = declaration
        self.revision = Revision(1)
        self.requests: set[RequestId] = set()
        self.vms: dict[VmId, VmRecord] = {}
        self.tasks: dict[TaskId, TaskRecord] = {}
        self.questions: dict[QuestionId, QuestionRecord] = {}

    def apply(self, command: Command, now_s: float) -> bool:
        """Apply one command at an agreed time; return whether it changed anything."""
        match command:
            case SubmitTask() | GrantLease() | FinishTask() | CancelTask() | SetAsideTask():
                return self._apply_task(command, now_s)
            case BeginMove() | FinishMove() | RetireVm() | RecordMaintenance():
                return self._apply_vm(command, now_s)
            case OpenQuestion() | AnswerQuestion() | CloseQuestion():
                return self._apply_question(command, now_s)
            case ApplyDeclaration() if (
                command.base_revision == self.revision and command.request not in self.requests
            ):
                self.requests.add(command.request)
                self.declaration = command.declaration
                self.revision = Revision(self.revision + 1)
                return True
        return False

    def _apply_task(
        self,
        command: SubmitTask | GrantLease | FinishTask | CancelTask | SetAsideTask,
        now_s: float,
    ) -> bool:
        task = self.tasks.get(command.task)
        if isinstance(command, SubmitTask):
            if task is None:
                self._put_task(
                    TaskRecord(command.task, command.job, TaskState.WAITING, submitted_s=now_s)
                )
            elif task.state is TaskState.SET_ASIDE:
                self._put_task(replace(task, state=TaskState.WAITING, failures=0, failed_on=()))
            return True
        if task is None or task.state in ENDED:
            return False
        if isinstance(command, CancelTask):
            self._put_task(replace(task, state=TaskState.CANCELLED))
        elif isinstance(command, SetAsideTask):
            if task.state is TaskState.LEASED:
                return False
            self._put_task(replace(task, state=TaskState.SET_ASIDE, reason=command.reason))
        elif isinstance(command, GrantLease):
            return self._grant(task, command, now_s)
        else:
            return self._finish(task, command)
        return True

    def _grant(self, task: TaskRecord, command: GrantLease, now_s: float) -> bool:
        vm = self.vms.get(command.vm)
        if vm is None or vm.epoch != command.epoch or vm.next_pool is not None:
            return False
        if vm.maintenance not in (None, MaintenanceStep.DONE) or now_s < task.lease_until_s:
            return False
        self._put_task(
            replace(
                task,
                state=TaskState.LEASED,
                token=FencingToken(task.token + 1),
                vm=command.vm,
                lease_until_s=now_s + command.lease_s,
                version=self._version(task),
            )
        )
        return True

    def _version(self, task: TaskRecord) -> str:
        versions = {job.id: job.version for job in self.declaration.jobs}
        return versions.get(task.job, "")

    def _finish(self, task: TaskRecord, command: FinishTask) -> bool:
        if task.state is not TaskState.LEASED or task.token != command.token or task.vm is None:
            return False
        vm = task.vm
        task = replace(
            task, state=TaskState.WAITING, vm=None, lease_until_s=0.0, reason=command.reason
        )
        if command.phase is TaskPhase.FINISHED:
            task = replace(task, state=TaskState.FINISHED)
        elif command.phase is TaskPhase.FAILED:
            failed_on = task.failed_on if vm in task.failed_on else (*task.failed_on, vm)
            task = replace(task, failures=task.failures + 1, failed_on=failed_on)
        self._put_task(task)
        return True

    def _put_task(self, task: TaskRecord) -> None:
        self.tasks[task.task] = task

    def _apply_vm(
        self, command: BeginMove | FinishMove | RetireVm | RecordMaintenance, now_s: float
    ) -> bool:
        vm = self.vms.get(command.vm)
        if vm is None or vm.epoch != command.epoch:
            return False
        is_in_maintenance = vm.maintenance not in (None, MaintenanceStep.DONE)
        if isinstance(command, RetireVm):
            del self.vms[vm.vm]
        elif isinstance(command, BeginMove):
            if vm.next_pool is not None or is_in_maintenance:
                return False
            self.vms[vm.vm] = replace(vm, next_pool=command.pool)
        elif isinstance(command, FinishMove):
            is_leased = any(
                task.vm == vm.vm and task.lease_until_s > now_s for task in self.tasks.values()
            )
            if vm.next_pool is None or is_leased:
                return False
            self.vms[vm.vm] = replace(
                vm, pool=vm.next_pool, next_pool=None, epoch=Epoch(vm.epoch + 1)
            )
        else:
            if vm.next_pool is not None or vm.maintenance is command.step:
                return False
            is_done = command.step is MaintenanceStep.DONE
            self.vms[vm.vm] = replace(
                vm,
                maintenance=command.step,
                maintained_s=now_s if is_done else vm.maintained_s,
            )
        return True

    def _apply_question(
        self, command: OpenQuestion | AnswerQuestion | CloseQuestion, now_s: float
    ) -> bool:
        if isinstance(command, OpenQuestion):
            for known in self.questions.values():
                if known.subject == command.subject and known.answer is None and not known.closed:
                    return False
            question = QuestionId(f"q{len(self.questions)}")
            self.questions[question] = QuestionRecord(
                question,
                command.subject,
                command.sentence,
                command.facts,
                command.choices,
                command.default,
                now_s + command.default_after_s,
                now_s,
            )
            return True
        record = self.questions.get(command.question)
        if record is None or record.closed:
            return False
        if isinstance(command, CloseQuestion):
            self.questions[record.question] = replace(record, closed=True)
        elif record.answer is None:
            self.questions[record.question] = replace(
                record, answer=command.choice, author=command.author
            )
        return True
