"""The evidence for the ends of runs that the reports of an executor give.

An end that is listed is recorded, and acknowledged once it is committed. A run that is listed
neither as running nor as ended has ended only if the report can't have left it out: a report with
more ends to follow, or with a row that can't be read, may be the report of a run that ended `done`.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from marigolddoor_core.dispatch.hold_reports import (
    FinishedRun,
    HoldReport,
    ReportList,
    UnreadableRow,
)
from marigolddoor_core.dispatch.team_usage import RunKey
from marigolddoor_core.instants import Instant

__all__ = ["UNREADABLE_ROW_TIMEOUT_S", "ReportEvidence", "RunEvidence", "RunningList"]

# A row that stays unreadable is given up after this long: an end is then acknowledged without
# having been recorded, and its run counts as lost. See docs/design/ends-of-runs.md.
UNREADABLE_ROW_TIMEOUT_S = 60.0
# Time for the stop of a run whose row in the list of running tasks can't be read. Executors of the
# platform stop a run within 0.9 s.
STOP_TIMEOUT_S = 5.0


class RunningList(Enum):
    """Whether the list of running tasks names all of them."""

    COMPLETE = "complete"
    PARTLY_READ = "partly read"
    # The runs that it may lack are to be stopped before they count as lost.
    GIVEN_UP = "given up"


@dataclass(frozen=True, slots=True)
class ReportEvidence:
    """What one report shows.

    `new_ends` are the ends that were not recorded before, in order. Once they are committed, the
    ends up to `seen` may be acknowledged. If `has_all_ends` is false, any run may have an end that
    is not listed or can't be read; `unread` has the runs of which only the end can't be read.
    """

    new_ends: tuple[FinishedRun, ...] = ()
    seen: int = 0
    running_list: RunningList = RunningList.COMPLETE
    has_all_ends: bool = True
    unread: frozenset[RunKey] = frozenset()

    def shows_end_of(self, key: RunKey) -> bool:
        """Return whether a run has ended that the report lists in neither list.

        The run must have been confirmed before the report was requested.
        """
        return (
            self.running_list is RunningList.COMPLETE
            and self.has_all_ends
            and key not in self.unread
        )


class RunEvidence:
    """The ends that one incarnation of an executor has reported, and the rows that can't be read.

    Example:
      >>> report = HoldReport(5000, (), ())
      >>> RunEvidence().evaluate(report, seen=0, now=Instant(0.0)).has_all_ends
      True
    """

    def __init__(self) -> None:
        # Numbers of recorded ends that are not acknowledged yet.
        self.recorded: set[int] = set()
        self.unreadable_since: dict[UnreadableRow, Instant] = {}

    def evaluate(self, report: HoldReport, seen: int, now: Instant) -> ReportEvidence:
        """Return what a report shows, and count its ends as recorded.

        Args:
          report: the report.
          seen: the number up to which ends are acknowledged.
          now: when the report arrived.
        """
        self._track_unreadable(report.unreadable, seen, now)
        unreadable = self._rows_of(ReportList.FINISHED)
        waiting = [row for row in unreadable if not self._is_given_up(row, now)]
        self.recorded = {number for number in self.recorded if number > seen}
        new_ends = tuple(
            end for end in report.finished if end.number > seen and end.number not in self.recorded
        )
        self.recorded.update(end.number for end in new_ends)
        numbers = [end.number for end in report.finished]
        numbers += [row.number for row in unreadable if row.number is not None]
        # An acknowledgement covers all lower numbers, so it stops before the first unread end.
        limit = min((row.after for row in waiting), default=math.inf)
        seen = max([seen, *(number for number in numbers if number <= limit)])
        return ReportEvidence(
            new_ends,
            seen,
            self._running_list(now),
            report.has_all_ends and all(row.key is not None for row in waiting),
            frozenset(row.key for row in waiting if row.key is not None),
        )

    def _track_unreadable(self, rows: Iterable[UnreadableRow], seen: int, now: Instant) -> None:
        """Keep since when each row of the latest report can't be read."""
        # The ends before a row leave the list once they are acknowledged.
        present = [
            replace(row, after=max(row.after, seen)) if row.place is ReportList.FINISHED else row
            for row in rows
        ]
        self.unreadable_since = {row: self.unreadable_since.get(row, now) for row in present}

    def _rows_of(self, place: ReportList) -> list[UnreadableRow]:
        return [row for row in self.unreadable_since if row.place is place]

    def _is_given_up(self, row: UnreadableRow, now: Instant) -> bool:
        return now - self.unreadable_since[row] >= UNREADABLE_ROW_TIMEOUT_S

    def _running_list(self, now: Instant) -> RunningList:
        rows = self._rows_of(ReportList.RUNNING)
        if not all(self._is_given_up(row, now) for row in rows):
            return RunningList.PARTLY_READ
        stop_until = UNREADABLE_ROW_TIMEOUT_S + STOP_TIMEOUT_S
        if any(now - self.unreadable_since[row] < stop_until for row in rows):
            return RunningList.GIVEN_UP
        return RunningList.COMPLETE
