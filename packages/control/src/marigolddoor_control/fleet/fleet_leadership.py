"""Leads the fleet for one term: commits changes in batches and sends the resulting orders.

Every change is committed before it has an external effect: a job before it is acknowledged, a
placement before its executor is called, the end of a run before the executor may discard it.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_control.consensus_service import ConsensusService
from marigolddoor_control.fleet.change_log import log_changes
from marigolddoor_control.fleet.order_sender import RETRY_S, OrderSender
from marigolddoor_control.fleet.ports import (
    DisconnectedError,
    FleetPorts,
    HoldRequest,
    NoAnswerError,
    WrongIncarnationError,
)
from marigolddoor_core.dispatch import (
    Executor,
    ExecutorState,
    Heartbeat,
    HoldReport,
    LeaseTiming,
    PlacedRun,
    UnreadableRow,
)
from marigolddoor_core.ids import ExecutorIncarnation, FencingToken
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    AcceptJob,
    JobChange,
    JobTable,
    RecordChanges,
    StoreConfiguration,
)
from marigolddoor_core.metrics import CounterKind, Counters, Labels
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError

__all__ = ["FleetLeadership", "NotRecordedError", "RecordingUnknownError"]

# An idle executor answers a hold after this long, a busy one earlier, so that a failed one is
# detected while its jobs can still meet their deadlines elsewhere.
IDLE_HOLD_WAIT_S = 1.5
BUSY_HOLD_WAIT_S = 0.8
# Latency is checked this often where best-effort tasks share an executor with serving tasks.
SHARED_HOLD_WAIT_S = 0.5
# Upper bound of the pause between calls to an unresponsive executor; it grows with the outage.
MAX_RETRY_S = 1.0
# The next hold waits this long for the commit of the ends that the last one reported. It also
# extends the lease, so a slow commit must not delay it further.
COMMIT_WAIT_S = 1.0
# Interval of checks for due times and expired leases.
TIMER_INTERVAL_S = 0.25
# A proposal ends when another leader takes over, so this bounds only a group without a quorum.
RECORD_TIMEOUT_S = 20.0
# An executor sends a heartbeat every 1.5 s, and one heartbeat may be lost.
SUCCESSOR_REPORT_S = 3.5
# A batch is one entry of the log, which has to fit in one message to a peer (4 MiB). Documents are
# its only large parts; placements and ends take some 60 bytes each.
MAX_BATCH_DOCUMENT_BYTES = 1024 * 1024


class NotRecordedError(NoQuorumError):
    """The change was not committed and never will be."""


class RecordingUnknownError(ProposalOutcomeUnknownError):
    """The change may have been committed."""


def _hold_wait_s(executor: Executor) -> float:
    """Return how long an executor may delay its answer to a hold."""
    if executor.is_shared:
        return SHARED_HOLD_WAIT_S
    return BUSY_HOLD_WAIT_S if executor.runs else IDLE_HOLD_WAIT_S


class _Batch:
    """A batch of changes that is committed in one command."""

    def __init__(self) -> None:
        self.changes: list[JobChange] = []
        self.document_bytes = 0
        self.done = anyio.Event()
        self.error: Exception | None = None

    def has_room(self, change: JobChange) -> bool:
        """Return whether the batch stays within its limit; the first change always fits."""
        size = self.document_bytes + _document_bytes(change)
        return not self.document_bytes or size <= MAX_BATCH_DOCUMENT_BYTES

    def add(self, change: JobChange) -> None:
        """Add a change."""
        self.changes.append(change)
        self.document_bytes += _document_bytes(change)


def _document_bytes(change: JobChange) -> int:
    return len(change.document) if isinstance(change, AcceptJob | StoreConfiguration) else 0


@dataclass(frozen=True, slots=True)
class _Acknowledgement:
    """The number up to which an executor may discard its ends once a batch is committed."""

    batch: _Batch
    seen: int


class FleetLeadership(OrderSender):
    """Leads the fleet for one term; each election won begins a new one."""

    def __init__(
        self,
        table: JobTable,
        consensus: ConsensusService,
        ports: FleetPorts,
        lease_timing: LeaseTiming,
        machine_lease_s: float,
        token: FencingToken,
        clock: Callable[[], float],
        counters: Counters,
        remote_factor: float = 1.0,
    ) -> None:
        super().__init__(
            table,
            consensus,
            ports,
            lease_timing,
            machine_lease_s,
            token,
            clock,
            counters,
            remote_factor,
        )
        self.group: TaskGroup | None = None
        # Batches to commit, in order. The last one takes further changes.
        self.batches: deque[_Batch] = deque([_Batch()])
        self.is_committing = False
        # The last heartbeats of executors that are asked whether they exist.
        self.identifying: dict[ExecutorIncarnation, Heartbeat] = {}
        self.has_ended = False

    async def run(self) -> None:
        """Lead until cancelled, deposed, or until a change can't be committed."""
        self.table.observer = self.dispatch
        logger.info(
            "fleet: became leader with token {}, {} jobs, configuration {}",
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
                await self._commit_batches()
                group.cancel_scope.cancel()
        finally:
            self.has_ended = True
            self.table.observer = None
            for batch in self.batches:
                batch.error = RecordingUnknownError("the leadership ended")
                batch.done.set()
            logger.info("fleet: leadership ended (token {})", self.token)

    async def record(self, change: JobChange) -> None:
        """Commit a change with the next batch that has room for it.

        Raises:
          NotRecordedError: it was not committed and never will be.
          RecordingUnknownError: it may have been committed.
        """
        if self.has_ended:
            raise NotRecordedError("this process is no longer the leader")
        if not self.batches[-1].has_room(change):
            self.batches.append(_Batch())
        self.batches[-1].add(change)
        await self.flush()

    async def flush(self) -> None:
        """Wait until all pending changes are committed.

        Raises:
          NotRecordedError: none of them was committed.
          RecordingUnknownError: they may have been committed.
        """
        batch = self._request_commit()
        await batch.done.wait()
        if batch.error is not None:
            raise batch.error

    def _request_commit(self) -> _Batch:
        """Return the batch after which all pending changes are committed."""
        self.wake.set()
        return self.batches[-1]

    async def settle(self) -> None:
        """Wait until the changes that were recorded before this call are committed.

        Raises:
          NotRecordedError: some of them were not committed.
          RecordingUnknownError: some of them may not have been committed.
        """
        if self.batches[-1].changes or self.is_committing:
            # Batches are committed one after the other, so the last one ends after these changes.
            await self.flush()

    async def _commit_batches(self) -> None:
        while True:
            with anyio.move_on_after(TIMER_INTERVAL_S):
                await self.wake.wait()
            # Changes that arrive in the same iteration of the event loop join the same batch.
            await anyio.lowlevel.checkpoint()
            self.wake = anyio.Event()
            if not self._is_same_term():
                # After another election, executors may reject orders with this token.
                return
            if not self.consensus.is_leader:
                continue
            for executor in self.dispatch.expire(self.now()):
                logger.info("fleet: executor {} ended: out of contact", executor.incarnation)
            if not await self._commit_batch():
                return

    def _is_same_term(self) -> bool:
        replica = self.consensus.replica
        return (
            replica is not None and replica.is_leader and FencingToken(replica.term) == self.token
        )

    async def _commit_batch(self) -> bool:
        batch = self.batches.popleft()
        if not self.batches:
            self.batches.append(_Batch())
        changes = batch.changes + self.dispatch.take_changes(
            self.now(), self.consensus.consensus_time()
        )
        self.is_committing = True
        try:
            if changes:
                await self.consensus.propose_here(RecordChanges(tuple(changes)), RECORD_TIMEOUT_S)
        except NoQuorumError as error:
            batch.error = NotRecordedError(str(error))
        except ProposalOutcomeUnknownError as error:
            batch.error = RecordingUnknownError(str(error))
        finally:
            self.is_committing = False
        batch.done.set()
        if batch.error is not None:
            logger.warning("fleet: committing {} changes failed: {}", len(changes), batch.error)
            return False
        log_changes(changes, self.table, self.dispatch, self.now())
        self._send_orders()
        is_next_waiting = bool(self.batches[0].changes)
        if is_next_waiting or self.dispatch.changes or self.dispatch.is_planning_due:
            self.wake.set()
        return True

    def _send_orders(self) -> None:
        orders, self.dispatch.orders = self.dispatch.orders, []
        assert self.group is not None
        for order in orders:
            self.group.start_soon(self._send, order)

    def watch(self, executor: Executor) -> None:
        """Begin to send holds to an executor."""
        assert self.group is not None
        self.group.start_soon(self._hold_until_end, executor)

    def identify(self, heartbeat: Heartbeat) -> None:
        """Ask the executor that a heartbeat names whether it exists, and use it if so.

        Any process may send a heartbeat with the address or the machine of an executor, whose runs
        would be started elsewhere while they go on.
        """
        assert self.group is not None
        earlier = self.identifying.get(heartbeat.incarnation)
        if earlier is None or heartbeat.sequence > earlier.sequence:
            self.identifying[heartbeat.incarnation] = heartbeat
        if earlier is None:
            self.group.start_soon(self._identify, heartbeat)

    async def _identify(self, heartbeat: Heartbeat) -> None:
        candidate = self.dispatch.candidate(heartbeat, self.now())
        # It neither extends a lease nor discards an end, whoever answers.
        request = HoldRequest(0, 0, 0.0, candidate.fencing_token(self.token))
        try:
            # An idle connection may lead to an executor that lost its power, and answers no more.
            await self.ports.executors.forget(candidate)
            await self.ports.executors.hold(candidate, request)
        except (NoAnswerError, WrongIncarnationError) as error:
            # An executor that has just begun is asked again after its next heartbeat.
            logger.info(
                "fleet: heartbeat of {} at {} on machine {} ignored, which would displace {}: {}",
                heartbeat.incarnation,
                heartbeat.address,
                heartbeat.machine,
                ", ".join(other.incarnation for other in self.dispatch.displaced_by(heartbeat)),
                error,
            )
            return
        except Exception as error:
            # It must not end the leadership: the next leader would call this executor as well.
            logger.exception("fleet: hold of {} failed: {}", heartbeat.incarnation, error)
            self._count_unexpected_error("hold")
            return
        finally:
            heartbeat = self.identifying.pop(heartbeat.incarnation)
        executor = self.dispatch.receive_heartbeat(heartbeat, self.now())
        if executor is not None:
            self.watch(executor)
        self.wake.set()

    async def _hold_until_end(self, executor: Executor) -> None:
        heartbeat = executor.heartbeat
        logger.info(
            "fleet: sending holds to executor {} of {} at {} on machine {}, {}",
            executor.incarnation,
            heartbeat.service,
            heartbeat.address,
            heartbeat.machine,
            heartbeat.state.value,
        )
        # The first call reads the executor's clock; it must not wait and can't extend the lease.
        wait_s = 0.0
        unreadable: tuple[UnreadableRow, ...] = ()
        uncommitted: deque[_Acknowledgement] = deque()
        while not executor.has_ended:
            if not self.consensus.is_leader:
                await anyio.sleep(RETRY_S)
                continue
            while uncommitted and uncommitted[0].batch.done.is_set():
                acknowledgement = uncommitted.popleft()
                if acknowledgement.batch.error is not None:
                    # The leadership ends; the executor reports these runs again to the next leader.
                    return
                executor.seen = acknowledgement.seen
            sent_at = self.now()
            deadline_ms = executor.extend_lease(sent_at)
            token = executor.fencing_token(self.token)
            request = HoldRequest(deadline_ms, executor.seen, wait_s, token)
            try:
                report = await self.ports.executors.hold(executor, request)
            except WrongIncarnationError:
                await self._await_successor(executor)
                break
            except NoAnswerError as error:
                if not executor.has_ended:
                    logger.info("fleet: no answer to hold of {}: {}", executor.incarnation, error)
                if isinstance(error, DisconnectedError):
                    executor.departure.disconnected()
                    self._end_if_departed(executor)
                await self._handle_unanswered_hold(executor, sent_at)
                continue
            except Exception as error:
                # It must not end the leadership: the next leader would call this executor as well.
                logger.exception("fleet: hold of {} failed: {}", executor.incarnation, error)
                self._count_unexpected_error("hold")
                await self._handle_unanswered_hold(executor, sent_at)
                continue
            is_first = not executor.lease.is_known
            outcome = self.dispatch.handle_hold_report(executor, sent_at, report, self.now())
            self._note_answer(executor)
            if outcome.missing:
                self._log_missing(executor, request, sent_at, report, outcome.missing)
            last_seen = uncommitted[-1].seen if uncommitted else executor.seen
            if outcome.seen > last_seen or outcome.missing:
                uncommitted.append(_Acknowledgement(self._request_commit(), outcome.seen))
            if uncommitted:
                with anyio.move_on_after(COMMIT_WAIT_S):
                    await uncommitted[-1].batch.done.wait()
            elif self.dispatch.changes or self.dispatch.orders or self.dispatch.is_planning_due:
                self.wake.set()
            if report.unreadable:
                if report.unreadable != unreadable:
                    logger.warning(
                        "fleet: executor {}: {} rows of its report are unreadable: {}",
                        executor.incarnation,
                        len(report.unreadable),
                        report.unreadable[0].reason,
                    )
                # An end that can't be read isn't acknowledged, so each answer comes at once.
                await anyio.sleep(RETRY_S)
            unreadable = report.unreadable
            wait_s = 0.0 if is_first or not report.has_all_ends else _hold_wait_s(executor)
        await self.ports.executors.forget(executor)

    def _log_missing(
        self,
        executor: Executor,
        request: HoldRequest,
        sent_at: Instant,
        report: HoldReport,
        missing: Sequence[PlacedRun],
    ) -> None:
        """Count and log the runs that count as lost because a report does not list them."""
        self.counters.add(
            CounterKind.RUNS_MISSING,
            Labels(service=executor.heartbeat.service),
            len(missing),
        )
        logger.warning(
            "fleet: executor {}: {} runs count as lost, not listed in the report requested {:.3f} s"
            " ago that acknowledged ends up to {}: {} running, {} ended, {} unreadable",
            executor.incarnation,
            len(missing),
            self.now() - sent_at,
            request.seen,
            len(report.running),
            len(report.finished),
            len(report.unreadable),
        )
        for placed in missing:
            logger.warning(
                "fleet: run {} {} is missing at executor {}, confirmed {:.3f} s ago",
                placed.task.name,
                placed.run,
                executor.incarnation,
                self.now() - (placed.confirmed_at or sent_at),
            )

    async def _handle_unanswered_hold(self, executor: Executor, sent_at: Instant) -> None:
        """Take note of a hold without an answer, and pause before the next one."""
        if not executor.has_ended:
            self._count_unanswered("hold")
            self.dispatch.unanswered(executor, sent_at)
            self.wake.set()
        unresponsive_s = self.now() - (executor.unresponsive_since or sent_at)
        await anyio.sleep(min(max(RETRY_S, unresponsive_s / 4), MAX_RETRY_S))

    async def _await_successor(self, executor: Executor) -> None:
        """End an incarnation after the next one answered.

        The next one may carry out starts that were sent to this one. Its heartbeat, after which its
        runs can be tracked, comes later than its first answer, so this waits for it.
        """
        if not executor.has_ended and not self.dispatch.later_incarnation_answered(
            executor, self.now()
        ):
            logger.info(
                "fleet: executor {}: another incarnation answered; waiting for its report",
                executor.incarnation,
            )
            self.wake.set()
            deadline = self.now() + SUCCESSOR_REPORT_S
            while not executor.has_ended and self.now() < deadline:
                await anyio.sleep(RETRY_S)
        self._end_incarnation(executor, "another incarnation answered")

    def deregister(self, executor: Executor) -> None:
        """Take note that an executor announced its end; it gets no new tasks.

        Its incarnation ends once its runs have certainly ended: see `Departure`.
        """
        logger.info(
            "fleet: executor {} deregistered with {} runs, {}",
            executor.incarnation,
            len(executor.runs),
            executor.heartbeat.state.value,
        )
        executor.departure.announce(self.now())
        self._end_if_departed(executor)

    def _end_if_departed(self, executor: Executor) -> None:
        if executor.departure.has_ended:
            self._end_incarnation(executor, "it deregistered and closed its connection")

    def _note_answer(self, executor: Executor) -> None:
        """Use an executor again that answers although it deregistered, unless it drains."""
        is_draining = executor.heartbeat.state is ExecutorState.DRAINING
        if executor.departure.answered(is_draining, self.now()):
            logger.info(
                "fleet: executor {} deregistered and still answers; it is kept",
                executor.incarnation,
            )
            self.dispatch.is_planning_due = True
