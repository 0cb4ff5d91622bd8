"""Targets and peers of the data centre: what this process holds, and what it tells and hears.

The decisions are in `marigolddoor_core.membership`; this module carries their messages.
"""

from collections.abc import Callable, Sequence
from typing import Any

import anyio
from loguru import logger
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import PoolId, ProcessId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.membership import (
    DIGEST_INTERVAL_S,
    HolderDelta,
    HolderDigest,
    Members,
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
    TargetObservation,
    TargetReport,
)
from marigolddoor_wire.peers import Address, PeerPool, parse_address

from marigolddoor_entry.control_link import ControlLink

__all__ = ["DataCentre"]

# Reports to the leader are at least this far apart, so that announcements share them.
REPORT_GAP_S = 0.25
REPORT_RETRY_S = 1.0
PEER_TIMEOUT_S = 1.0
# Three digests; a peer that is silent for longer is not an observer.
SILENT_PEER_S = 15.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5


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
        self.members = Members(link.process)
        self.address = Address("")
        self.news = anyio.Event()
        self.report_due = anyio.Event()
        self.wants_full: set[Address] = set()
        self.addresses: dict[ProcessId, Address] = {}
        self.heard: dict[ProcessId, float] = {}

    # The ports of the entry process.

    def targets(self) -> Sequence[TargetView]:
        """Return all known targets that have a pool."""
        return self.members.targets()

    def targets_of(self, pool: PoolId) -> Sequence[TargetView]:
        """Return the known targets of one pool."""
        return self.members.directory.targets_of(pool)

    def take_changed_pools(self) -> frozenset[PoolId]:
        """Return the pools whose targets changed since the last call."""
        changed = frozenset(self.members.directory.changed_pools)
        self.members.directory.changed_pools.clear()
        return changed

    def announce(self, announcement: Announcement, now: Instant) -> AnnouncementReply:
        """Record an announcement and return the reply."""
        reply = self.members.announce(announcement, now)
        self.report_due.set()
        self._carry_news()
        return reply

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        known = self.members.leave(vm, now)
        self._carry_news()
        return known

    def suspect(self, now: Instant) -> bool:
        """Mark the targets that are silent for too long; return whether any changed."""
        changed = self.members.suspect(now)
        self._carry_news()
        return changed

    def report_dispatch(self, vm: VmId, reached: bool) -> None:
        """Record whether an attempt reached a target, which counts if this process holds it."""
        if reached:
            self.members.holder.dispatch_succeeded(vm)
        elif self.members.dispatch_failed(vm, self._now()):
            self._carry_news()

    def assign(self, records: Sequence[VmRecord]) -> None:
        """Replace the committed assignments of the VMs of the data centre."""
        self.members.assign(records)
        self._carry_news()

    # Messages of peers.

    async def handle(self, message: Any) -> Any:
        """Answer a message of another entry process of the data centre; None if it is another."""
        if isinstance(message, TargetDelta):
            self._take_delta(message)
            return Acknowledgement()
        if isinstance(message, TargetDigest):
            self._take_digest(message)
            return Acknowledgement()
        if isinstance(message, TargetObservation):
            self._take_observation(message)
            return Acknowledgement()
        if isinstance(message, AskTargets):
            return _delta_message(self.members.holder.full_delta(self._now()))
        return None

    def _take_delta(self, message: TargetDelta) -> None:
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
        self._hear(message.process)
        if self.members.receive(delta, self._now()):
            self._ask_for_full(message.process)
        self._carry_news()
        self.targets_changed()

    def _take_digest(self, message: TargetDigest) -> None:
        self.addresses[message.process] = Address(message.address)
        self._hear(message.process)
        digest = HolderDigest(message.process, message.sequence, message.targets, message.checksum)
        if self.members.check(digest):
            self._ask_for_full(message.process)

    def _take_observation(self, message: TargetObservation) -> None:
        self._hear(message.process)
        if self.members.record_unreachable(message.vm, message.process, self._now()):
            self.targets_changed()
        self._carry_news()

    def _ask_for_full(self, process: ProcessId) -> None:
        address = self.addresses.get(process)
        if address is not None:
            self.wants_full.add(address)
            self.news.set()

    def _hear(self, process: ProcessId) -> None:
        self.heard[process] = self.clock()

    def _now(self) -> Instant:
        return Instant(self.clock())

    def _carry_news(self) -> None:
        """Wake the senders if the members have something to tell."""
        if self.members.outbox:
            self.news.set()
            self.report_due.set()
            self.targets_changed()

    # Timers.

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_news)
            group.start_soon(self._send_digests)
            group.start_soon(self._probe_suspects)
            group.start_soon(self._report)

    async def exchange_demand(self, report: ShareReport) -> None:
        """Send the demand of this process to the peers."""
        for peer in self.peers:
            await self.pool.post(peer, report)

    async def _send_news(self) -> None:
        while True:
            await self.news.wait()
            self.news = anyio.Event()
            deltas = tuple(self.members.outbox)
            self.members.outbox.clear()
            for delta in deltas:
                for peer in self.peers:
                    await self.pool.post(peer, _delta_message(delta))
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
            digest = self.members.publish(self._now())
            self._carry_news()
            self._check_peers()
            message = TargetDigest(
                digest.process, self.address, digest.sequence, digest.targets, digest.checksum
            )
            for peer in self.peers:
                await self.pool.post(peer, message)

    def _check_peers(self) -> None:
        """Tell the observers which peers are alive, and the directory which holders are lost."""
        now = self._now()
        for process, heard in list(self.heard.items()):
            if now - heard > SILENT_PEER_S:
                del self.heard[process]
                self.members.directory.mark_holder_lost(process, now)
        self.members.failure_detector.set_processes((self.link.process, *self.heard))
        self.members.directory.expire(now)

    async def _probe_suspects(self) -> None:
        """Try to reach the targets that peers suspect, and tell the peers of those that fail."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            for vm in self.members.failure_detector.targets_to_probe():
                view = self.members.directory.find(vm)
                if view is None or vm in self.members.holder.held:
                    continue
                if not await _is_reachable(Address(view.address)):
                    message = TargetObservation(self.link.process, vm, False)
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
        now = self._now()
        delta = self.members.holder.take_report(now, full)
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
        self.members.holder.renew(
            [
                LeaseRenewal(renewal.vm, renewal.task, renewal.token, renewal.lease_s)
                for renewal in reply.renewals
            ],
            now,
        )
        if reply.want_full:
            self.report_due.set()
        return reply.want_full


async def _is_reachable(address: Address) -> bool:
    host, port = parse_address(address)
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError):
        return False
    await stream.aclose()
    return True


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
