"""Connects an entry process to its peers and the control processes."""

import random
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio
from anyio.abc import TaskStatus
from loguru import logger
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import IdempotencyKey, ServiceId
from marigolddoor_core.metrics import CounterKind, Labels
from marigolddoor_core.ports import NoQuorumError
from marigolddoor_core.state.results import ClaimFinished, ClaimPending
from marigolddoor_core.timeline import EventId, EventKind, Recorder, Subject
from marigolddoor_wire.errors import RemoteError
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.messages import (
    Acknowledgement,
    ErrorKind,
    FetchTimeline,
    ReadClaim,
    ReadClaimReply,
    ReportDemand,
    ReportDemandReply,
    ShareReport,
    WatchReply,
)
from marigolddoor_wire.peers import Address, PeerPool, PeerServer
from marigolddoor_wire.timeline_fetch import answer_fetch

from marigolddoor_entry.control_link import ControlLink
from marigolddoor_entry.data_centre import DataCentre
from marigolddoor_entry.metrics import Metrics
from marigolddoor_entry.ports import EntryPorts
from marigolddoor_entry.process import BoundAddresses, EntryProcess
from marigolddoor_entry.settings import EntrySettings

__all__ = ["EntryAddresses", "EntryRuntime", "EntryRuntimeSettings"]

_COUNTERS = {
    EventKind.REQUEST_REFUSED: CounterKind.REFUSALS,
    EventKind.REQUEST_RETRIED: CounterKind.RETRIES,
}


@dataclass(frozen=True, slots=True)
class EntryRuntimeSettings:
    """Settings of the role `entry`, read once at its start.

    `peers` are the other entry processes of the data centre; `control` are the control processes,
    the one of the data centre first.
    """

    entry: EntrySettings
    peer: Address
    peers: tuple[Address, ...]
    control: tuple[Address, ...]
    timeline_capacity: int = 4096


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """The addresses on which an entry process listens, with the ports in use."""

    callers: Address
    targets: Address
    peer: Address


class ConsensusTimeEstimate:
    """Estimates the consensus time from the leader's last reply and the monotonic clock."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.offset_s: float | None = None

    def update(self, time_s: float) -> None:
        """Set the estimate to the consensus time of a reply that just arrived."""
        self.offset_s = time_s - self.clock()

    def read(self) -> float:
        """Return the estimate; 0 before the first reply, which the state machine replaces."""
        return 0.0 if self.offset_s is None else self.clock() + self.offset_s


class EntryRuntime:
    """Runs an entry process with its connections to peers and control processes."""

    def __init__(
        self,
        settings: EntryRuntimeSettings,
        key: SharedKey,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.clock = time.monotonic
        self.time = ConsensusTimeEstimate(self.clock)
        self.recorder = Recorder(settings.entry.process, settings.timeline_capacity)
        self.metrics = Metrics()
        self.pool = PeerPool(key, client_tls)
        self.server = PeerServer(key, self._handle, server_tls)
        self.link = ControlLink(
            self.pool, settings.control, settings.entry.process, settings.entry.data_centre
        )
        self.data_centre = DataCentre(
            self.link, self.pool, settings.peers, self._targets_changed, self.clock
        )
        self.process = EntryProcess(settings.entry, self._ports(), rng)
        self.address = Address("")

    async def run(
        self,
        stopping: anyio.Event,
        *,
        task_status: TaskStatus[EntryAddresses] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stopping` is set and every request in flight has its answer.

        Raises:
          OSError: an address can't be bound.
        """
        async with self.pool, anyio.create_task_group() as group:
            self.address = await group.start(self.server.run, self.settings.peer)
            self.data_centre.address = self.address
            group.start_soon(self.data_centre.run)
            group.start_soon(self.link.watch, lambda: self.process.revision, self._apply)
            self._record(EventKind.PROCESS_STARTED, Subject())
            await self._serve(stopping, task_status)
            group.cancel_scope.cancel()

    def _ports(self) -> EntryPorts:
        return EntryPorts(
            self.link,
            self.data_centre,
            self.data_centre,
            self,
            self.time.read,
            self._report_demand,
            self.data_centre.exchange_demand,
            self.data_centre.report_dispatch,
            self.metrics.observe,
            self.metrics.page,
            self._record_request,
        )

    async def _serve(self, stopping: anyio.Event, task_status: TaskStatus[EntryAddresses]) -> None:
        async with anyio.create_task_group() as serving:

            async def run_process(*, task_status: TaskStatus[BoundAddresses]) -> None:
                await self.process.run(task_status=task_status)
                serving.cancel_scope.cancel()

            bound = await serving.start(run_process)
            task_status.started(EntryAddresses(bound.callers, bound.targets, self.address))
            await stopping.wait()
            self._record(EventKind.PROCESS_STOPPING, Subject())
            self.process.request_stop()
            await anyio.sleep_forever()

    async def read_claim(
        self, service: ServiceId, key: IdempotencyKey
    ) -> ClaimPending | ClaimFinished | None:
        """Return the claim, or None if none is stored.

        Raises:
          NoQuorumError: the consensus group can't be read now.
        """
        try:
            reply = await self.link.call(ReadClaim(service, key))
        except MarigolddoorError as error:
            raise NoQuorumError(str(error)) from error
        assert isinstance(reply, ReadClaimReply)
        return reply.claim

    def _apply(self, reply: WatchReply) -> None:
        before = self.process.revision
        self.process.apply_changes(reply.index, reply.changes, reply.snapshot)
        self.data_centre.members.assignments.services = {
            service.pool: service.id for service in self.process.catalogue.services.values()
        }
        revision = self.process.revision
        if revision > before:
            logger.info("entry: revision {} is in force", revision)
            self._record(EventKind.REVISION_IN_FORCE, Subject(revision=revision))

    def _targets_changed(self) -> None:
        self.process.targets_changed()

    async def _handle(self, message: Any) -> Any:
        reply = await self.data_centre.handle(message)
        if reply is not None:
            return reply
        if isinstance(message, ShareReport):
            self.process.receive_peer_demand(message)
            return Acknowledgement()
        if isinstance(message, FetchTimeline):
            return answer_fetch(self.recorder, message, _wall_ms())
        raise RemoteError(ErrorKind.UNKNOWN_MESSAGE, type(message).__name__)

    async def _report_demand(self, report: ReportDemand) -> None:
        message = replace(report, in_force=self.process.revision, address=self.address)
        try:
            reply = await self.link.call(message)
        except MarigolddoorError as error:
            logger.debug("entry: reporting demand to the leader failed: {}", error)
            return
        assert isinstance(reply, ReportDemandReply)
        self.time.update(reply.time_s)

    def _record_request(
        self, kind: EventKind, subject: Subject, text: str, cause: EventId | None
    ) -> EventId:
        counter = _COUNTERS.get(kind)
        if counter is not None:
            # The text of a refusal is its code; other texts would make unlimited label values.
            reason = text if kind is EventKind.REQUEST_REFUSED else ""
            self.metrics.counters.add(counter, Labels(subject.service or "", reason=reason))
        return self.recorder.record(kind, _wall_ms(), subject, text, cause)

    def _record(self, kind: EventKind, subject: Subject) -> None:
        self.recorder.record(kind, _wall_ms(), subject)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
