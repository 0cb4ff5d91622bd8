"""Combines the holder, directory and failure detector of one entry process."""

from collections.abc import Sequence

from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.membership.assignments import Assignments
from marigolddoor_core.membership.deltas import HolderDelta, HolderDigest
from marigolddoor_core.membership.directory import DeltaOutcome, TargetDirectory
from marigolddoor_core.membership.failure_detector import FailureDetector
from marigolddoor_core.membership.holder import TargetHolder
from marigolddoor_core.routing.policies import TargetView
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Announcement, AnnouncementReply, TargetState

__all__ = ["Members"]


class Members:
    """Tracks the targets of a data centre for one entry process.

    `outbox` collects the deltas for all peers; the caller sends and clears them after each call.
    """

    def __init__(self, process: ProcessId) -> None:
        self.assignments = Assignments()
        self.holder = TargetHolder(process, self.assignments)
        self.directory = TargetDirectory(self.assignments)
        self.failure_detector = FailureDetector()
        self.outbox: list[HolderDelta] = []

    def announce(self, announcement: Announcement, now: Instant) -> AnnouncementReply:
        """Record an announcement and return the reply."""
        reply = self.holder.announce(announcement, now)
        self.failure_detector.add(announcement.vm)
        self.failure_detector.record_reachable(announcement.vm)
        self._publish_updates(now)
        return reply

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        known = self.holder.leave(vm, now)
        self._publish_updates(now)
        return known

    def suspect(self, now: Instant) -> bool:
        """Mark suspected and dead targets; return whether any changed."""
        changed = self.holder.suspect(now)
        self._publish_updates(now)
        self._remove_gone()
        for vm in self.failure_detector.take_dead(now):
            changed = self.holder.confirm_dead(vm) or changed
        self._publish_updates(now)
        return changed

    def dispatch_failed(self, vm: VmId, now: Instant) -> bool:
        """Record that a request could not reach a target; return whether it is suspected now."""
        changed = self.holder.dispatch_failed(vm)
        self._publish_updates(now)
        return changed

    def record_unreachable(self, vm: VmId, observer: ProcessId, now: Instant) -> bool:
        """Record that a peer could not reach a suspected target; return whether any changed."""
        self.failure_detector.record_unreachable(vm, observer)
        return self.suspect(now)

    def assign(self, records: Sequence[VmRecord]) -> None:
        """Replace the committed assignments of the VMs of the data centre."""
        before = self.assignments.records
        self.holder.assign(records)
        after = self.assignments.records
        vms = dict.fromkeys((*before, *after))
        self.directory.refresh(vm for vm in vms if before.get(vm) != after.get(vm))

    def receive(self, delta: HolderDelta, now: Instant) -> bool:
        """Apply a peer's delta; return whether the peer has to send a full one."""
        outcome = self.directory.apply(delta, now)
        if outcome is not DeltaOutcome.OLD:
            self.holder.drop_superseded(delta, now)
            self._update_failure_detector(delta)
        self._publish_updates(now)
        return outcome is DeltaOutcome.WANT_FULL

    def check(self, digest: HolderDigest) -> bool:
        """Return whether the peer that sent `digest` has to send a full delta."""
        return not self.directory.check(digest)

    def publish(self, now: Instant) -> HolderDigest:
        """Put unpublished changes into the outbox; return the digest to send after them."""
        self._publish(now)
        return self.holder.digest()

    def targets(self) -> Sequence[TargetView]:
        """Return the targets of the data centre that have a pool."""
        return self.directory.targets()

    def _publish_updates(self, now: Instant) -> None:
        if self.holder.has_updates:
            self._publish(now)

    def _publish(self, now: Instant) -> None:
        delta = self.holder.take_delta(now)
        if delta is not None:
            self.directory.apply(delta, now)
            self.outbox.append(delta)
            self._update_failure_detector(delta)

    def _update_failure_detector(self, delta: HolderDelta) -> None:
        for target in delta.targets:
            vm = target.announcement.vm
            self.failure_detector.add(vm)
            if target.state is TargetState.SUSPECTED:
                self.failure_detector.suspect(vm, delta.process, self.holder.dead_at(vm))
            elif target.state is TargetState.DEAD:
                self.failure_detector.mark_dead(vm)
            else:
                self.failure_detector.record_reachable(vm)
        self._remove_gone()

    def _remove_gone(self) -> None:
        # A target is also removed by a full delta that does not list it, or with a lost holder.
        for vm in self.directory.take_gone():
            self.failure_detector.remove(vm)
