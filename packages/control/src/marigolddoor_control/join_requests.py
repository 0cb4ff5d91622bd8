"""Requests of a replica to join the group, while it is not a member or may have been removed."""

from collections.abc import Awaitable, Callable

import anyio
from marigolddoor_core.consensus import Member, Replica
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.replica_messages import Join

__all__ = ["JoinRequests"]

# Interval at which a replica outside the group asks its peers to add it.
JOIN_INTERVAL_S = 0.5
# Without contact from a leader for this time, a replica may have been removed and asks to rejoin.
# It exceeds the time of an election, and the group has its spare again before the next failure.
REJOIN_AFTER_S = 2.0


class JoinRequests:
    """Asks the peers to add the replica of this process.

    `wait_role` waits until the role of the replica changes, at most for the given time in seconds.
    """

    def __init__(
        self,
        member: Member,
        peers: tuple[Address, ...],
        replica: Replica,
        pool: PeerPool,
        clock: Callable[[], float],
        wait_role: Callable[[float], Awaitable[None]],
    ) -> None:
        self.member = member
        self.peers = peers
        self.replica = replica
        self.pool = pool
        self.clock = clock
        self.wait_role = wait_role

    async def run(self) -> None:
        """Ask the peers while the replica has no leader, until cancelled."""
        while self.peers:
            if self.should_join():
                async with anyio.create_task_group() as group:
                    # A lost peer must not delay the message to the others.
                    for peer in self.peers:
                        group.start_soon(self.pool.post, peer, Join(self.member))
                await anyio.sleep(JOIN_INTERVAL_S)
            else:
                silent_s = self.clock() - self.replica.leader_contact
                await self.wait_role(max(JOIN_INTERVAL_S, REJOIN_AFTER_S - silent_s))

    def should_join(self) -> bool:
        """Return whether this replica is not in the group, or may have been removed from it."""
        replica = self.replica
        if replica.is_leader:
            return False
        if self.clock() - replica.leader_contact > REJOIN_AFTER_S:
            return True
        return replica.leader is None and not replica.is_voter
