"""Queue of outgoing messages to one peer."""

from collections import deque

import anyio
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.replica_messages import PeerMessage

__all__ = ["PeerOutbox"]

# When the queue is full, the oldest messages are dropped; the protocol sends them again.
MAX_WAITING_MESSAGES = 64


class PeerOutbox:
    """Sends messages in order; with one outbox per peer, an unreachable peer delays no other."""

    def __init__(self, pool: PeerPool, address: Address) -> None:
        self.pool = pool
        self.address = address
        self.waiting: deque[PeerMessage] = deque(maxlen=MAX_WAITING_MESSAGES)
        self.wake = anyio.Event()

    def put(self, message: PeerMessage) -> None:
        """Queue a message."""
        self.waiting.append(message)
        self.wake.set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = anyio.Event()
            while self.waiting:
                await self.pool.post(self.address, self.waiting.popleft())
