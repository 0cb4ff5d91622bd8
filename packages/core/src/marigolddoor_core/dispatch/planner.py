"""Placement of waiting tasks on executors."""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.dispatch.near_places import NeverWait, PlaceWait
from marigolddoor_core.dispatch.quotas import NoQuotas, QuotaPolicy
from marigolddoor_core.ids import RunNumber
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import PlaceRun, StepRecord, TaskPhase, TaskRecord

__all__ = [
    "ArrivalOrder",
    "Placer",
    "StepOrder",
    "fitting_steps",
    "has_destination",
    "is_suitable",
    "task_capacity",
]


class StepOrder(Protocol):
    """The order in which the ready steps of a service are scheduled."""

    def sort(self, steps: list[StepRecord], time_s: float) -> list[StepRecord]:
        """Return the steps in scheduling order."""
        ...


class ArrivalOrder:
    """First come, first served: the baseline order."""

    def sort(self, steps: list[StepRecord], time_s: float) -> list[StepRecord]:
        """Return the steps in the order in which their jobs were accepted."""
        return sorted(steps, key=lambda step: step.job.accepted_s)


def fitting_steps(steps: Iterable[StepRecord], executors: Sequence[Executor]) -> list[StepRecord]:
    """Return the steps whose tasks fit the largest free amount of each resource.

    In an overloaded pool most steps fit nowhere; leaving them out here saves sorting them.
    """
    cpu = max((executor.free_cpu for executor in executors), default=0)
    memory = max((executor.free_memory for executor in executors), default=0)
    accelerators = max((executor.free_accelerators for executor in executors), default=0)
    return [
        step
        for step in steps
        if (step.spec.is_best_effort or step.spec.size.cpu_milli <= cpu)
        and step.spec.size.memory_mb <= memory
        and step.spec.size.accelerators <= accelerators
    ]


class Placer:
    """Places the tasks of sorted steps on the executors of their service.

    Args:
      quotas: is asked before each placement; by default nothing is limited.
      waits: decides which tasks wait for a place near their data; by default none does.
    """

    def __init__(self, quotas: QuotaPolicy | None = None, waits: PlaceWait | None = None) -> None:
        self.quotas: QuotaPolicy = quotas or NoQuotas()
        self.waits: PlaceWait = waits or NeverWait()

    def admitted_steps(self, steps: Iterable[StepRecord]) -> list[StepRecord]:
        """Return the steps of which the quotas admit a task, or all members of a gang.

        Leaving the others out here saves sorting them and looking for room for them.
        """
        return [step for step in steps if self._is_admitted(step)]

    def _is_admitted(self, step: StepRecord) -> bool:
        return self.quotas.admits(step, step.waiting if step.spec.is_gang else 1)

    def place(
        self,
        steps: Iterable[StepRecord],
        executors: Sequence[Executor],
        now: Instant,
        is_allowed: Callable[[StepRecord, Executor], bool] | None = None,
        accepts: Callable[[Executor, Instant], bool] | None = None,
    ) -> list[PlaceRun]:
        """Return the placements; their resources are reserved at once.

        `is_allowed` returns whether the policy of a step's queue allows an executor. By default
        every executor is allowed. `accepts` returns whether an executor takes new tasks; by default
        that depends on whether the step is long-running.
        """
        usable = [e for e in executors if (accepts or Executor.accepts_work)(e, now)]
        for_long_running = [
            e for e in executors if (accepts or Executor.accepts_long_running)(e, now)
        ]
        placements: list[PlaceRun] = []
        for step in steps:
            allowed = for_long_running if step.spec.is_long_running else usable
            if is_allowed is not None:
                allowed = [executor for executor in allowed if is_allowed(step, executor)]
            if allowed:
                placements += self._place_step(step, allowed, now)
        return placements

    def _place_step(
        self, step: StepRecord, executors: Sequence[Executor], now: Instant
    ) -> list[PlaceRun]:
        if not self._is_admitted(step):
            return []
        waiting = [task for task in step.tasks if task.phase is TaskPhase.WAITING]
        suitable = [executor for executor in executors if is_suitable(executor, step)]
        if step.spec.is_tightly_coupled:
            suitable = _prefer_one_rack(step, suitable, len(waiting))
        if step.spec.is_gang and (step.placed or task_capacity(step, suitable) < len(waiting)):
            return []
        run = max((task.run for task in waiting), default=0) if step.spec.is_gang else None
        placements = []
        for task in waiting:
            # The members of a gang were admitted together.
            if not step.spec.is_gang and not self.quotas.admits(step, 1):
                break
            executor = self._choose_executor(task, suitable, now)
            if executor is None:
                break
            if self._should_wait(task, executor):
                continue
            number = RunNumber((task.run if run is None else run) + 1)
            placements.append(PlaceRun(task.name, number, executor.incarnation))
            executor.reserve(task, now, number)
        return placements

    def _should_wait(self, task: TaskRecord, executor: Executor) -> bool:
        """Return whether a task waits for a place near its data instead of starting now."""
        spec = task.step.spec
        is_near = not spec.preferred_rack or executor.heartbeat.rack == spec.preferred_rack
        if is_near or spec.is_gang or spec.is_long_running or spec.is_best_effort:
            return False
        return self.waits.should_wait(task)

    def _choose_executor(
        self, task: TaskRecord, executors: Sequence[Executor], now: Instant
    ) -> Executor | None:
        step = task.step
        limit = step.spec.spread_limit
        best: Executor | None = None
        best_score = (2, 2, 2, 2, 0)
        for executor in executors:
            if not executor.has_capacity(step):
                continue
            if limit and executor.count_of(step) >= limit:
                continue
            # A task that failed on an executor may fail there again.
            score = (
                int(executor.is_blocked(now)),
                int(task.failures > 0 and task.incarnation == executor.incarnation),
                int(
                    bool(step.spec.preferred_rack)
                    and executor.heartbeat.rack != step.spec.preferred_rack
                ),
                int(not step.spec.preferred_rack and self.waits.is_wanted(executor.heartbeat.rack)),
                -executor.free_cpu,
            )
            if score < best_score:
                best, best_score = executor, score
        return best


