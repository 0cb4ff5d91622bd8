"""One leadership over the fleet: records changes in batches and carries out what follows.

Every change is recorded before it has an effect outside: a job before it is acknowledged, a
placement before its executor is called, an end before the executor may forget it.
"""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_control.agreement import Agreement
from marigolddoor_control.fleet.change_log import log_changes
from marigolddoor_control.fleet.order_sender import RETRY_S, OrderSender
from marigolddoor_control.fleet.ports import (
    FleetPorts,
    HoldRequest,
    NoAnswerError,
    WrongLifeError,
)
from marigolddoor_core.dispatch import Executor, LeaseTiming
from marigolddoor_core.ids import FencingToken
from marigolddoor_core.jobs import JobChange, JobTable, RecordChanges
from marigolddoor_core.metrics import Counters
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError

__all__ = ["FleetLeadership", "NotRecordedError", "RecordingUnknownError"]

# An idle executor answers a hold after this long, a busy one earlier, so that a dead one is noticed
# while its jobs can still be in time elsewhere.
IDLE_HOLD_WAIT_S = 1.5
BUSY_HOLD_WAIT_S = 0.8
# Where fillers work beside tasks that serve users, their latency is looked at this often.
SHARED_HOLD_WAIT_S = 0.5
# The pause before a silent executor is asked again grows with the silence up to this.
LONGEST_RETRY_S = 1.0
# Timers of decisions (due times, leases that are over) are looked at this often.
TIMER_INTERVAL_S = 0.25
# A proposal ends when another leader takes over, so this only bounds a group without a quorum.
RECORD_TIMEOUT_S = 20.0
# An executor reports itself every 1.5 s, and one report may be lost.
SUCCESSOR_REPORT_S = 3.5
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


class FleetLeadership(OrderSender):
    """Runs while this process leads; a new one begins after each election."""

    def __init__(
        self,
        table: JobTable,
        agreement: Agreement,
        ports: FleetPorts,
        lease_timing: LeaseTiming,
        machine_lease_s: float,
        token: FencingToken,
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        super().__init__(
            table, agreement, ports, lease_timing, machine_lease_s, token, clock, counters
        )
        self.group: TaskGroup | None = None
        self.submitted: list[JobChange] = []
        self.batch = _Batch()
        self.is_over = False

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
            self.dispatch.expire(self.now())
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
        changes = submitted + self.dispatch.take_changes(self.now(), self.agreement.agreed_time())
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
        log_changes(changes, self.table, self.dispatch, self.now())
        self._carry_out()
        if self.dispatch.changes or self.dispatch.is_planning_due:
            self.wake.set()
        return True

    def _carry_out(self) -> None:
        orders, self.dispatch.orders = self.dispatch.orders, []
        assert self.group is not None
        for order in orders:
            self.group.start_soon(self._send, order)

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
            sent_at = self.now()
            deadline_ms = executor.extend_lease(sent_at)
            request = HoldRequest(deadline_ms, executor.seen, wait_s, self.token)
            try:
                report = await self.ports.executors.hold(executor, request)
            except WrongLifeError:
                await self._settle_succession(executor)
                break
            except NoAnswerError as error:
                if not executor.is_over:
                    self._count_unanswered("hold")
                    logger.info("fleet: hold of {} unanswered: {}", executor.life, error)
                    self.dispatch.unanswered(executor, sent_at)
                    self.wake.set()
                silent_s = self.now() - (executor.silent_since or sent_at)
                await anyio.sleep(min(max(RETRY_S, silent_s / 4), LONGEST_RETRY_S))
                continue
            is_first = not executor.lease.is_known
            self.dispatch.held(executor, sent_at, report, self.now())
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
        await self.ports.executors.forget(executor)

    async def _settle_succession(self, executor: Executor) -> None:
        """End a life of which the next one answered.

        The next one may carry out starts that were sent to this one, and its heartbeat, from which
        its runs can be followed, comes a little later than its first answer.
        """
        if not executor.is_over and not self.dispatch.succeeded(executor, self.now()):
            logger.info("fleet: {}: another life answered, its report is awaited", executor.life)
            self.wake.set()
            deadline = self.now() + SUCCESSOR_REPORT_S
            while not executor.is_over and self.now() < deadline:
                await anyio.sleep(RETRY_S)
        self._life_over(executor, "another life answered")

    def leave(self, executor: Executor) -> None:
        """Take note that an executor is about to end by itself."""
        assert self.group is not None
        self.group.start_soon(self._end_after_goodbye, executor)

    async def _end_after_goodbye(self, executor: Executor) -> None:
        await anyio.sleep(GOODBYE_S)
        self._life_over(executor, "it left")
