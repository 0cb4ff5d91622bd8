"""Messages on their way to one peer."""

from collections import deque

import anyio
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.replica_messages import PeerMessage

__all__ = ["PeerOutbox"]

# A peer that is further behind gets the messages again; older ones are dropped first.
MAX_WAITING_MESSAGES = 64


class PeerOutbox:
    """Sends messages in order, so that a peer that can't be reached delays nobody else."""

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
