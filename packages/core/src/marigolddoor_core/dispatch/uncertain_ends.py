"""Runs that may go on although the job table places them nowhere, until they have certainly ended.

Meant for a team at its quota whose executors fall silent, restart or report late: a run that was
given up, a start that the next incarnation may carry out late, and the latest run of a task that an
earlier run has completed.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from marigolddoor_core.dispatch.executors import Executor, PlacedRun
from marigolddoor_core.dispatch.team_usage import RunKey, TeamUsage
from marigolddoor_core.dispatch.unconfirmed_starts import MAX_START_DELAY_S
from marigolddoor_core.ids import ExecutorId, RunNumber
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import JobRecord, TaskPhase, TaskRecord, parse_incarnation

__all__ = ["UncertainEnds"]

# Stands for the executor of a run that is not known to this leader.
UNKNOWN_EXECUTOR = ExecutorId("")


@dataclass(slots=True)
class _UncertainEnd:
    """When the end of a run may be concluded.

    `settled_from`: a report that was requested after this time and does not list the run shows its
    end. `expired_from`: from this time on the run has ended if its executor holds no lease.
    """

    settled_from: Instant
    expired_from: Instant


class UncertainEnds:
    """Keeps runs counted in `usage` until they have certainly ended, by the executor's id.

    The work of each call is proportional to the uncertain ends of the executor. Runs of jobs
    without a team are ignored.

    Args:
      usage: what the runs of each team hold.
      certain_expiry_s: the seconds after which a lease that is given now has certainly expired.
    """

    def __init__(self, usage: TeamUsage, certain_expiry_s: float) -> None:
        self.usage = usage
        self.certain_expiry_s = certain_expiry_s
        self.ends: dict[ExecutorId, dict[RunKey, _UncertainEnd]] = {}

    def given_up(
        self, executor: Executor, placed: PlacedRun, sent_at: Instant | None, now: Instant
    ) -> None:
        """Keep a run counted whose end is committed while it may go on.

        Args:
          executor: the executor that held the run.
          placed: the run.
          sent_at: when its start was sent, if that may be carried out late.
          now: the current time.
        """
        end = _UncertainEnd(now, now) if sent_at is None else self._late_end(sent_at)
        self._add(executor, placed.task, placed.run, end)

    def incarnation_ended(self, executor: Executor, late_starts: Mapping[RunKey, Instant]) -> None:
        """Stop counting the runs of an incarnation, except those that the next one may begin.

        Args:
          executor: the incarnation, which has certainly ended.
          late_starts: when each start was sent that a later incarnation may carry out.
        """
        ends = self.ends.get(executor.heartbeat.executor, {})
        for key in [key for key in ends if key not in late_starts]:
            self._drop(executor.heartbeat.executor, key)
        for name, placed in executor.runs.items():
            sent_at = late_starts.get((name, placed.run))
            if sent_at is None:
                self.usage.remove(name, placed.run)
            else:
                self._add(executor, placed.task, placed.run, self._late_end(sent_at))

    def _late_end(self, sent_at: Instant) -> _UncertainEnd:
        begun_by = Instant(sent_at + MAX_START_DELAY_S)
        return _UncertainEnd(begun_by, Instant(begun_by + self.certain_expiry_s))

    def listed(self, executor: Executor, task: TaskRecord, run: RunNumber, now: Instant) -> None:
        """Count a run that an executor lists although the table does not place it there."""
        key = task.name, run
        if key in self.ends.get(UNKNOWN_EXECUTOR, ()):
            self._drop(UNKNOWN_EXECUTOR, key)
        is_counted_elsewhere = key in self.usage.runs and key not in self.ends.get(
            executor.heartbeat.executor, ()
        )
        if 0 < run <= task.run and not is_counted_elsewhere:
            self._add(executor, task, run, _UncertainEnd(now, now))

    def stop_confirmed(self, executor: ExecutorId, key: RunKey, now: Instant) -> None:
        """Record that an executor confirmed that a run is being stopped or never starts."""
        end = self.ends.get(executor, {}).get(key)
        if end is not None:
            end.settled_from = end.expired_from = now

    def reported(self, executor: ExecutorId, running: Collection[RunKey], sent_at: Instant) -> bool:
        """Handle the running tasks in a report that was requested at `sent_at`.

        Return whether a run is no longer counted.
        """
        ended = [
            key
            for key, end in self.ends.get(executor, {}).items()
            if key not in running and sent_at > end.settled_from
        ]
        for key in ended:
            self._drop(executor, key)
        return bool(ended)

    def lease_expired(self, executor: ExecutorId, now: Instant) -> bool:
        """Handle that an executor holds no lease; return whether a run is no longer counted."""
        ended = [key for key, end in self.ends.get(executor, {}).items() if now >= end.expired_from]
        for key in ended:
            self._drop(executor, key)
        return bool(ended)

    def take_over(self, job: JobRecord, now: Instant) -> None:
        """Count the runs of a job that an earlier leader may have left uncertain.

        The table does not record which runs were given up, so each run of a speculative task counts
        whose failure is not recorded. The latest run of a task that is done may have been
        superseded by an earlier one.
        """
        for step in job.steps.values():
            for task in step.tasks:
                is_superseded = (
                    task.phase is TaskPhase.DONE and task.run > 1 and not step.spec.is_long_running
                )
                is_given_up = task.phase is TaskPhase.WAITING and step.spec.is_speculative
                if (is_superseded or is_given_up) and task.incarnation is not None:
                    self._take_over_run(task, task.run, parse_incarnation(task.incarnation)[0], now)
                if step.spec.is_speculative:
                    for run in range(1, task.run):
                        self._take_over_run(task, RunNumber(run), UNKNOWN_EXECUTOR, now)

    def _take_over_run(
        self, task: TaskRecord, run: RunNumber, executor: ExecutorId, now: Instant
    ) -> None:
        job = task.step.job
        if run and run not in task.failed_runs and job.team:
            self.usage.add(task.step, task.name, run, job.service)
            end = _UncertainEnd(now, Instant(now + self.certain_expiry_s))
            self.ends.setdefault(executor, {})[task.name, run] = end

    def _add(
        self, executor: Executor, task: TaskRecord, run: RunNumber, end: _UncertainEnd
    ) -> None:
        if task.step.job.team:
            self.usage.add(task.step, task.name, run, executor.heartbeat.service)
            self.ends.setdefault(executor.heartbeat.executor, {})[task.name, run] = end

    def _drop(self, executor: ExecutorId, key: RunKey) -> None:
        ends = self.ends[executor]
        del ends[key]
        if not ends:
            del self.ends[executor]
        self.usage.remove(*key)
