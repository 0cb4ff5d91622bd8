"""Index of workers and tasks, updated incrementally from the changes between two fleets."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from marigolddoor_core.changes import Changed, Tracker
from marigolddoor_core.declaration.organisation import Declaration, Job, Team
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import DataCentreId, JobId, PoolId, RackId, TaskId, TeamId, VmId
from marigolddoor_core.placement.estimates import Estimates
from marigolddoor_core.placement.failures import FailureRecord
from marigolddoor_core.placement.free_capacity import FreeCapacityIndex
from marigolddoor_core.state.commands import MaintenanceStep
from marigolddoor_core.state.objects import TaskRecord, TaskState, VmRecord
from marigolddoor_core.targets import Resources, TargetState, TaskPhase

__all__ = [
    "NOTHING",
    "Allocation",
    "PlacementIndex",
    "PoolCapacity",
    "Worker",
    "is_in_service",
    "is_leaving",
]

NOTHING = Resources(0.0, 0)


@dataclass(frozen=True, slots=True)
class Allocation:
    """The capacity that a task occupies on its worker."""

    job: Job
    size: Resources
    rack: RackId


@dataclass(slots=True)
class Worker:
    """The state of a worker for placement.

    `announced_s` is the consensus time of its latest announcement. `reservations` is capacity kept
    free for urgent tasks.
    """

    record: VmRecord
    target: ObservedTarget | None = None
    announced_s: float = 0.0
    allocations: dict[TaskId, Allocation] = field(default_factory=dict)
    reservations: dict[TaskId, Resources] = field(default_factory=dict)
    allocated: Resources = NOTHING
    allocated_urgent: Resources = NOTHING
    reserved: Resources = NOTHING
    reported: Resources = NOTHING

    def free_capacity(self) -> Resources:
        """Return the free capacity, based on the larger of the estimated and the reported use."""
        used = Resources(
            max(self.allocated.cores, self.reported.cores),
            max(self.allocated.memory_mb, self.reported.memory_mb),
            self.allocated.accelerators,
        )
        return self.record.capacity - used - self.reserved

    def preemptible_capacity(self) -> Resources:
        """Return the capacity that would be free if only urgent tasks ran."""
        return self.record.capacity - self.allocated_urgent - self.reserved


@dataclass(slots=True)
class PoolCapacity:
    """The free capacity of a pool, and the capacity that preemption could free."""

    free: FreeCapacityIndex = field(default_factory=FreeCapacityIndex)
    preemptible: FreeCapacityIndex = field(default_factory=FreeCapacityIndex)
    members: dict[VmId, Resources] = field(default_factory=dict)
    membership: int = 0


def is_in_service(record: VmRecord, target: ObservedTarget | None) -> bool:
    """Return whether a VM may get new work: ready, in its current epoch and not leaving."""
    if target is None or target.state is not TargetState.READY:
        return False
    if record.next_pool is not None or record.maintenance not in (None, MaintenanceStep.DONE):
        return False
    report = target.announcement
    return report.epoch == record.epoch and not report.leaving


def is_leaving(record: VmRecord) -> bool:
    """Return whether the tasks of a VM must leave it, for a move or for maintenance."""
    return record.next_pool is not None or record.maintenance is MaintenanceStep.DRAINING


def _is_same_target(old: ObservedTarget, new: ObservedTarget) -> bool:
    return old.announcement is new.announcement and old.state is new.state


class PlacementIndex:
    """Indexes workers and tasks; the cost of `update` grows with the number of changes."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.teams: dict[TeamId, Team] = {}
        self.workers: dict[VmId, Worker] = {}
        self.pools: dict[PoolId, PoolCapacity] = {}
        self.tasks: Tracker[TaskId, TaskRecord] = Tracker()
        self.vms: Tracker[VmId, VmRecord] = Tracker()
        self.targets: Tracker[VmId, ObservedTarget] = Tracker(_is_same_target)
        self.waiting: dict[JobId, dict[TaskId, TaskRecord]] = {}
        # Counts the tasks that began to wait. The number of waiting tasks stays the same if one
        # replaces another.
        self.arrivals: dict[JobId, int] = {}
        self.location: dict[TaskId, VmId] = {}
        self.by_job: dict[JobId, dict[TaskId, None]] = {}
        self.racks: dict[JobId, dict[RackId, int]] = {}
        self.team_cores: dict[TeamId, float] = {}
        self.estimates = Estimates()
        self.failures = FailureRecord()
        self.trusted: set[VmId] = set()
        self.leaving: dict[VmId, None] = {}
        self.unreachable: frozenset[DataCentreId] = frozenset()
        self.declaration: Declaration | None = None
        self.sequence = -1

    def update(
        self, fleet: Fleet
    ) -> tuple[list[Changed[TaskId, TaskRecord]], list[Changed[VmId, ObservedTarget]]]:
        """Apply a new fleet; return the tasks and the targets that changed."""
        delta = fleet.delta
        if delta is not None and delta.sequence != self.sequence + 1:
            delta = None
        self.sequence = -1 if fleet.delta is None else fleet.delta.sequence
        if fleet.declaration is not self.declaration:
            self._apply_declaration(fleet.declaration)
        stale: dict[VmId, None] = {}
        if fleet.unresponsive_data_centres != self.unreachable:
            self.unreachable = fleet.unresponsive_data_centres
            stale.update(dict.fromkeys(self.workers))
        for vm_change in self.vms.changes(fleet.vms, None if delta is None else delta.vms):
            self._apply_vm(vm_change)
            stale[vm_change.key] = None
        targets = list(
            self.targets.changes(fleet.targets, None if delta is None else delta.targets)
        )
        for target_change in targets:
            worker = self.workers.get(target_change.key)
            if worker is not None:
                worker.target = target_change.new
                if target_change.new is not None:
                    worker.announced_s = fleet.now_s - target_change.new.age_s
                worker.reported = _reported(target_change.new)
                stale[target_change.key] = None
        tasks = list(self.tasks.changes(fleet.tasks, None if delta is None else delta.tasks))
        for task_change in tasks:
            self._apply_task(task_change)
            stale.update(self.failures.apply(task_change.old, task_change.new))
        for vm in stale:
            self.refresh(vm)
        return tasks, targets

    def is_usable(self, vm: VmId) -> bool:
        """Return whether new tasks may be placed on a worker."""
        worker = self.workers.get(vm)
        return (
            worker is not None
            and worker.record.data_centre not in self.unreachable
            and is_in_service(worker.record, worker.target)
            and not self.is_set_aside(vm)
        )

    def is_set_aside(self, vm: VmId) -> bool:
        """Return whether a worker gets no tasks because it fails those of several jobs."""
        worker = self.workers.get(vm)
        return (
            worker is not None
            and vm not in self.trusted
            and self.failures.is_worker_faulty(worker.record)
        )

    def size(self, job: Job) -> Resources:
        """Return the resources that a task of the job is expected to need."""
        return self.estimates.size(job)

    def allocate(self, task: TaskId, job: Job, vm: VmId) -> None:
        """Allocate capacity for a task on a worker; this replaces its earlier allocation."""
        self.release(task)
        worker = self.workers.get(vm)
        if worker is None:
            return
        allocation = Allocation(job, self.size(job), worker.record.rack)
        worker.allocations[task] = allocation
        worker.allocated += allocation.size
        if job.urgent:
            worker.allocated_urgent += allocation.size
        self.location[task] = vm
        self.team_cores[job.team] = self.team_cores.get(job.team, 0.0) + allocation.size.cores
        racks = self.racks.setdefault(job.id, {})
        racks[worker.record.rack] = racks.get(worker.record.rack, 0) + 1
        self.refresh(vm)

    def release(self, task: TaskId) -> None:
        """Release the capacity of a task."""
        vm = self.location.pop(task, None)
        worker = None if vm is None else self.workers.get(vm)
        if vm is None or worker is None:
            return
        allocation = worker.allocations.pop(task)
        worker.allocated -= allocation.size
        if allocation.job.urgent:
            worker.allocated_urgent -= allocation.size
        if not worker.allocations:
            # Sums of floats drift by rounding; an empty worker is reset to exactly zero.
            worker.allocated = worker.allocated_urgent = NOTHING
        self.team_cores[allocation.job.team] -= allocation.size.cores
        self.racks[allocation.job.id][allocation.rack] -= 1
        self.refresh(vm)

    def reserve(self, task: TaskId, size: Resources, vm: VmId) -> None:
        """Reserve capacity on a worker for an urgent task that waits for others to leave."""
        worker = self.workers[vm]
        worker.reservations[task] = size
        worker.reserved += size
        self.refresh(vm)

    def cancel_reservation(self, task: TaskId, vm: VmId) -> None:
        """Release reserved capacity."""
        worker = self.workers.get(vm)
        size = None if worker is None else worker.reservations.pop(task, None)
        if worker is not None and size is not None:
            worker.reserved -= size
            self.refresh(vm)

    def update_allocations(self, job: Job) -> None:
        """Allocate the new size of a job to its running tasks."""
        for task in self.by_job.get(job.id, ()):
            vm = self.location.get(task)
            if vm is not None:
                self.allocate(task, job, vm)

    def trust(self, vms: set[VmId]) -> None:
        """Use these workers despite their failures, as operators have answered."""
        changed = self.trusted ^ vms
        self.trusted = vms
        for vm in sorted(changed):
            self.refresh(vm)

    def refresh(self, vm: VmId) -> None:
        """Update the free capacity of a worker in the index of its pool."""
        worker = self.workers.get(vm)
        if worker is None:
            return
        pool = self.pools[worker.record.pool]
        if self.is_usable(vm):
            pool.free.update(vm, worker.free_capacity())
            pool.preemptible.update(vm, worker.preemptible_capacity())
        else:
            pool.free.remove(vm)
            pool.preemptible.remove(vm)

    def running_on(self, vm: VmId) -> Iterator[TaskId]:
        """Yield the tasks that occupy capacity on a worker."""
        worker = self.workers.get(vm)
        if worker is not None:
            yield from tuple(worker.allocations)

    def _apply_declaration(self, declaration: Declaration) -> None:
        self.declaration = declaration
        self.jobs = {job.id: job for job in declaration.jobs}
        self.teams = {team.id: team for team in declaration.teams}

    def _apply_vm(self, change: Changed[VmId, VmRecord]) -> None:
        old, new = change.old, change.new
        if new is not None and is_leaving(new):
            self.leaving[change.key] = None
        else:
            self.leaving.pop(change.key, None)
        if old is not None and (new is None or new.pool != old.pool or new.rack != old.rack):
            pool = self.pools[old.pool]
            pool.free.remove(change.key)
            pool.preemptible.remove(change.key)
            pool.members.pop(change.key, None)
            pool.membership += 1
        if new is None:
            for task in self.running_on(change.key):
                self.release(task)
            self.workers.pop(change.key, None)
            return
        pool = self.pools.setdefault(new.pool, PoolCapacity())
        if pool.members.get(change.key) != new.capacity:
            pool.members[change.key] = new.capacity
            pool.membership += 1
        worker = self.workers.get(change.key)
        if worker is None:
            self.workers[change.key] = Worker(new)
        else:
            worker.record = new

    def _apply_task(self, change: Changed[TaskId, TaskRecord]) -> None:
        old, new = change.old, change.new
        if old is not None and old.state is TaskState.WAITING:
            self._remove_waiting(old)
        if new is None:
            self.release(change.key)
            if old is not None:
                self.by_job.get(old.job, {}).pop(change.key, None)
            return
        if new.state is TaskState.LEASED and new.vm is not None:
            job = self.jobs.get(new.job)
            if job is not None and self.location.get(change.key) != new.vm:
                self.allocate(change.key, job, new.vm)
            self.by_job.setdefault(new.job, {})[change.key] = None
            return
        if new.state is TaskState.WAITING:
            self.waiting.setdefault(new.job, {})[change.key] = new
            self.arrivals[new.job] = self.arrivals.get(new.job, 0) + 1
        else:
            self.by_job.get(new.job, {}).pop(change.key, None)
            self.estimates.forget(change.key)
        if new.state is not TaskState.CANCELLED:
            self.release(change.key)

    def _remove_waiting(self, record: TaskRecord) -> None:
        waiting = self.waiting.get(record.job)
        if waiting is not None:
            waiting.pop(record.task, None)
            if not waiting:
                del self.waiting[record.job]


def _reported(target: ObservedTarget | None) -> Resources:
    if target is None:
        return NOTHING
    total = NOTHING
    for report in target.announcement.tasks:
        if report.phase is TaskPhase.RUNNING:
            total += report.usage
    return total
