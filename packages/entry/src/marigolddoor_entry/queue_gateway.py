"""Passes callers' requests about queues to the leader of the control processes."""

from collections.abc import Callable, Iterable

import anyio
from loguru import logger
from marigolddoor_core.ids import ServiceId
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome, QueueReply
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.routing.leader_search import LeaderSearch
from marigolddoor_wire.errors import (
    PeerRefusedError,
    PeerTimeoutError,
    PeerUnreachableError,
    RemoteError,
)
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.queue_messages import AskQueue, NotLeading, QueueAnswer

from marigolddoor_entry.metrics import Metrics

__all__ = ["QueueGateway"]

# The leader answers within some 30 ms; a commit under load takes a few hundred.
ATTEMPT_TIMEOUT_S = 1.0
# A probe needs no commit. A packet that is lost comes again after 0.2 s.
PROBE_TIMEOUT_S = 0.4
# The leader is probed if it did not answer for this long.
PROBE_INTERVAL_S = 0.5
# Pause before the control processes are asked again while none of them leads.
ELECTION_PAUSE_S = 0.1
# When a caller may come back if no leader was found: an election takes 1 to 2 s.
NO_LEADER_RETRY_S = 1.0
PROBE = AskQueue(QueueCall(QueueMethod.READ, "", ""))
# What callers are told about whether their request ran.
OUTCOMES = {
    QueueOutcome.ANSWERED: Outcome.ANSWERED,
    QueueOutcome.NO_QUEUE: Outcome.ANSWERED,
    QueueOutcome.NO_JOB: Outcome.ANSWERED,
    QueueOutcome.INVALID: Outcome.NOT_RUN,
    QueueOutcome.REFUSED: Outcome.NOT_RUN,
    QueueOutcome.UNAVAILABLE: Outcome.NOT_RUN,
    QueueOutcome.UNKNOWN: Outcome.UNKNOWN,
}


