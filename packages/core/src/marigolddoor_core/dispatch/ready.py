"""Steps that are ready to run and have tasks to place, by service."""

import heapq
import itertools
from collections.abc import Callable

from marigolddoor_core.ids import JobId, ServiceId
from marigolddoor_core.jobs import JobPhase, JobRecord, StepRecord

__all__ = ["ReadySteps"]


class ReadySteps:
    """An index of steps that is updated incrementally with each change.

    Args:
      service_of: returns the service that currently runs a job.
    """

    def __init__(self, service_of: Callable[[JobRecord], ServiceId]) -> None:
        self.service_of = service_of
        self.steps: dict[ServiceId, dict[tuple[JobId, int, int], StepRecord]] = {}
        self.timed: list[tuple[float, int, StepRecord]] = []
        self.counter = itertools.count()

    def add_job(self, job: JobRecord, time_s: float) -> None:
        """Add the steps of a job that may start now, and schedule those that are due later."""
        if job.phase is not JobPhase.ACTIVE:
            return
        for occurrence in range(job.spec.occurrences):
            due_s = job.spec.due_s(occurrence)
            for number, spec in enumerate(job.spec.steps):
                if due_s > time_s:
                    if not spec.depends_on:
                        entry = (due_s, next(self.counter), job.step(occurrence, number))
                        heapq.heappush(self.timed, entry)
                else:
                    self.add(job.step(occurrence, number), time_s)

    def add(self, step: StepRecord, time_s: float) -> None:
        """Add a step if it is ready and has waiting tasks."""
        if step.job.phase is JobPhase.ACTIVE and step.waiting and step.is_ready(time_s):
            steps = self.steps.setdefault(self.service_of(step.job), {})
            steps[step.job.job, step.occurrence, step.number] = step

    def add_dependents(self, step: StepRecord, time_s: float) -> None:
        """Add the steps that wait for `step`, which is done."""
        for number, spec in enumerate(step.job.spec.steps):
            if step.number in spec.depends_on:
                self.add(step.job.step(step.occurrence, number), time_s)

    def add_due(self, time_s: float) -> None:
        """Add the steps that are due at `time_s`."""
        while self.timed and self.timed[0][0] <= time_s:
            self.add(heapq.heappop(self.timed)[2], time_s)

    def next_due_s(self) -> float | None:
        """Return the next time of day at which a step is due."""
        return self.timed[0][0] if self.timed else None

    def of_service(self, service: ServiceId) -> list[StepRecord]:
        """Return the ready steps of a service, and drop those that are no longer ready."""
        steps = self.steps.get(service)
        if not steps:
            return []
        for key, step in list(steps.items()):
            if not step.waiting or step.job.phase is not JobPhase.ACTIVE:
                del steps[key]
        return list(steps.values())

    def regroup(self) -> None:
        """Rebuild the index by service, after queues moved to other services."""
        known = [step for steps in self.steps.values() for step in steps.values()]
        self.steps = {}
        for step in known:
            key = step.job.job, step.occurrence, step.number
            self.steps.setdefault(self.service_of(step.job), {})[key] = step
