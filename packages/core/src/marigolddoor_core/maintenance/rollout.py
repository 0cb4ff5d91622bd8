"""Rolls a new version of a job out in waves, and stops on harm."""

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

# A version that starts and fails at once is seen by then.
VERIFY_RUN_S = 10.0
ORDER_REPEAT_S = 5.0
# A task that has not checkpointed by then is stopped; it has other runs to come.
CHECKPOINT_PATIENCE_S = 30.0
# One failure may be chance.
HARMFUL_FAILURES = 2
HARMFUL_SHARE = 0.2
# A pool is at its budget for a while in each wave of maintenance.
BUDGET_PATIENCE_S = 300.0


class WaveSize(Protocol):
    """Decides how many tasks of a job are replaced at once."""

    def tasks(self, total: int) -> int:
        """Return the number of tasks out of `total` that may be on their way at once."""
        ...


class AllAtOnce:
    """The baseline: every task is replaced in one wave."""

    def tasks(self, total: int) -> int:
        """Return the number of tasks out of `total` that may be on their way at once."""
        return total


class TenthAtOnce:
    """A tenth of the tasks at once, at least one, so that a bad version harms few."""

    def tasks(self, total: int) -> int:
        """Return the number of tasks out of `total` that may be on their way at once."""
        return max(1, total // 10)


@dataclass(slots=True)
class _Progress:
    """What this leader has seen of the roll-out of one version."""

    version: str
    starts: int = 0
    failures: int = 0
    at_budget_since_s: float | None = None


@dataclass(slots=True)
class _Runs:
    """The open tasks of a job. `leased` holds them by the version that they run."""

    leased: dict[str, dict[TaskId, TaskRecord]] = field(default_factory=dict)
    waiting: dict[TaskId, None] = field(default_factory=dict)
    set_aside: dict[TaskId, TaskRecord] = field(default_factory=dict)


class Rollout:
    """The roll-out decision. A roll-out is under way while tasks run another version.

    Tasks of the old version are asked to checkpoint, a wave at a time; placement starts them again
    with the declared version. The versions of runs are part of the agreed state, so a new leader
    goes on where the last one stopped. Only the counts of starts and failures begin again.
    """

    def __init__(
        self, ledger: BudgetLedger | None = None, wave_size: WaveSize | None = None
    ) -> None:
        self.ledger = ledger or BudgetLedger()
        self.wave_size = wave_size or TenthAtOnce()
        self.questions = QuestionTracker((maintenance_questions.ROLLOUT,))
        self.tasks: Tracker[TaskId, TaskRecord] = Tracker()
        self.runs: dict[JobId, _Runs] = {}
        self.progress: dict[JobId, _Progress] = {}
        self.declared: dict[JobId, Job] = {}
        self.previous: dict[JobId, Job] = {}
        self.asked_s: dict[TaskId, tuple[float, float]] = {}
        self.submitted_s: dict[TaskId, float] = {}

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the orders of the waves, the questions about harm and the way back."""
        self.questions.read(fleet)
        self._follow_declaration(fleet.declaration.jobs)
        for change in self.tasks.changes(fleet.tasks, None):
            self._take(change)
        losses = self.ledger.losses(fleet)
        actions: list[Action] = []
        asked: list[QuestionDraft] = []
        for job in fleet.declaration.jobs:
            runs = self.runs.get(job.id)
            if runs is None:
                continue
            actions += self._try_again(job, runs, fleet.now_s)
            if _old_tasks(runs, job):
                actions += self._roll(fleet, job, runs, losses.get(job.pool), asked)
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
                self.progress[job.id] = _Progress(job.version)

    def _take(self, change: Changed[TaskId, TaskRecord]) -> None:
        old, new = change.old, change.new
        if old is not None:
            runs = self.runs[old.job]
            runs.leased.get(old.version, {}).pop(old.task, None)
            runs.waiting.pop(old.task, None)
            runs.set_aside.pop(old.task, None)
        if new is None:
            return
        runs = self.runs.setdefault(new.job, _Runs())
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

    def _try_again(self, job: Job, runs: _Runs, now_s: float) -> list[Action]:
        """Put the tasks back in line that were set aside under another version."""
        actions: list[Action] = []
        for task, record in runs.set_aside.items():
            last_s = self.submitted_s.get(task, -PROPOSAL_RETRY_S)
            if record.version in ("", job.version) or now_s - last_s < PROPOSAL_RETRY_S:
                continue
            self.submitted_s[task] = now_s
            actions.append(ProposeCommand(SubmitTask(task, job.id, now_s)))
        return actions

    def _roll(
        self,
        fleet: Fleet,
        job: Job,
        runs: _Runs,
        pool: PoolLoss | None,
        asked: list[QuestionDraft],
    ) -> list[Action]:
        harm = self._harm(fleet, job, pool)
        subject = f"{maintenance_questions.ROLLOUT}{job.id}@{job.version}"
        answer = self.questions.answer(subject)
        if harm or answer is not None:
            previous = self.previous.get(job.id)
            asked.append(
                maintenance_questions.rollout_harm(
                    subject, job, harm or "It was stopped before.", previous, fleet.now_s
                )
            )
        if answer == "go-back":
            return self._go_back(fleet, job, subject)
        is_stopped = bool(harm) or subject in self.questions.open_by_subject
        if is_stopped and answer != "continue":
            return []
        if pool is not None and pool.headroom() <= 0:
            return []
        return self._replace(fleet, job, runs)

    def _harm(self, fleet: Fleet, job: Job, pool: PoolLoss | None) -> str:
        """Return what harm the roll-out does, or an empty text."""
        progress = self.progress[job.id]
        if (
            progress.failures >= HARMFUL_FAILURES
            and progress.failures >= HARMFUL_SHARE * progress.starts
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
            return f"{', '.join(failed)} did not come back in order."
        if pool.headroom() > 0:
            progress.at_budget_since_s = None
        elif progress.at_budget_since_s is None:
            progress.at_budget_since_s = fleet.now_s
        elif fleet.now_s - progress.at_budget_since_s >= BUDGET_PATIENCE_S:
            return f"Pool {pool.pool.id} has had its whole budget out of service for minutes."
        return ""

    def _replace(self, fleet: Fleet, job: Job, runs: _Runs) -> list[Action]:
        """Ask old tasks to end, as many as may be on their way at once."""
        old = _old_tasks(runs, job)
        total = sum(len(tasks) for tasks in runs.leased.values()) + len(runs.waiting)
        under_way = [task for task in old if task in self.asked_s]
        room = self.wave_size.tasks(total) - len(under_way) - self._unverified(fleet, job, runs)
        fresh = [task for task in old if task not in self.asked_s][: max(0, room)]
        self.asked_s = {task: at for task, at in self.asked_s.items() if task in self.tasks.seen}
        self.submitted_s = {t: at for t, at in self.submitted_s.items() if t in self.tasks.seen}
        actions: list[Action] = []
        for task in (*under_way, *fresh):
            since_s, sent_s = self.asked_s.get(task, (fleet.now_s, float("-inf")))
            if fleet.now_s - sent_s < ORDER_REPEAT_S:
                continue
            self.asked_s[task] = (since_s, fleet.now_s)
            actions += _end(fleet, old[task], fleet.now_s - since_s)
        return actions

    def _unverified(self, fleet: Fleet, job: Job, runs: _Runs) -> int:
        """Count the tasks that wait, or have not run the new version for long enough."""
        count = len(runs.waiting)
        for task, record in runs.leased.get(job.version, {}).items():
            self.asked_s.pop(task, None)
            target = None if record.vm is None else fleet.targets.get(record.vm)
            reports = () if target is None else target.announcement.tasks
            count += not any(
                report.task == task
                and report.token == record.token
                and report.phase is TaskPhase.RUNNING
                and report.run_s >= VERIFY_RUN_S
                for report in reports
            )
        return count

    def _go_back(self, fleet: Fleet, job: Job, subject: str) -> list[Action]:
        """Propose a new revision with the job as it was before this version."""
        previous = self.previous.get(job.id)
        question = self.questions.open_by_subject[subject]
        if previous is None or question.author is None:
            return []
        jobs = tuple(previous if other.id == job.id else other for other in fleet.declaration.jobs)
        request = RequestId(f"answer:{question.question}:{fleet.revision}")
        revised = replace(fleet.declaration, jobs=jobs)
        command = ApplyDeclaration(fleet.revision, request, question.author, revised, fleet.now_s)
        return [ProposeCommand(command)]


def _old_tasks(runs: _Runs, job: Job) -> dict[TaskId, TaskRecord]:
    """Return the runs of other versions. A run without a version is older than versions."""
    return {
        task: record
        for version, tasks in runs.leased.items()
        if version not in ("", job.version)
        for task, record in tasks.items()
    }


def _end(fleet: Fleet, record: TaskRecord, waited_s: float) -> list[Action]:
    vm = None if record.vm is None else fleet.vms.get(record.vm)
    if vm is None:
        return []
    is_late = waited_s >= CHECKPOINT_PATIENCE_S
    kind = TaskOrderKind.STOP if is_late else TaskOrderKind.CHECKPOINT
    order = TaskOrder(kind, record.task, record.job, record.token)
    return [OrderTask(vm.vm, vm.epoch, order)]
