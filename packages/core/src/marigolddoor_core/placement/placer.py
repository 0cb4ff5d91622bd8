"""Chooses workers for waiting tasks and preempts others for urgent tasks."""

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

# An urgent task must start within 6.2 s, so a task that does not checkpoint in time is stopped.
PREEMPTION_GRACE_S = 3.0
# If a worker does not carry out a stop within 2 s, another one is chosen.
RESERVATION_TIMEOUT_S = PREEMPTION_GRACE_S + 2.0
# Sums of sizes drift by rounding; this is far less than any task needs.
QUOTA_ROUNDING_CORES = 1e-6


@dataclass(frozen=True, slots=True)
class _Grant:
    vm: VmId
    job: JobId
    proposed_s: float


@dataclass(frozen=True, slots=True)
class _Reservation:
    """Capacity that is kept free on a worker for an urgent task."""

    vm: VmId
    since_s: float


@dataclass(frozen=True, slots=True)
class _Blocked:
    """The state in which a job could not be placed; it is retried when one of the values changes.

    Urgent jobs are tried in every round, because preemption can free capacity at any time.
    """

    free: int
    membership: int
    size: Resources
    cores_in_use: float
    arrivals: int


class Placer:
    """Grants leases to waiting tasks, urgent jobs first and then the oldest.

    The cost of a round grows with the waiting jobs and the placed tasks.
    """

    def __init__(self, index: PlacementIndex, runs: Runs, preemption: Preemption) -> None:
        self.index = index
        self.runs = runs
        self.preemption = preemption
        self.grants: dict[TaskId, _Grant] = {}
        self.reservations: dict[TaskId, _Reservation] = {}
        self.unevictable: dict[TaskId, None] = {}
        self.blocked: dict[JobId, _Blocked] = {}

    def apply(self, change: Changed[TaskId, TaskRecord]) -> None:
        """Apply the change of a task."""
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
            self.unevictable.pop(task, None)
            self._cancel_reservation(task)

    def _cancel_reservation(self, task: TaskId) -> None:
        reservation = self.reservations.pop(task, None)
        if reservation is not None:
            self.index.cancel_reservation(task, reservation.vm)

    def place(self, now_s: float, at_fault: Container[TaskId]) -> list[Action]:
        """Return the grants for waiting tasks, except those at fault."""
        actions: list[Action] = []
        self._drop_failed_grants(now_s)
        self._drop_stalled_reservations(now_s)
        for job in self._waiting_jobs():
            if self._is_blocked(job):
                continue
            actions += self._place_job(job, now_s, at_fault)
            if job.id in self.index.waiting and not job.urgent:
                self.blocked[job.id] = self._blocked_state(job)
        return actions

    def _waiting_jobs(self) -> list[Job]:
        jobs = [self.index.jobs[job] for job in self.index.waiting if job in self.index.jobs]
        oldest = {
            job.id: next(iter(self.index.waiting[job.id].values())).submitted_s for job in jobs
        }
        return sorted(jobs, key=lambda job: (not job.urgent, oldest[job.id], job.id))

    def _blocked_state(self, job: Job) -> _Blocked:
        pool = self.index.pools.get(job.pool)
        return _Blocked(
            -1 if pool is None else pool.free.generation,
            -1 if pool is None else pool.membership,
            self.index.size(job),
            self.index.team_cores.get(job.team, 0.0),
            self.index.arrivals.get(job.id, 0),
        )

    def _is_blocked(self, job: Job) -> bool:
        return self.blocked.get(job.id) == self._blocked_state(job)

    def _place_job(self, job: Job, now_s: float, at_fault: Container[TaskId]) -> list[Action]:
        actions: list[Action] = []
        is_full = False
        for task, record in tuple(self.index.waiting[job.id].items()):
            if task in self.grants or task in at_fault or task in self.runs.stopping:
                continue
            if not self._is_within_quota(job):
                break
            if is_full and not record.failed_on and task not in self.reservations:
                break
            vm = self._choose(job, record)
            if vm is None and job.urgent and self._preempt(job, record, now_s):
                continue
            if vm is None:
                is_full = is_full or not record.failed_on
                continue
            self._cancel_reservation(task)
            self.index.allocate(task, job, vm)
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
        """Return a worker that fits the task, in the rack with the fewest tasks of the job."""
        pool = self.index.pools.get(job.pool)
        if pool is None:
            return None
        size = self.index.size(job)
        reservation = self.reservations.get(record.task)
        if reservation is not None and not self.index.is_usable(reservation.vm):
            self._cancel_reservation(record.task)
        elif reservation is not None:
            worker = self.index.workers[reservation.vm]
            has_capacity = size.fits(worker.free_capacity() + worker.reservations[record.task])
            return reservation.vm if has_capacity else None
        excluded = self._excluded_workers(job, record)
        found = pool.free.find(size, lambda vm: vm not in excluded)
        racks = self.index.racks.get(job.id, {})
        return min(
            found,
            key=lambda vm: racks.get(self.index.workers[vm].record.rack, 0),
            default=None,
        )

    def _excluded_workers(self, job: Job, record: TaskRecord) -> frozenset[VmId]:
        """Return the workers on which the task failed, unless it failed on the whole pool."""
        excluded = frozenset(record.failed_on)
        pool = self.index.pools.get(job.pool)
        if pool is not None and excluded.issuperset(pool.members):
            return frozenset()
        return excluded

    def _preempt(self, job: Job, record: TaskRecord, now_s: float) -> bool:
        """Reserve capacity for an urgent task by evicting the least work; return whether it is."""
        if record.task in self.reservations:
            return True
        size = self.index.size(job)
        excluded = self._excluded_workers(job, record)
        plan = self.preemption.plan(
            self.index,
            self.runs.orders,
            job.pool,
            size,
            excluded,
            lambda task: self._can_evict(task, now_s),
        )
        if plan is None:
            return False
        self.reservations[record.task] = _Reservation(plan.vm, now_s)
        self.index.reserve(record.task, size, plan.vm)
        for task in plan.victims:
            self.runs.terminate(task, plan.vm, now_s, PREEMPTION_GRACE_S)
        return True

    def _can_evict(self, task: TaskId, now_s: float) -> bool:
        """Return whether a started task is not being stopped and has not ignored an eviction."""
        if task in self.grants or task in self.unevictable:
            return False
        return self.runs.has_settled(task, now_s)

    def _drop_stalled_reservations(self, now_s: float) -> None:
        """Cancel reservations that are not freed in time, so that another worker is chosen."""
        for task, reservation in tuple(self.reservations.items()):
            if now_s - reservation.since_s < RESERVATION_TIMEOUT_S:
                continue
            self._cancel_reservation(task)
            for victim in self.index.running_on(reservation.vm):
                if victim in self.runs.orders.terminations:
                    self.unevictable[victim] = None

    def _drop_failed_grants(self, now_s: float) -> None:
        for task, grant in tuple(self.grants.items()):
            if now_s - grant.proposed_s >= PROPOSAL_RETRY_S or not self.index.is_usable(grant.vm):
                del self.grants[task]
                self.index.release(task)
                self.blocked.pop(grant.job, None)
