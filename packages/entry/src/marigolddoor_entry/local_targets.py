"""Holder and directory of the only entry process of a data centre."""

from collections.abc import Sequence
from dataclasses import dataclass

from marigolddoor_core.ids import Epoch, PoolId, ServiceId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.routing.policies import TargetView
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Announcement, AnnouncementReply, TargetState

__all__ = ["LocalTargets"]

INTERVAL_S = 1.0
OVERDUE_INTERVALS = 3


@dataclass(slots=True)
class _HeldTarget:
    announcement: Announcement
    last_contact: Instant
    state: TargetState


class LocalTargets:
    """Tracks only the targets that announce themselves to this process."""

    def __init__(self) -> None:
        self.held: dict[VmId, _HeldTarget] = {}
        self.records: dict[VmId, VmRecord] = {}
        self.pools_seen: frozenset[PoolId] = frozenset()

    def assign(self, records: Sequence[VmRecord]) -> None:
        """Replace the committed assignments of the VMs of the data centre."""
        self.records = {record.vm: record for record in records}

    def announce(self, announcement: Announcement, now: Instant) -> AnnouncementReply:
        """Record an announcement and return the assignment."""
        state = TargetState.LEAVING if announcement.leaving else TargetState.READY
        self.held[announcement.vm] = _HeldTarget(announcement, now, state)
        record = self.records.get(announcement.vm)
        if record is None:
            return AnnouncementReply(INTERVAL_S)
        return AnnouncementReply(
            INTERVAL_S,
            pool=record.pool,
            service=ServiceId(""),
            epoch=record.epoch,
            drain=record.next_pool is not None,
        )

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        held = self.held.get(vm)
        if held is not None:
            held.state = TargetState.LEAVING
        return held is not None

    def suspect(self, now: Instant) -> bool:
        """Mark the targets whose announcements are overdue; return whether any changed."""
        changed = False
        for held in self.held.values():
            overdue = now - held.last_contact > OVERDUE_INTERVALS * INTERVAL_S
            if overdue and held.state is TargetState.READY:
                held.state = TargetState.SUSPECTED
                changed = True
        return changed

    def targets_of(self, pool: PoolId) -> Sequence[TargetView]:
        """Return the targets of one pool."""
        return [view for view in self.targets() if view.pool == pool]

    def pop_changed_pools(self) -> frozenset[PoolId]:
        """Return every pool that has or had targets; a single process has few."""
        changed = frozenset(view.pool for view in self.targets())
        changed, self.pools_seen = changed | self.pools_seen, changed
        return changed

    def targets(self) -> Sequence[TargetView]:
        """Return the targets whose VM has a pool."""
        views = []
        for vm, held in self.held.items():
            record = self.records.get(vm)
            if record is not None:
                views.append(_view(held, record))
        return views


def _view(held: _HeldTarget, record: VmRecord) -> TargetView:
    state = held.state
    has_epoch = held.announcement.epoch in (Epoch(0), record.epoch)
    if state is TargetState.READY and (record.next_pool is not None or not has_epoch):
        state = TargetState.DRAINING
    return TargetView(
        vm=record.vm,
        pool=record.pool,
        address=held.announcement.address,
        slots=held.announcement.slots,
        busy_slots=held.announcement.busy_slots,
        epoch=record.epoch,
        state=state,
        incarnation=held.announcement.incarnation,
    )
