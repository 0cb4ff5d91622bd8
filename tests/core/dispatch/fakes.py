"""A dispatch over a table, with executors whose answers a test sets."""

from marigolddoor_core.dispatch import (
    Dispatch,
    Executor,
    ExecutorState,
    FinishedRun,
    Heartbeat,
    HoldReport,
    LeaseTiming,
    ReportList,
    RunningTask,
    UnreadableRow,
)
from marigolddoor_core.dispatch.fleet_view import ReportOutcome
from marigolddoor_core.dispatch.quotas import QuotaPolicy
from marigolddoor_core.ids import (
    DataCentreId,
    ExecutorId,
    MachineId,
    RackId,
    RunNumber,
    ServiceId,
    TaskName,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import DropExecutor, EnrolExecutor, JobChange, TaskSize

from tests.core.jobs.fakes import SERVICE, Log

LEASE_S = 6.0


def heartbeat(
    number: int = 1,
    born_ms: int = 100,
    sequence: int = 1,
    state: ExecutorState = ExecutorState.READY,
    service: ServiceId = SERVICE,
    address: str = "",
    cpu: int = 4000,
    rack: str = "r1",
    machine: str = "",
    remaining_s: float = 0.0,
    labels: tuple[str, ...] = ("a",),
) -> Heartbeat:
    return Heartbeat(
        ExecutorId(f"i-{number}"),
        born_ms,
        sequence,
        service,
        address or f"10.0.0.{number}:80",
        DataCentreId("east"),
        MachineId(machine or f"m-{number}"),
        state,
        TaskSize(cpu, 8000),
        labels,
        RackId(rack),
        5000,
        remaining_s,
    )


def running(task: str, run: int = 1, percent: int = 50, load: float | None = None) -> RunningTask:
    return RunningTask(TaskName(task), RunNumber(run), "", percent, load)


def finished(number: int, task: str, outcome: str = "done", run: int = 1) -> FinishedRun:
    return FinishedRun(number, TaskName(task), RunNumber(run), outcome, "")


def unread_end(after: int = 0, number: int | None = None, task: str = "") -> UnreadableRow:
    """Return the row of an end without a readable outcome; by default nothing of it is known."""
    key = (TaskName(task), RunNumber(1)) if task else None
    return UnreadableRow(ReportList.FINISHED, "how: None is not a text", after, number, key)


UNREAD_RUNNING = UnreadableRow(ReportList.RUNNING, "None is not a row")


class Fleet:
    """One leadership. Time is in seconds and is set by `at`."""

    def __init__(
        self, log: Log | None = None, quotas: QuotaPolicy | None = None, seconds: float = 0.0
    ) -> None:
        self.log = log or Log()
        self.now = Instant(100.0 + seconds)
        timing = LeaseTiming(LEASE_S)
        self.dispatch = Dispatch(self.log.table, timing, self.now, quotas=quotas)
        self.log.table.observer = self.dispatch

    def at(self, seconds: float) -> "Fleet":
        """Set the time to `seconds` after the start of the test."""
        self.now = Instant(100.0 + seconds)
        return self

    def executor(self, number: int = 1, **fields: object) -> Executor:
        """Add an executor that reports and answers its first hold."""
        executor = self.dispatch.receive_heartbeat(heartbeat(number, **fields), self.now)  # type: ignore[arg-type]
        assert executor is not None
        self.hold(executor)
        return executor

    def hold(
        self,
        executor: Executor,
        *running_tasks: RunningTask,
        ends: tuple[FinishedRun, ...] = (),
        sent_s_ago: float = 0.0,
        has_all_ends: bool = True,
        unreadable: tuple[UnreadableRow, ...] = (),
    ) -> ReportOutcome:
        """Deliver an executor's list of current runs and ends."""
        clock_ms = int(5000 + (self.now - 100.0) * 1000)
        report = HoldReport(
            clock_ms, running_tasks, ends, unreadable=unreadable, has_all_ends=has_all_ends
        )
        sent_at = Instant(self.now - sent_s_ago)
        return self.dispatch.handle_hold_report(executor, sent_at, report, self.now)

    def step(self, *changes: JobChange) -> list[JobChange]:
        """Commit changes and the decisions of the dispatch, until there are no more.

        The result leaves out the changes to the records of executors.
        """
        if changes:
            self.log.apply(*changes)
        recorded: list[JobChange] = list(changes)
        for _ in range(10):
            decided = self.dispatch.take_changes(self.now, self.log.table.time_s)
            if not decided:
                break
            self.log.apply(*decided)
            recorded += decided
        return [
            change for change in recorded if not isinstance(change, EnrolExecutor | DropExecutor)
        ]

    def take_orders(self) -> list[object]:
        """Return the orders to send, and clear them."""
        orders, self.dispatch.orders = self.dispatch.orders, []
        return list(orders)
