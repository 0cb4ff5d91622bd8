"""Chooses the workers of waiting tasks, and makes room for urgent ones."""

from collections.abc import Container
from dataclasses import dataclass

from marigolddoor_core.actions import Action, ProposeCommand
from marigolddoor_core.changes import Changed
from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.ids import JobId, TaskId, VmId
from marigolddoor_core.placement.index import PlacementIndex
from marigolddoor_core.placement.preemption import Preemption
from marigolddoor_core.placement.runs import Runs
from marigolddoor_core.questions.question_tracker import PROPOSAL_RETRY_S
from marigolddoor_core.state.commands import GrantLease
from marigolddoor_core.state.objects import TaskRecord, TaskState
from marigolddoor_core.targets import Resources

__all__ = ["Placer"]

# An urgent task must start within 6.2 s, so a task that does not checkpoint is stopped before.
PREEMPT_PATIENCE_S = 3.0
# A worker that does not follow a stop within 2 s is not waited for.
HOLD_PATIENCE_S = PREEMPT_PATIENCE_S + 2.0
# Sums of sizes drift by rounding; far less than any task needs.
QUOTA_ROUNDING_CORES = 1e-6


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
class _Blocked:
    """Why a job waits; it is looked at again when one of these values changes.

    Urgent jobs are looked at in every round, because room for them can be made at any time.
    """

    free: int
    membership: int
    size: Resources
    cores_in_use: float
    arrivals: int


