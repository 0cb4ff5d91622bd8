"""Passes callers' requests about queues to the leader of the control processes."""

import math
from collections.abc import Callable, Iterable

import anyio
from loguru import logger
from marigolddoor_core.ids import ServiceId
from marigolddoor_core.line_budget import LineBudget
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome, QueueReply
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.routing.leader_search import LeaderSearch
from marigolddoor_core.routing.refused_keys import RefusedKeys
from marigolddoor_wire.clocks import boot_time
from marigolddoor_wire.errors import (
    PeerRefusedError,
    PeerTimeoutError,
    PeerUnreachableError,
    RemoteError,
)
from marigolddoor_wire.messages import ErrorKind
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.queue_messages import AskQueue, NotLeading, QueueAnswer

from marigolddoor_entry.metrics import Metrics

__all__ = ["QueueGateway"]

# The leader answers within about 30 ms; under load a commit takes a few hundred milliseconds.
ATTEMPT_TIMEOUT_S = 1.0
# The process was frozen if an answer is older than this: an attempt ends after 1 s. The leader has
# decided before, and a key that it accepted then may have been withdrawn. A withdrawn key may work
# for 5 s after the acknowledgement.
MAX_ANSWER_AGE_S = 2.0
# A probe needs no commit. TCP retransmits a lost packet after 0.2 s.
PROBE_TIMEOUT_S = 0.4
# The leader is probed if it has not answered for this long.
PROBE_INTERVAL_S = 0.5
# Delay between searches while no control process is the leader.
ELECTION_RETRY_S = 0.1
# Sent as Retry-After if no leader was found: an election takes 1 to 2 s.
NO_LEADER_RETRY_S = 1.0
PROBE = AskQueue(QueueCall(QueueMethod.READ, "", ""))
# The outcome that tells the caller whether the request ran.
OUTCOMES = {
    QueueOutcome.ANSWERED: Outcome.ANSWERED,
    QueueOutcome.NO_QUEUE: Outcome.ANSWERED,
    QueueOutcome.NO_JOB: Outcome.ANSWERED,
    QueueOutcome.INVALID: Outcome.NOT_RUN,
    QueueOutcome.REFUSED: Outcome.NOT_RUN,
    QueueOutcome.UNAVAILABLE: Outcome.NOT_RUN,
    QueueOutcome.UNKNOWN: Outcome.UNKNOWN,
    QueueOutcome.UNAUTHORIZED: Outcome.NOT_RUN,
}

# With these a leader has not accepted a submission. That holds for one attempt, not for others that
# were sent before it.
NOT_ACCEPTED = (
    QueueOutcome.NO_QUEUE,
    QueueOutcome.INVALID,
    QueueOutcome.REFUSED,
    QueueOutcome.UNAUTHORIZED,
)


