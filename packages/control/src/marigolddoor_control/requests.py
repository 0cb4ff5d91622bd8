"""Handling of requests from other processes of the system."""

import time
from typing import Any

from marigolddoor_core.ports import NoQuorumError
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import ClaimFinished, ClaimPending
from marigolddoor_core.timeline import Recorder
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError, RemoteError
from marigolddoor_wire.messages import (
    AskProcesses,
    ErrorKind,
    FetchTimeline,
    ProcessesReply,
    ReadClaim,
    ReadClaimReply,
    ReportDemand,
    ReportDemandReply,
    ReportTargets,
    Watch,
    WatchReply,
)
from marigolddoor_wire.peers import PeerPool
from marigolddoor_wire.timeline_fetch import answer_fetch

from marigolddoor_control.consensus_service import HANDLED_MESSAGES, ConsensusService
from marigolddoor_control.leadership import Leadership
from marigolddoor_control.manager import Manager
from marigolddoor_control.watches import WatchService

__all__ = ["ControlRequests"]

FORWARD_TIMEOUT_S = 1.5
READ_TIMEOUT_S = 1.5


class ControlRequests:
    """Handles every message that a control process receives on its peer listener.

    A follower forwards reports to the leader, so that an entry process needs to reach only one
    control process.
    """

    def __init__(
        self,
        state: StateMachine,
        consensus: ConsensusService,
        leadership: Leadership,
        manager: Manager,
        watches: WatchService,
        pool: PeerPool,
        recorder: Recorder,
    ) -> None:
        self.state = state
        self.consensus = consensus
        self.leadership = leadership
        self.manager = manager
        self.watches = watches
        self.pool = pool
        self.recorder = recorder

    async def handle(self, message: Any) -> Any:
        """Return the reply to `message`.

        Raises:
          RemoteError: the request is refused.
        """
        if isinstance(message, HANDLED_MESSAGES):
            return await self.consensus.handle(message)
        if isinstance(message, Watch):
            return await self._answer_watch(message)
        if isinstance(message, (ReportTargets, ReportDemand)):
            return await self._answer_report(message)
        if isinstance(message, ReadClaim):
            return await self._answer_read_claim(message)
        if isinstance(message, AskProcesses):
            return ProcessesReply(self.leadership.entry_addresses())
        if isinstance(message, FetchTimeline):
            return answer_fetch(self.recorder, message, time.time_ns() // 1_000_000)
        raise RemoteError(ErrorKind.UNKNOWN_MESSAGE, type(message).__name__)

    async def _answer_watch(self, message: Watch) -> WatchReply:
        # A replica without a leader gets no updates, so the watcher must go to another one. Changes
        # that the replica already has are still sent.
        if self.state.index <= message.after_index and self.consensus.leader is None:
            raise RemoteError(ErrorKind.NO_QUORUM, "this replica knows no leader")
        return await self.watches.answer(message)

    async def _answer_report(self, message: ReportTargets | ReportDemand) -> Any:
        if self.consensus.is_leader:
            return self._record_report(message)
        leader = self.consensus.leader
        if leader is None or leader == self.consensus.settings.address:
            raise RemoteError(ErrorKind.NO_QUORUM, "no leader is known")
        if isinstance(message, ReportDemand):
            # Recorded here as well, so that a follower can list the processes that report to it.
            self.leadership.record_demand(message)
        try:
            return await self.pool.call(leader, message, FORWARD_TIMEOUT_S)
        except (PeerUnreachableError, PeerTimeoutError) as error:
            raise RemoteError(ErrorKind.NO_QUORUM, "the leader did not answer") from error

    def _record_report(self, message: ReportTargets | ReportDemand) -> Any:
        if isinstance(message, ReportDemand):
            self.leadership.record_demand(message)
            return ReportDemandReply(self.consensus.consensus_time())
        reply, has_updates = self.leadership.record_targets(message)
        if has_updates:
            self.manager.request_round()
        return reply

    async def _answer_read_claim(self, message: ReadClaim) -> ReadClaimReply:
        try:
            await self.consensus.read_barrier(READ_TIMEOUT_S)
        except NoQuorumError as error:
            raise RemoteError(ErrorKind.NO_QUORUM, str(error)) from error
        record = self.state.find_claim(message.service, message.key)
        if record is None or record.expires_s <= self.consensus.consensus_time():
            return ReadClaimReply(None)
        if record.finished:
            return ReadClaimReply(ClaimFinished(record.claim, record.answer))
        return ReadClaimReply(ClaimPending(record.claim, record.claimant))
