"""One leadership over the fleet: records changes in batches and carries out orders.

Every change is recorded before it has an effect outside: a job before it is acknowledged, a
placement before its executor is called, an end before the executor may forget it.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_control.agreement import Agreement
from marigolddoor_control.fleet.change_log import log_changes
from marigolddoor_control.fleet.ports import (
    Adviser,
    ExecutorCalls,
    HoldRequest,
    MachineCalls,
    MachineOutcome,
    NoAnswerError,
    StartOutcome,
    StartRequest,
    WrongLifeError,
)
from marigolddoor_core.dispatch import (
    AdviceRequest,
    Dispatch,
    Executor,
    LeaseTiming,
    MoveOrder,
    Order,
    PaceOrder,
    StartOrder,
    StopOrder,
    UpkeepOrder,
)
from marigolddoor_core.ids import FencingToken
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import JobChange, JobTable, RecordChanges
from marigolddoor_core.metrics import CounterKind, Counters, Labels
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError

__all__ = ["FleetLeadership", "NotRecordedError", "RecordingUnknownError"]

# An idle executor answers a hold after this long, a busy one earlier, so that a dead one is noticed
# while its jobs can still be in time elsewhere.
IDLE_HOLD_WAIT_S = 1.5
BUSY_HOLD_WAIT_S = 0.8
# Where fillers work beside tasks that serve users, their latency is looked at this often.
SHARED_HOLD_WAIT_S = 0.5
# The pace of a filler that may or may not have taken an order. No order says this, so the next
# report leads to another one.
UNKNOWN_PACE = 99
# An executor answers other calls in a few ms. Three round trips over a lossy link fit in.
CALL_TIMEOUT_S = 0.8
# A call that failed is repeated after this long.
RETRY_S = 0.15
# The pause grows with the silence up to this.
LONGEST_RETRY_S = 1.0
# After this many unanswered starts the run is stopped, so that it can be placed elsewhere.
START_ATTEMPTS = 2
# The platform bounds its calls to some dozens a second for all processes.
MACHINE_RETRY_S = 0.5
# Machines that somebody else moved, or that are new, are found after this long at most.
LIST_INTERVAL_S = 5.0
# Timers of decisions (due times, leases that are over) are looked at this often.
TIMER_INTERVAL_S = 0.25
# A proposal ends when another leader takes over, so this only bounds a group without a quorum.
RECORD_TIMEOUT_S = 20.0
# A process that says goodbye ends within moments of its last call.
GOODBYE_S = 1.0


class NotRecordedError(NoQuorumError):
    """The change was not recorded and never will be."""


class RecordingUnknownError(ProposalOutcomeUnknownError):
    """The change may have been recorded."""


def _hold_wait_s(executor: Executor) -> float:
    """Return how long an executor may keep a hold waiting."""
    if executor.is_shared:
        return SHARED_HOLD_WAIT_S
    return BUSY_HOLD_WAIT_S if executor.runs else IDLE_HOLD_WAIT_S


class _Batch:
    """A batch of changes that is recorded together."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.error: Exception | None = None


