"""The targets that one entry process holds.

A target announces itself to its holder, which replies with its assignment and the time of the next
announcement. The holder reports changes to the leader and the entry processes of the data centre.
"""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import Epoch, JobId, ProcessId, TaskId, VmId
from marigolddoor_core.instants import Duration, Instant, after, elapsed
from marigolddoor_core.membership.assignments import Assignments
from marigolddoor_core.membership.deltas import HolderDelta, HolderDigest, fingerprint
from marigolddoor_core.membership.schedule import AnnouncementSchedule
from marigolddoor_core.placement.leases import LeaseRenewal
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.state.vm_table import in_maintenance
from marigolddoor_core.targets import (
    Announcement,
    AnnouncementReply,
    TargetState,
    TaskOrder,
    TaskOrderKind,
)

__all__ = ["DIGEST_INTERVAL_S", "SUSPICION_INTERVALS", "TargetHolder"]

# Tolerates one lost and one late announcement before a target is suspected.
SUSPICION_INTERVALS = 3
# A single refused connection may be caused by a full backlog.
FAILED_DISPATCH_LIMIT = 3
DIGEST_INTERVAL_S = 5.0
# A target without an assignment is idle, so it announces itself soon, outside the schedule. With
# 4,000 restarts a day over 50 processes, the load is negligible.
UNASSIGNED_INTERVAL_S = 1.0
# Peers count their own requests on a target; a change in its busy slots is published from this
# share of its slots.
BUSY_CHANGE_SHARE = 0.5


@dataclass(slots=True)
class _HeldTarget:
    announcement: Announcement
    announced: Instant
    due: Instant
    interval_s: Duration
    state: TargetState
    failures: int = 0
    renewals: dict[TaskId, tuple[LeaseRenewal, Instant]] = field(default_factory=dict)

    def suspect_at(self) -> Instant:
        """Return when the target becomes suspected unless it announces itself."""
        return after(self.announced, SUSPICION_INTERVALS * self.interval_s)


@dataclass(frozen=True, slots=True)
class _Sent:
    """A target as last sent to peers, with the time of its announcement."""

    target: ObservedTarget
    announced: Instant


