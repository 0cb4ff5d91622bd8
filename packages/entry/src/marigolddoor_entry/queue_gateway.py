"""Passes callers' requests about queues to the leader of the control processes."""

from collections.abc import Callable, Iterable

import anyio
from loguru import logger
from marigolddoor_core.ids import ServiceId
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome, QueueReply
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError, RemoteError
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.queue_messages import AskQueue, NotLeading, QueueAnswer

from marigolddoor_entry.metrics import Metrics

__all__ = ["QueueGateway"]

# The leader answers within some 30 ms; a commit under load takes a few hundred.
ATTEMPT_TIMEOUT_S = 1.0
# Pause before the control processes are asked again while none of them leads.
ELECTION_PAUSE_S = 0.1
# When a caller may come back if no leader was found: an election takes 1 to 2 s.
NO_LEADER_RETRY_S = 1.0
# The gateway counts as connected for this long after the leader's last answer.
CONNECTED_S = 2.5
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
    """Finds the leader and asks it, again if needed, until the caller's time is over.

    `control` are the peer addresses of control processes to begin with; the members of the group
    are learned from answers, so these may be out of date.
    """

    def __init__(
        self,
        control: Iterable[Address],
        pool: PeerPool,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.control = tuple(control)
        self.known = list(self.control)
        self.pool = pool
        self.clock = clock
        self.leader: Address | None = None
        self.next_index = 0
        self.answered_at: float | None = None
        self.metrics = Metrics()

    @property
    def is_connected(self) -> bool:
        """Return whether a leader answered lately."""
        return self.answered_at is not None and self.clock() - self.answered_at < CONNECTED_S

    async def call(self, call: QueueCall, timeout_s: float) -> QueueReply:
        """Return the leader's reply and record how long it took.

        What is not answered well is logged with the job's path, the time spent and the leader.
        """
        began = self.clock()
        reply = await self._call(call, timeout_s)
        took_s = self.clock() - began
        self.metrics.observe(ServiceId(call.method.value), OUTCOMES[reply.outcome], took_s)
        if OUTCOMES[reply.outcome] is not Outcome.ANSWERED:
            logger.info(
                "entry: {} {}{}: {} after {:.0f} ms of {:.0f}, leader {}, last answer {:.1f} s ago",
                call.method.value,
                call.host,
                call.path,
                reply.outcome.value,
                took_s * 1000,
                timeout_s * 1000,
                self.leader,
                -1.0 if self.answered_at is None else self.clock() - self.answered_at,
            )
        return reply

    async def _call(self, call: QueueCall, timeout_s: float) -> QueueReply:
        """Ask until the caller's time is over.

        A submission may be repeated, since a job is accepted once. If the last try may have reached
        a leader, the outcome is `UNKNOWN`, else `UNAVAILABLE`, after which nothing runs.
        """
        deadline = self.clock() + timeout_s
        may_have_arrived = False
        while True:
            remaining_s = deadline - self.clock()
            if remaining_s <= 0:
                break
            address = self.leader or self._next_known()
            try:
                answer = await self.pool.call(
                    address, AskQueue(call), min(ATTEMPT_TIMEOUT_S, remaining_s)
                )
            except PeerUnreachableError as error:
                self._lost(address, error)
                await anyio.sleep(min(ELECTION_PAUSE_S, remaining_s))
            except (PeerTimeoutError, RemoteError) as error:
                self._lost(address, error)
                may_have_arrived = True
            else:
                if isinstance(answer, QueueAnswer):
                    self._found(address, answer.members)
                    if answer.reply.outcome is QueueOutcome.UNKNOWN:
                        may_have_arrived = True
                    elif not (
                        may_have_arrived and answer.reply.outcome is QueueOutcome.UNAVAILABLE
                    ):
                        return answer.reply
                    await anyio.sleep(min(ELECTION_PAUSE_S, remaining_s))
                elif isinstance(answer, NotLeading) and not self._redirected(address, answer):
                    await anyio.sleep(min(ELECTION_PAUSE_S, remaining_s))
        if may_have_arrived and call.method is not QueueMethod.READ:
            return QueueReply(QueueOutcome.UNKNOWN)
        return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=NO_LEADER_RETRY_S)

    def replace_control(self, control: Iterable[Address]) -> None:
        """Use other control processes to begin with, after the settings changed."""
        self.control = tuple(control)
        self._learn(self.known)

    async def probe(self) -> None:
        """Find the leader if it did not answer lately."""
        if not self.is_connected:
            await self._call(QueueCall(QueueMethod.READ, "", ""), ATTEMPT_TIMEOUT_S)

    def _next_known(self) -> Address:
        self.next_index += 1
        return self.known[self.next_index % len(self.known)]

    def _found(self, address: Address, members: Iterable[str]) -> None:
        if self.leader != address:
            logger.info("entry: the leader is {}", address)
        self.leader = address
        self.answered_at = self.clock()
        self._learn(members)

    def _learn(self, members: Iterable[str]) -> None:
        known = dict.fromkeys(Address(member) for member in members)
        if known:
            # The addresses of the settings stay, for the case that all known members were replaced.
            self.known = list(known | dict.fromkeys(self.control))

    def _lost(self, address: Address, error: Exception) -> None:
        if self.leader == address:
            logger.info("entry: the leader {} is lost: {}", address, error)
            self.leader = None

    def _redirected(self, address: Address, answer: NotLeading) -> bool:
        """Follow a control process to the leader that it names; return whether it names one."""
        self._learn(answer.members)
        leader = Address(answer.leader)
        if not leader or leader == address:
            self.leader = None
            return False
        self.leader = leader
        return True
