"""All targets of a data centre, as known to one entry process."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import PoolId, ProcessId, VmId
from marigolddoor_core.instants import Instant, after
from marigolddoor_core.membership.assignments import Assignments
from marigolddoor_core.membership.deltas import HolderDelta, HolderDigest, fingerprint
from marigolddoor_core.routing.policies import TargetView
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.state.vm_table import in_maintenance
from marigolddoor_core.targets import TargetState

__all__ = ["DeltaOutcome", "TargetDirectory"]

# A target of a lost holder announces itself to another one within its interval, at most 20 s.
# This is three intervals.
LOST_HOLDER_GRACE_S = 60.0
# Ended incarnations that are remembered for each VM.
MAX_ENDED_INCARNATIONS = 4
# VMs whose incarnations are remembered; more than the target size of a data centre, 762.
MAX_HISTORIES = 4_096


class DeltaOutcome(Enum):
    """The outcome of applying a delta."""

    APPLIED = "applied"
    OLD = "old"
    WANT_FULL = "want full"


@dataclass(frozen=True, slots=True)
class _Report:
    """A target as its holder reported it, with the time of the announcement."""

    target: ObservedTarget
    announced: Instant


@dataclass(slots=True)
class _Holder:
    """The latest reports of a holder. `complete` is False while a delta is missing."""

    sequence: int = 0
    complete: bool = False
    reports: dict[VmId, _Report] = field(default_factory=dict)
    checksum: int = 0
    lost_at: Instant | None = None


@dataclass(slots=True)
class _History:
    """The known incarnations of a VM, kept after no holder reports it any longer."""

    current: str = ""
    ended: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_ENDED_INCARNATIONS))
    left: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_ENDED_INCARNATIONS))


class TargetDirectory:
    """Tracks the targets of the data centre from the deltas of all holders, its own included.

    The cost of a delta does not depend on the number of unchanged targets. `changed_pools` collects
    the pools whose targets changed until the caller clears it.
    """

    def __init__(self, assignments: Assignments) -> None:
        self.assignments = assignments
        self.changed_pools: set[PoolId] = set()
        self._holders: dict[ProcessId, _Holder] = {}
        self._holders_by_vm: dict[VmId, dict[ProcessId, None]] = {}
        self._views: dict[VmId, TargetView] = {}
        self._views_by_pool: dict[PoolId, dict[VmId, TargetView]] = {}
        self._histories: OrderedDict[VmId, _History] = OrderedDict()
        self._gone: dict[VmId, None] = {}

    def apply(self, delta: HolderDelta, now: Instant) -> DeltaOutcome:
        """Apply the delta of a holder.

        A delta that is not newer than the holder's last one is ignored. After a gap, the delta is
        applied, because its reports are newer than the known ones, and the caller has to request a
        full delta from the holder.
        """
        holder = self._holders.setdefault(delta.process, _Holder())
        if delta.full:
            # A full delta with the same sequence fills the gap for which the caller requested it.
            if delta.sequence < holder.sequence:
                return DeltaOutcome.OLD
            listed = {target.announcement.vm for target in delta.targets}
            for vm in [vm for vm in holder.reports if vm not in listed]:
                self._remove(delta.process, vm)
            holder.complete = True
        elif delta.sequence <= holder.sequence:
            return DeltaOutcome.OLD
        elif delta.sequence > holder.sequence + 1:
            holder.complete = False
        holder.sequence = delta.sequence
        holder.lost_at = None
        for target in delta.targets:
            self._record_report(delta.process, target, now)
        for vm in delta.gone:
            self._remove(delta.process, vm)
        # The first delta of a new holder is complete.
        if delta.sequence == 1:
            holder.complete = True
        return DeltaOutcome.APPLIED if holder.complete else DeltaOutcome.WANT_FULL

    def check(self, digest: HolderDigest) -> bool:
        """Return whether the known targets of a holder match its digest.

        If they do not, the caller requests a full delta from the holder. A digest that is older
        than the last delta is ignored.
        """
        holder = self._holders.get(digest.process)
        if holder is None:
            return digest.targets == 0
        if digest.sequence < holder.sequence:
            return True
        return (digest.sequence, digest.targets, digest.checksum) == (
            holder.sequence,
            len(holder.reports),
            holder.checksum,
        )

    def mark_holder_lost(self, process: ProcessId, now: Instant) -> None:
        """Record the loss of an entry process. Its targets are kept while they move to another."""
        holder = self._holders.get(process)
        if holder is not None and holder.lost_at is None:
            holder.lost_at = now

    def expire(self, now: Instant) -> None:
        """Remove the targets of lost holders that did not move to another one in time."""
        for process, holder in list(self._holders.items()):
            if holder.lost_at is not None and after(holder.lost_at, LOST_HOLDER_GRACE_S) <= now:
                for vm in list(holder.reports):
                    self._remove(process, vm)
                del self._holders[process]

    def assign(self, records: Iterable[VmRecord]) -> None:
        """Replace the committed assignments."""
        self.refresh(self.assignments.replace(records))

    def refresh(self, vms: Iterable[VmId]) -> None:
        """Rebuild the views of VMs whose assignments changed."""
        for vm in vms:
            self._refresh(vm)

    def targets(self) -> Sequence[TargetView]:
        """Return all targets that have a pool."""
        return tuple(self._views.values())

    def targets_of(self, pool: PoolId) -> Sequence[TargetView]:
        """Return the targets of one pool."""
        return tuple(self._views_by_pool.get(pool, {}).values())

    def find(self, vm: VmId) -> TargetView | None:
        """Return a target, or None if it has not announced itself or has no pool."""
        return self._views.get(vm)

    def take_gone(self) -> tuple[VmId, ...]:
        """Return and clear the VMs that no holder reports any longer."""
        gone = tuple(self._gone)
        self._gone.clear()
        return gone

    def __len__(self) -> int:
        """Return the number of VMs that any holder reports, with or without a pool."""
        return len(self._holders_by_vm)

    def _record_report(self, process: ProcessId, target: ObservedTarget, now: Instant) -> None:
        vm = target.announcement.vm
        holder = self._holders[process]
        old = holder.reports.get(vm)
        if old is not None:
            holder.checksum ^= fingerprint(old.target)
        holder.reports[vm] = _Report(target, after(now, -target.age_s))
        holder.checksum ^= fingerprint(target)
        self._holders_by_vm.setdefault(vm, {})[process] = None
        self._gone.pop(vm, None)
        incarnation = target.announcement.incarnation
        if target.state is TargetState.LEAVING and incarnation:
            left = self._history(vm).left
            if incarnation not in left:
                left.append(incarnation)
        self._refresh(vm)

    def _remove(self, process: ProcessId, vm: VmId) -> None:
        holder = self._holders[process]
        old = holder.reports.pop(vm, None)
        if old is None:
            return
        holder.checksum ^= fingerprint(old.target)
        holders = self._holders_by_vm[vm]
        del holders[process]
        if not holders:
            del self._holders_by_vm[vm]
            self._gone[vm] = None
        elif self._latest(vm) is None:
            # Only reports of incarnations that were considered ended remain. Unless the current one
            # has left, the order of incarnations was inferred wrongly, so they are valid again.
            history = self._history(vm)
            if history.current not in history.left:
                history.ended.clear()
        self._refresh(vm)

    def _latest(self, vm: VmId) -> _Report | None:
        """Return the latest report of a VM, except those of ended incarnations."""
        latest: _Report | None = None
        ended = self._histories[vm].ended if vm in self._histories else ()
        for process in self._holders_by_vm.get(vm, ()):
            report = self._holders[process].reports[vm]
            if report.target.announcement.incarnation in ended:
                continue
            if latest is None or report.announced >= latest.announced:
                latest = report
        return latest

    def _refresh(self, vm: VmId) -> None:
        report = self._latest(vm)
        record = self.assignments.records.get(vm)
        if report is not None:
            self._track_incarnation(vm, report.target.announcement.incarnation)
        old = self._views.get(vm)
        new = None
        if report is not None and record is not None:
            new = self._view(report.target, record)
        if new == old:
            return
        if old is not None:
            self._views_by_pool[old.pool].pop(vm)
            self.changed_pools.add(old.pool)
            del self._views[vm]
        if new is not None:
            self._views_by_pool.setdefault(new.pool, {})[vm] = new
            self.changed_pools.add(new.pool)
            self._views[vm] = new

    def _view(self, target: ObservedTarget, record: VmRecord) -> TargetView:
        facts = target.announcement
        return TargetView(
            record.vm,
            record.pool,
            facts.address,
            facts.slots,
            facts.busy_slots,
            record.epoch,
            self._effective_state(target, record),
            facts.incarnation,
        )

    def _effective_state(self, target: ObservedTarget, record: VmRecord) -> TargetState:
        facts = target.announcement
        # An incarnation that has left stays so, whatever another holder reports later.
        history = self._histories.get(record.vm)
        if history is not None and facts.incarnation in history.left:
            return TargetState.LEAVING
        if target.state is not TargetState.READY:
            return target.state
        # A target that has not applied its assignment yet refuses requests of that epoch.
        has_current_epoch = facts.epoch == record.epoch
        if record.next_pool is not None or in_maintenance(record) or not has_current_epoch:
            return TargetState.DRAINING
        return TargetState.READY

    def _track_incarnation(self, vm: VmId, incarnation: str) -> None:
        history = self._history(vm)
        if history.current != incarnation:
            if history.current:
                history.ended.append(history.current)
            history.current = incarnation

    def _history(self, vm: VmId) -> _History:
        history = self._histories.get(vm)
        if history is None:
            history = self._histories[vm] = _History()
            while len(self._histories) > MAX_HISTORIES:
                self._histories.popitem(last=False)
        self._histories.move_to_end(vm)
        return history
