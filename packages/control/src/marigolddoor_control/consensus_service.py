"""Requests to the consensus group: commands, linearizable reads and joining."""

from typing import Any

import anyio
from marigolddoor_core.consensus import ReadId
from marigolddoor_core.ids import LogIndex
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.results import Result
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError, RemoteError
from marigolddoor_wire.messages import Acknowledgement, ErrorKind, Propose, ProposeReply
from marigolddoor_wire.peers import Address
from marigolddoor_wire.replica_messages import (
    AskMembership,
    Join,
    MembershipReply,
    PeerMessage,
    ReadBarrier,
    ReadBarrierReply,
)

from marigolddoor_control.joining import PEER_ERRORS
from marigolddoor_control.proposals import Proposal, ProposalState
from marigolddoor_control.replica_driver import PendingRead, ReplicaDriver
from marigolddoor_control.replica_settings import ReplicaSettings

__all__ = ["HANDLED_MESSAGES", "ConsensusService", "ReplicaSettings"]

HANDLED_MESSAGES = (PeerMessage, Propose, ReadBarrier, AskMembership, Join)

# Further proposals are refused at once.
MAX_WAITING_PROPOSALS = 10_000
# Delay before the next attempt after a failed call to the leader; a new leader ends it early.
RETRY_S = 0.1
# The leader gets this share of the remaining time, so that its answer arrives before the timeout.
FORWARDED_TIME_SHARE = 0.9


