"""Jobs, steps and tasks in the replicated table."""

from collections.abc import Iterator

from marigolddoor_core.ids import (
    ExecutorIncarnation,
    JobId,
    QueueName,
    RunNumber,
    ServiceId,
    TaskName,
    TeamId,
)
from marigolddoor_core.jobs.phases import JobPhase, TaskPhase
from marigolddoor_core.jobs.specs import JobSpec, StepSpec, TaskKey
from marigolddoor_core.jobs.teams import NO_TEAM

__all__ = ["JobRecord", "StepRecord", "TaskRecord"]


class TaskRecord:
    """One task: its executor, its failed runs and its checkpoint.

    `run` is the number of the latest run, 0 before the first one. `failed_runs` holds run numbers
    instead of a count, because the end of a run may be reported more than once.
    """

    __slots__ = (
        "checkpoint",
        "failed_runs",
        "incarnation",
        "index",
        "name",
        "phase",
        "run",
        "step",
    )

    def __init__(self, name: TaskName, index: int, step: "StepRecord") -> None:
        self.name = name
        self.index = index
        self.step = step
        self.phase = TaskPhase.WAITING
        self.run = RunNumber(0)
        self.incarnation: ExecutorIncarnation | None = None
        self.failed_runs: tuple[RunNumber, ...] = ()
        self.checkpoint = ""

    @property
    def failures(self) -> int:
        """Return the number of failed runs."""
        return len(self.failed_runs)


class StepRecord:
    """One step of one occurrence of a job."""

    __slots__ = ("done", "job", "number", "occurrence", "placed", "spec", "tasks")

    def __init__(self, job: "JobRecord", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.done = 0
        self.placed = 0
        self.tasks = [
            TaskRecord(TaskKey(job.job, occurrence, number, index).name, index, self)
            for index in range(self.spec.count)
        ]

    @property
    def is_done(self) -> bool:
        """Return whether every task is done."""
        return self.done == len(self.tasks)

    @property
    def gang_failures(self) -> int:
        """Return the number of failed runs of a gang; the members of one run count once."""
        return len({run for task in self.tasks for run in task.failed_runs})

    @property
    def waiting(self) -> int:
        """Return the number of tasks that wait to be placed."""
        return len(self.tasks) - self.done - self.placed

    def is_ready(self, time_s: float) -> bool:
        """Return whether the step may start at the time of day `time_s`."""
        job = self.job
        return job.spec.due_s(self.occurrence) <= time_s and all(
            job.step(self.occurrence, earlier).is_done for earlier in self.spec.depends_on
        )


class JobRecord:
    """An accepted job.

    `has_started` is true once the end of a run has shown that a task of it had started. While the
    first run goes on only its executor and the leader know of it.
    `team` is empty if none submitted it.
    """

    __slots__ = (
        "accepted_s",
        "document",
        "done",
        "ended_s",
        "has_started",
        "job",
        "max_attempts",
        "phase",
        "queue",
        "service",
        "spec",
        "steps",
        "team",
    )

    def __init__(
        self,
        job: JobId,
        queue: QueueName,
        service: ServiceId,
        max_attempts: int,
        document: bytes,
        spec: JobSpec,
        accepted_s: float,
        team: TeamId = NO_TEAM,
    ) -> None:
        self.job = job
        self.queue = queue
        self.service = service
        self.max_attempts = max_attempts
        self.document = document
        self.spec = spec
        self.accepted_s = accepted_s
        self.team = team
        self.ended_s = 0.0
        self.phase = JobPhase.ACTIVE
        self.has_started = False
        self.done = 0
        # Steps of an occurrence are created on first access.
        self.steps: dict[tuple[int, int], StepRecord] = {}

    def step(self, occurrence: int, number: int) -> StepRecord:
        """Return a step of an occurrence.

        Raises:
          IndexError: the job has no such step or occurrence.
        """
        step = self.steps.get((occurrence, number))
        if step is None:
            if not 0 <= occurrence < self.spec.occurrences or not number >= 0:
                raise IndexError(f"{self.job} has no step {number} of occurrence {occurrence}")
            step = self.steps[occurrence, number] = StepRecord(self, occurrence, number)
        return step

    def placed_tasks(self) -> Iterator[TaskRecord]:
        """Yield the tasks that are placed on executors."""
        for step in self.steps.values():
            if step.placed:
                for task in step.tasks:
                    if task.phase is TaskPhase.PLACED:
                        yield task
