"""Passes callers' requests about queues to the leader of the control processes."""

from collections.abc import Callable, Iterable

import anyio
from loguru import logger
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome, QueueReply
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError, RemoteError
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.queue_messages import AskQueue, NotLeading, QueueAnswer

__all__ = ["QueueGateway"]

# The leader answers within some 30 ms; a commit under load takes a few hundred.
ATTEMPT_TIMEOUT_S = 1.0
# Pause before the control processes are asked again while none of them leads.
ELECTION_PAUSE_S = 0.1
# When a caller may come back if no leader was found: an election takes 1 to 2 s.
NO_LEADER_RETRY_S = 1.0
# The gateway counts as connected for this long after the leader's last answer.
CONNECTED_S = 2.5


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

    @property
    def is_connected(self) -> bool:
        """Return whether a leader answered lately."""
        return self.answered_at is not None and self.clock() - self.answered_at < CONNECTED_S

    async def call(self, call: QueueCall, timeout_s: float) -> QueueReply:
        """Return the leader's reply.

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

    async def probe(self) -> None:
        """Find the leader if it did not answer lately."""
        if not self.is_connected:
            await self.call(QueueCall(QueueMethod.READ, "", ""), ATTEMPT_TIMEOUT_S)

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