class ConsensusService(ReplicaDriver):
    """Serves requests on the replica of this process, or forwards them to the leader.

    It implements `marigolddoor_core.ports.Proposer`.
    """

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Return the result of `command` after it is committed and applied here or at the leader.

        Raises:
          NoQuorumError: nothing was accepted and nothing will change.
          ProposalOutcomeUnknownError: the command may still be committed.
        """
        deadline = self.clock() + timeout_s
        while True:
            remaining_s = deadline - self.clock()
            if self.failure is not None or self.is_stopping:
                raise NoQuorumError(f"this replica stopped: {self.failure or 'planned stop'}")
            if remaining_s <= 0:
                raise NoQuorumError("no leader accepted the command in time")
            result: Result | None = None
            if self.replica is not None and self.replica.accepts_commands:
                result = await self._propose_here(command, remaining_s)
            elif self.leader not in (None, self.settings.address):
                result = await self._forward(command, remaining_s)
            else:
                await self._wait_role(remaining_s)
            if result is not None:
                return result

    async def propose_here(self, command: Any, timeout_s: float) -> Any:
        """Return the result of `command` if this replica is the leader; it is not forwarded.

        Raises:
          NoQuorumError: nothing was accepted and nothing will change.
          ProposalOutcomeUnknownError: the command may still be committed.
        """
        if self.replica is None or not self.replica.accepts_commands or self.failure is not None:
            raise NoQuorumError("this replica does not lead")
        result = await self._propose_here(command, timeout_s)
        if result is None:
            raise NoQuorumError("this replica lost the leadership")
        return result

    async def read_barrier(self, timeout_s: float = 5.0) -> LogIndex:
        """Wait until the state includes every command that was acknowledged before this call.

        Raises:
          NoQuorumError: no leader confirmed its leadership in time.
        """
        deadline = self.clock() + timeout_s
        while True:
            remaining_s = deadline - self.clock()
            if remaining_s <= 0 or self.failure is not None or self.is_stopping:
                raise NoQuorumError("no leader confirmed the read in time")
            index: LogIndex | None = None
            if self.replica is not None and self.replica.is_leader:
                index = await self._read_here(remaining_s)
            elif self.leader not in (None, self.settings.address):
                index = await self._read_at_leader(remaining_s)
            else:
                await self._wait_role(remaining_s)
            if index is not None:
                with anyio.move_on_after(deadline - self.clock()):
                    await self.wait_applied(index)
                    return index

    async def handle(self, message: Any) -> Any:
        """Answer a message of another process that is one of `HANDLED_MESSAGES`.

        Raises:
          RemoteError: the request was refused.
        """
        if isinstance(message, PeerMessage):
            self._receive(message)
            return Acknowledgement()
        if isinstance(message, Propose):
            return await self._answer_propose(message)
        if isinstance(message, ReadBarrier):
            return await self._answer_read(message)
        if isinstance(message, AskMembership):
            return self._answer_membership()
        if isinstance(message, Join):
            return await self._answer_join(message)
        raise RemoteError(ErrorKind.UNKNOWN_MESSAGE, type(message).__name__)

    async def _propose_here(self, command: Any, timeout_s: float) -> Any:
        """Return the result; None if the command was not accepted or is known to have no effect."""
        if len(self.proposals.waiting) >= MAX_WAITING_PROPOSALS:
            raise NoQuorumError("too many commands are waiting")
        proposal = Proposal(command)
        self.proposals.waiting.append(proposal)
        self.wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await proposal.done.wait()
        finally:
            if not proposal.done.is_set():
                self.proposals.remove(proposal)
        if proposal.state in (ProposalState.APPENDED, ProposalState.UNKNOWN):
            raise ProposalOutcomeUnknownError("the command was appended and its result is unknown")
        return proposal.result

    async def _forward(self, command: Command, timeout_s: float) -> Result | None:
        """Return the leader's result; None if it is known not to have accepted the command."""
        address = self.leader
        assert address is not None
        request = Propose(command, timeout_s * FORWARDED_TIME_SHARE)
        try:
            reply = await self.pool.call(address, request, timeout_s)
        except PeerUnreachableError:
            await self._wait_role(min(RETRY_S, timeout_s))
            return None
        except PeerTimeoutError as error:
            raise ProposalOutcomeUnknownError(f"no answer from the leader: {error}") from error
        except RemoteError as error:
            if error.kind is ErrorKind.NO_QUORUM:
                await self._wait_role(min(RETRY_S, timeout_s))
                return None
            raise ProposalOutcomeUnknownError(f"the leader failed: {error}") from error
        if not isinstance(reply, ProposeReply):
            raise ProposalOutcomeUnknownError(f"unexpected reply {type(reply).__name__}")
        return reply.result

    async def _read_here(self, timeout_s: float) -> LogIndex | None:
        read_id = ReadId(self.rng.getrandbits(63))
        read = self.reads[read_id] = PendingRead(anyio.Event())
        self.queued_reads.append(read_id)
        self.wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await read.done.wait()
        finally:
            self.reads.pop(read_id, None)
        return read.index

    async def _read_at_leader(self, timeout_s: float) -> LogIndex | None:
        address = self.leader
        assert address is not None
        request = ReadBarrier(timeout_s * FORWARDED_TIME_SHARE)
        try:
            reply = await self.pool.call(address, request, timeout_s)
        except PEER_ERRORS:
            await self._wait_role(min(RETRY_S, timeout_s))
            return None
        return reply.index if isinstance(reply, ReadBarrierReply) else None

    async def _answer_propose(self, message: Propose) -> ProposeReply:
        try:
            return ProposeReply(await self.propose(message.command, message.timeout_s))
        except NoQuorumError as error:
            raise RemoteError(ErrorKind.NO_QUORUM, str(error)) from error
        except ProposalOutcomeUnknownError as error:
            raise RemoteError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error

    async def _answer_read(self, message: ReadBarrier) -> ReadBarrierReply:
        try:
            return ReadBarrierReply(await self.read_barrier(message.timeout_s))
        except NoQuorumError as error:
            raise RemoteError(ErrorKind.NO_QUORUM, str(error)) from error

    def _answer_membership(self) -> MembershipReply:
        if self.replica is not None:
            return MembershipReply(bool(self.replica.configuration.voters))
        if self.store.identity_file.exists():
            # Answering False would let a wiped peer form a second group while this process starts.
            raise RemoteError(ErrorKind.NO_QUORUM, "the replica is starting")
        return MembershipReply(False)

    async def _answer_join(self, message: Join) -> Acknowledgement:
        replica = self.replica
        if replica is not None and replica.is_leader:
            if replica.may_join(message.member, self._now()):
                self.joining[message.member.replica] = message.member
                self.wake.set()
        elif self.leader not in (None, self.settings.address, message.member.address):
            assert self.leader is not None
            await self.pool.post(self.leader, message)
        return Acknowledgement()

    def _receive(self, message: PeerMessage) -> None:
        if message.recipient != self.replica_id or self.replica is None:
            return
        self.addresses[message.sender] = Address(message.address)
        self.inbox.append((message.sender, message.message))
        self.wake.set()
