"""Simulated executors, which follow the executor protocol, and the network to them."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup
from marigolddoor_control.fleet.ports import (
    CallOutcome,
    DisconnectedError,
    HoldRequest,
    NoAnswerError,
    StartOutcome,
    StartRequest,
    WrongIncarnationError,
)
from marigolddoor_core.dispatch import (
    Executor,
    ExecutorState,
    FinishedRun,
    Heartbeat,
    HoldReport,
    RunningTask,
)
from marigolddoor_core.ids import (
    DataCentreId,
    ExecutorId,
    FencingToken,
    MachineId,
    RackId,
    RunNumber,
    ServiceId,
    TaskName,
)
from marigolddoor_core.jobs import StepSpec, TaskSize

__all__ = ["Faults", "RunObserver", "VirtualCalls", "VirtualExecutor"]

MAX_LEASE_S = 6.0
LEASE_CHECK_S = 0.1
ORDER_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.7
LATENCY_S = (0.001, 0.006)
# A delayed order is delivered after this time; its sender has long stopped waiting.
LATE_DELAY_S = (2.0, 12.0)
# Time for a leader's first calls to an incarnation, with one retry.
INITIALISATION_S = 1.5
TASK_DURATION_S = (0.1, 1.5)
# A share of the tasks takes about as long as a lease.
LONG_TASK_DURATION_S = (3.0, 9.0)
LONG_TASK_SHARE = 0.05
# A long-running task fails by itself after this time on average.
LONG_RUNNING_MEAN_S = 12.0


@dataclass
class Faults:
    """Shares of calls and runs that fail; `checks_tokens` is off in unguarded runs."""

    lost: float = 0.0
    late: float = 0.0
    unanswered: float = 0.0
    failing: float = 0.0
    checks_tokens: bool = True


class RunObserver(Protocol):
    """Observes the runs of executors."""

    def record_start(
        self, executor: "VirtualExecutor", task: TaskName, run: int, late: bool
    ) -> None:
        """Record a start before the executor runs it."""
        ...

    def record_end(
        self, executor: "VirtualExecutor", task: TaskName, run: int, outcome: str
    ) -> None:
        """Record the end of a run."""
        ...


@dataclass
class VirtualExecutor:
    """One incarnation of an executor. Its clock starts at 1 s and may run slow."""

    name: ExecutorId
    address: str
    machine: MachineId
    service: ServiceId
    started_at: float
    clock_rate: float
    cpu: int
    enforces_limits: bool
    observer: RunObserver
    rng: random.Random
    faults: Faults
    is_up: bool = True
    is_draining: bool = False
    sequence: int = 0
    token: int = 0
    first_call_at: float | None = None
    # Time at which the lease was last found expired.
    lease_expired_at: float = -1.0
    deadline_ms: int = 0
    runs: dict[TaskName, int] = field(default_factory=dict)
    cpu_by_task: dict[TaskName, int] = field(default_factory=dict)
    long_running: set[TaskName] = field(default_factory=set)
    rejected: dict[TaskName, int] = field(default_factory=dict)
    finished: list[FinishedRun] = field(default_factory=list)
    finished_count: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def born_ms(self) -> int:
        """Return the time of the start in ms."""
        return 1_000_000 + int(self.started_at * 1000)

    @property
    def clock_ms(self) -> int:
        """Return the time of the executor's monotonic clock."""
        return 1000 + int((anyio.current_time() - self.started_at) * 1000 * self.clock_rate)

    @property
    def is_initialised(self) -> bool:
        """Return whether a leader had time to send the fencing state to this incarnation."""
        now = anyio.current_time()
        return self.first_call_at is not None and now - self.first_call_at >= INITIALISATION_S

    @property
    def used_cpu(self) -> int:
        """Return the thousandths of a core that runs use."""
        return sum(self.cpu_by_task[task] for task in self.runs)

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        return Heartbeat(
            self.name,
            self.born_ms,
            self.sequence,
            self.service,
            self.address,
            DataCentreId("east"),
            self.machine,
            ExecutorState.DRAINING if self.is_draining else ExecutorState.READY,
            TaskSize(self.cpu, 64_000),
            ("a",),
            RackId("r1"),
            self.clock_ms,
            2.0 if self.is_draining else 0.0,
        )

    def _is_fenced(self, token: FencingToken) -> bool:
        if token < self.token and self.faults.checks_tokens:
            return True
        self.token = max(self.token, token)
        if self.first_call_at is None:
            self.first_call_at = anyio.current_time()
        return False

    def _extend_lease(self, deadline_ms: int) -> None:
        limit_ms = self.clock_ms + int(MAX_LEASE_S * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, limit_ms))

    def start(self, request: StartRequest, cpu: int, late: bool) -> StartOutcome:
        """Start a run unless it is fenced, rejected or already running."""
        task, run = request.task, request.run
        if self._is_fenced(request.token):
            return StartOutcome.FENCED
        if request.deadline_ms < self.clock_ms:
            return StartOutcome.REJECTED
        if self.runs.get(task) == run:
            return StartOutcome.STARTED
        if task in self.runs or run <= self.rejected.get(task, 0):
            return StartOutcome.REJECTED
        self._extend_lease(request.deadline_ms)
        if self.enforces_limits and self.used_cpu + cpu > self.cpu:
            return StartOutcome.REJECTED
        self.cpu_by_task[task] = cpu
        self.observer.record_start(self, task, run, late)
        self.runs[task] = run
        return StartOutcome.STARTED

    def stop(self, task: TaskName, run: RunNumber, token: FencingToken) -> CallOutcome:
        """Stop a run, and reject it if its start arrives later."""
        if self._is_fenced(token):
            return CallOutcome.REFUSED
        self.rejected[task] = max(run, self.rejected.get(task, 0))
        if self.runs.get(task, run + 1) <= run:
            self.end(task, "stopped")
        return CallOutcome.DONE

    async def hold(self, request: HoldRequest) -> HoldReport | None:
        """Extend the lease and report running and finished runs; None if the token is stale."""
        if self._is_fenced(request.token):
            return None
        self.finished = [item for item in self.finished if item.number > request.seen]
        if request.deadline_ms:
            self._extend_lease(request.deadline_ms)
        if not self.finished:
            with anyio.move_on_after(request.wait_s):
                await self.changed.wait()
        running = tuple(
            RunningTask(task, RunNumber(run), "", 100 if task in self.long_running else 50, None)
            for task, run in self.runs.items()
        )
        return HoldReport(self.clock_ms, running, tuple(self.finished), self.born_ms)

    def end(self, task: TaskName, outcome: str) -> None:
        """End a run and add it to the finished runs."""
        run = self.runs.pop(task)
        self.rejected[task] = max(run, self.rejected.get(task, 0))
        self.finished_count += 1
        self.finished.append(FinishedRun(self.finished_count, task, RunNumber(run), outcome, ""))
        self.observer.record_end(self, task, run, outcome)
        self.changed.set()
        self.changed = anyio.Event()

    async def run_task(self, task: TaskName, is_long_running: bool) -> None:
        """Run a task until it completes or fails by itself; a long-running one only fails."""
        run = self.runs.get(task)
        if is_long_running:
            self.long_running.add(task)
            await anyio.sleep(self.rng.expovariate(1 / LONG_RUNNING_MEAN_S))
            if self.is_up and self.runs.get(task) == run:
                self.end(task, "failed")
            return
        is_long = self.rng.random() < LONG_TASK_SHARE
        await anyio.sleep(self.rng.uniform(*(LONG_TASK_DURATION_S if is_long else TASK_DURATION_S)))
        if self.is_up and run is not None and self.runs.get(task) == run:
            self.end(task, "failed" if self.rng.random() < self.faults.failing else "done")

    async def watch_lease(self) -> None:
        """End all runs when the lease has expired, until this incarnation ends."""
        while self.is_up:
            await anyio.sleep(LEASE_CHECK_S)
            if self.clock_ms > self.deadline_ms:
                self.lease_expired_at = anyio.current_time()
                for task in list(self.runs):
                    self.end(task, "lapsed")

    def terminate(self) -> None:
        """End this incarnation and all its runs."""
        self.is_up = False
        for task, run in self.runs.items():
            self.observer.record_end(self, task, run, "lost")
        self.runs.clear()


