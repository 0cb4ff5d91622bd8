"""Places waiting tasks on workers, keeps their leases and makes room for urgent ones."""

from collections.abc import Iterable
from dataclasses import dataclass

from marigolddoor_core.actions import Action, OrderTask, ProposeCommand
from marigolddoor_core.changes import Changed
from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import FencingToken, JobId, TaskId, VmId
from marigolddoor_core.placement import concerns
from marigolddoor_core.placement.blame import FAILED_WORKERS
from marigolddoor_core.placement.board import Board, Worker
from marigolddoor_core.placement.leases import LEASE_S, LeaseBook, LeaseRenewal, regrant_after_s
from marigolddoor_core.placement.orders import Ending, OrderBook, start_order
from marigolddoor_core.placement.preemption import CheckpointPreemption, Preemption
from marigolddoor_core.placement.pressure import Pressure, Relief, Stage
from marigolddoor_core.questions.book import PROPOSAL_PATIENCE_S, Concern, QuestionBook
from marigolddoor_core.state.commands import (
    CancelTask,
    FinishTask,
    GrantLease,
    SetAsideTask,
    SubmitTask,
)
from marigolddoor_core.state.objects import TaskRecord, TaskState
from marigolddoor_core.targets import (
    Announcement,
    Resources,
    TaskOrder,
    TaskOrderKind,
    TaskPhase,
    TaskReport,
)

__all__ = ["Placement"]

# An order is given up if the worker did not take it within this time. Its lease counts from
# receipt, so it is shorter by as much, and ends no later than the leader assumes.
ORDER_DELIVERY_S = 3.0
# By then a start order has reached its worker. The report of it may take 20 s more.
START_DELIVERY_S = 0.4
# An urgent task must start within 6.2 s, so a task that does not checkpoint is stopped before.
PREEMPT_PATIENCE_S = 3.0
# Sums of sizes drift by rounding; far less than any task needs.
QUOTA_ROUNDING_CORES = 1e-6
# A worker that does not follow a stop within 2 s is not waited for.
HOLD_PATIENCE_S = PREEMPT_PATIENCE_S + 2.0
NEVER_S = float("inf")
ENDED = (TaskPhase.FINISHED, TaskPhase.FAILED, TaskPhase.STOPPED, TaskPhase.CHECKPOINTED)


@dataclass(frozen=True, slots=True)
class _Grant:
    vm: VmId
    job: JobId
    proposed_s: float


@dataclass(frozen=True, slots=True)
class _Hold:
    """Room that is kept free on a worker for an urgent task."""

    vm: VmId
    since_s: float


@dataclass(frozen=True, slots=True)
class _Stopping:
    vm: VmId
    job: JobId
    token: FencingToken
    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class _Blocked:
    """Why a job waits; it is looked at again when one of these values changes.

    Urgent jobs are looked at in every round, because room for them can be made at any time.
    """

    free: int
    membership: int
    size: Resources
    cores_in_use: float
    arrivals: int


