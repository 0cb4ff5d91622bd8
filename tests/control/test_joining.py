"""Guards against a wiped replica that forms a second group beside its previous one."""

import random
from typing import Any

import anyio
import testtools
from marigolddoor_control import joining
from marigolddoor_control.consensus_service import ConsensusService, ReplicaSettings
from marigolddoor_core.consensus import Configuration
from marigolddoor_core.consensus.stored import Identity
from marigolddoor_core.ids import ReplicaId
from marigolddoor_storage import ReplicaStore
from marigolddoor_wire.errors import PeerUnreachableError, RemoteError
from marigolddoor_wire.messages import ErrorKind
from marigolddoor_wire.peers import Address
from marigolddoor_wire.replica_messages import AskMembership, MembershipReply

from tests.control.groups import KeyList
from tests.storage.folders import temporary_folder

OWN = Address("127.0.0.1:5")
LOWER, HIGHER, HIGHEST = Address("127.0.0.1:4"), Address("127.0.0.1:6"), Address("127.0.0.1:7")
FRESH, MEMBER = MembershipReply(False), MembershipReply(True)
UNREACHABLE = PeerUnreachableError("unreachable")
STARTING = RemoteError(ErrorKind.NO_QUORUM, "the replica is starting")


class ScriptedPool:
    """Answers each call to a peer with the next of its replies; the last one is repeated."""

    def __init__(self, answers: dict[Address, list[Any]]) -> None:
        self.answers = {address: list(replies) for address, replies in answers.items()}
        self.asked = 0

    async def call(self, address: Address, message: Any, timeout_s: float) -> Any:
        self.asked += 1
        replies = self.answers[address]
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if isinstance(reply, Exception):
            raise reply
        return reply


class EstablishTest(testtools.TestCase):
    """An empty folder forms a group or joins one after the expected number of polling rounds.

    Peers that wait to join a group answer like peers of a system that starts for the first time. A
    new machine whose seeds were such peers formed a second group. Given the founders of the group,
    possibly none, no other replica forms one.
    """

    founders: tuple[Address, ...] | None = None
    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("alone", {"answers": {}, "forms": True, "rounds": 0}),
        (
            "lowest address",
            {"answers": {HIGHER: [FRESH], HIGHEST: [FRESH]}, "forms": True, "rounds": 1},
        ),
        (
            "wiped lowest address",
            {"answers": {HIGHER: [MEMBER], HIGHEST: [FRESH]}, "forms": False, "rounds": 1},
        ),
        (
            "one unreachable, then a member",
            {
                "answers": {HIGHER: [FRESH], HIGHEST: [UNREACHABLE, MEMBER]},
                "forms": False,
                "rounds": 2,
            },
        ),
        (
            "one starting, then a member",
            {
                "answers": {HIGHER: [FRESH], HIGHEST: [STARTING, STARTING, MEMBER]},
                "forms": False,
                "rounds": 3,
            },
        ),
        (
            "one unreachable, then fresh",
            {
                "answers": {HIGHER: [FRESH], HIGHEST: [UNREACHABLE, FRESH]},
                "forms": True,
                "rounds": 2,
            },
        ),
        (
            "not the lowest address",
            {
                "answers": {LOWER: [FRESH, FRESH, MEMBER], HIGHER: [FRESH]},
                "forms": False,
                "rounds": 3,
            },
        ),
        (
            "lowest address, the peers wait to join as well",
            {
                "answers": {HIGHER: [FRESH, FRESH, MEMBER], HIGHEST: [FRESH]},
                "founders": (),
                "forms": False,
                "rounds": 3,
            },
        ),
        (
            "lowest address, founders that haven't begun",
            {
                "answers": {HIGHER: [FRESH, MEMBER], HIGHEST: [FRESH]},
                "founders": (HIGHER, HIGHEST),
                "forms": False,
                "rounds": 2,
            },
        ),
        (
            "a founder",
            {"answers": {HIGHER: [FRESH]}, "founders": (OWN, HIGHER), "forms": True, "rounds": 0},
        ),
    ]

    def test_identity(self) -> None:
        self.patch(joining, "ASK_INTERVAL_S", 0.0)
        store = ReplicaStore(temporary_folder(self))
        self.addCleanup(store.close)
        pool: Any = ScriptedPool(self.answers)
        peers = tuple(self.answers)
        identity = anyio.run(
            joining.establish_identity,
            store,
            "r",
            OWN,
            peers,
            pool,
            random.Random(1),
            self.founders,
        )
        self.assertEqual(self.forms, bool(identity.configuration.voters))
        self.assertEqual(self.rounds * len(peers), pool.asked)
        self.assertEqual(identity, store.identity())


class AnswerTest(testtools.TestCase):
    """A process that has not opened its folder refuses to answer, unless the folder is empty."""

    scenarios = [
        ("empty folder", {"known": False, "expected": FRESH}),
        ("starting", {"known": True, "expected": ErrorKind.NO_QUORUM}),
    ]

    def test_answer(self) -> None:
        anyio.run(self.answer)

    async def answer(self) -> None:
        store = ReplicaStore(temporary_folder(self))
        self.addCleanup(store.close)
        if self.known:
            store.initialise(Identity(ReplicaId("r.1"), Configuration()))
        pool: Any = ScriptedPool({})
        settings = ReplicaSettings("r", OWN)
        consensus = ConsensusService(settings, store, KeyList(), pool, random.Random(1))
        try:
            found: Any = await consensus.handle(AskMembership())
        except RemoteError as error:
            found = error.kind
        self.assertEqual(self.expected, found)


class StopTest(testtools.TestCase):
    """A process that is waiting for its peers can be stopped."""

    def test_stop(self) -> None:
        anyio.run(self.stop)

    async def stop(self) -> None:
        store = ReplicaStore(temporary_folder(self))
        pool: Any = ScriptedPool({HIGHER: [UNREACHABLE]})
        consensus = ConsensusService(
            ReplicaSettings("r", OWN, (HIGHER,)), store, KeyList(), pool, random.Random(1)
        )
        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(consensus.run)
                while not pool.asked:
                    await anyio.lowlevel.checkpoint()
                await consensus.stop()
        self.assertTrue(consensus.stopped.is_set())
