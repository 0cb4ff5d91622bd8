"""Identity of a replica: how an empty data folder founds a consensus group or joins one."""

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
    founders: tuple[Address, ...] | None = None,
) -> Identity:
    """Return the identity in the data folder; an empty folder gets that of a new replica.

    A wiped replica must not form a second group, and cannot detect that it was wiped. If `founders`
    is given, only these form a group, and every other replica waits until a peer belongs to one.

    With None, `peers` must be all other replicas. Then the one with the lowest address forms a
    group, after every peer has answered that it belongs to none. It starts as the only voter; the
    others join it. Peers that are a part of the replicas could all be new ones that wait to join an
    existing group, and they answer the same.
    """
    identity = store.identity()
    if identity is not None:
        return identity
    if founders is not None and address in founders:
        # Every founder writes the same configuration, so the group has all its voters from the
        # first entry. A founder that is wiped later is started with no founders and joins.
        members = tuple(Member(ReplicaId(founder), founder) for founder in sorted(founders))
        identity = Identity(ReplicaId(address), Configuration(members))
        store.initialise(identity)
        logger.info("agreement: {} founds a group with {} members", address, len(members))
        return identity
    # The random suffix makes a wiped replica a new member.
    replica = ReplicaId(f"{name}.{rng.getrandbits(64):016x}")
    may_form_group = founders is None and all(address < peer for peer in peers)
    configuration = Configuration()
    logger.info(
        "agreement: {} has an empty data folder, asks {} and {}",
        replica,
        ", ".join(peers) or "nobody",
        "may form a group" if may_form_group else "joins a group",
    )
    while True:
        answers = await _ask_peers(pool, peers)
        if True in answers:
            break
        if may_form_group and len(answers) == len(peers):
            configuration = Configuration((Member(replica, address),))
            break
        await anyio.sleep(ASK_INTERVAL_S)
    identity = Identity(replica, configuration)
    store.initialise(identity)
    logger.info(
        "agreement: {} {}",
        replica,
        "forms a new group" if configuration.voters else "joins an existing group",
    )
    return identity


async def _ask_peers(pool: PeerPool, peers: tuple[Address, ...]) -> list[bool]:
    """Return the answers of the peers: whether each belongs to a group.

    The peers are asked at the same time, and the first member ends the wait, so that lost ones
    don't delay a joining replica.
    """
    answers: list[bool] = []
    if not peers:
        return answers
    asked = 0
    is_decided = anyio.Event()

    async def ask(peer: Address) -> None:
        nonlocal asked
        try:
            reply = await pool.call(peer, AskMembership(), ASK_TIMEOUT_S)
            if isinstance(reply, MembershipReply):
                answers.append(reply.is_member)
        except PEER_ERRORS:
            pass
        asked += 1
        if asked == len(peers) or True in answers:
            is_decided.set()

    async with anyio.create_task_group() as group:
        for peer in peers:
            group.start_soon(ask, peer)
        await is_decided.wait()
        group.cancel_scope.cancel()
    return answers
