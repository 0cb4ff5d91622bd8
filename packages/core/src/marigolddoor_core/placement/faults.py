"""Sets faulty tasks aside and asks operators about faulty tasks and workers."""

from marigolddoor_core.actions import Action, ProposeCommand
from marigolddoor_core.changes import Changed
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import JobId, TaskId
from marigolddoor_core.placement import placement_questions
from marigolddoor_core.placement.failures import FAILED_WORKERS
from marigolddoor_core.placement.index import PlacementIndex
from marigolddoor_core.placement.runs import NEVER_S, Runs
from marigolddoor_core.questions.question_tracker import (
    PROPOSAL_RETRY_S,
    QuestionDraft,
    QuestionTracker,
)
from marigolddoor_core.state.commands import CancelTask, SetAsideTask, SubmitTask
from marigolddoor_core.state.objects import TaskRecord, TaskState
from marigolddoor_core.targets import Resources

__all__ = ["Faults"]


class Faults:
    """Sets tasks aside that fail on several workers, and asks about tasks that cannot run properly.

    `at_fault` maps the tasks to be set aside to the time of the last proposal.
    """

    def __init__(self, index: PlacementIndex, runs: Runs) -> None:
        self.index = index
        self.runs = runs
        self.questions = QuestionTracker(
            (
                placement_questions.UNSCHEDULABLE_JOB,
                placement_questions.RUNAWAY,
                placement_questions.SET_ASIDE_TASK,
                placement_questions.SET_ASIDE_WORKER,
            )
        )
        self.set_aside: dict[TaskId, None] = {}
        self.at_fault: dict[TaskId, float] = {}
        self.proposed_s: dict[TaskId, float] = {}

    def read(self, fleet: Fleet) -> None:
        """Load the open questions; workers that operators trust become usable again."""
        self.questions.read(fleet)
        open_questions = self.questions.open_by_subject.values()
        answered = set(placement_questions.workers_with_answer(open_questions, "trust"))
        if answered != self.index.trusted:
            self.index.trust(answered)

    def apply(self, change: Changed[TaskId, TaskRecord]) -> None:
        """Apply the change of a task."""
        task, new = change.key, change.new
        self.at_fault.pop(task, None)
        self.set_aside.pop(task, None)
        self.proposed_s.pop(task, None)
        if new is None:
            return
        if new.state is TaskState.SET_ASIDE:
            self.set_aside[task] = None
        elif new.state is TaskState.WAITING and self._is_task_at_fault(new):
            self.at_fault[task] = -NEVER_S

    def set_tasks_aside(self, now_s: float) -> list[Action]:
        """Return the proposals that set tasks at fault aside."""
        actions: list[Action] = []
        for task, proposed_s in self.at_fault.items():
            if now_s - proposed_s < PROPOSAL_RETRY_S:
                continue
            self.at_fault[task] = now_s
            record = self.index.tasks.seen[task]
            reason = f"it failed on {len(record.failed_on)} workers: {record.reason}"
            actions.append(ProposeCommand(SetAsideTask(task, reason, now_s)))
        return actions

    def _is_task_at_fault(self, record: TaskRecord) -> bool:
        good = [vm for vm in record.failed_on if not self.index.is_set_aside(vm)]
        if len(good) >= FAILED_WORKERS:
            return True
        job = self.index.jobs.get(record.job)
        pool = None if job is None else self.index.pools.get(job.pool)
        return (
            pool is not None
            and record.failures >= 2 * FAILED_WORKERS
            and set(record.failed_on).issuperset(pool.members)
        )

    def ask(self, now_s: float) -> list[Action]:
        """Return the questions to open and close, and the actions that answers require."""
        drafts = [*self._unschedulable_jobs(now_s), *self._faulty_tasks_and_workers(now_s)]
        actions = self.questions.reconcile(now_s, drafts)
        for draft in drafts:
            answer = self.questions.answer(draft.subject)
            if answer is not None:
                actions += self._carry_out(draft.subject, answer, now_s)
        return actions

    def _unschedulable_jobs(self, now_s: float) -> list[QuestionDraft]:
        found: list[QuestionDraft] = []
        for job_id in self.index.waiting:
            job = self.index.jobs.get(job_id)
            pool = None if job is None else self.index.pools.get(job.pool)
            if job is None or pool is None or not pool.members:
                continue
            size = self.index.size(job)
            if any(size.fits(capacity) for capacity in pool.members.values()):
                continue
            members = pool.members.values()
            largest = Resources(
                max(capacity.cores for capacity in members),
                max(capacity.memory_mb for capacity in members),
                max(capacity.accelerators for capacity in members),
            )
            found.append(placement_questions.unschedulable_job(job, size, largest, now_s))
        return found

    def _faulty_tasks_and_workers(self, now_s: float) -> list[QuestionDraft]:
        found: list[QuestionDraft] = []
        for task, run_s in self.runs.runaway.items():
            record = self.index.tasks.seen[task]
            job = self.index.jobs.get(record.job)
            if job is not None:
                found.append(placement_questions.runaway_task(record, job, run_s, now_s))
        for task in self.set_aside:
            found.append(placement_questions.task_set_aside(self.index.tasks.seen[task], now_s))
        for vm, failures in self.index.failures.by_vm.items():
            worker = self.index.workers.get(vm)
            if worker is not None and self.index.failures.is_worker_faulty(worker.record):
                found.append(
                    placement_questions.worker_set_aside(vm, len(set(failures.values())), now_s)
                )
        return found

    def _carry_out(self, subject: str, answer: str, now_s: float) -> list[Action]:
        kind, _, name = subject.partition(":")
        tasks: list[TaskId] = []
        actions: list[Action] = []
        if f"{kind}:" == placement_questions.UNSCHEDULABLE_JOB and answer == "cancel":
            tasks = list(self.index.waiting.get(JobId(name), ()))
        elif f"{kind}:" in (placement_questions.RUNAWAY, placement_questions.SET_ASIDE_TASK):
            tasks = [TaskId(name)] if answer in ("cancel", "retry") else []
        for task in tasks:
            if now_s - self.proposed_s.get(task, -NEVER_S) < PROPOSAL_RETRY_S:
                continue
            self.proposed_s[task] = now_s
            if answer == "retry":
                job = self.index.tasks.seen[task].job
                actions.append(ProposeCommand(SubmitTask(task, job, now_s)))
            else:
                actions.append(ProposeCommand(CancelTask(task, now_s)))
        return actions