class FleetLeadership:
    """Runs while this process leads; a new one begins after each election."""

    def __init__(
        self,
        table: JobTable,
        agreement: Agreement,
        calls: ExecutorCalls,
        machines: MachineCalls,
        adviser: Adviser,
        lease_timing: LeaseTiming,
        machine_lease_s: float,
        token: FencingToken,
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        self.table = table
        self.agreement = agreement
        self.calls = calls
        self.machines = machines
        self.adviser = adviser
        self.token = token
        self.counters = counters
        self.clock = clock
        self.dispatch = Dispatch(table, lease_timing, self._now(), machine_lease_s, counters)
        self.group: TaskGroup | None = None
        self.wake = anyio.Event()
        self.submitted: list[JobChange] = []
        self.batch = _Batch()
        self.is_over = False

    def _now(self) -> Instant:
        return Instant(self.clock())

    async def run(self) -> None:
        """Lead until cancelled or until a change can't be recorded."""
        self.table.observer = self.dispatch
        logger.info(
            "fleet: leads with token {}, {} jobs, configuration {}",
            self.token,
            len(self.table.jobs),
            self.table.version,
        )
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                group.start_soon(self._list_machines)
                for executor in list(self.dispatch.executors.values()):
                    self.watch(executor)
                await self._record_batches()
                group.cancel_scope.cancel()
        finally:
            self.is_over = True
            self.table.observer = None
            self.batch.error = self.batch.error or RecordingUnknownError("the leadership ended")
            self.batch.done.set()
            logger.info("fleet: leads no more (token {})", self.token)

    async def record(self, change: JobChange) -> None:
        """Record a change with the next batch.

        Raises:
          NotRecordedError: it was not recorded and never will be.
          RecordingUnknownError: it may have been recorded.
        """
        if self.is_over:
            raise NotRecordedError("this process leads no more")
        self.submitted.append(change)
        await self.flush()

    async def flush(self) -> None:
        """Wait until everything that is noted so far is recorded.

        Raises:
          NotRecordedError: nothing of it was recorded.
          RecordingUnknownError: it may have been recorded.
        """
        batch = self.batch
        self.wake.set()
        await batch.done.wait()
        if batch.error is not None:
            raise batch.error

    async def _record_batches(self) -> None:
        while True:
            with anyio.move_on_after(TIMER_INTERVAL_S):
                await self.wake.wait()
            # Whatever arrived in this turn of the loop joins the same batch.
            await anyio.lowlevel.checkpoint()
            self.wake = anyio.Event()
            if not self.agreement.is_leader:
                if not self._is_same_term():
                    return
                continue
            self.dispatch.expire(self._now())
            if not await self._record_batch():
                return

    def _is_same_term(self) -> bool:
        replica = self.agreement.replica
        return (
            replica is not None and replica.is_leader and FencingToken(replica.term) == self.token
        )

    async def _record_batch(self) -> bool:
        batch, self.batch = self.batch, _Batch()
        submitted, self.submitted = self.submitted, []
        changes = submitted + self.dispatch.take_changes(self._now(), self.agreement.agreed_time())
        try:
            if changes:
                await self.agreement.propose_here(RecordChanges(tuple(changes)), RECORD_TIMEOUT_S)
        except NoQuorumError as error:
            batch.error = NotRecordedError(str(error))
        except ProposalOutcomeUnknownError as error:
            batch.error = RecordingUnknownError(str(error))
        batch.done.set()
        if batch.error is not None:
            logger.warning("fleet: {} changes were not recorded: {}", len(changes), batch.error)
            return False
        log_changes(changes, self.table, self.dispatch, self._now())
        self._carry_out()
        if self.dispatch.changes or self.dispatch.is_planning_due:
            self.wake.set()
        return True

    def _count_unanswered(self, order: str) -> None:
        self.counters.add(CounterKind.ORDERS_UNANSWERED, Labels(reason=order))

    def _carry_out(self) -> None:
        orders, self.dispatch.orders = self.dispatch.orders, []
        assert self.group is not None
        for order in orders:
            self.group.start_soon(self._send, order)

    async def _send(self, order: Order) -> None:
        if isinstance(order, StartOrder):
            await self._start(order)
        elif isinstance(order, StopOrder):
            await self._stop(order)
        elif isinstance(order, PaceOrder):
            await self._pace(order)
        elif isinstance(order, UpkeepOrder):
            await self._begin_upkeep(order)
        elif isinstance(order, MoveOrder):
            await self._move(order)
        elif isinstance(order, AdviceRequest):
            await self._ask_adviser(order)

    async def _start(self, order: StartOrder) -> None:
        executor = order.executor
        for _ in range(START_ATTEMPTS):
            placed = executor.runs.get(order.task)
            if executor.is_over or placed is None or placed.run != order.run:
                return
            if not self.agreement.is_leader or placed.is_stopping:
                break
            request = StartRequest(
                order.task,
                order.run,
                order.payload,
                order.checkpoint,
                executor.extend_lease(self._now()),
                self.token,
                order.ticket,
            )
            try:
                outcome = await self.calls.start(executor, request)
            except WrongLifeError:
                self._life_over(executor, "another life answered")
                return
            except NoAnswerError as error:
                self._count_unanswered("start")
                logger.info(
                    "fleet: start of {} run {} unanswered: {}", order.task, order.run, error
                )
                self.dispatch.block(executor, self._now())
                await anyio.sleep(RETRY_S)
                continue
            if outcome is StartOutcome.STARTED:
                self.dispatch.started(order, self._now())
            elif outcome is StartOutcome.REJECTED:
                logger.info("fleet: {} rejects {} run {}", executor.life, order.task, order.run)
                self.dispatch.rejected(order, self._now())
                self.wake.set()
            else:
                logger.warning("fleet: {} obeys a later leader", executor.life)
            return
        await self._stop(StopOrder(executor, order.task, order.run))

    async def _stop(self, order: StopOrder) -> None:
        executor = order.executor
        while not executor.is_over:
            if self.agreement.is_leader:
                try:
                    await self.calls.stop(executor, order.task, order.run, self.token)
                except WrongLifeError:
                    self._life_over(executor, "another life answered")
                    return
                except NoAnswerError as error:
                    self._count_unanswered("stop")
                    logger.info("fleet: stop of {} unanswered: {}", order.task, error)
                else:
                    self.dispatch.stop_confirmed(executor, order.task, order.run, self._now())
                    return
            placed = executor.runs.get(order.task)
            if placed is None or placed.run != order.run:
                return
            await anyio.sleep(RETRY_S)

    async def _ask_adviser(self, request: AdviceRequest) -> None:
        """Ask which executors may run a step; without an answer the dispatch asks again."""
        asked_at = self._now()
        try:
            advice = await self.adviser.advise(request)
        except NoAnswerError as error:
            self._count_unanswered("advice")
            logger.info("fleet: advice on {} unanswered: {}", request.name, error)
            return
        logger.info(
            "fleet: advice on {}: {} of {} executors for {:.1f} s",
            request.name,
            len(advice.tickets),
            len(request.executors),
            advice.validity_s,
        )
        self.dispatch.advised(request, advice.tickets, advice.validity_s, asked_at)
        self.wake.set()

    async def _pace(self, order: PaceOrder) -> None:
        """Set the pace of a filler. One that gets no answer is set again with the next report."""
        try:
            await self.calls.pace(order.executor, order.task, order.run, order.percent, self.token)
        except (NoAnswerError, WrongLifeError) as error:
            self._count_unanswered("pace")
            logger.info("fleet: pace of {} unanswered: {}", order.task, error)
            placed = order.executor.runs.get(order.task)
            if placed is not None and placed.run == order.run:
                placed.pace = UNKNOWN_PACE
        else:
            logger.info(
                "fleet: {} run {} on {} works at {} %",
                order.task,
                order.run,
                order.executor.life,
                order.percent,
            )

    async def _list_machines(self) -> None:
        """Read the platform's list of machines now and then."""
        while True:
            configuration = self.table.configuration
            if configuration is not None and self.agreement.is_leader:
                try:
                    machines = await self.machines.list_machines()
                except NoAnswerError as error:
                    logger.info("fleet: the list of machines can't be read: {}", error)
                else:
                    self.dispatch.room.listed(machines, configuration)
                    await anyio.sleep(LIST_INTERVAL_S)
                    continue
            await anyio.sleep(MACHINE_RETRY_S)

    async def _move(self, order: MoveOrder) -> None:
        """Move a machine; what is not answered is repeated until the planner gives up."""
        move, room = order.move, self.dispatch.room
        while self.agreement.is_leader and move.machine in room.ordered:
            try:
                outcome = await self.machines.move(move.machine, move.target, self.token)
            except NoAnswerError as error:
                self._count_unanswered("move")
                logger.info("fleet: move of {} unanswered: {}", move.machine, error)
                await anyio.sleep(MACHINE_RETRY_S)
                continue
            logger.info(
                "fleet: move of {} from {} to {}: {}",
                move.machine,
                move.source,
                move.target,
                outcome.value,
            )
            if outcome is MachineOutcome.DONE:
                self.dispatch.moved(move, self._now())
                self.wake.set()
                return
            if outcome is not MachineOutcome.THROTTLED:
                room.failed(move)
                return
            await anyio.sleep(MACHINE_RETRY_S)

    async def _begin_upkeep(self, order: UpkeepOrder) -> None:
        """Hand a machine over; repeat it until the platform says what became of it."""
        await anyio.sleep(max(0.0, self.dispatch.machine_orders_from - self._now()))
        # Only a first call that is answered surely ended the executor that is known now.
        executor = None if order.is_repeated else self.dispatch.by_machine.get(order.machine)
        while True:
            upkeep = self.dispatch.upkeeps.get(order.wave)
            if upkeep is None:
                return
            outcome = None
            if self.agreement.is_leader:
                try:
                    outcome = await self.machines.begin_upkeep(
                        order.machine, order.wave, self.token
                    )
                except NoAnswerError as error:
                    self._count_unanswered("upkeep")
                    logger.info("fleet: upkeep of {} unanswered: {}", order.machine, error)
            if outcome is MachineOutcome.DONE:
                logger.info("fleet: upkeep of {} in wave {}", order.machine, order.wave)
                self.dispatch.handed_over(order.wave, order.machine, executor, self._now())
                return
            if outcome is MachineOutcome.UNKNOWN_MACHINE:
                logger.warning("fleet: wave {}: no machine {}", order.wave, order.machine)
                upkeep.gone(order.machine)
                return
            if outcome is MachineOutcome.BUSY:
                logger.info("fleet: upkeep of {}: the platform is busy with it", order.machine)
                upkeep.busy(order.machine)
            executor = None
            await anyio.sleep(MACHINE_RETRY_S)

    def watch(self, executor: Executor) -> None:
        """Hold an executor that has just reported."""
        assert self.group is not None
        self.group.start_soon(self._hold, executor)

    async def _hold(self, executor: Executor) -> None:
        heartbeat = executor.heartbeat
        logger.info(
            "fleet: {} of {} at {} on machine {}, {}",
            executor.life,
            heartbeat.service,
            heartbeat.address,
            heartbeat.machine,
            heartbeat.state.value,
        )
        # The first call reads the clock; it must not wait and can't extend the lease.
        wait_s = 0.0
        while not executor.is_over:
            if not self.agreement.is_leader:
                await anyio.sleep(RETRY_S)
                continue
            sent_at = self._now()
            deadline_ms = executor.extend_lease(sent_at)
            request = HoldRequest(deadline_ms, executor.seen, wait_s, self.token)
            try:
                report = await self.calls.hold(executor, request)
            except WrongLifeError:
                self._life_over(executor, "another life answered")
                break
            except NoAnswerError as error:
                if not executor.is_over:
                    self._count_unanswered("hold")
                    logger.info("fleet: hold of {} unanswered: {}", executor.life, error)
                    self.dispatch.unanswered(executor, sent_at)
                    self.wake.set()
                silent_s = self._now() - (executor.silent_since or sent_at)
                await anyio.sleep(min(max(RETRY_S, silent_s / 4), LONGEST_RETRY_S))
                continue
            is_first = not executor.lease.is_known
            self.dispatch.held(executor, sent_at, report, self._now())
            last = max((finished.number for finished in report.finished), default=0)
            if last > executor.seen:
                try:
                    await self.flush()
                except (NotRecordedError, RecordingUnknownError):
                    # The leadership ends; the next leader is told the same ends.
                    return
                executor.seen = last
            elif self.dispatch.changes or self.dispatch.orders or self.dispatch.is_planning_due:
                self.wake.set()
            wait_s = 0.0 if is_first else _hold_wait_s(executor)
        await self.calls.forget(executor)

    def _life_over(self, executor: Executor, reason: str) -> None:
        if not executor.is_over:
            logger.info("fleet: {} is over: {}", executor.life, reason)
            self.dispatch.life_over(executor, self._now())
            self.wake.set()

    def leave(self, executor: Executor) -> None:
        """Take note that an executor is about to end by itself."""
        assert self.group is not None
        self.group.start_soon(self._end_after_goodbye, executor)

    async def _end_after_goodbye(self, executor: Executor) -> None:
        await anyio.sleep(GOODBYE_S)
        self._life_over(executor, "it left")
