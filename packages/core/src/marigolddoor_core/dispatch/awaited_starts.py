"""Starts that the unknown next incarnation of a silent executor may still carry out.

A start without a certain outcome may be carried out up to 12 s late, also by an incarnation that
has not sent a heartbeat yet. Its deadline is a time on the clock of the former one, so it does not
keep the next one from beginning the run. The run counts as placed until the next incarnation is
known, which rejects or ends it, or until it can't begin any more.
"""

from dataclasses import dataclass

from marigolddoor_core.dispatch.executors import Executor, PlacedRun
from marigolddoor_core.dispatch.team_usage import TeamUsage
from marigolddoor_core.dispatch.unconfirmed_starts import MAX_START_DELAY_S
from marigolddoor_core.ids import ExecutorId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import TaskPhase, TaskRecord

__all__ = ["AwaitedStart", "AwaitedStarts"]


@dataclass(frozen=True, slots=True)
class AwaitedStart:
    """A run on an incarnation that has ended, and when its start was last sent."""

    executor: Executor
    placed: PlacedRun
    sent_at: Instant


class AwaitedStarts:
    """The awaited starts of all executors, which keep counting for their teams.

    Args:
      usage: what the runs of each team hold.
    """

    def __init__(self, usage: TeamUsage) -> None:
        self.usage = usage
        self.starts: dict[ExecutorId, list[AwaitedStart]] = {}

    def add(self, executor: Executor, placed: PlacedRun, sent_at: Instant) -> None:
        """Take over a run of an incarnation that ends."""
        executor.release(placed.task)
        self.usage.add(placed.task.step, placed.task.name, placed.run, executor.heartbeat.service)
        start = AwaitedStart(executor, placed, sent_at)
        self.starts.setdefault(executor.heartbeat.executor, []).append(start)

    def take(self, executor: ExecutorId) -> list[TaskRecord]:
        """Remove and return the tasks whose runs the next incarnation of an executor may begin."""
        tasks = []
        for start in self.starts.pop(executor, []):
            task, run = start.placed.task, start.placed.run
            self.usage.remove(task.name, run)
            if task.phase is TaskPhase.PLACED and task.run == run:
                tasks.append(task)
        return tasks

    def take_expired(self, now: Instant) -> list[AwaitedStart]:
        """Remove and return the starts that can't be carried out any more."""
        expired = [
            start
            for starts in self.starts.values()
            for start in starts
            if now - start.sent_at > MAX_START_DELAY_S
        ]
        for start in expired:
            name = start.executor.heartbeat.executor
            self.starts[name].remove(start)
            if not self.starts[name]:
                del self.starts[name]
            self.usage.remove(start.placed.task.name, start.placed.run)
        return expired