class Placement:
    """The placement decision with preemption, learnt sizes, quotas and leases.

    The cost of a round grows with what changed since the last one and with the jobs that wait.
    """

    def __init__(self, preemption: Preemption | None = None, lease_s: float = LEASE_S) -> None:
        self.preemption = preemption or CheckpointPreemption()
        self.lease_s = lease_s
        self.board = Board()
        self.leases = LeaseBook(lease_s)
        self.orders = OrderBook()
        self.pressure = Pressure()
        self.questions = QuestionBook(
            (
                concerns.NEVER_FITS,
                concerns.ENDLESS,
                concerns.SET_ASIDE_TASK,
                concerns.SET_ASIDE_WORKER,
            )
        )
        self.is_elected = False
        self.grants: dict[TaskId, _Grant] = {}
        self.finishing: dict[TaskId, tuple[FencingToken, float]] = {}
        self.starting: dict[TaskId, float] = {}
        self.stopping: dict[TaskId, _Stopping] = {}
        self.holds: dict[TaskId, _Hold] = {}
        self.stuck: dict[TaskId, None] = {}
        self.blocked: dict[JobId, _Blocked] = {}
        self.endless: dict[TaskId, float] = {}
        self.set_aside: dict[TaskId, None] = {}
        self.at_fault: dict[TaskId, float] = {}
        self.proposed_s: dict[TaskId, float] = {}

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the grants, orders, ends of runs and questions that are due now."""
        now_s = fleet.now_s
        actions: list[Action] = []
        tasks, targets = self.board.update(fleet)
        self.questions.read(fleet)
        for task_change in tasks:
            self._take_task(task_change, now_s)
        self.is_elected = True
        for target_change in targets:
            if target_change.new is not None:
                actions += self._read_reports(target_change.new, now_s)
                actions += self._relieve(target_change.key, now_s)
        self._trust_workers()
        actions += self._expire(now_s)
        self._leave_workers(now_s)
        actions += self._set_tasks_aside(now_s)
        actions += self._stop_cancelled(now_s)
        actions += self._place(now_s)
        actions += self._start(now_s)
        actions += self.orders.due_endings(now_s)
        actions += self._ask(now_s)
        return tuple(actions)

    def renewals(self, reports: Iterable[Announcement], now_s: float) -> tuple[LeaseRenewal, ...]:
        """Renew the leases of the tasks that run on the workers of a holder's report.

        Call it when the report arrives: the leader counts the new lease from `now_s`, and its
        holder from the earlier moment at which it sent the report.
        """
        renewed: list[LeaseRenewal] = []
        for announcement in reports:
            for report in announcement.tasks:
                if self._may_renew(announcement.vm, report) and self.leases.renew(
                    report.task, report.token, now_s
                ):
                    renewed.append(
                        LeaseRenewal(announcement.vm, report.task, report.token, self.lease_s)
                    )
        return tuple(renewed)

    def _may_renew(self, vm: VmId, report: TaskReport) -> bool:
        record = self.board.tasks.seen.get(report.task)
        return (
            record is not None
            and record.state is TaskState.LEASED
            and record.vm == vm
            and record.token == report.token
            and report.phase is TaskPhase.RUNNING
            and report.task not in self.finishing
        )

    def _take_task(self, change: Changed[TaskId, TaskRecord], now_s: float) -> None:
        task, old, new = change.key, change.old, change.new
        self.at_fault.pop(task, None)
        if new is None:
            self._forget_run(task)
            self.grants.pop(task, None)
            return
        if new.state is TaskState.CANCELLED and new.vm is None and old is not None:
            lease_holder = old
        else:
            lease_holder = new
        if new.state is TaskState.CANCELLED and lease_holder.vm is not None:
            until_s = max(self.leases.until_s(task), lease_holder.lease_until_s)
            self.stopping[task] = _Stopping(
                lease_holder.vm, new.job, lease_holder.token, now_s, until_s
            )
        self.leases.take(new, now_s, elected=not self.is_elected)
        if new.state is TaskState.LEASED:
            self.grants.pop(task, None)
            if old is None or old.token != new.token:
                self._forget_run(task)
                self.starting[task] = NEVER_S
            return
        self._forget_run(task)
        if new.state is not TaskState.WAITING:
            self.grants.pop(task, None)
        elif self._is_task_at_fault(new):
            self.at_fault[task] = -NEVER_S
        if new.state is TaskState.CANCELLED and task not in self.stopping:
            self.board.release(task)
        if new.state is TaskState.SET_ASIDE:
            self.set_aside[task] = None
        else:
            self.set_aside.pop(task, None)

    def _forget_run(self, task: TaskId) -> None:
        self.orders.forget(task)
        self.starting.pop(task, None)
        self.finishing.pop(task, None)
        self.endless.pop(task, None)
        self.stuck.pop(task, None)
        self._unhold(task)

    def _unhold(self, task: TaskId) -> None:
        hold = self.holds.pop(task, None)
        if hold is not None:
            self.board.unhold(task, hold.vm)

    def _read_reports(self, target: ObservedTarget, now_s: float) -> list[Action]:
        actions: list[Action] = []
        vm = target.announcement.vm
        for report in target.announcement.tasks:
            record = self.board.tasks.seen.get(report.task)
            is_current = (
                record is not None
                and record.state is TaskState.LEASED
                and record.vm == vm
                and record.token == report.token
            )
            if record is None or not is_current:
                if report.phase is TaskPhase.RUNNING:
                    actions.append(_stop_stray(target.announcement, record, report))
                continue
            self.starting.pop(report.task, None)
            job = self.board.jobs.get(record.job)
            if job is not None and self.board.estimates.add(job, report):
                self.board.recharge(job)
            if report.phase in ENDED:
                actions += self._finish(record, report.phase, report.reason, now_s)
            elif job is not None and self.board.estimates.is_endless(job, report.run_s):
                self.endless[report.task] = report.run_s
        return actions

    def _finish(
        self, record: TaskRecord, phase: TaskPhase, reason: str, now_s: float
    ) -> list[Action]:
        token, proposed_s = self.finishing.get(record.task, (FencingToken(-1), -NEVER_S))
        if token == record.token and now_s - proposed_s < PROPOSAL_PATIENCE_S:
            return []
        self.finishing[record.task] = (record.token, now_s)
        return [ProposeCommand(FinishTask(record.task, record.token, phase, reason, now_s))]

    def _expire(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for task, token in self.leases.expired(now_s):
            self.finishing.setdefault(task, (token, -NEVER_S))
        for task, (token, proposed_s) in tuple(self.finishing.items()):
            record = self.board.tasks.seen.get(task)
            if record is None or record.state is not TaskState.LEASED or record.token != token:
                self.finishing.pop(task)
            elif regrant_after_s(self.leases.until_s(task), self.lease_s) <= now_s:
                actions += self._finish(record, TaskPhase.STOPPED, "the lease ended", now_s)
            elif now_s - proposed_s >= PROPOSAL_PATIENCE_S:
                # The proposal was lost; the next report of the worker brings it up again.
                self.finishing.pop(task)
        return actions

    def _leave_workers(self, now_s: float) -> None:
        """Ask the tasks on draining and moving workers to checkpoint."""
        for vm in self.board.leaving:
            for task in self.board.running_on(vm):
                self._end(task, vm, now_s, NEVER_S)

    def _end(self, task: TaskId, vm: VmId, now_s: float, patience_s: float) -> None:
        record = self.board.tasks.seen.get(task)
        worker = self.board.workers.get(vm)
        if record is None or worker is None or record.state is not TaskState.LEASED:
            return
        self.orders.end(
            task,
            Ending(vm, worker.record.epoch, record.job, record.token, now_s, now_s + patience_s),
        )

    def _relieve(self, vm: VmId, now_s: float) -> list[Action]:
        worker = self.board.workers.get(vm)
        relief = None if worker is None else self.pressure.look(worker, now_s)
        if worker is None or relief is None:
            return []
        if relief.stage is Stage.THROTTLE:
            return self._throttle(worker, relief, now_s)
        patience_s = NEVER_S if relief.stage is Stage.CHECKPOINT else 0.0
        for task in relief.tasks:
            self._end(task, vm, now_s, patience_s)
        return []

    def _throttle(self, worker: Worker, relief: Relief, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for task in relief.tasks:
            record = self.board.tasks.seen.get(task)
            if record is None or record.state is not TaskState.LEASED:
                continue
            if self.orders.is_due(task, TaskOrderKind.THROTTLE, now_s):
                order = TaskOrder(TaskOrderKind.THROTTLE, task, record.job, record.token)
                actions.append(OrderTask(relief.vm, worker.record.epoch, order))
        return actions

    def _stop_cancelled(self, now_s: float) -> list[Action]:
        """Stop cancelled runs; their room is free once the worker no longer reports them."""
        actions: list[Action] = []
        for task, stopping in tuple(self.stopping.items()):
            worker = self.board.workers.get(stopping.vm)
            target = None if worker is None else worker.target
            is_over = worker is None or regrant_after_s(stopping.until_s, self.lease_s) <= now_s
            if worker is not None and target is not None and worker.announced_s > stopping.since_s:
                is_over = is_over or not any(
                    report.task == task and report.phase is TaskPhase.RUNNING
                    for report in target.announcement.tasks
                )
            if is_over or worker is None:
                del self.stopping[task]
                self.board.release(task)
                self.orders.forget(task)
            elif self.orders.is_due(task, TaskOrderKind.STOP, now_s):
                order = TaskOrder(TaskOrderKind.STOP, task, stopping.job, stopping.token)
                actions.append(OrderTask(stopping.vm, worker.record.epoch, order))
        return actions

    def _start(self, now_s: float) -> list[Action]:
        """Send the start orders of committed leases until the worker reports the task."""
        actions: list[Action] = []
        for task in tuple(self.starting):
            record = self.board.tasks.seen.get(task)
            job = None if record is None else self.board.jobs.get(record.job)
            if record is None or record.vm is None or record.state is not TaskState.LEASED:
                del self.starting[task]
                continue
            worker = self.board.workers.get(record.vm)
            lease_s = self.leases.until_s(task) - now_s - ORDER_DELIVERY_S
            if job is None or worker is None or lease_s <= 0.0 or task in self.orders.endings:
                continue
            if self.orders.is_due(task, TaskOrderKind.START, now_s):
                self.starting[task] = min(self.starting[task], now_s)
                order = start_order(
                    task, job.id, record.token, lease_s, self.board.size(job), job.command
                )
                actions.append(OrderTask(record.vm, worker.record.epoch, order))
        return actions

    def _place(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        self._drop_failed_grants(now_s)
        self._drop_stuck_holds(now_s)
        for job in self._waiting_jobs():
            if self._is_blocked(job):
                continue
            actions += self._place_job(job, now_s)
            if job.id in self.board.waiting and not job.urgent:
                self.blocked[job.id] = self._blocked_by(job)
        return actions

    def _waiting_jobs(self) -> list[Job]:
        jobs = [self.board.jobs[job] for job in self.board.waiting if job in self.board.jobs]
        oldest = {
            job.id: next(iter(self.board.waiting[job.id].values())).submitted_s for job in jobs
        }
        return sorted(jobs, key=lambda job: (not job.urgent, oldest[job.id], job.id))

    def _blocked_by(self, job: Job) -> _Blocked:
        room = self.board.pools.get(job.pool)
        return _Blocked(
            -1 if room is None else room.free.generation,
            -1 if room is None else room.membership,
            self.board.size(job),
            self.board.team_cores.get(job.team, 0.0),
            self.board.arrivals.get(job.id, 0),
        )

    def _is_blocked(self, job: Job) -> bool:
        return self.blocked.get(job.id) == self._blocked_by(job)

    def _place_job(self, job: Job, now_s: float) -> list[Action]:
        actions: list[Action] = []
        is_full = False
        for task, record in tuple(self.board.waiting[job.id].items()):
            if task in self.grants or task in self.at_fault or task in self.stopping:
                continue
            if not self._is_within_quota(job):
                break
            if is_full and not record.failed_on and task not in self.holds:
                break
            vm = self._choose(job, record)
            if vm is None and job.urgent and self._preempt(job, record, now_s):
                continue
            if vm is None:
                is_full = is_full or not record.failed_on
                continue
            self._unhold(task)
            self.board.charge(task, job, vm)
            self.grants[task] = _Grant(vm, job.id, now_s)
            epoch = self.board.workers[vm].record.epoch
            actions.append(ProposeCommand(GrantLease(task, vm, epoch, self.lease_s, now_s)))
        return actions

    def _is_within_quota(self, job: Job) -> bool:
        team = self.board.teams.get(job.team)
        if team is None:
            return False
        used = self.board.team_cores.get(job.team, 0.0)
        return used + self.board.size(job).cores <= team.cores + QUOTA_ROUNDING_CORES

    def _choose(self, job: Job, record: TaskRecord) -> VmId | None:
        """Return a worker with room, in the rack that has the fewest tasks of the job."""
        room = self.board.pools.get(job.pool)
        if room is None:
            return None
        size = self.board.size(job)
        hold = self.holds.get(record.task)
        if hold is not None and not self.board.is_usable(hold.vm):
            self._unhold(record.task)
        elif hold is not None:
            worker = self.board.workers[hold.vm]
            has_room = size.fits(worker.room() + worker.holds[record.task])
            return hold.vm if has_room else None
        avoid = self._avoided(job, record)
        found = room.free.find(size, lambda vm: vm not in avoid)
        racks = self.board.racks.get(job.id, {})
        return min(
            found,
            key=lambda vm: racks.get(self.board.workers[vm].record.rack, 0),
            default=None,
        )

    def _avoided(self, job: Job, record: TaskRecord) -> frozenset[VmId]:
        """Return the workers on which the task failed, unless it failed on the whole pool."""
        avoided = frozenset(record.failed_on)
        room = self.board.pools.get(job.pool)
        if room is not None and avoided.issuperset(room.members):
            return frozenset()
        return avoided

    def _preempt(self, job: Job, record: TaskRecord, now_s: float) -> bool:
        """Hold room for an urgent task where the least work must leave; return whether it has."""
        if record.task in self.holds:
            return True
        size = self.board.size(job)
        avoid = self._avoided(job, record)
        plan = self.preemption.plan(
            self.board,
            self.orders,
            job.pool,
            size,
            avoid,
            lambda task: self._can_leave(task, now_s),
        )
        if plan is None:
            return False
        self.holds[record.task] = _Hold(plan.vm, now_s)
        self.board.hold(record.task, size, plan.vm)
        for task in plan.victims:
            self._end(task, plan.vm, now_s, PREEMPT_PATIENCE_S)
        return True

    def _can_leave(self, task: TaskId, now_s: float) -> bool:
        """Return whether a task has started and follows orders, as far as is known."""
        if task in self.grants or task in self.stopping or task in self.stuck:
            return False
        return now_s - self.starting.get(task, -NEVER_S) >= START_DELIVERY_S

    def _drop_stuck_holds(self, now_s: float) -> None:
        """Give up rooms that do not get free, so that they are made on another worker."""
        for task, hold in tuple(self.holds.items()):
            if now_s - hold.since_s < HOLD_PATIENCE_S:
                continue
            self._unhold(task)
            for victim in self.board.running_on(hold.vm):
                if victim in self.orders.endings:
                    self.stuck[victim] = None

    def _drop_failed_grants(self, now_s: float) -> None:
        for task, grant in tuple(self.grants.items()):
            if now_s - grant.proposed_s >= PROPOSAL_PATIENCE_S or not self.board.is_usable(
                grant.vm
            ):
                del self.grants[task]
                self.board.release(task)
                self.blocked.pop(grant.job, None)

    def _set_tasks_aside(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for task, proposed_s in self.at_fault.items():
            if now_s - proposed_s < PROPOSAL_PATIENCE_S:
                continue
            self.at_fault[task] = now_s
            record = self.board.tasks.seen[task]
            reason = f"it failed on {len(record.failed_on)} workers: {record.reason}"
            actions.append(ProposeCommand(SetAsideTask(task, reason, now_s)))
        return actions

    def _is_task_at_fault(self, record: TaskRecord) -> bool:
        good = [vm for vm in record.failed_on if not self.board.is_set_aside(vm)]
        if len(good) >= FAILED_WORKERS:
            return True
        job = self.board.jobs.get(record.job)
        room = None if job is None else self.board.pools.get(job.pool)
        return (
            room is not None
            and record.failures >= 2 * FAILED_WORKERS
            and set(record.failed_on).issuperset(room.members)
        )

    def _trust_workers(self) -> None:
        answered = set(concerns.workers_answered(self.questions.standing.values(), "trust"))
        if answered != self.board.trusted:
            self.board.trust(answered)

    def _ask(self, now_s: float) -> list[Action]:
        asked = [*self._never_fitting(now_s), *self._faulty(now_s)]
        actions = self.questions.reconcile(now_s, asked)
        for concern in asked:
            answer = self.questions.answer(concern.subject)
            if answer is not None:
                actions += self._carry_out(concern.subject, answer, now_s)
        return actions

    def _never_fitting(self, now_s: float) -> list[Concern]:
        found: list[Concern] = []
        for job_id in self.board.waiting:
            job = self.board.jobs.get(job_id)
            room = None if job is None else self.board.pools.get(job.pool)
            if job is None or room is None or not room.members:
                continue
            size = self.board.size(job)
            if any(size.fits(capacity) for capacity in room.members.values()):
                continue
            members = room.members.values()
            largest = Resources(
                max(capacity.cores for capacity in members),
                max(capacity.memory_mb for capacity in members),
                max(capacity.accelerators for capacity in members),
            )
            found.append(concerns.job_never_fits(job, size, largest, now_s))
        return found

    def _faulty(self, now_s: float) -> list[Concern]:
        found: list[Concern] = []
        for task, run_s in self.endless.items():
            record = self.board.tasks.seen[task]
            job = self.board.jobs.get(record.job)
            if job is not None:
                found.append(concerns.endless_task(record, job, run_s, now_s))
        for task in self.set_aside:
            found.append(concerns.task_set_aside(self.board.tasks.seen[task], now_s))
        for vm, failures in self.board.blame.by_vm.items():
            worker = self.board.workers.get(vm)
            if worker is not None and self.board.blame.is_worker_bad(worker.record):
                found.append(concerns.worker_set_aside(vm, len(set(failures.values())), now_s))
        return found

    def _carry_out(self, subject: str, answer: str, now_s: float) -> list[Action]:
        kind, _, name = subject.partition(":")
        tasks: list[TaskId] = []
        actions: list[Action] = []
        if f"{kind}:" == concerns.NEVER_FITS and answer == "cancel":
            tasks = list(self.board.waiting.get(JobId(name), ()))
        elif f"{kind}:" in (concerns.ENDLESS, concerns.SET_ASIDE_TASK):
            tasks = [TaskId(name)] if answer in ("cancel", "retry") else []
        for task in tasks:
            if now_s - self.proposed_s.get(task, -NEVER_S) < PROPOSAL_PATIENCE_S:
                continue
            self.proposed_s[task] = now_s
            if answer == "retry":
                job = self.board.tasks.seen[task].job
                actions.append(ProposeCommand(SubmitTask(task, job, now_s)))
            else:
                actions.append(ProposeCommand(CancelTask(task, now_s)))
        return actions


def _stop_stray(
    announcement: Announcement, record: TaskRecord | None, report: TaskReport
) -> OrderTask:
    """Stop a run whose lease is over. The token keeps a newer run of the task out of it."""
    job = JobId("") if record is None else record.job
    order = TaskOrder(TaskOrderKind.STOP, report.task, job, report.token)
    return OrderTask(announcement.vm, announcement.epoch, order)
