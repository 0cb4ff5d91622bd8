"""States of jobs and tasks."""

from enum import Enum

__all__ = ["JobPhase", "RunEnd", "TaskPhase"]


class JobPhase(Enum):
    """The state of a job."""

    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"


class TaskPhase(Enum):
    """The state of a task. It is `PLACED` as soon as the placement is committed."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunEnd(Enum):
    """How a run of a task ended.

    `REJECTED`: the executor did not start it. `LOST`: the executor's incarnation ended, or the
    executor does not know the run; it may not have started either. Only `FAILED` counts as an
    attempt.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    LOST = "lost"

    @property
    def shows_start(self) -> bool:
        """Return whether a run that ended so had certainly started."""
        return self not in (RunEnd.REJECTED, RunEnd.LOST)
