"""Exchanges the state of the data centre's targets with the peers and the leader.

The decisions are in `marigolddoor_core.membership`; this module sends and receives the messages.
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

# Minimum interval of reports to the leader, so that one report covers several announcements.
MIN_REPORT_INTERVAL_S = 0.25
REPORT_RETRY_S = 1.0
PEER_TIMEOUT_S = 1.0
# Three digest intervals; a peer without contact for longer is not an observer.
UNRESPONSIVE_PEER_S = 15.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5


class DataCentre:
    """Implements the ports `Holder` and `Directory` of the entry process.

    Args:
      link: the link to the control processes.
      pool: connections to other processes.
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
        self.updates_ready = anyio.Event()
        self.report_due = anyio.Event()
        self.full_state_sources: set[Address] = set()
        self.addresses: dict[ProcessId, Address] = {}
        self.last_contact: dict[ProcessId, float] = {}

    def targets(self) -> Sequence[TargetView]:
        """Return all known targets that have a pool."""
        return self.members.targets()

    def targets_of(self, pool: PoolId) -> Sequence[TargetView]:
        """Return the known targets of one pool."""
        return self.members.directory.targets_of(pool)

    def pop_changed_pools(self) -> frozenset[PoolId]:
        """Return the pools whose targets changed since the last call."""
        changed = frozenset(self.members.directory.changed_pools)
        self.members.directory.changed_pools.clear()
        return changed

    def announce(self, announcement: Announcement, now: Instant) -> AnnouncementReply:
        """Record an announcement and return the reply."""
        reply = self.members.announce(announcement, now)
        self.report_due.set()
        self._wake_senders()
        return reply

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        known = self.members.leave(vm, now)
        self._wake_senders()
        return known

    def suspect(self, now: Instant) -> bool:
        """Mark the targets whose announcements are overdue; return whether any changed."""
        changed = self.members.suspect(now)
        self._wake_senders()
        return changed

    def report_dispatch(self, vm: VmId, reached: bool) -> None:
        """Record whether an attempt reached a target, if this process holds it."""
        if reached:
            self.members.holder.dispatch_succeeded(vm)
        elif self.members.dispatch_failed(vm, self._now()):
            self._wake_senders()

    def assign(self, records: Sequence[VmRecord]) -> None:
        """Replace the committed assignments of the VMs of the data centre."""
        self.members.assign(records)
        self._wake_senders()

    async def handle(self, message: Any) -> Any:
        """Return the reply to a peer's message, or None if the message is of another kind."""
        if isinstance(message, TargetDelta):
            self._apply_delta(message)
            return Acknowledgement()
        if isinstance(message, TargetDigest):
            self._check_digest(message)
            return Acknowledgement()
        if isinstance(message, TargetObservation):
            self._apply_observation(message)
            return Acknowledgement()
        if isinstance(message, AskTargets):
            return _delta_message(self.members.holder.full_delta(self._now()))
        return None

    def _apply_delta(self, message: TargetDelta) -> None:
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
        self._record_contact(message.process)
        if self.members.receive(delta, self._now()):
            self._request_full_state(message.process)
        self._wake_senders()
        self.targets_changed()

    def _check_digest(self, message: TargetDigest) -> None:
        self.addresses[message.process] = Address(message.address)
        self._record_contact(message.process)
        digest = HolderDigest(message.process, message.sequence, message.targets, message.checksum)
        if self.members.check(digest):
            self._request_full_state(message.process)

    def _apply_observation(self, message: TargetObservation) -> None:
        self._record_contact(message.process)
        if self.members.record_unreachable(message.vm, message.process, self._now()):
            self.targets_changed()
        self._wake_senders()

    def _request_full_state(self, process: ProcessId) -> None:
        address = self.addresses.get(process)
        if address is not None:
            self.full_state_sources.add(address)
            self.updates_ready.set()

    def _record_contact(self, process: ProcessId) -> None:
        self.last_contact[process] = self.clock()

    def _now(self) -> Instant:
        return Instant(self.clock())

    def _wake_senders(self) -> None:
        """Wake the senders if there are updates for the peers and the leader."""
        if self.members.outbox:
            self.updates_ready.set()
            self.report_due.set()
            self.targets_changed()

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_updates)
            group.start_soon(self._send_digests)
            group.start_soon(self._probe_suspects)
            group.start_soon(self._send_reports)

    async def exchange_demand(self, report: ShareReport) -> None:
        """Send the demand of this process to the peers."""
        for peer in self.peers:
            await self.pool.post(peer, report)

    async def _send_updates(self) -> None:
        while True:
            await self.updates_ready.wait()
            self.updates_ready = anyio.Event()
            deltas = tuple(self.members.outbox)
            self.members.outbox.clear()
            for delta in deltas:
                for peer in self.peers:
                    await self.pool.post(peer, _delta_message(delta))
            addresses, self.full_state_sources = self.full_state_sources, set()
            for address in addresses:
                await self._fetch_full_state(address)

    async def _fetch_full_state(self, address: Address) -> None:
        try:
            reply = await self.pool.call(address, AskTargets(), PEER_TIMEOUT_S)
        except MarigolddoorError:
            # The next digest reveals the gap again.
            return
        if isinstance(reply, TargetDelta):
            self._apply_delta(reply)

    async def _send_digests(self) -> None:
        while True:
            await anyio.sleep(DIGEST_INTERVAL_S)
            digest = self.members.publish(self._now())
            self._wake_senders()
            self._check_peers()
            message = TargetDigest(
                digest.process, self.address, digest.sequence, digest.targets, digest.checksum
            )
            for peer in self.peers:
                await self.pool.post(peer, message)

    def _check_peers(self) -> None:
        """Update the failure detector with the live peers, and the directory with lost holders."""
        now = self._now()
        for process, contact in list(self.last_contact.items()):
            if now - contact > UNRESPONSIVE_PEER_S:
                del self.last_contact[process]
                self.members.directory.mark_holder_lost(process, now)
        self.members.failure_detector.set_processes((self.link.process, *self.last_contact))
        self.members.directory.expire(now)

    async def _probe_suspects(self) -> None:
        """Probe the targets that peers suspect, and report the unreachable ones to the peers."""
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

    async def _send_reports(self) -> None:
        full = True
        while True:
            await self.report_due.wait()
            self.report_due = anyio.Event()
            try:
                full = await self._send_report(full)
            except MarigolddoorError as error:
                logger.debug("entry: reporting targets to the leader failed: {}", error)
                full = True
                self.report_due.set()
                await anyio.sleep(REPORT_RETRY_S)
            await anyio.sleep(MIN_REPORT_INTERVAL_S)

    async def _send_report(self, full: bool) -> bool:
        now = self._now()
        delta = self.members.holder.take_report(now, full)
        if delta is None:
            return False
        message = ReportTargets(
            delta.process,
            self.link.data_centre,
            delta.sequence,
            delta.full,
            tuple(_report_message(target) for target in delta.targets),
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


def _report_message(target: ObservedTarget) -> TargetReport:
    return TargetReport(target.announcement, target.state, target.age_s)


def _delta_message(delta: HolderDelta) -> TargetDelta:
    return TargetDelta(
        delta.process,
        delta.sequence,
        delta.full,
        tuple(_report_message(target) for target in delta.targets),
        delta.gone,
    )