class QueueGateway:
    """Sends calls to the leader and retries them until the caller's deadline.

    `probe` has to be called periodically: it finds the leader, and detects that this process is
    partitioned. Then calls end at once, since another entry process may still serve the caller.
    """

    def __init__(
        self,
        control: Iterable[Address],
        pool: PeerPool,
        clock: Callable[[], float] = anyio.current_time,
        boot_clock: Callable[[], float] = boot_time,
    ) -> None:
        self.search = LeaderSearch(control, clock())
        self.pool = pool
        self.clock = clock
        # Measures the age of answers, also while the VM is suspended.
        self.boot_clock = boot_clock
        self.metrics = Metrics()
        self.refused_keys = RefusedKeys()
        self.refusal_lines = LineBudget()
        # Calls that wait for an answer, by the address that they were sent to.
        self.attempts: dict[str, set[anyio.CancelScope]] = {}
        # Set when a leader was found, or this process was partitioned.
        self.changed = anyio.Event()
        # Set when contact with the leader was lost.
        self.leader_lost = anyio.Event()
        # No call lasts longer than until this time.
        self.ends_at = math.inf

    @property
    def is_connected(self) -> bool:
        """Return whether a leader answered recently."""
        return self.search.is_connected(self.clock())

    async def call(self, call: QueueCall, timeout_s: float) -> QueueReply:
        """Return the leader's reply and record how long it took.

        A call that is not answered is logged with the job's path, the time spent and the leader.
        """
        started_at = self.clock()
        reply = await self._call(call, timeout_s)
        took_s = self.clock() - started_at
        self.metrics.observe(ServiceId(call.method.value), OUTCOMES[reply.outcome], took_s)
        if OUTCOMES[reply.outcome] is not Outcome.ANSWERED and self._may_log(reply.outcome):
            answered_at = self.search.answered_at
            logger.info(
                "entry: {} {}{}: {} after {:.0f} ms of {:.0f}, leader {}, last answer {:.1f} s ago",
                call.method.value,
                call.host,
                call.path,
                reply.outcome.value,
                took_s * 1000,
                timeout_s * 1000,
                "unreachable" if self.search.is_partitioned else self.search.leader,
                -1.0 if answered_at is None else self.clock() - answered_at,
            )
        return reply

    def _may_log(self, outcome: QueueOutcome) -> bool:
        """Return whether a line on this outcome may be written; refusals by key are bounded."""
        is_by_key = outcome is QueueOutcome.UNAUTHORIZED
        return not is_by_key or self.refusal_lines.admits(self.clock())

    async def _call(self, call: QueueCall, timeout_s: float) -> QueueReply:
        """Retry until the caller's deadline passes or this process is partitioned.

        A submission may be sent again, since a job is accepted once. If an attempt may have reached
        a leader, the outcome is `UNKNOWN`, else `UNAVAILABLE`, after which nothing runs. Nor does
        the rejection of a later attempt tell that the first one was not accepted: the queue may
        have been removed between the two.
        """
        if self.refused_keys.holds(call, self.boot_clock()):
            return QueueReply(QueueOutcome.UNAUTHORIZED)
        deadline = self.clock() + timeout_s
        may_have_arrived = False
        while not self.search.is_partitioned:
            ends_at = min(deadline, self.ends_at)
            remaining_s = ends_at - self.clock()
            if remaining_s <= 0:
                break
            address = self.search.leader
            if address is None:
                changed = self.changed
                with anyio.move_on_after(remaining_s):
                    await changed.wait()
                continue
            sent_at = self.boot_clock()
            try:
                answer = await self._ask(address, call, min(ATTEMPT_TIMEOUT_S, remaining_s))
            except (PeerUnreachableError, PeerTimeoutError, RemoteError) as error:
                may_have_arrived |= not isinstance(error, PeerUnreachableError)
                # A caller may wait for less time than a responsive leader takes.
                if self.clock() < ends_at:
                    self._record_no_answer(address, error)
                continue
            if answer is None or self.boot_clock() - sent_at > MAX_ANSWER_AGE_S:
                may_have_arrived = True
                continue
            self._apply_answer(address, answer)
            if isinstance(answer, QueueAnswer):
                outcome = answer.reply.outcome
                if outcome is QueueOutcome.UNAUTHORIZED and answer.reply.retry_after_s:
                    self.refused_keys.add(call, sent_at + answer.reply.retry_after_s)
                if outcome is QueueOutcome.UNKNOWN:
                    may_have_arrived = True
                elif not may_have_arrived:
                    return answer.reply
                elif outcome in NOT_ACCEPTED and _may_have_changed(call.method, outcome):
                    logger.info(
                        "entry: {} {}{}: {}, but an earlier attempt may have been accepted",
                        call.method.value,
                        call.host,
                        call.path,
                        outcome.value,
                    )
                    # The caller's next request gets an answer of its own.
                    break
                elif outcome is not QueueOutcome.UNAVAILABLE:
                    return answer.reply
                await anyio.sleep(min(ELECTION_RETRY_S, remaining_s))
        if may_have_arrived and call.method is not QueueMethod.READ:
            return QueueReply(QueueOutcome.UNKNOWN)
        return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=NO_LEADER_RETRY_S)

    async def _ask(
        self, address: str, call: QueueCall, timeout_s: float
    ) -> QueueAnswer | NotLeading | None:
        """Return the answer; None if the address was found to be unresponsive meanwhile."""
        with anyio.CancelScope() as scope:
            self.attempts.setdefault(address, set()).add(scope)
            try:
                return await self._send(address, AskQueue(call), timeout_s)
            finally:
                self.attempts.get(address, set()).discard(scope)
        return None

    async def _send(
        self, address: str, message: AskQueue, timeout_s: float
    ) -> QueueAnswer | NotLeading:
        answer = await self.pool.call(Address(address), message, timeout_s)
        if not isinstance(answer, QueueAnswer | NotLeading):
            # Another service may have been started at the address.
            raise RemoteError(ErrorKind.INTERNAL, f"{address}: {type(answer).__name__}")
        return answer

    async def probe(self) -> None:
        """Find the leader if it has not answered recently."""
        leader, answered_at = self.search.leader, self.search.answered_at
        if leader is not None:
            is_recent = answered_at is not None and self.clock() - answered_at < PROBE_INTERVAL_S
            if is_recent or await self._probe(leader):
                return
        responses: list[bool] = []

        async def probe(address: str) -> None:
            responses.append(await self._probe(address))

        async with anyio.create_task_group() as group:
            for address in self.search.known:
                group.start_soon(probe, address)
        if self.search.leader is not None:
            return
        was_partitioned = self.search.is_partitioned
        responsive = sum(responses)
        self.search.record_failed_search(responsive, len(responses) - responsive, self.clock())
        if self.search.is_partitioned and not was_partitioned:
            logger.warning(
                "entry: partitioned, {} of {} control processes respond", responsive, len(responses)
            )
            for address in list(self.attempts):
                self._cancel_attempts(address)
            self._notify()

    async def wait_for_probe(self) -> None:
        """Wait until the next probe is due: at once after contact with the leader is lost."""
        if self.search.leader is None:
            await anyio.sleep(ELECTION_RETRY_S)
            return
        self.leader_lost = anyio.Event()
        with anyio.move_on_after(PROBE_INTERVAL_S):
            await self.leader_lost.wait()

    async def _probe(self, address: str) -> bool:
        """Return whether a control process responds, even if only by refusing the connection."""
        try:
            answer = await self._send(address, PROBE, PROBE_TIMEOUT_S)
        except PeerRefusedError as error:
            self._record_no_answer(address, error)
            return True
        except (PeerUnreachableError, PeerTimeoutError, RemoteError) as error:
            self._record_no_answer(address, error)
            return False
        self._apply_answer(address, answer)
        return True

    def end_calls_by(self, time: float) -> None:
        """Answer open and later calls by `time`, even if their callers would wait longer."""
        self.ends_at = time
        self._notify()

    def replace_control(self, control: Iterable[Address]) -> None:
        """Replace the configured control processes after the settings changed."""
        self.search.replace_control(control)

    def _apply_answer(self, address: str, answer: QueueAnswer | NotLeading) -> None:
        previous = self.search.leader
        if isinstance(answer, QueueAnswer):
            self.search.record_answer(address, answer.members, self.clock())
        else:
            self.search.record_redirect(address, answer.leader, answer.members, self.clock())
        if self.search.leader != previous:
            logger.info("entry: the leader is {}, reported by {}", self.search.leader, address)
            if previous is not None:
                self._cancel_attempts(previous)
            self._notify()

    def _record_no_answer(self, address: str, error: Exception) -> None:
        if self.search.record_no_answer(address, self.clock()):
            logger.info("entry: lost contact with leader {}: {}", address, error)
            self.leader_lost.set()
            self._cancel_attempts(address)

    def _cancel_attempts(self, address: str) -> None:
        """Cancel the attempts at an address, so that their calls retry at another one."""
        for scope in self.attempts.pop(address, set()):
            scope.cancel()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


def _may_have_changed(method: QueueMethod, refusal: QueueOutcome) -> bool:
    """Return whether an earlier attempt may have changed something although this one was refused.

    A job that was cancelled stays known, so only a withdrawn key hides its cancellation.
    """
    if method is QueueMethod.CANCEL:
        return refusal is QueueOutcome.UNAUTHORIZED
    return method is QueueMethod.SUBMIT