class QueueGateway:
    """Asks the leader, again if needed, until the caller's time is over.

    `probe` has to be called again and again: it finds the leader, and it finds out when this
    process is cut off. Then calls end at once, since another one may still serve the caller.
    """

    def __init__(
        self,
        control: Iterable[Address],
        pool: PeerPool,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.search = LeaderSearch(control, clock())
        self.pool = pool
        self.clock = clock
        self.metrics = Metrics()
        # Calls that wait for an answer, by the address that was asked.
        self.attempts: dict[str, set[anyio.CancelScope]] = {}
        # Set when a leader was found, or this process was cut off.
        self.changed = anyio.Event()
        # Set when the leader was lost.
        self.leader_lost = anyio.Event()

    @property
    def is_connected(self) -> bool:
        """Return whether a leader answered lately."""
        return self.search.is_connected(self.clock())

    async def call(self, call: QueueCall, timeout_s: float) -> QueueReply:
        """Return the leader's reply and record how long it took.

        What is not answered well is logged with the job's path, the time spent and the leader.
        """
        began = self.clock()
        reply = await self._call(call, timeout_s)
        took_s = self.clock() - began
        self.metrics.observe(ServiceId(call.method.value), OUTCOMES[reply.outcome], took_s)
        if OUTCOMES[reply.outcome] is not Outcome.ANSWERED:
            answered_at = self.search.answered_at
            logger.info(
                "entry: {} {}{}: {} after {:.0f} ms of {:.0f}, leader {}, last answer {:.1f} s ago",
                call.method.value,
                call.host,
                call.path,
                reply.outcome.value,
                took_s * 1000,
                timeout_s * 1000,
                "out of reach" if self.search.is_partitioned else self.search.leader,
                -1.0 if answered_at is None else self.clock() - answered_at,
            )
        return reply

    async def _call(self, call: QueueCall, timeout_s: float) -> QueueReply:
        """Ask until the caller's time is over or this process is cut off.

        A submission may be repeated, since a job is accepted once. If a try may have reached a
        leader, the outcome is `UNKNOWN`, else `UNAVAILABLE`, after which nothing runs.
        """
        deadline = self.clock() + timeout_s
        may_have_arrived = False
        while not self.search.is_partitioned:
            remaining_s = deadline - self.clock()
            if remaining_s <= 0:
                break
            address = self.search.leader
            if address is None:
                changed = self.changed
                with anyio.move_on_after(remaining_s):
                    await changed.wait()
                continue
            try:
                answer = await self._ask(address, call, min(ATTEMPT_TIMEOUT_S, remaining_s))
            except PeerUnreachableError as error:
                self._lost(address, error)
                continue
            except (PeerTimeoutError, RemoteError) as error:
                self._lost(address, error)
                may_have_arrived = True
                continue
            if answer is None:
                may_have_arrived = True
                continue
            self._take(address, answer)
            if isinstance(answer, QueueAnswer):
                if answer.reply.outcome is QueueOutcome.UNKNOWN:
                    may_have_arrived = True
                elif not (may_have_arrived and answer.reply.outcome is QueueOutcome.UNAVAILABLE):
                    return answer.reply
                await anyio.sleep(min(ELECTION_PAUSE_S, remaining_s))
        if may_have_arrived and call.method is not QueueMethod.READ:
            return QueueReply(QueueOutcome.UNKNOWN)
        return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=NO_LEADER_RETRY_S)

    async def _ask(
        self, address: str, call: QueueCall, timeout_s: float
    ) -> QueueAnswer | NotLeading | None:
        """Return the answer; None if the address was found to be silent meanwhile."""
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
        assert isinstance(answer, QueueAnswer | NotLeading)
        return answer

    async def probe(self) -> None:
        """Find the leader if it did not answer lately."""
        leader, answered_at = self.search.leader, self.search.answered_at
        if leader is not None:
            is_recent = answered_at is not None and self.clock() - answered_at < PROBE_INTERVAL_S
            if is_recent or await self._probe(leader):
                return
        reactions: list[bool] = []

        async def probe(address: str) -> None:
            reactions.append(await self._probe(address))

        async with anyio.create_task_group() as group:
            for address in self.search.known:
                group.start_soon(probe, address)
        if self.search.leader is not None:
            return
        was_partitioned = self.search.is_partitioned
        responsive = sum(reactions)
        self.search.record_failed_search(responsive, len(reactions) - responsive, self.clock())
        if self.search.is_partitioned and not was_partitioned:
            logger.warning(
                "entry: cut off, {} of {} control processes react", responsive, len(reactions)
            )
            for address in list(self.attempts):
                self._abandon(address)
            self._notify()

    async def wait_for_probe(self) -> None:
        """Wait until the next probe is due, which is at once when the leader is lost."""
        if self.search.leader is None:
            await anyio.sleep(ELECTION_PAUSE_S)
            return
        self.leader_lost = anyio.Event()
        with anyio.move_on_after(PROBE_INTERVAL_S):
            await self.leader_lost.wait()

    async def _probe(self, address: str) -> bool:
        """Return whether a control process reacts, if only by refusing the connection."""
        try:
            answer = await self._send(address, PROBE, PROBE_TIMEOUT_S)
        except PeerRefusedError as error:
            self._lost(address, error)
            return True
        except (PeerUnreachableError, PeerTimeoutError, RemoteError) as error:
            self._lost(address, error)
            return False
        self._take(address, answer)
        return True

    def replace_control(self, control: Iterable[Address]) -> None:
        """Use other control processes to begin with, after the settings changed."""
        self.search.replace_control(control)

    def _take(self, address: str, answer: QueueAnswer | NotLeading) -> None:
        former = self.search.leader
        if isinstance(answer, QueueAnswer):
            self.search.record_answer(address, answer.members, self.clock())
        else:
            self.search.record_redirect(address, answer.leader, answer.members, self.clock())
        if self.search.leader != former:
            logger.info("entry: the leader is {}, as {} says", self.search.leader, address)
            if former is not None:
                self._abandon(former)
            self._notify()

    def _lost(self, address: str, error: Exception) -> None:
        if self.search.record_no_answer(address, self.clock()):
            logger.info("entry: the leader {} is lost: {}", address, error)
            self.leader_lost.set()
            self._abandon(address)

    def _abandon(self, address: str) -> None:
        """Let calls that wait for an address ask elsewhere."""
        for scope in self.attempts.pop(address, set()):
            scope.cancel()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
