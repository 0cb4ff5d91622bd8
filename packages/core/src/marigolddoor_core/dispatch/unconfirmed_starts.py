"""Starts that the next incarnation of an executor may carry out.

A call names the executor, not its incarnation. A start that was sent to an ended incarnation may
begin in the next one, at once or seconds later, and the answer does not distinguish the two.
"""

from dataclasses import dataclass

from marigolddoor_core.ids import ExecutorId, RunNumber, TaskName
from marigolddoor_core.instants import Instant

__all__ = ["MAX_START_DELAY_S", "UnconfirmedStarts"]

# Executors of the platform carry out orders up to 12 s late.
MAX_START_DELAY_S = 13.0


@dataclass(slots=True)
class _Start:
    """When a start was last sent, its unanswered calls, and whether the run was listed."""

    sent_at: Instant
    unanswered: int = 0
    is_listed: bool = False


class UnconfirmedStarts:
    """The starts of each executor that its next incarnation may carry out.

    A start is settled once every call for it was answered and the incarnation that it was sent to
    lists the run.
    """

    def __init__(self) -> None:
        self.starts: dict[ExecutorId, dict[tuple[TaskName, RunNumber], _Start]] = {}

    def sent(self, executor: ExecutorId, task: TaskName, run: RunNumber, now: Instant) -> None:
        """Record that a call for a start is in flight."""
        starts = self.starts.setdefault(executor, {})
        start = starts.pop((task, run), None) or _Start(now)
        start.sent_at = now
        start.unanswered += 1
        starts[task, run] = start

    def answered(self, executor: ExecutorId, task: TaskName, run: RunNumber) -> None:
        """Record that a call was answered."""
        start = self.starts.get(executor, {}).get((task, run))
        if start is not None:
            start.unanswered -= 1
            self._settle(executor, task, run, start)

    def listed(self, executor: ExecutorId, task: TaskName, run: RunNumber) -> None:
        """Record that the incarnation that a start was sent to lists the run."""
        start = self.starts.get(executor, {}).get((task, run))
        if start is not None:
            start.is_listed = True
            self._settle(executor, task, run, start)

    def _settle(self, executor: ExecutorId, task: TaskName, run: RunNumber, start: _Start) -> None:
        if start.is_listed and start.unanswered == 0:
            starts = self.starts[executor]
            del starts[task, run]
            if not starts:
                del self.starts[executor]

    def starts_of(self, executor: ExecutorId, now: Instant) -> list[tuple[TaskName, RunNumber]]:
        """Return the starts that the next incarnation may carry out."""
        return list(self.sent_times_of(executor, now))

    def sent_times_of(
        self, executor: ExecutorId, now: Instant
    ) -> dict[tuple[TaskName, RunNumber], Instant]:
        """Return when each start that the next incarnation may carry out was last sent."""
        starts = self.starts.get(executor, {})
        return {
            key: start.sent_at
            for key, start in starts.items()
            if now - start.sent_at <= MAX_START_DELAY_S
        }

    def has_unanswered_call(self, executor: ExecutorId, task: TaskName, run: RunNumber) -> bool:
        """Return whether a call for a start was not answered and may still be carried out."""
        start = self.starts.get(executor, {}).get((task, run))
        return start is not None and start.unanswered > 0

    def forget_old(self, now: Instant) -> None:
        """Drop starts that can no longer be carried out, also of executors that left for good."""
        for executor, starts in list(self.starts.items()):
            # The starts are in order of age, the oldest first.
            while starts and now - next(iter(starts.values())).sent_at > MAX_START_DELAY_S:
                del starts[next(iter(starts))]
            if not starts:
                del self.starts[executor]
