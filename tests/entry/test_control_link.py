"""Guards against a false `NoQuorumError`, and against staying with a failed control process."""

from typing import Any

import anyio
import testtools
from marigolddoor_core.ids import DataCentreId, LogIndex, ProcessId, Revision, TaskId
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.state.commands import CancelTask
from marigolddoor_core.state.results import Done
from marigolddoor_entry.control_link import ControlLink
from marigolddoor_wire.errors import RemoteError
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.messages import ErrorKind, Propose, ProposeReply, WatchReply
from marigolddoor_wire.peers import Address, PeerPool, PeerServer

KEY = SharedKey(b"k" * 32)
UNREACHABLE = Address("127.0.0.1:1")
LOOPBACK = Address("127.0.0.1:0")
COMMAND = CancelTask(TaskId("t"))


class ProposeTest(testtools.TestCase):
    """NoQuorumError is raised only for a proposal that certainly was not accepted."""

    scenarios = [
        ("committed", {"reply": ProposeReply(Done()), "first": None, "expected": Done()}),
        (
            "first is down",
            {"reply": ProposeReply(Done()), "first": UNREACHABLE, "expected": Done()},
        ),
        (
            "no quorum",
            {
                "reply": RemoteError(ErrorKind.NO_QUORUM, "no leader"),
                "first": None,
                "expected": NoQuorumError,
            },
        ),
        (
            "handed over and lost",
            {
                "reply": RemoteError(ErrorKind.OUTCOME_UNKNOWN, "leader lost"),
                "first": None,
                "expected": ProposalOutcomeUnknownError,
            },
        ),
        (
            "failed inside",
            {
                "reply": RemoteError(ErrorKind.INTERNAL, "?"),
                "first": None,
                "expected": ProposalOutcomeUnknownError,
            },
        ),
        ("no reply", {"reply": None, "first": None, "expected": ProposalOutcomeUnknownError}),
        ("nobody there", {"reply": ..., "first": UNREACHABLE, "expected": NoQuorumError}),
    ]

    def test_propose(self) -> None:
        anyio.run(self.propose)

    async def handler(self, message: Any) -> Any:
        assert isinstance(message, Propose)
        if self.reply is None:
            await anyio.sleep_forever()
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply

    async def propose(self) -> None:
        async with anyio.create_task_group() as group, PeerPool(KEY) as pool:
            addresses = [] if self.first is None else [self.first]
            if self.reply is not ...:
                addresses.append(await group.start(PeerServer(KEY, self.handler).run, LOOPBACK))
            link = ControlLink(pool, tuple(addresses), ProcessId("e"), DataCentreId("d"))
            outcome: Any
            try:
                outcome = await link.propose(COMMAND, timeout_s=0.1)
            except (NoQuorumError, ProposalOutcomeUnknownError) as error:
                outcome = type(error)
            self.assertEqual(self.expected, outcome)
            group.cancel_scope.cancel()


class WatchTest(testtools.TestCase):
    """The watch switches to another control process and never applies an older index."""

    scenarios = [
        ("in order", {"indexes": [2, 3, 5], "applied": [2, 3, 5]}),
        ("an older reply", {"indexes": [4, 3, 5], "applied": [4, 5]}),
        ("an error between", {"indexes": [2, None, 5], "applied": [2, 5]}),
    ]

    def test_watch(self) -> None:
        anyio.run(self.watch)

    async def watch(self) -> None:
        remaining = list(self.indexes)
        applied: list[int] = []

        async def handler(message: Any) -> Any:
            if not remaining:
                await anyio.sleep_forever()
            index = remaining.pop(0)
            if index is None:
                raise RemoteError(ErrorKind.NO_QUORUM, "partitioned")
            return WatchReply(LogIndex(index), False, ())

        async with anyio.create_task_group() as group, PeerPool(KEY) as pool:
            address = await group.start(PeerServer(KEY, handler).run, LOOPBACK)
            link = ControlLink(pool, (address, UNREACHABLE), ProcessId("e"), DataCentreId("d"))
            done = anyio.Event()

            def apply(reply: WatchReply) -> None:
                applied.append(reply.index)
                if reply.index == self.indexes[-1]:
                    done.set()

            group.start_soon(link.watch, lambda: Revision(0), apply)
            with anyio.fail_after(5):
                await done.wait()
            group.cancel_scope.cancel()
        self.assertEqual(self.applied, applied)
