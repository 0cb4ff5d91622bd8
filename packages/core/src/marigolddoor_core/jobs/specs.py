"""Specifications of jobs: steps, resources of their tasks and placement constraints."""

import re
from dataclasses import dataclass

from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import JobId, TaskName
from marigolddoor_core.input_limits import shorten

__all__ = ["InvalidJobError", "JobSpec", "StepSpec", "TaskKey", "TaskSize", "parse_task_name"]


class InvalidJobError(InvalidInputError):
    """A job that can't be parsed or that is inconsistent."""


@dataclass(frozen=True, slots=True)
class TaskSize:
    """Resources that a task requests, or that an executor has.

    `cpu_milli` is in thousandths of a core.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job: `count` equal tasks that start after all tasks of the earlier steps.

    `estimated_s` is the caller's rough estimate of a task's duration. A gang's tasks start
    together. `spread_limit` is the maximum number of tasks of the step on one executor, 0 for no
    limit. `latency_target_ms` is the tail latency that the users of a serving task accept. A
    best-effort task (`is_best_effort`) uses processor time that other tasks leave idle, so its
    cores aren't counted against an executor. At most `allowed_misses` tasks of a long-running step
    may be down at a time because of the system.
    """

    count: int
    size: TaskSize
    estimated_s: float = 0.0
    depends_on: tuple[int, ...] = ()
    is_gang: bool = False
    is_tightly_coupled: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    spread_limit: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    is_checkpointing: bool = False
    is_best_effort: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    allowed_misses: int = 0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as specified by its caller.

    The steps run once, or `occurrences` times: occurrence K is due at the time of day
    `first_due_s` + K x `interval_s`. `payload` is passed to every task.

    Example:
      >>> job = JobSpec("", (StepSpec(2, TaskSize(500, 256)), StepSpec(1, TaskSize(), 0, (0,))))
      >>> job.task_count
      3
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 1
    is_timed: bool = False
    first_due_s: float = 0.0
    interval_s: float = 0.0

    @property
    def task_count(self) -> int:
        """Return the number of tasks over all occurrences."""
        return self.occurrences * sum(step.count for step in self.steps)

    @property
    def is_long_running(self) -> bool:
        """Return whether some tasks run until the job is cancelled."""
        return any(step.is_long_running for step in self.steps)

    def due_s(self, occurrence: int) -> float:
        """Return the earliest time of day for an occurrence; 0 for a job without due times."""
        return self.first_due_s + occurrence * self.interval_s if self.is_timed else 0.0

    def check(self) -> None:
        """Check that the job has tasks and that its steps can run in the given order.

        Raises:
          InvalidJobError: it has no tasks, or a step does not depend on earlier steps only.
        """
        if not self.steps or self.occurrences < 1:
            raise InvalidJobError("a job needs at least one step and one occurrence")
        for number, step in enumerate(self.steps):
            if step.count < 1:
                raise InvalidJobError(f"step {number} has {step.count} tasks")
            if any(not 0 <= earlier < number for earlier in step.depends_on):
                raise InvalidJobError(f"step {number} depends on {step.depends_on}")

    def critical_path_s(self) -> float:
        """Return the estimated duration of the critical path of the steps."""
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[earlier] for earlier in step.depends_on), default=0.0)
            ends.append(begin + step.estimated_s)
        return max(ends, default=0.0)


@dataclass(frozen=True, slots=True)
class TaskKey:
    """The parts of a task's name."""

    job: JobId
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> TaskName:
        """Return the name of the task."""
        return TaskName(f"{self.job}.{self.occurrence}.{self.step}.{self.index}")


# Each number has one spelling, so that two names never mean the same task.
_TASK_NAME = re.compile(
    r"(.+)\.(0|[1-9][0-9]{0,8})\.(0|[1-9][0-9]{0,8})\.(0|[1-9][0-9]{0,8})", re.S
)


def parse_task_name(name: str) -> TaskKey:
    """Return the parts of a task's name.

    Raises:
      InvalidJobError: it is not the name of a task.
    """
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise InvalidJobError(f"{shorten(name)} is not the name of a task")
    job, occurrence, step, index = match.groups()
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))
