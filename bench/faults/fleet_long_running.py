"""Checks that long-running tasks run again soon after the faults have ended."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
from marigolddoor_core.ids import ServiceId, TaskName
from marigolddoor_core.jobs import StepSpec

from bench.faults.consensus_checkers import Violation
from bench.faults.fleet_executors import VirtualExecutor

__all__ = ["LongRunningChecks", "LongRunningStep"]

CHECK_INTERVAL_S = 0.25
# The platform counts a task as lost if it does not run for 3 s, from 6 s after its last run and
# from 4 s after the last fault, while there is a place for it.
MAX_WAIT_S = 3.0
AFTER_LAST_RUN_S = 6.0
AFTER_LAST_FAULT_S = 4.0


@dataclass(frozen=True)
class LongRunningStep:
    """A step whose tasks run until its job is cancelled."""

    service: ServiceId
    spec: StepSpec
    tasks: tuple[TaskName, ...]


@dataclass
class LongRunningChecks:
    """Checks the long-running tasks of accepted jobs at short intervals.

    Args:
      executors: returns the executors that take new tasks, as the platform sees it.
      fault_ended_at: returns the time of the end of the last fault; infinite during a fault.
    """

    executors: Callable[[], Iterable[VirtualExecutor]]
    fault_ended_at: Callable[[], float]
    steps: list[LongRunningStep] = field(default_factory=list)
    # Since when a task does not run, and since when an executor has a place for it.
    stopped_at: dict[TaskName, float] = field(default_factory=dict)
    place_since: dict[tuple[TaskName, str], float] = field(default_factory=dict)
    longest_wait_s: float = 0.0

    async def watch(self) -> None:
        """Check until cancelled.

        Raises:
          Violation: a task does not run although there is a place for it.
        """
        while True:
            for step in self.steps:
                self._check_step(step)
            await anyio.sleep(CHECK_INTERVAL_S)

    def _check_step(self, step: LongRunningStep) -> None:
        now = anyio.current_time()
        executors = [e for e in self.executors() if e.service == step.service]
        running = {task for e in executors for task in e.runs}
        places = {
            f"{executor.name}/{executor.born_ms}"
            for executor in executors
            if executor.used_cpu + step.spec.size.cpu_milli <= executor.cpu
            and not any(task in executor.runs for task in step.tasks)
        }
        for task in step.tasks:
            if task in running:
                self.stopped_at[task] = now
            known = {place for name, place in self.place_since if name == task}
            for place in known - places:
                del self.place_since[task, place]
            for place in places:
                self.place_since.setdefault((task, place), now)
            since = min((self.place_since[task, place] for place in places), default=now)
            begin = max(
                since,
                self.stopped_at.setdefault(task, now) + AFTER_LAST_RUN_S,
                self.fault_ended_at() + AFTER_LAST_FAULT_S,
            )
            self.longest_wait_s = max(self.longest_wait_s, now - begin)
            if now - begin >= MAX_WAIT_S:
                raise Violation("waiting", f"{task} does not run; places: {sorted(places)}")