class VirtualCalls:
    """The network to the executors; implements `ExecutorCalls`.

    A call that was sent is delivered even if its sender has ended meanwhile.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: Faults,
        task_group: TaskGroup,
        step_of: Callable[[TaskName], StepSpec],
    ) -> None:
        self.rng = rng
        self.faults = faults
        self.task_group = task_group
        self.step_of = step_of
        self.executors_by_address: dict[str, VirtualExecutor] = {}
        # Addresses whose traffic is dropped in both directions.
        self.unreachable: set[str] = set()
        # Addresses of executors that closed their connections at a planned end.
        self.departed: set[str] = set()

    async def start(self, executor: Executor, request: StartRequest) -> StartOutcome:
        """Start a run."""

        async def execute(target: VirtualExecutor, late: bool) -> StartOutcome:
            is_new = request.task not in target.runs
            step = self.step_of(request.task)
            outcome = target.start(request, step.size.cpu_milli, late)
            if is_new and request.task in target.runs:
                self.task_group.start_soon(target.run_task, request.task, step.is_long_running)
            return outcome

        outcome: StartOutcome = await self._call(executor, execute, ORDER_TIMEOUT_S)
        return outcome

    async def stop(
        self, executor: Executor, task: TaskName, run: RunNumber, token: FencingToken
    ) -> CallOutcome:
        """Stop a run."""

        async def execute(target: VirtualExecutor, late: bool) -> CallOutcome:
            return target.stop(task, run, token)

        outcome: CallOutcome = await self._call(executor, execute, ORDER_TIMEOUT_S)
        return outcome

    async def hold(self, executor: Executor, request: HoldRequest) -> HoldReport:
        """Extend the lease and return the runs of the executor."""

        async def execute(target: VirtualExecutor, late: bool) -> HoldReport | None:
            return await target.hold(request)

        report = await self._call(executor, execute, request.wait_s + ORDER_TIMEOUT_S)
        if report is None:
            raise NoAnswerError("the executor rejected a stale fencing token")
        if report.born_ms != executor.heartbeat.born_ms:
            raise WrongIncarnationError("another incarnation answered")
        assert isinstance(report, HoldReport)
        return report

    async def pace(
        self,
        executor: Executor,
        task: TaskName,
        run: RunNumber,
        percent: int,
        token: FencingToken,
    ) -> CallOutcome:
        """Not called, since there are no best-effort tasks."""
        raise NotImplementedError

    async def forget(self, executor: Executor) -> None:
        """Do nothing, since there are no connections to close."""

    async def _call(
        self,
        executor: Executor,
        execute: Callable[[VirtualExecutor, bool], Awaitable[Any]],
        timeout_s: float,
    ) -> Any:
        answers: list[Any] = []
        answered = anyio.Event()
        heartbeat, faults, draw = executor.heartbeat, self.faults, self.rng.random()
        if heartbeat.address in self.departed:
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise DisconnectedError("the executor closed its connection")
        is_late = faults.lost <= draw < faults.lost + faults.late
        delay_s = self.rng.uniform(*(LATE_DELAY_S if is_late else LATENCY_S))
        is_answered = self.rng.random() >= faults.unanswered

        async def deliver() -> None:
            await anyio.sleep(delay_s)
            target = self.executors_by_address.get(heartbeat.address)
            if target is None or not target.is_up or heartbeat.address in self.unreachable:
                return
            if is_late and not target.is_initialised:
                # Until a leader has contacted a new incarnation, nothing fences off an old order.
                return
            if target.name != heartbeat.executor:
                answers.append(WrongIncarnationError("another executor has this address"))
            else:
                answers.append(await execute(target, is_late))
            if is_answered and target.is_up and heartbeat.address not in self.unreachable:
                await anyio.sleep(self.rng.uniform(*LATENCY_S))
                answered.set()

        if draw >= faults.lost:
            self.task_group.start_soon(deliver)
        with anyio.move_on_after(timeout_s):
            await answered.wait()
        if not answered.is_set():
            raise NoAnswerError("no answer in time")
        if isinstance(answers[0], WrongIncarnationError):
            raise answers[0]
        return answers[0]