def is_suitable(executor: Executor, step: StepRecord) -> bool:
    """Return whether an executor meets the step's constraints, apart from free capacity."""
    label = step.spec.required_label
    return not label or label in executor.heartbeat.labels


def has_room(executor: Executor, step: StepRecord, now: Instant) -> bool:
    """Return whether an executor accepts one more task of a step, apart from its constraints."""
    accepts = Executor.accepts_long_running if step.spec.is_long_running else Executor.accepts_work
    return accepts(executor, now) and executor.has_capacity(step)


def has_destination(step: StepRecord, executors: Sequence[Executor], now: Instant) -> bool:
    """Return whether one of the executors can accept one more task of a step now."""
    limit = step.spec.spread_limit
    return any(
        executor.accepts_work(now)
        and is_suitable(executor, step)
        and executor.has_capacity(step)
        and not (limit and executor.count_of(step) >= limit)
        for executor in executors
    )


def task_capacity(step: StepRecord, executors: Sequence[Executor]) -> int:
    """Return how many tasks of a step fit on the executors together."""
    size, limit = step.spec.size, step.spec.spread_limit
    total = 0
    for executor in executors:
        fits = [
            free // needed
            for free, needed in (
                (executor.free_cpu, 0 if step.spec.is_best_effort else size.cpu_milli),
                (executor.free_memory, size.memory_mb),
                (executor.free_accelerators, size.accelerators),
            )
            if needed
        ]
        capacity = max(0, min(fits, default=len(step.tasks)))
        total += min(capacity, limit - executor.count_of(step)) if limit else capacity
    return total


def _prefer_one_rack(step: StepRecord, executors: list[Executor], count: int) -> list[Executor]:
    """Return the executors of one rack if `count` tasks fit there, else all executors."""
    racks: dict[str, list[Executor]] = {}
    for executor in executors:
        racks.setdefault(executor.heartbeat.rack, []).append(executor)
    fitting = [rack for rack in racks.values() if task_capacity(step, rack) >= count]
    return max(fitting, key=lambda rack: task_capacity(step, rack), default=executors)
