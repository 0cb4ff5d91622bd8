"""Which machines a service needs for other reasons than its number of cores.

Meant for tasks that only some machines can run: those with a label, enough memory, accelerators or
an approval, or enough machines for a gang. A machine that they need is not chosen to leave, and one
that was chosen before they came stays.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.dispatch.planner import is_suitable, task_capacity
from marigolddoor_core.dispatch.requirements import MachineShape, OpenRequirements, Requirement
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import StepRecord

__all__ = ["JobNeeds", "MachineNeeds", "NoNeeds", "WaitingSteps"]


class MachineNeeds(Protocol):
    """Decides which machines a service needs for other reasons than its number of cores."""

    def kept(
        self,
        service: ServiceId,
        staying: Sequence[Executor],
        leaving: Sequence[Executor],
        now: Instant,
    ) -> list[Executor]:
        """Return those of the leaving executors of a service that have to stay."""
        ...

    def unmet(self, service: ServiceId, shapes: Iterable[MachineShape]) -> list[Requirement]:
        """Return the requirements of a service that machines of these shapes don't meet."""
        ...


class NoNeeds:
    """Only the number of cores counts."""

    def kept(
        self,
        service: ServiceId,
        staying: Sequence[Executor],
        leaving: Sequence[Executor],
        now: Instant,
    ) -> list[Executor]:
        """Return no executor."""
        return []

    def unmet(self, service: ServiceId, shapes: Iterable[MachineShape]) -> list[Requirement]:
        """Return no requirement."""
        return []


class WaitingSteps:
    """Chooses the executors that waiting tasks need although cores are free elsewhere.

    Args:
      ready: returns the ready steps of a service that its quotas admit.
      is_allowed: returns whether the policy of a step's queue allows an executor.
    """

    def __init__(
        self,
        ready: Callable[[ServiceId], list[StepRecord]],
        is_allowed: Callable[[StepRecord, Executor], bool],
    ) -> None:
        self.ready = ready
        self.is_allowed = is_allowed

    def kept(
        self,
        service: ServiceId,
        staying: Sequence[Executor],
        leaving: Sequence[Executor],
        now: Instant,
    ) -> list[Executor]:
        """Return the leaving executors that can run waiting tasks which the others can't run."""
        kept: dict[MachineId, Executor] = {}
        for step in self.ready(service):
            is_running_gang = step.spec.is_gang and step.placed > 0
            missing = 0 if is_running_gang else self._missing_places(step, staying, now)
            for executor in leaving:
                if missing <= 0:
                    break
                if executor.is_available(now) and self._can_run(step, executor):
                    places = task_capacity(step, [executor])
                    missing -= places
                    if places > 0:
                        kept[executor.heartbeat.machine] = executor
        return list(kept.values())

    def _missing_places(self, step: StepRecord, staying: Sequence[Executor], now: Instant) -> int:
        """Return how many places a step lacks for another reason than cores that are in use.

        A gang lacks a place for each member; any other step lacks one if no task of it can start.
        """
        suitable = [e for e in staying if self._can_run(step, e)]
        usable = [e for e in suitable if _accepts(e, step, now)]
        missing = (step.waiting if step.spec.is_gang else 1) - task_capacity(step, usable)
        cores = 0 if step.spec.is_best_effort else step.spec.size.cpu_milli
        is_waiting_for_cores = (
            not step.spec.is_gang
            and bool(usable)
            and len(suitable) == len(staying)
            and all(executor.free_cpu < cores for executor in usable)
        )
        return 0 if is_waiting_for_cores else missing

    def _can_run(self, step: StepRecord, executor: Executor) -> bool:
        return is_suitable(executor, step) and self.is_allowed(step, executor)


class JobNeeds:
    """The needs of the open jobs: what their tasks require at all, and what waiting tasks lack."""

    def __init__(self, requirements: OpenRequirements, waiting: WaitingSteps) -> None:
        self.requirements = requirements
        self.waiting = waiting

    def kept(
        self,
        service: ServiceId,
        staying: Sequence[Executor],
        leaving: Sequence[Executor],
        now: Instant,
    ) -> list[Executor]:
        """Return those of the leaving executors of a service that have to stay."""
        if not leaving:
            return []
        kept: dict[MachineId, Executor] = {}
        shapes = [MachineShape.of_executor(executor) for executor in staying]
        for requirement in self.requirements.unmet(service, shapes):
            missing = requirement.missing(shapes + _shapes(kept.values()))
            for executor in leaving:
                places = requirement.places(MachineShape.of_executor(executor))
                if missing > 0 and places and executor.heartbeat.machine not in kept:
                    kept[executor.heartbeat.machine] = executor
                    missing -= places
        rest = [executor for executor in leaving if executor.heartbeat.machine not in kept]
        staying = [*staying, *kept.values()]
        return [*kept.values(), *self.waiting.kept(service, staying, rest, now)]

    def unmet(self, service: ServiceId, shapes: Iterable[MachineShape]) -> list[Requirement]:
        """Return the requirements of a service that machines of these shapes don't meet."""
        return self.requirements.unmet(service, shapes)


def _accepts(executor: Executor, step: StepRecord, now: Instant) -> bool:
    if step.spec.is_long_running:
        return executor.accepts_long_running(now)
    return executor.accepts_work(now)


def _shapes(executors: Iterable[Executor]) -> list[MachineShape]:
    return [MachineShape.of_executor(executor) for executor in executors]
