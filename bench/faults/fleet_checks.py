"""What must hold in a simulation of the fleet, from what executors and callers see."""

from collections import Counter
from dataclasses import dataclass

import anyio
from marigolddoor_core.ids import JobId, TaskName
from marigolddoor_core.jobs import EndRun, JobPhase, JobSpec, RecordChanges, RunEnd, TaskPhase

from bench.faults.consensus_checkers import Violation
from bench.faults.fleet_executors import VirtualExecutor
from bench.faults.fleet_group import VirtualGroup

__all__ = ["FleetChecks", "SubmittedJob"]

# A start that was not carried out late comes this long after a cancel was acknowledged, at most.
CANCEL_S = 3.0


@dataclass
class SubmittedJob:
    """A job as its caller knows it."""

    spec: JobSpec
    is_accepted: bool = False
    cancelled_at: float | None = None


class FleetChecks:
    """Hears what executors do and what is committed. Implements `Ledger`.

    Args:
      group: its table holds what is committed.
      submitted: the jobs of the callers.
      seen: counts what happened.
      attempts: how often a task may fail.
    """

    def __init__(
        self,
        group: VirtualGroup,
        submitted: dict[JobId, SubmittedJob],
        event_counts: Counter[str],
        attempts: int,
    ) -> None:
        self.group = group
        self.submitted = submitted
        self.event_counts = event_counts
        self.attempts = attempts
        self.running: dict[TaskName, set[str]] = {}
        # The runs that ended well, with the time and place of their end.
        self.done: dict[TaskName, dict[int, tuple[float, VirtualExecutor]]] = {}
        self.latest_start: dict[TaskName, float] = {}

    def started(self, executor: VirtualExecutor, task: TaskName, run: int, late: bool) -> None:
        """Check a start that is about to be carried out."""
        self.event_counts["start carried out late" if late else "start"] += 1
        others = self.running.setdefault(task, set())
        if others:
            raise Violation("twice", f"{task} on {executor.name} and on {others}")
        known = self.group.table.task(task)
        if known is None:
            raise Violation("unasked", f"{task} is of no job")
        if known.phase is TaskPhase.DONE:
            raise Violation("twice", f"{task} is done")
        if known.failures >= self.attempts:
            raise Violation("budget", f"{task} failed {known.failures} times")
        cancelled_at = self.submitted[known.step.job.job].cancelled_at
        if cancelled_at is not None and not late:
            since_s = anyio.current_time() - cancelled_at
            if since_s > CANCEL_S:
                raise Violation("unasked", f"{task} {since_s:.1f} s after its cancelling")
        for number in known.step.spec.depends_on:
            for earlier in known.step.job.step(0, number).tasks:
                if earlier.name not in self.done:
                    raise Violation("order", f"{task} before {earlier.name}")
        if not executor.enforces and executor.used + executor.sizes[task] > executor.cpu:
            raise Violation("limit", f"{executor.used} of {executor.cpu} are used, {task}")
        self.latest_start[task] = anyio.current_time()
        others.add(f"{executor.name}/{executor.born_ms} run {run}")

    def ended(self, executor: VirtualExecutor, task: TaskName, run: int, outcome: str) -> None:
        """Take the end of a run."""
        self.event_counts[f"run {outcome}"] += 1
        self.running[task].clear()
        if outcome == "done":
            self.done.setdefault(task, {})[run] = anyio.current_time(), executor

    def committed(self, command: RecordChanges) -> None:
        """Check that no task began again after a good end that is now taken note of.

        If the lease lapsed between the two, nobody could know of the end in time.
        """
        for change in command.changes:
            if not isinstance(change, EndRun) or change.end is not RunEnd.DONE:
                continue
            done = self.done.get(change.task, {}).get(change.run)
            if done is None:
                continue
            done_at, executor = done
            if self.latest_start[change.task] > done_at > executor.lapsed_at:
                raise Violation("twice", f"{change.task} began after run {change.run} was done")

    def check_shown_states(self) -> None:
        """Check that every task of a completed job has ended well."""
        for job in self.group.table.jobs.values():
            if job.phase is JobPhase.COMPLETED:
                names = [task.name for step in job.steps.values() for task in step.tasks]
                missing = [name for name in names if name not in self.done]
                if missing:
                    raise Violation("shown too early", f"{job.job} without {missing}")
