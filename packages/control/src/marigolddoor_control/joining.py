"""How a replica with an empty data folder gets into a group."""

import random

import anyio
from loguru import logger
from marigolddoor_core.consensus import Configuration, Member
from marigolddoor_core.consensus.stored import Identity
from marigolddoor_core.ids import ReplicaId
from marigolddoor_storage import ReplicaStore
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError, RemoteError
from marigolddoor_wire.peers import Address, PeerPool
from marigolddoor_wire.replica_messages import AskMembership, MembershipReply

__all__ = ["PEER_ERRORS", "establish_identity"]

ASK_TIMEOUT_S = 1.0
ASK_INTERVAL_S = 0.3
PEER_ERRORS = (PeerUnreachableError, PeerTimeoutError, RemoteError)


async def establish_identity(
    store: ReplicaStore,
    name: str,
    address: Address,
    peers: tuple[Address, ...],
    pool: PeerPool,
    rng: random.Random,
    founders: tuple[Address, ...] = (),
) -> Identity:
    """Return whose data folder this is; an empty folder becomes that of a new replica.

    A wiped replica must not form a second group, and cannot know that it was wiped. So a group is
    formed by the process with the lowest address only, after every other one has answered that it
    knows of no group. It begins as the only voter; the others join it.
    """
    identity = store.identity()
    if identity is not None:
        return identity
    if address in founders:
        # Every founder writes the same configuration, so the group has all its voters from the
        # first entry on. A founder that is wiped later starts without `founders` and joins.
        members = tuple(Member(ReplicaId(founder), founder) for founder in sorted(founders))
        identity = Identity(ReplicaId(address), Configuration(members))
        store.initialise(identity)
        logger.info("agreement: {} founds a group of {}", address, len(members))
        return identity
    # The incarnation makes a wiped replica another member.
    replica = ReplicaId(f"{name}.{rng.getrandbits(64):016x}")
    own_group = Configuration((Member(replica, address),))
    configuration = own_group if not peers else Configuration()
    while peers:
        answers = [await _is_member(pool, peer) for peer in peers]
        if True in answers:
            break
        if None not in answers and address < min(peers):
            configuration = own_group
            break
        await anyio.sleep(ASK_INTERVAL_S)
    identity = Identity(replica, configuration)
    store.initialise(identity)
    logger.info(
        "agreement: {} {}", replica, "forms a group" if configuration.voters else "joins a group"
    )
    return identity


async def _is_member(pool: PeerPool, peer: Address) -> bool | None:
    """Return whether the process at `peer` belongs to a group; None if it did not answer."""
    try:
        reply = await pool.call(peer, AskMembership(), ASK_TIMEOUT_S)
    except PEER_ERRORS:
        return None
    return reply.is_member if isinstance(reply, MembershipReply) else None