class TargetHolder:
    """Tracks the targets that announce themselves to this process.

    An announcement, leave or suspicion takes constant time plus the logarithm of a heap.
    `has_updates` is True if peers and leader should be notified at once.
    """

    def __init__(self, process: ProcessId, assignments: Assignments) -> None:
        self.process = process
        self.assignments = assignments
        self.held: dict[VmId, _HeldTarget] = {}
        self.has_updates = False
        self._schedule = AnnouncementSchedule()
        self._suspicion_deadlines: list[tuple[Instant, VmId]] = []
        self._for_peers: dict[VmId, None] = {}
        self._for_leader: dict[VmId, None] = {}
        self._sent: dict[VmId, _Sent] = {}
        self._checksum = 0
        self._peer_sequence = 0
        self._leader_sequence = 0

    def announce(self, announcement: Announcement, now: Instant) -> AnnouncementReply:
        """Record an announcement and return the reply to it."""
        vm = announcement.vm
        known = self.held.get(vm)
        due = self._schedule.next_announcement(None if known is None else known.due, now)
        interval_s = elapsed(now, due)
        state = _announced_state(announcement, known)
        if known is None:
            known = _HeldTarget(announcement, now, due, interval_s, state)
            self.held[vm] = known
            self._mark_changed(vm)
        else:
            if _has_changed(known, announcement, state):
                self._mark_changed(vm)
            known.announcement = announcement
            known.announced = now
            known.due = due
            known.interval_s = interval_s
            known.state = state
            known.failures = 0
        if self._has_load_changed(vm, announcement):
            self._for_peers[vm] = None
        self._for_leader[vm] = None
        heapq.heappush(self._suspicion_deadlines, (known.suspect_at(), vm))
        self._compact_deadlines()
        return self._reply(known, now)

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        held = self.held.get(vm)
        if held is None:
            return False
        if held.state is not TargetState.LEAVING:
            held.state = TargetState.LEAVING
            held.announcement = replace(held.announcement, leaving=True)
            self._mark_changed(vm)
        return True

    def suspect(self, now: Instant) -> bool:
        """Mark unresponsive targets as suspected; return whether any target changed.

        An unresponsive target that was leaving is removed.
        """
        changed = False
        while self._suspicion_deadlines and self._suspicion_deadlines[0][0] <= now:
            _, vm = heapq.heappop(self._suspicion_deadlines)
            held = self.held.get(vm)
            if held is None or held.suspect_at() > now:
                continue
            if held.state is TargetState.LEAVING:
                self.drop(vm)
                changed = True
            elif held.state is TargetState.READY:
                self._set_state(vm, TargetState.SUSPECTED)
                changed = True
        return changed

    def next_suspicion(self) -> Instant | None:
        """Return when `suspect` may change a target, or None without targets."""
        return self._suspicion_deadlines[0][0] if self._suspicion_deadlines else None

    def dead_at(self, vm: VmId) -> Instant | None:
        """Return when a target has been unresponsive for twice the suspicion timeout."""
        held = self.held.get(vm)
        return (
            None
            if held is None
            else after(held.announced, 2 * SUSPICION_INTERVALS * held.interval_s)
        )

    def dispatch_failed(self, vm: VmId) -> bool:
        """Record that a request could not reach a target; return whether it is suspected now."""
        held = self.held.get(vm)
        if held is None or held.state is not TargetState.READY:
            return False
        held.failures += 1
        if held.failures < FAILED_DISPATCH_LIMIT:
            return False
        self._set_state(vm, TargetState.SUSPECTED)
        return True

    def dispatch_succeeded(self, vm: VmId) -> None:
        """Reset the failure count of a target that a request reached."""
        held = self.held.get(vm)
        if held is not None:
            held.failures = 0

    def confirm_dead(self, vm: VmId) -> bool:
        """Mark a suspected target as dead; return whether it was suspected."""
        held = self.held.get(vm)
        if held is None or held.state is not TargetState.SUSPECTED:
            return False
        self._set_state(vm, TargetState.DEAD)
        return True

    def drop(self, vm: VmId) -> None:
        """Remove a target that is gone or that another process holds."""
        if self.held.pop(vm, None) is not None:
            self._mark_changed(vm)

    def drop_superseded(self, delta: HolderDelta, now: Instant) -> None:
        """Drop the targets that announced themselves to a peer more recently."""
        if delta.process == self.process:
            return
        for target in delta.targets:
            held = self.held.get(target.announcement.vm)
            if held is not None and held.announced < after(now, -target.age_s):
                self.drop(target.announcement.vm)

    def assign(self, records: Sequence[VmRecord]) -> None:
        """Replace the committed assignments of the VMs of the data centre.

        A dead target whose VM was retired is dropped.
        """
        for vm in self.assignments.replace(records):
            held = self.held.get(vm)
            is_dead = held is not None and held.state is TargetState.DEAD
            if is_dead and vm not in self.assignments.records:
                self.drop(vm)

    def renew(self, renewals: Iterable[LeaseRenewal], reported: Instant) -> None:
        """Store lease renewals for the next replies. `reported` is when the report was sent."""
        for renewal in renewals:
            held = self.held.get(renewal.vm)
            if held is not None:
                held.renewals[renewal.task] = (renewal, reported)

    def take_delta(self, now: Instant) -> HolderDelta | None:
        """Return the unpublished changes, or None. The delta has to be sent to every peer."""
        self.has_updates = False
        targets: list[ObservedTarget] = []
        gone: list[VmId] = []
        for vm in self._for_peers:
            held = self.held.get(vm)
            if held is not None:
                self._record_sent(vm, held)
                targets.append(self._with_age(self._sent[vm], now))
            elif vm in self._sent:
                self._remove_sent(vm)
                gone.append(vm)
        self._for_peers.clear()
        if not targets and not gone:
            return None
        self._peer_sequence += 1
        return HolderDelta(self.process, self._peer_sequence, False, tuple(targets), tuple(gone))

    def full_delta(self, now: Instant) -> HolderDelta:
        """Return all published targets, for a peer that missed a delta or is new."""
        targets = tuple(self._with_age(sent, now) for sent in self._sent.values())
        return HolderDelta(self.process, self._peer_sequence, True, targets)

    def digest(self) -> HolderDigest:
        """Return the digest of the published targets."""
        return HolderDigest(self.process, self._peer_sequence, len(self._sent), self._checksum)

    def take_report(self, now: Instant, full: bool) -> HolderDelta | None:
        """Return the announcements since the last report to the leader, or all with `full`."""
        vms: Iterable[VmId] = self.held if full else self._for_leader
        targets = [self._observed(self.held[vm], now) for vm in vms if vm in self.held]
        gone = [vm for vm in self._for_leader if vm not in self.held]
        self._for_leader.clear()
        if not targets and not gone and not full:
            return None
        self._leader_sequence += 1
        return HolderDelta(self.process, self._leader_sequence, full, tuple(targets), tuple(gone))

    def _reply(self, held: _HeldTarget, now: Instant) -> AnnouncementReply:
        orders = _renewal_orders(held, now)
        record = self.assignments.records.get(held.announcement.vm)
        if record is None:
            return AnnouncementReply(min(held.interval_s, UNASSIGNED_INTERVAL_S), orders=orders)
        return AnnouncementReply(
            held.interval_s,
            record.pool,
            self.assignments.services.get(record.pool),
            Epoch(record.epoch),
            record.next_pool is not None or in_maintenance(record),
            orders,
        )

    def _set_state(self, vm: VmId, state: TargetState) -> None:
        self.held[vm].state = state
        self._mark_changed(vm)

    def _mark_changed(self, vm: VmId) -> None:
        self._for_peers[vm] = None
        self._for_leader[vm] = None
        self.has_updates = True

    def _has_load_changed(self, vm: VmId, announcement: Announcement) -> bool:
        sent = self._sent.get(vm)
        if sent is None:
            return False
        change = abs(sent.target.announcement.busy_slots - announcement.busy_slots)
        return change >= max(BUSY_CHANGE_SHARE * announcement.slots, 1.0)

    def _record_sent(self, vm: VmId, held: _HeldTarget) -> None:
        self._remove_sent(vm)
        announcement = replace(held.announcement, tasks=())
        sent = _Sent(ObservedTarget(announcement, held.state, 0.0), held.announced)
        self._sent[vm] = sent
        self._checksum ^= fingerprint(sent.target)

    def _remove_sent(self, vm: VmId) -> None:
        sent = self._sent.pop(vm, None)
        if sent is not None:
            self._checksum ^= fingerprint(sent.target)

    def _compact_deadlines(self) -> None:
        # Each announcement leaves its old deadline in the heap. Without compaction, a target that
        # announces itself much more often than requested would make the heap grow.
        if len(self._suspicion_deadlines) > 2 * len(self.held) + 64:
            self._suspicion_deadlines = [(held.suspect_at(), vm) for vm, held in self.held.items()]
            heapq.heapify(self._suspicion_deadlines)

    @staticmethod
    def _with_age(sent: _Sent, now: Instant) -> ObservedTarget:
        return replace(sent.target, age_s=elapsed(sent.announced, now))

    @staticmethod
    def _observed(held: _HeldTarget, now: Instant) -> ObservedTarget:
        return ObservedTarget(held.announcement, held.state, elapsed(held.announced, now))


