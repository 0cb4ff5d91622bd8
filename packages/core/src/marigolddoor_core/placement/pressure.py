"""Keeps workers from overload: throttle first, then checkpoint, then stop."""

from dataclasses import dataclass
from enum import IntEnum

from marigolddoor_core.ids import TaskId, VmId
from marigolddoor_core.placement.index import Worker
from marigolddoor_core.targets import Resources, TaskPhase, TaskReport

__all__ = ["Pressure", "Relief", "Stage"]

# Reports are late, so relief starts before the worker is full.
START_SHARE = 0.9
# Above this, no headroom is left until the next report, so throttling alone is too slow.
URGENT_SHARE = 0.97
ROUNDING_CORES = 1e-6
# The effect of a throttle shows in the report after next.
ESCALATE_S = 3.0


class Stage(IntEnum):
    """How strongly a worker is relieved. The stages escalate in the order of their values."""

    THROTTLE = 1
    CHECKPOINT = 2
    STOP = 3


@dataclass(frozen=True, slots=True)
class Relief:
    """The step to take on the least urgent tasks of a worker."""

    vm: VmId
    stage: Stage
    tasks: tuple[TaskId, ...]


@dataclass(slots=True)
class _ReliefState:
    stage: Stage
    since_s: float


class Pressure:
    """Decides from each new report of a worker whether and how to relieve it."""

    def __init__(self) -> None:
        self.states: dict[VmId, _ReliefState] = {}

    def evaluate(self, worker: Worker, now_s: float) -> Relief | None:
        """Return the relief that a new report of the worker requires."""
        vm = worker.record.vm
        target = worker.target
        if target is None:
            return None
        excess = _excess_usage(worker, START_SHARE)
        if excess is None:
            self.states.pop(vm, None)
            return None
        stage = self._next_stage(worker, now_s)
        running = [r for r in target.announcement.tasks if r.phase is TaskPhase.RUNNING]
        tasks = _least_urgent(running, worker, excess)
        return Relief(vm, stage, tasks) if tasks else None

    def _next_stage(self, worker: Worker, now_s: float) -> Stage:
        vm = worker.record.vm
        state = self.states.get(vm)
        if state is None:
            state = self.states[vm] = _ReliefState(Stage.THROTTLE, now_s)
        elif state.stage < Stage.STOP and worker.announced_s >= state.since_s + ESCALATE_S:
            self.states[vm] = state = _ReliefState(Stage(state.stage + 1), now_s)
        if state.stage is Stage.THROTTLE and (_excess_usage(worker, URGENT_SHARE) is not None):
            self.states[vm] = state = _ReliefState(Stage.CHECKPOINT, now_s)
        return state.stage


def _excess_usage(worker: Worker, share: float) -> Resources | None:
    """Return the use above `share` of the capacity; allocated capacity is no excess."""
    capacity, allocated = worker.record.capacity, worker.allocated
    cores_limit = max(share * capacity.cores, min(allocated.cores, capacity.cores))
    memory_limit_mb = max(share * capacity.memory_mb, min(allocated.memory_mb, capacity.memory_mb))
    cores = worker.reported.cores - cores_limit
    memory_mb = worker.reported.memory_mb - int(memory_limit_mb)
    return Resources(cores, memory_mb) if cores > ROUNDING_CORES or memory_mb > 0 else None


def _least_urgent(
    running: list[TaskReport], worker: Worker, excess: Resources
) -> tuple[TaskId, ...]:
    def rank(report: TaskReport) -> tuple[bool, float]:
        allocation = worker.allocations.get(report.task)
        over_mb = report.usage.memory_mb - (0 if allocation is None else allocation.size.memory_mb)
        return (allocation is not None and allocation.job.urgent, -over_mb)

    chosen: list[TaskId] = []
    cores, memory_mb = excess.cores, excess.memory_mb
    for report in sorted(running, key=rank):
        if cores <= 0.0 and memory_mb <= 0:
            break
        if len(running) == 1 and worker.reported.fits(worker.record.capacity):
            # A single task that fits degrades no other task.
            break
        chosen.append(report.task)
        cores -= report.usage.cores
        memory_mb -= report.usage.memory_mb
    return tuple(chosen)
