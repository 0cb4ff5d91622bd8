"""Builds the reports for operators from the state."""

from collections import Counter, defaultdict

from marigolddoor_core.declaration.organisation import Job, Pool
from marigolddoor_core.ids import JobId, PoolId
from marigolddoor_core.operations.interfaces import StateView
from marigolddoor_core.operations.reports import (
    FactReport,
    JobReport,
    JobsReport,
    PoolReport,
    PoolsReport,
    QuestionReport,
    QuestionsReport,
    SetAsideReport,
    StatusReport,
    VmReport,
)
from marigolddoor_core.state.commands import MaintenanceStep
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, TaskState, VmRecord
from marigolddoor_core.targets import TargetState

__all__ = ["is_open", "jobs_report", "pools_report", "questions_report", "status_report"]


def status_report(view: StateView) -> StatusReport:
    """Return a summary of the state of the system."""
    counts = Counter(task.state for task in view.tasks.values())
    in_force = tuple(sorted(view.in_force, key=lambda entry: entry.process))
    return StatusReport(
        organisation=view.declaration.organisation or None,
        revision=view.revision,
        author=view.author,
        index=view.index,
        time_s=view.time_s,
        replica=view.replica,
        leader=view.leader,
        from_leader=_is_leader(view),
        vms=len(view.vms),
        ready=sum(_is_available(view, vm) for vm in view.vms.values()),
        tasks_waiting=counts[TaskState.WAITING],
        tasks_leased=counts[TaskState.LEASED],
        tasks_set_aside=counts[TaskState.SET_ASIDE],
        open_questions=sum(is_open(question) for question in view.questions.values()),
        in_force=in_force,
        behind=tuple(entry.process for entry in in_force if entry.revision < view.revision),
    )


def pools_report(view: StateView, only: PoolId | None = None) -> PoolsReport:
    """Return the declared pools, or one of them, with their VMs."""
    members: dict[PoolId, list[VmRecord]] = defaultdict(list)
    for vm in view.vms.values():
        members[vm.pool].append(vm)
    return PoolsReport(
        view.revision,
        _is_leader(view),
        tuple(
            _pool_report(view, pool, members[pool.id])
            for pool in sorted(view.declaration.pools, key=lambda pool: pool.id)
            if only is None or pool.id == only
        ),
    )


def jobs_report(view: StateView, only: JobId | None = None) -> JobsReport:
    """Return the declared jobs, or one of them, with the states of their tasks."""
    tasks: dict[JobId, list[TaskRecord]] = defaultdict(list)
    for task in view.tasks.values():
        tasks[task.job].append(task)
    return JobsReport(
        view.revision,
        tuple(
            _job_report(job, tasks[job.id])
            for job in sorted(view.jobs.values(), key=lambda job: job.id)
            if only is None or job.id == only
        ),
    )


def questions_report(view: StateView, with_closed: bool = False) -> QuestionsReport:
    """Return the open questions, or all of them, in the order in which the defaults take effect."""
    selected = [
        question for question in view.questions.values() if with_closed or is_open(question)
    ]
    selected.sort(key=lambda question: (question.default_at_s, question.question))
    return QuestionsReport(tuple(_question_report(view, question) for question in selected))


def is_open(question: QuestionRecord) -> bool:
    """Return whether `question` is neither answered nor closed."""
    return question.answer is None and not question.closed


def _is_leader(view: StateView) -> bool:
    return view.leader == view.replica


def _is_available(view: StateView, vm: VmRecord) -> bool:
    target = view.targets.get(vm.vm)
    return (
        target is not None
        and target.state is TargetState.READY
        and target.announcement.epoch == vm.epoch
        and vm.next_pool is None
        and vm.maintenance in (None, MaintenanceStep.DONE)
    )


def _pool_report(view: StateView, pool: Pool, vms: list[VmRecord]) -> PoolReport:
    available = sum(_is_available(view, vm) for vm in vms)
    unavailable = len(vms) - available
    return PoolReport(
        pool=pool.id,
        size=pool.size,
        floor=pool.floor,
        spare=pool.spare,
        assigned=len(vms),
        available=available,
        unavailable=unavailable,
        max_unavailable=pool.max_unavailable,
        within_budget=unavailable <= pool.max_unavailable,
        vms=tuple(_vm_report(view, vm) for vm in sorted(vms, key=lambda vm: vm.vm)),
    )


def _vm_report(view: StateView, vm: VmRecord) -> VmReport:
    target = view.targets.get(vm.vm)
    return VmReport(
        vm.vm,
        vm.data_centre,
        vm.rack,
        vm.epoch,
        None if target is None else target.state,
        vm.next_pool,
        vm.maintenance,
    )


def _job_report(job: Job, tasks: list[TaskRecord]) -> JobReport:
    counts = Counter(task.state for task in tasks)
    return JobReport(
        job=job.id,
        pool=job.pool,
        team=job.team,
        version=job.version,
        urgent=job.urgent,
        tasks=job.tasks,
        waiting=counts[TaskState.WAITING],
        leased=counts[TaskState.LEASED],
        finished=counts[TaskState.FINISHED],
        cancelled=counts[TaskState.CANCELLED],
        set_aside=tuple(
            SetAsideReport(task.task, task.reason, task.failures, task.failed_on)
            for task in sorted(tasks, key=lambda task: task.task)
            if task.state is TaskState.SET_ASIDE
        ),
    )


def _question_report(view: StateView, question: QuestionRecord) -> QuestionReport:
    return QuestionReport(
        question=question.question,
        subject=question.subject,
        sentence=question.sentence,
        facts=tuple(
            FactReport(fact.text, max(0.0, view.time_s - fact.observed_s))
            for fact in question.facts
        ),
        choices=question.choices,
        default=question.default,
        default_in_s=max(0.0, question.default_at_s - view.time_s),
        answer=question.answer,
        author=question.author,
        closed=question.closed,
    )
