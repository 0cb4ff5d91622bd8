"""Rolls out new versions of jobs in waves, and stops on degradation."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Protocol

from marigolddoor_core.actions import Action, OrderTask, ProposeCommand
from marigolddoor_core.changes import Changed, Tracker
from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import JobId, RequestId, TaskId
from marigolddoor_core.maintenance import maintenance_questions
from marigolddoor_core.maintenance.budget import BudgetLedger, PoolLoss
from marigolddoor_core.questions.question_tracker import (
    PROPOSAL_RETRY_S,
    QuestionDraft,
    QuestionTracker,
)
from marigolddoor_core.state.commands import ApplyDeclaration, MaintenanceStep, SubmitTask
from marigolddoor_core.state.objects import TaskRecord, TaskState
from marigolddoor_core.targets import TaskOrder, TaskOrderKind, TaskPhase

__all__ = ["AllAtOnce", "Rollout", "TenthAtOnce", "WaveSize"]

# A version that fails right after its start is detected within this time.
VERIFY_PERIOD_S = 10.0
ORDER_REPEAT_S = 5.0
# A task that has not checkpointed by then is stopped; it will run again.
CHECKPOINT_TIMEOUT_S = 30.0
# A single failure may have another cause than the version.
MIN_FAILURES = 2
MIN_FAILURE_SHARE = 0.2
# A maintenance wave also keeps a pool at its budget for a while, without any degradation.
BUDGET_TIMEOUT_S = 300.0


class WaveSize(Protocol):
    """Decides how many tasks of a job are replaced at once."""

    def tasks(self, total: int) -> int:
        """Return the number of tasks out of `total` that may be replaced at once."""
        ...


class AllAtOnce:
    """The baseline: every task is replaced in one wave."""

    def tasks(self, total: int) -> int:
        """Return the number of tasks out of `total` that may be replaced at once."""
        return total


class TenthAtOnce:
    """A tenth of the tasks at once, at least one, so that a bad version affects few."""

    def tasks(self, total: int) -> int:
        """Return the number of tasks out of `total` that may be replaced at once."""
        return max(1, total // 10)


@dataclass(slots=True)
class _RolloutProgress:
    """What this leader has observed of the roll-out of one version."""

    version: str
    starts: int = 0
    failures: int = 0
    at_budget_since_s: float | None = None


@dataclass(slots=True)
class _JobRuns:
    """The open tasks of a job. `leased` groups the running ones by version."""

    leased: dict[str, dict[TaskId, TaskRecord]] = field(default_factory=dict)
    waiting: dict[TaskId, None] = field(default_factory=dict)
    set_aside: dict[TaskId, TaskRecord] = field(default_factory=dict)


class Rollout:
    """The roll-out decision. A roll-out is in progress while tasks run another version.

    Tasks of old versions are ordered to checkpoint, one wave at a time; placement starts them again
    with the declared version. The versions of runs are part of the replicated state, so a new
    leader resumes the roll-out. Only the counts of starts and failures restart at 0.
    """

    def __init__(
        self, ledger: BudgetLedger | None = None, wave_size: WaveSize | None = None
    ) -> None:
        self.ledger = ledger or BudgetLedger()
        self.wave_size = wave_size or TenthAtOnce()
        self.questions = QuestionTracker((maintenance_questions.ROLLOUT,))
        self.tasks: Tracker[TaskId, TaskRecord] = Tracker()
        self.runs: dict[JobId, _JobRuns] = {}
        self.progress: dict[JobId, _RolloutProgress] = {}
        self.declared: dict[JobId, Job] = {}
        self.previous: dict[JobId, Job] = {}
        self.order_times_s: dict[TaskId, tuple[float, float]] = {}
        self.submitted_s: dict[TaskId, float] = {}

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the orders of the waves, the questions about degradation and the roll-backs."""
        self.questions.read(fleet)
        self._follow_declaration(fleet.declaration.jobs)
        for change in self.tasks.changes(fleet.tasks, None):
            self._apply_change(change)
        losses = self.ledger.losses(fleet)
        actions: list[Action] = []
        asked: list[QuestionDraft] = []
        for job in fleet.declaration.jobs:
            runs = self.runs.get(job.id)
            if runs is None:
                continue
            actions += self._resubmit_set_aside(job, runs, fleet.now_s)
            if _old_tasks(runs, job):
                actions += self._advance_rollout(fleet, job, runs, losses.get(job.pool), asked)
        actions += self.questions.reconcile(fleet.now_s, asked)
        return tuple(actions)

    def _follow_declaration(self, jobs: Iterable[Job]) -> None:
        for job in jobs:
            known = self.declared.get(job.id)
            if known is not None and known.version != job.version:
                self.previous[job.id] = known
            self.declared[job.id] = job
            progress = self.progress.get(job.id)
            if progress is None or progress.version != job.version:
                self.progress[job.id] = _RolloutProgress(job.version)

    def _apply_change(self, change: Changed[TaskId, TaskRecord]) -> None:
        old, new = change.old, change.new
        if old is not None:
            runs = self.runs[old.job]
            runs.leased.get(old.version, {}).pop(old.task, None)
            runs.waiting.pop(old.task, None)
            runs.set_aside.pop(old.task, None)
        if new is None:
            return
        runs = self.runs.setdefault(new.job, _JobRuns())
        progress = self.progress.get(new.job)
        if new.state is TaskState.LEASED:
            runs.leased.setdefault(new.version, {})[new.task] = new
        elif new.state is TaskState.WAITING:
            runs.waiting[new.task] = None
        elif new.state is TaskState.SET_ASIDE:
            runs.set_aside[new.task] = new
        if old is None or progress is None:
            return
        if new.token != old.token and new.version == progress.version:
            progress.starts += 1
        if new.failures > old.failures and old.version == progress.version:
            progress.failures += 1

    def _resubmit_set_aside(self, job: Job, runs: _JobRuns, now_s: float) -> list[Action]:
        """Submit tasks again that were set aside under another version."""
        actions: list[Action] = []
        for task, record in runs.set_aside.items():
            last_s = self.submitted_s.get(task, -PROPOSAL_RETRY_S)
            if record.version in ("", job.version) or now_s - last_s < PROPOSAL_RETRY_S:
                continue
            self.submitted_s[task] = now_s
            actions.append(ProposeCommand(SubmitTask(task, job.id, now_s)))
        return actions

    def _advance_rollout(
        self,
        fleet: Fleet,
        job: Job,
        runs: _JobRuns,
        pool: PoolLoss | None,
        asked: list[QuestionDraft],
    ) -> list[Action]:
        degradation = self._find_degradation(fleet, job, pool)
        subject = f"{maintenance_questions.ROLLOUT}{job.id}@{job.version}"
        answer = self.questions.answer(subject)
        if degradation or answer is not None:
            previous = self.previous.get(job.id)
            asked.append(
                maintenance_questions.rollout_degradation(
                    subject, job, degradation or "It was stopped before.", previous, fleet.now_s
                )
            )
        if answer == "go-back":
            return self._roll_back(fleet, job, subject)
        is_stopped = bool(degradation) or subject in self.questions.open_by_subject
        if is_stopped and answer != "continue":
            return []
        if pool is not None and pool.headroom() <= 0:
            return []
        return self._replace_old_tasks(fleet, job, runs)

    def _find_degradation(self, fleet: Fleet, job: Job, pool: PoolLoss | None) -> str:
        """Return a description of the degradation, or an empty text if there is none."""
        progress = self.progress[job.id]
        if (
            progress.failures >= MIN_FAILURES
            and progress.failures >= MIN_FAILURE_SHARE * progress.starts
        ):
            return f"{progress.failures} of {progress.starts} runs of the new version failed."
        if pool is None:
            return ""
        failed = sorted(
            vm
            for vm, record in pool.members.items()
            if record.maintenance is MaintenanceStep.FAILED
        )
        if failed:
            return f"{', '.join(failed)} did not return to service after a reboot."
        if pool.headroom() > 0:
            progress.at_budget_since_s = None
        elif progress.at_budget_since_s is None:
            progress.at_budget_since_s = fleet.now_s
        elif fleet.now_s - progress.at_budget_since_s >= BUDGET_TIMEOUT_S:
            return f"Pool {pool.pool.id} has had its whole budget out of service for minutes."
        return ""

    def _replace_old_tasks(self, fleet: Fleet, job: Job, runs: _JobRuns) -> list[Action]:
        """Order old tasks to end, up to the size of the wave."""
        old = _old_tasks(runs, job)
        total = sum(len(tasks) for tasks in runs.leased.values()) + len(runs.waiting)
        in_flight = [task for task in old if task in self.order_times_s]
        free = self.wave_size.tasks(total) - len(in_flight) - self._unverified(fleet, job, runs)
        selected = [task for task in old if task not in self.order_times_s][: max(0, free)]
        self.order_times_s = {
            task: at for task, at in self.order_times_s.items() if task in self.tasks.seen
        }
        self.submitted_s = {t: at for t, at in self.submitted_s.items() if t in self.tasks.seen}
        actions: list[Action] = []
        for task in (*in_flight, *selected):
            since_s, sent_s = self.order_times_s.get(task, (fleet.now_s, float("-inf")))
            if fleet.now_s - sent_s < ORDER_REPEAT_S:
                continue
            self.order_times_s[task] = (since_s, fleet.now_s)
            actions += _order_end(fleet, old[task], fleet.now_s - since_s)
        return actions

    def _unverified(self, fleet: Fleet, job: Job, runs: _JobRuns) -> int:
        """Return the number of tasks that wait or have not yet run the new version long enough."""
        count = len(runs.waiting)
        for task, record in runs.leased.get(job.version, {}).items():
            self.order_times_s.pop(task, None)
            target = None if record.vm is None else fleet.targets.get(record.vm)
            reports = () if target is None else target.announcement.tasks
            count += not any(
                report.task == task
                and report.token == record.token
                and report.phase is TaskPhase.RUNNING
                and report.run_s >= VERIFY_PERIOD_S
                for report in reports
            )
        return count

    def _roll_back(self, fleet: Fleet, job: Job, subject: str) -> list[Action]:
        """Propose a new revision that declares the previous version of the job."""
        previous = self.previous.get(job.id)
        question = self.questions.open_by_subject[subject]
        if previous is None or question.author is None:
            return []
        jobs = tuple(previous if other.id == job.id else other for other in fleet.declaration.jobs)
        request = RequestId(f"answer:{question.question}:{fleet.revision}")
        revised = replace(fleet.declaration, jobs=jobs)
        command = ApplyDeclaration(fleet.revision, request, question.author, revised, fleet.now_s)
        return [ProposeCommand(command)]


def _old_tasks(runs: _JobRuns, job: Job) -> dict[TaskId, TaskRecord]:
    """Return the runs of other versions. Runs from before versions were recorded have none."""
    return {
        task: record
        for version, tasks in runs.leased.items()
        if version not in ("", job.version)
        for task, record in tasks.items()
    }


def _order_end(fleet: Fleet, record: TaskRecord, waited_s: float) -> list[Action]:
    vm = None if record.vm is None else fleet.vms.get(record.vm)
    if vm is None:
        return []
    is_late = waited_s >= CHECKPOINT_TIMEOUT_S
    kind = TaskOrderKind.STOP if is_late else TaskOrderKind.CHECKPOINT
    order = TaskOrder(kind, record.task, record.job, record.token)
    return [OrderTask(vm.vm, vm.epoch, order)]
