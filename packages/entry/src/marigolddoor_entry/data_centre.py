"""Targets and peers of the data centre: what this process holds, and what it tells and hears.

The decisions are in `marigolddoor_core.membership`; this module carries their messages.
"""

from collections.abc import Callable, Sequence
from typing import Any

import anyio
from loguru import logger
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.membership import (
    Assignments,
    DeltaOutcome,
    HolderDelta,
    HolderDigest,
    TargetDirectory,
    TargetHolder,
)
from marigolddoor_core.placement import LeaseRenewal
from marigolddoor_core.routing.policies import TargetView
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Announcement, AnnouncementReply
from marigolddoor_wire.messages import (
    Acknowledgement,
    AskTargets,
    ReportTargets,
    ReportTargetsReply,
    ShareReport,
    TargetDelta,
    TargetDigest,
    TargetReport,
)
from marigolddoor_wire.peers import Address, PeerPool

from marigolddoor_entry.control_link import ControlLink

__all__ = ["DataCentre"]

DIGEST_INTERVAL_S = 5.0
# Reports to the leader are at least this far apart, so that announcements share them.
REPORT_GAP_S = 0.25
REPORT_RETRY_S = 1.0
PEER_TIMEOUT_S = 1.0


class DataCentre:
    """Implements the ports `Holder` and `Directory` of the entry process.

    Args:
      link: to the control processes.
      pool: links to other processes.
      peers: the other entry processes of the data centre.
      targets_changed: called after each change of the directory.
      clock: the monotonic clock.
    """

    def __init__(
        self,
        link: ControlLink,
        pool: PeerPool,
        peers: tuple[Address, ...],
        targets_changed: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self.link = link
        self.pool = pool
        self.peers = peers
        self.targets_changed = targets_changed
        self.clock = clock
        self.assignments = Assignments()
        self.holder = TargetHolder(link.process, self.assignments)
        self.directory = TargetDirectory(self.assignments)
        self.address = Address("")
        self.outgoing: list[TargetDelta] = []
        self.news = anyio.Event()
        self.report_due = anyio.Event()
        self.wants_full: set[Address] = set()
        self.addresses: dict[ProcessId, Address] = {}

    # The ports of the entry process.

    def targets(self) -> Sequence[TargetView]:
        """Return all known targets that have a pool."""
        return self.directory.targets()

    def announce(self, announcement: Announcement, now: Instant) -> AnnouncementReply:
        """Record an announcement and return the reply."""
        reply = self.holder.announce(announcement, now)
        self.report_due.set()
        self._publish(now)
        return reply

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        known = self.holder.leave(vm, now)
        self._publish(now)
        return known

    def suspect(self, now: Instant) -> bool:
        """Mark the targets that are silent for too long; return whether any changed."""
        changed = self.holder.suspect(now)
        self._publish(now)
        return changed

    def assign(self, records: Sequence[VmRecord]) -> None:
        """Replace the committed assignments of the VMs of the data centre."""
        before = self.assignments.records
        self.holder.assign(records)
        after = self.assignments.records
        changed = [vm for vm, record in after.items() if before.get(vm) is not record]
        self.directory.refresh([*changed, *(vm for vm in before if vm not in after)])
        self._publish(Instant(self.clock()))

    # Messages of peers.

    async def handle(self, message: Any) -> Any:
        """Answer a message of another entry process of the data centre; None if it is another."""
        if isinstance(message, TargetDelta):
            self._take_delta(message)
            return Acknowledgement()
        if isinstance(message, TargetDigest):
            self._take_digest(message)
            return Acknowledgement()
        if isinstance(message, AskTargets):
            return _delta_message(self.holder.full_delta(Instant(self.clock())))
        return None

    def _take_delta(self, message: TargetDelta) -> None:
        now = Instant(self.clock())
        delta = HolderDelta(
            message.process,
            message.sequence,
            message.full,
            tuple(
                ObservedTarget(report.announcement, report.state, report.age_s)
                for report in message.targets
            ),
            message.gone,
        )
        self.holder.yield_to(delta, now)
        outcome = self.directory.apply(delta, now)
        if outcome is DeltaOutcome.WANT_FULL:
            self._ask_for_full(message.process)
        self._publish(now)
        self.targets_changed()

    def _take_digest(self, message: TargetDigest) -> None:
        self.addresses[message.process] = Address(message.address)
        digest = HolderDigest(message.process, message.sequence, message.targets, message.checksum)
        if not self.directory.check(digest):
            self._ask_for_full(message.process)

    def _ask_for_full(self, process: ProcessId) -> None:
        address = self.addresses.get(process)
        if address is not None:
            self.wants_full.add(address)
            self.news.set()

    def _publish(self, now: Instant) -> None:
        """Apply what the holder has to tell here, and queue it for the peers."""
        delta = self.holder.take_delta(now)
        if delta is None:
            return
        self.directory.apply(delta, now)
        if self.peers:
            self.outgoing.append(_delta_message(delta))
            self.news.set()
        self.report_due.set()
        self.targets_changed()

    # Timers.

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_news)
            group.start_soon(self._send_digests)
            group.start_soon(self._report)

    async def exchange_demand(self, report: ShareReport) -> None:
        """Send the demand of this process to the peers."""
        for peer in self.peers:
            await self.pool.post(peer, report)

    async def _send_news(self) -> None:
        while True:
            await self.news.wait()
            self.news = anyio.Event()
            deltas, self.outgoing = self.outgoing, []
            for delta in deltas:
                for peer in self.peers:
                    await self.pool.post(peer, delta)
            wanted, self.wants_full = self.wants_full, set()
            for address in wanted:
                await self._fetch_full(address)

    async def _fetch_full(self, address: Address) -> None:
        try:
            reply = await self.pool.call(address, AskTargets(), PEER_TIMEOUT_S)
        except MarigolddoorError:
            # The next digest finds the gap again.
            return
        if isinstance(reply, TargetDelta):
            self._take_delta(reply)

    async def _send_digests(self) -> None:
        while True:
            await anyio.sleep(DIGEST_INTERVAL_S)
            digest = self.holder.digest()
            message = TargetDigest(
                digest.process, self.address, digest.sequence, digest.targets, digest.checksum
            )
            for peer in self.peers:
                await self.pool.post(peer, message)

    async def _report(self) -> None:
        full = True
        while True:
            await self.report_due.wait()
            self.report_due = anyio.Event()
            try:
                full = await self._report_once(full)
            except MarigolddoorError as error:
                logger.debug("entry: the report of targets failed. {}", error)
                full = True
                self.report_due.set()
                await anyio.sleep(REPORT_RETRY_S)
            await anyio.sleep(REPORT_GAP_S)

    async def _report_once(self, full: bool) -> bool:
        now = Instant(self.clock())
        delta = self.holder.take_report(now, full)
        if delta is None:
            return False
        message = ReportTargets(
            delta.process,
            self.link.data_centre,
            delta.sequence,
            delta.full,
            tuple(_report_of(target) for target in delta.targets),
            delta.gone,
        )
        reply = await self.link.call(message)
        assert isinstance(reply, ReportTargetsReply)
        self.holder.renew(
            [
                LeaseRenewal(renewal.vm, renewal.task, renewal.token, renewal.lease_s)
                for renewal in reply.renewals
            ],
            now,
        )
        if reply.want_full:
            self.report_due.set()
        return reply.want_full


def _report_of(target: ObservedTarget) -> TargetReport:
    return TargetReport(target.announcement, target.state, target.age_s)


def _delta_message(delta: HolderDelta) -> TargetDelta:
    return TargetDelta(
        delta.process,
        delta.sequence,
        delta.full,
        tuple(_report_of(target) for target in delta.targets),
        delta.gone,
    )