class Placer:
    """Grants leases to waiting tasks, urgent jobs first and then the oldest.

    The cost of a round grows with the jobs that wait and the tasks that are placed.
    """

    def __init__(self, index: PlacementIndex, runs: Runs, preemption: Preemption) -> None:
        self.index = index
        self.runs = runs
        self.preemption = preemption
        self.grants: dict[TaskId, _Grant] = {}
        self.holds: dict[TaskId, _Hold] = {}
        self.stuck: dict[TaskId, None] = {}
        self.blocked: dict[JobId, _Blocked] = {}

    def take(self, change: Changed[TaskId, TaskRecord]) -> None:
        """Take in the change of a task."""
        task, old, new = change.key, change.old, change.new
        if new is None or new.state is not TaskState.WAITING:
            self.grants.pop(task, None)
        is_same_run = (
            new is not None
            and old is not None
            and new.state is TaskState.LEASED
            and new.token == old.token
        )
        if not is_same_run:
            self.stuck.pop(task, None)
            self._unhold(task)

    def _unhold(self, task: TaskId) -> None:
        hold = self.holds.pop(task, None)
        if hold is not None:
            self.index.unhold(task, hold.vm)

    def place(self, now_s: float, at_fault: Container[TaskId]) -> list[Action]:
        """Return the grants for waiting tasks, apart from those that are at fault."""
        actions: list[Action] = []
        self._drop_failed_grants(now_s)
        self._drop_stuck_holds(now_s)
        for job in self._waiting_jobs():
            if self._is_blocked(job):
                continue
            actions += self._place_job(job, now_s, at_fault)
            if job.id in self.index.waiting and not job.urgent:
                self.blocked[job.id] = self._blocked_by(job)
        return actions

    def _waiting_jobs(self) -> list[Job]:
        jobs = [self.index.jobs[job] for job in self.index.waiting if job in self.index.jobs]
        oldest = {
            job.id: next(iter(self.index.waiting[job.id].values())).submitted_s for job in jobs
        }
        return sorted(jobs, key=lambda job: (not job.urgent, oldest[job.id], job.id))

    def _blocked_by(self, job: Job) -> _Blocked:
        room = self.index.pools.get(job.pool)
        return _Blocked(
            -1 if room is None else room.free.generation,
            -1 if room is None else room.membership,
            self.index.size(job),
            self.index.team_cores.get(job.team, 0.0),
            self.index.arrivals.get(job.id, 0),
        )

    def _is_blocked(self, job: Job) -> bool:
        return self.blocked.get(job.id) == self._blocked_by(job)

    def _place_job(self, job: Job, now_s: float, at_fault: Container[TaskId]) -> list[Action]:
        actions: list[Action] = []
        is_full = False
        for task, record in tuple(self.index.waiting[job.id].items()):
            if task in self.grants or task in at_fault or task in self.runs.stopping:
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
            self.index.charge(task, job, vm)
            self.grants[task] = _Grant(vm, job.id, now_s)
            epoch = self.index.workers[vm].record.epoch
            actions.append(ProposeCommand(GrantLease(task, vm, epoch, self.runs.lease_s, now_s)))
        return actions

    def _is_within_quota(self, job: Job) -> bool:
        team = self.index.teams.get(job.team)
        if team is None:
            return False
        used = self.index.team_cores.get(job.team, 0.0)
        return used + self.index.size(job).cores <= team.cores + QUOTA_ROUNDING_CORES

    def _choose(self, job: Job, record: TaskRecord) -> VmId | None:
        """Return a worker with room, in the rack that has the fewest tasks of the job."""
        room = self.index.pools.get(job.pool)
        if room is None:
            return None
        size = self.index.size(job)
        hold = self.holds.get(record.task)
        if hold is not None and not self.index.is_usable(hold.vm):
            self._unhold(record.task)
        elif hold is not None:
            worker = self.index.workers[hold.vm]
            has_room = size.fits(worker.room() + worker.holds[record.task])
            return hold.vm if has_room else None
        avoid = self._avoided(job, record)
        found = room.free.find(size, lambda vm: vm not in avoid)
        racks = self.index.racks.get(job.id, {})
        return min(
            found,
            key=lambda vm: racks.get(self.index.workers[vm].record.rack, 0),
            default=None,
        )

    def _avoided(self, job: Job, record: TaskRecord) -> frozenset[VmId]:
        """Return the workers on which the task failed, unless it failed on the whole pool."""
        avoided = frozenset(record.failed_on)
        room = self.index.pools.get(job.pool)
        if room is not None and avoided.issuperset(room.members):
            return frozenset()
        return avoided

    def _preempt(self, job: Job, record: TaskRecord, now_s: float) -> bool:
        """Hold room for an urgent task where the least work must leave; return whether it has."""
        if record.task in self.holds:
            return True
        size = self.index.size(job)
        avoid = self._avoided(job, record)
        plan = self.preemption.plan(
            self.index,
            self.runs.orders,
            job.pool,
            size,
            avoid,
            lambda task: self._can_leave(task, now_s),
        )
        if plan is None:
            return False
        self.holds[record.task] = _Hold(plan.vm, now_s)
        self.index.hold(record.task, size, plan.vm)
        for task in plan.victims:
            self.runs.end(task, plan.vm, now_s, PREEMPT_PATIENCE_S)
        return True

    def _can_leave(self, task: TaskId, now_s: float) -> bool:
        """Return whether a task has started and follows orders, as far as is known."""
        if task in self.grants or task in self.stuck:
            return False
        return self.runs.is_settled(task, now_s)

    def _drop_stuck_holds(self, now_s: float) -> None:
        """Give up rooms that do not get free, so that they are made on another worker."""
        for task, hold in tuple(self.holds.items()):
            if now_s - hold.since_s < HOLD_PATIENCE_S:
                continue
            self._unhold(task)
            for victim in self.index.running_on(hold.vm):
                if victim in self.runs.orders.endings:
                    self.stuck[victim] = None

    def _drop_failed_grants(self, now_s: float) -> None:
        for task, grant in tuple(self.grants.items()):
            if now_s - grant.proposed_s >= PROPOSAL_RETRY_S or not self.index.is_usable(grant.vm):
                del self.grants[task]
                self.index.release(task)
                self.blocked.pop(grant.job, None)
