"""What an executor reports in its answer to a renewal of its lease: its runs and their ends."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.dispatch.team_usage import RunKey
from marigolddoor_core.ids import RunNumber, TaskName

__all__ = ["FinishedRun", "HoldReport", "ReportList", "RunningTask", "UnreadableRow"]


class ReportList(Enum):
    """The lists of a report."""

    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run in progress on an executor.

    `percent` is its progress. `load` is the tail latency in ms of a serving task, else the
    thousandths of a core in use; None if the executor does not report it.
    """

    task: TaskName
    run: RunNumber
    checkpoint: str
    percent: int
    load: float | None = None


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """The end of a run. Each incarnation of an executor numbers the ends from 1."""

    number: int
    task: TaskName
    run: RunNumber
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A row of a report that can't be read in full.

    `number` is the number of its end and `key` the run that it is about, as far as they can be
    read. `after` is the number of the last end that is listed before it, 0 if there is none.
    """

    place: ReportList
    reason: str
    after: int = 0
    number: int | None = None
    key: RunKey | None = None


@dataclass(frozen=True, slots=True)
class HoldReport:
    """An executor's answer to a renewal of its lease. `born_ms` is 0 if not reported.

    The ends are listed in the order of their numbers. If `has_all_ends` is false, more ends follow
    in later reports; these runs aren't in `running` either.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedRun, ...]
    born_ms: int = 0
    unreadable: tuple[UnreadableRow, ...] = ()
    has_all_ends: bool = True
