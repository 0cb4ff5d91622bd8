"""States of jobs and tasks."""

from enum import Enum

__all__ = ["JobPhase", "RunEnd", "TaskPhase"]


class JobPhase(Enum):
    """How far a job got."""

    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELED = "canceled"


class TaskPhase(Enum):
    """What a task does. A task that is on an executor is `PLACED` from the decision on."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class RunEnd(Enum):
    """How a run of a task ended.

    `REJECTED`: the executor did not start it. `LOST`: the executor's life ended, or it does not
    know the run. Only `FAILED` counts as an attempt.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    LOST = "lost"
