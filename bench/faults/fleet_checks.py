"""Invariants of a fleet simulation, checked on what executors and callers observe."""

from collections import Counter
from dataclasses import dataclass

import anyio
from marigolddoor_core.ids import JobId, TaskName
from marigolddoor_core.jobs import EndRun, JobPhase, JobSpec, RecordChanges, RunEnd, TaskPhase

from bench.faults.consensus_checkers import Violation
from bench.faults.fleet_executors import VirtualExecutor
from bench.faults.fleet_group import VirtualGroup

__all__ = ["FleetChecks", "SubmittedJob"]

# A start that is not delivered late begins a run at most this long after the cancellation of the
# job was acknowledged.
MAX_START_AFTER_CANCEL_S = 3.0


@dataclass
class SubmittedJob:
    """A job as its caller sees it."""

    spec: JobSpec
    is_accepted: bool = False
    cancelled_at: float | None = None


class FleetChecks:
    """Checks each start, end and commit. Implements `RunObserver`.

    Args:
      group: the group whose table holds the committed jobs.
      submitted: the jobs of the callers.
      event_counts: the number of events by kind, counted here too.
      max_attempts: the number of times that a task may fail.
    """

    def __init__(
        self,
        group: VirtualGroup,
        submitted: dict[JobId, SubmittedJob],
        event_counts: Counter[str],
        max_attempts: int,
    ) -> None:
        self.group = group
        self.submitted = submitted
        self.event_counts = event_counts
        self.max_attempts = max_attempts
        self.running: dict[TaskName, set[str]] = {}
        # Time and executor of each successful end, by run.
        self.completed_runs: dict[TaskName, dict[int, tuple[float, VirtualExecutor]]] = {}
        self.latest_start: dict[TaskName, float] = {}

    def record_start(self, executor: VirtualExecutor, task: TaskName, run: int, late: bool) -> None:
        """Check a start before the executor runs it."""
        self.event_counts["start carried out late" if late else "start"] += 1
        others = self.running.setdefault(task, set())
        if others:
            raise Violation("twice", f"{task} on {executor.name} and on {others}")
        record = self.group.table.task(task)
        if record is None:
            raise Violation("unasked", f"{task} belongs to no job")
        if record.phase is TaskPhase.DONE:
            raise Violation("twice", f"{task} is done")
        if record.failures >= self.max_attempts and not record.step.spec.is_long_running:
            raise Violation("budget", f"{task} failed {record.failures} times")
        cancelled_at = self.submitted[record.step.job.job].cancelled_at
        if cancelled_at is not None and not late:
            since_s = anyio.current_time() - cancelled_at
            if since_s > MAX_START_AFTER_CANCEL_S:
                raise Violation("unasked", f"{task} {since_s:.1f} s after its cancellation")
        for number in record.step.spec.depends_on:
            for earlier in record.step.job.step(0, number).tasks:
                if earlier.name not in self.completed_runs:
                    raise Violation("order", f"{task} before {earlier.name}")
        if (
            not executor.enforces_limits
            and executor.used_cpu + executor.cpu_by_task[task] > executor.cpu
        ):
            raise Violation("limit", f"{executor.used_cpu} of {executor.cpu} are used, {task}")
        self.latest_start[task] = anyio.current_time()
        others.add(f"{executor.name}/{executor.born_ms} run {run}")

    def record_end(self, executor: VirtualExecutor, task: TaskName, run: int, outcome: str) -> None:
        """Record the end of a run."""
        self.event_counts[f"run {outcome}"] += 1
        self.running[task].clear()
        if outcome == "done":
            self.completed_runs.setdefault(task, {})[run] = anyio.current_time(), executor

    def check_commit(self, command: RecordChanges) -> None:
        """Check that no task started again after the successful end that is committed here.

        A lease that expired after that end is an exception: the end could not be reported in time.
        """
        for change in command.changes:
            if not isinstance(change, EndRun) or change.end is not RunEnd.DONE:
                continue
            done = self.completed_runs.get(change.task, {}).get(change.run)
            if done is None:
                continue
            done_at, executor = done
            if self.latest_start[change.task] > done_at > executor.lease_expired_at:
                raise Violation("twice", f"{change.task} began after run {change.run} was done")

    def check_reported_states(self) -> None:
        """Check that every task of a completed job has a successful run."""
        for job in self.group.table.jobs.values():
            if job.phase is JobPhase.COMPLETED:
                names = [task.name for step in job.steps.values() for task in step.tasks]
                missing = [name for name in names if name not in self.completed_runs]
                if missing:
                    raise Violation("shown too early", f"{job.job} without {missing}")
