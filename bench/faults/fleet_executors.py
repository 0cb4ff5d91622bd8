"""Executors and the network to them, as their protocol describes them."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup
from marigolddoor_control.fleet.ports import (
    CallOutcome,
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
from marigolddoor_core.jobs import TaskSize

__all__ = ["Faults", "Ledger", "VirtualCalls", "VirtualExecutor"]

LONGEST_LEASE_S = 6.0
LAPSE_CHECK_S = 0.1
ORDER_TIMEOUT_S = 0.8
LATENCY_S = (0.001, 0.006)
# An order that got no answer may be carried out this much later.
LATE_S = (2.0, 12.0)
# A leader's first calls to a life, with one repetition, take this long.
KNOWN_AFTER_S = 1.5
TASK_S = (0.1, 1.5)
# Some tasks take about as long as a lease.
LONG_TASK_S = (3.0, 9.0)
LONG_TASKS = 0.05


@dataclass
class Faults:
    """The shares of calls that go wrong, and guards of the executors that twins take out."""

    lost: float = 0.0
    late: float = 0.0
    unanswered: float = 0.0
    failing: float = 0.0
    checks_tokens: bool = True


class Ledger(Protocol):
    """Hears what executors do."""

    def started(self, executor: "VirtualExecutor", task: TaskName, run: int, late: bool) -> None:
        """Take a start that is about to be carried out."""
        ...

    def ended(self, executor: "VirtualExecutor", task: TaskName, run: int, outcome: str) -> None:
        """Take an end."""
        ...


@dataclass
class VirtualExecutor:
    """One life of an executor. Its clock begins at 1 s and may be slow."""

    name: ExecutorId
    address: str
    machine: MachineId
    service: ServiceId
    born_at: float
    rate: float
    cpu: int
    enforces: bool
    ledger: Ledger
    rng: random.Random
    faults: Faults
    is_up: bool = True
    is_draining: bool = False
    sequence: int = 0
    token: int = 0
    first_call_at: float | None = None
    # When the lease was last found to be over.
    lapsed_at: float = -1.0
    deadline_ms: int = 0
    runs: dict[TaskName, int] = field(default_factory=dict)
    sizes: dict[TaskName, int] = field(default_factory=dict)
    rejected: dict[TaskName, int] = field(default_factory=dict)
    finished: list[FinishedRun] = field(default_factory=list)
    count: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def born_ms(self) -> int:
        """Return the time of the start in ms."""
        return 1_000_000 + int(self.born_at * 1000)

    @property
    def clock_ms(self) -> int:
        """Return the reading of the own steady clock."""
        return 1000 + int((anyio.current_time() - self.born_at) * 1000 * self.rate)

    @property
    def is_known(self) -> bool:
        """Return whether a leader has had the time to tell this life what it needs to know."""
        now = anyio.current_time()
        return self.first_call_at is not None and now - self.first_call_at >= KNOWN_AFTER_S

    @property
    def used(self) -> int:
        """Return the thousandths of a core that runs take."""
        return sum(self.sizes[task] for task in self.runs)

    def heartbeat(self) -> Heartbeat:
        """Return the next report."""
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

    def _extend(self, deadline_ms: int) -> None:
        longest = self.clock_ms + int(LONGEST_LEASE_S * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def start(self, request: StartRequest, cpu: int, late: bool) -> StartOutcome:
        """Carry out a start."""
        task, run = request.task, request.run
        if self._is_fenced(request.token):
            return StartOutcome.FENCED
        if request.deadline_ms < self.clock_ms:
            return StartOutcome.REJECTED
        if self.runs.get(task) == run:
            return StartOutcome.STARTED
        if task in self.runs or run <= self.rejected.get(task, 0):
            return StartOutcome.REJECTED
        self._extend(request.deadline_ms)
        if self.enforces and self.used + cpu > self.cpu:
            return StartOutcome.REJECTED
        self.sizes[task] = cpu
        self.ledger.started(self, task, run, late)
        self.runs[task] = run
        return StartOutcome.STARTED

    def stop(self, task: TaskName, run: RunNumber, token: FencingToken) -> CallOutcome:
        """Stop a run, or reject it when it comes."""
        if self._is_fenced(token):
            return CallOutcome.REFUSED
        self.rejected[task] = max(run, self.rejected.get(task, 0))
        if self.runs.get(task, run + 1) <= run:
            self.end(task, "stopped")
        return CallOutcome.DONE

    async def hold(self, request: HoldRequest) -> HoldReport | None:
        """Extend the lease, and list what runs and what ended; None if a later leader is obeyed."""
        if self._is_fenced(request.token):
            return None
        self.finished = [ended for ended in self.finished if ended.number > request.seen]
        if request.deadline_ms:
            self._extend(request.deadline_ms)
        if not self.finished:
            with anyio.move_on_after(request.wait_s):
                await self.changed.wait()
        running = tuple(
            RunningTask(task, RunNumber(run), "", 50, None) for task, run in self.runs.items()
        )
        return HoldReport(self.clock_ms, running, tuple(self.finished), self.born_ms)

    def end(self, task: TaskName, outcome: str) -> None:
        """End a run and list its end."""
        run = self.runs.pop(task)
        self.rejected[task] = max(run, self.rejected.get(task, 0))
        self.count += 1
        self.finished.append(FinishedRun(self.count, task, RunNumber(run), outcome, ""))
        self.ledger.ended(self, task, run, outcome)
        self.changed.set()
        self.changed = anyio.Event()

    async def work(self, task: TaskName) -> None:
        """Carry out a run until it ends by itself."""
        run = self.runs.get(task)
        is_long = self.rng.random() < LONG_TASKS
        await anyio.sleep(self.rng.uniform(*(LONG_TASK_S if is_long else TASK_S)))
        if self.is_up and run is not None and self.runs.get(task) == run:
            self.end(task, "failed" if self.rng.random() < self.faults.failing else "done")

    async def watch_lease(self) -> None:
        """End everything when the lease is over, until this life is."""
        while self.is_up:
            await anyio.sleep(LAPSE_CHECK_S)
            if self.clock_ms > self.deadline_ms:
                self.lapsed_at = anyio.current_time()
                for task in list(self.runs):
                    self.end(task, "lapsed")

    def die(self) -> None:
        """End this life; nothing of it runs any more."""
        self.is_up = False
        for task, run in self.runs.items():
            self.ledger.ended(self, task, run, "lost")
        self.runs.clear()


class VirtualCalls:
    """The network to the executors; implements `ExecutorCalls`.

    What was sent is carried out even if its sender has ended meanwhile.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: Faults,
        group: TaskGroup,
        cpu_of: Callable[[TaskName], int],
    ) -> None:
        self.rng = rng
        self.faults = faults
        self.group = group
        self.cpu_of = cpu_of
        self.at_address: dict[str, VirtualExecutor] = {}
        # Addresses that nothing reaches now, and from which nothing comes.
        self.cut_off: set[str] = set()

    async def start(self, executor: Executor, request: StartRequest) -> StartOutcome:
        """Start a run."""

        async def carry_out(target: VirtualExecutor, late: bool) -> StartOutcome:
            is_new = request.task not in target.runs
            outcome = target.start(request, self.cpu_of(request.task), late)
            if is_new and request.task in target.runs:
                self.group.start_soon(target.work, request.task)
            return outcome

        outcome: StartOutcome = await self._call(executor, carry_out, ORDER_TIMEOUT_S)
        return outcome

    async def stop(
        self, executor: Executor, task: TaskName, run: RunNumber, token: FencingToken
    ) -> CallOutcome:
        """Stop a run."""

        async def carry_out(target: VirtualExecutor, late: bool) -> CallOutcome:
            return target.stop(task, run, token)

        outcome: CallOutcome = await self._call(executor, carry_out, ORDER_TIMEOUT_S)
        return outcome

    async def hold(self, executor: Executor, request: HoldRequest) -> HoldReport:
        """Extend the lease and list what runs."""

        async def carry_out(target: VirtualExecutor, late: bool) -> HoldReport | None:
            return await target.hold(request)

        report = await self._call(executor, carry_out, request.wait_s + ORDER_TIMEOUT_S)
        if report is None:
            raise NoAnswerError("a later leader is obeyed")
        if report.born_ms != executor.heartbeat.born_ms:
            raise WrongIncarnationError("another life answered")
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
        """Set the pace of a filler; there are none."""
        raise NotImplementedError

    async def forget(self, executor: Executor) -> None:
        """Do nothing: there are no connections."""

    async def _call(
        self,
        executor: Executor,
        carry_out: Callable[[VirtualExecutor, bool], Awaitable[Any]],
        timeout_s: float,
    ) -> Any:
        answers: list[Any] = []
        answered = anyio.Event()
        heartbeat, faults, chance = executor.heartbeat, self.faults, self.rng.random()
        is_late = faults.lost <= chance < faults.lost + faults.late
        delay_s = self.rng.uniform(*(LATE_S if is_late else LATENCY_S))
        is_answered = self.rng.random() >= faults.unanswered

        async def deliver() -> None:
            await anyio.sleep(delay_s)
            target = self.at_address.get(heartbeat.address)
            if target is None or not target.is_up or heartbeat.address in self.cut_off:
                return
            if is_late and not target.is_known:
                # No leader can keep a life from taking an old order before it has told it.
                return
            if target.name != heartbeat.executor:
                answers.append(WrongIncarnationError("another executor is there"))
            else:
                answers.append(await carry_out(target, is_late))
            if is_answered and target.is_up and heartbeat.address not in self.cut_off:
                await anyio.sleep(self.rng.uniform(*LATENCY_S))
                answered.set()

        if chance >= faults.lost:
            self.group.start_soon(deliver)
        with anyio.move_on_after(timeout_s):
            await answered.wait()
        if not answered.is_set():
            raise NoAnswerError("no answer in time")
        if isinstance(answers[0], WrongIncarnationError):
            raise answers[0]
        return answers[0]