def _announced_state(announcement: Announcement, known: _HeldTarget | None) -> TargetState:
    if announcement.leaving:
        return TargetState.LEAVING
    # An announcement sent before the leave may arrive after it.
    if (
        known is not None
        and known.state is TargetState.LEAVING
        and announcement.incarnation
        and announcement.incarnation == known.announcement.incarnation
    ):
        return TargetState.LEAVING
    return TargetState.READY


def _has_changed(known: _HeldTarget, announcement: Announcement, state: TargetState) -> bool:
    old = known.announcement
    return known.state is not state or (
        old.incarnation,
        old.epoch,
        old.address,
        old.slots,
        old.rack,
        old.drained,
        old.capacity,
    ) != (
        announcement.incarnation,
        announcement.epoch,
        announcement.address,
        announcement.slots,
        announcement.rack,
        announcement.drained,
        announcement.capacity,
    )


def _renewal_orders(held: _HeldTarget, now: Instant) -> tuple[TaskOrder, ...]:
    """Return the stored renewals, less the time since the holder sent its report."""
    orders = tuple(
        TaskOrder(
            TaskOrderKind.RENEW,
            renewal.task,
            # The worker knows the job of a task that it runs.
            JobId(""),
            renewal.token,
            renewal.lease_s - elapsed(reported, now),
        )
        for renewal, reported in held.renewals.values()
        if elapsed(reported, now) < renewal.lease_s
    )
    held.renewals.clear()
    return orders
