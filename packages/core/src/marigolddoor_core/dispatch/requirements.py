"""What the tasks of open jobs need of the machines of their service, besides free cores."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.ids import JobId, ServiceId
from marigolddoor_core.jobs import JobRecord, StepSpec, TaskSize

__all__ = ["MachineShape", "OpenRequirements", "Requirement"]


@dataclass(frozen=True, slots=True)
class MachineShape:
    """The properties of a machine that decide which tasks fit on it when it is empty."""

    capacity: TaskSize
    labels: tuple[str, ...]

    @classmethod
    def of_executor(cls, executor: Executor) -> "MachineShape":
        """Return the shape of an executor's machine."""
        return cls(executor.heartbeat.capacity, executor.heartbeat.labels)


@dataclass(frozen=True, slots=True)
class Requirement:
    """What the tasks of a step need of the machines of their service.

    `at_once` is the number of tasks that have to run at the same time: all members of a gang, else
    one. Each machine runs at most `spread_limit` of them, if that isn't 0.

    Example:
      >>> need = Requirement(TaskSize(1000, 512), "b")
      >>> need.places(MachineShape(TaskSize(4000, 1024), ("a", "b")))
      2
    """

    size: TaskSize
    label: str = ""
    spread_limit: int = 0
    at_once: int = 1

    @classmethod
    def of_step(cls, spec: StepSpec) -> "Requirement":
        """Return the requirement of a step."""
        size = spec.size
        if spec.is_best_effort:
            size = TaskSize(0, size.memory_mb, size.accelerators)
        # `PoolFloor` has the number of machines for long-running tasks, but not their labels.
        is_at_once = spec.is_gang or (spec.is_long_running and bool(spec.required_label))
        return cls(size, spec.required_label, spec.spread_limit, spec.count if is_at_once else 1)

    def places(self, shape: MachineShape) -> int:
        """Return how many of the tasks that run at once fit on a machine when it is empty."""
        if self.label and self.label not in shape.labels:
            return 0
        needed = self.size.cpu_milli, self.size.memory_mb, self.size.accelerators
        capacity = shape.capacity
        present = capacity.cpu_milli, capacity.memory_mb, capacity.accelerators
        fits = [have // need for have, need in zip(present, needed, strict=True) if need]
        limit = min(self.spread_limit or self.at_once, self.at_once)
        return min([limit, *fits])

    def missing(self, shapes: Iterable[MachineShape]) -> int:
        """Return how many of the tasks that run at once don't fit on machines of these shapes."""
        missing = self.at_once
        for shape in shapes:
            missing -= self.places(shape)
            if missing <= 0:
                return 0
        return missing


class OpenRequirements:
    """The requirements of the open jobs, by service.

    A job counts until it ends, also while its steps are not ready, so that machines that later
    steps need aren't chosen to leave. A change of a job costs as much as it has steps.

    Args:
      service_of: returns the service that currently runs a job.
    """

    def __init__(self, service_of: Callable[[JobRecord], ServiceId]) -> None:
        self.service_of = service_of
        self.jobs: dict[JobId, tuple[JobRecord, ServiceId]] = {}
        self.counts: dict[ServiceId, Counter[Requirement]] = {}

    def accepted(self, job: JobRecord) -> None:
        """Add an open job."""
        service = self.service_of(job)
        self.jobs[job.job] = job, service
        self.counts.setdefault(service, Counter()).update(_requirements(job))

    def ended(self, job: JobId) -> None:
        """Remove a job."""
        record, service = self.jobs.pop(job, (None, ServiceId("")))
        if record is None:
            return
        counts = self.counts[service]
        for requirement in _requirements(record):
            counts[requirement] -= 1
            if not counts[requirement]:
                del counts[requirement]

    def regroup(self) -> None:
        """Rebuild the counts, after queues moved to other services."""
        jobs = [job for job, _ in self.jobs.values()]
        self.jobs, self.counts = {}, {}
        for job in jobs:
            self.accepted(job)

    def unmet(self, service: ServiceId, shapes: Iterable[MachineShape]) -> list[Requirement]:
        """Return the requirements that machines of these shapes don't meet."""
        known = tuple(shapes)
        plain: list[Requirement] = []
        others: list[Requirement] = []
        for need in self.counts.get(service, ()):
            (others if need.label or need.at_once > 1 else plain).append(need)
        # Most jobs fit on any machine, and one comparison shows it.
        if plain and _largest(plain).missing(known):
            others += plain
        return [need for need in others if need.missing(known)]


def _largest(needs: Iterable[Requirement]) -> Requirement:
    sizes = [need.size for need in needs]
    return Requirement(
        TaskSize(
            max(size.cpu_milli for size in sizes),
            max(size.memory_mb for size in sizes),
            max(size.accelerators for size in sizes),
        )
    )


def _requirements(job: JobRecord) -> set[Requirement]:
    return {Requirement.of_step(spec) for spec in job.spec.steps}
