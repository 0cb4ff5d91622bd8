"""Holder, directory and observers of one entry process, joined."""

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
    """Keeps the targets of a data centre for one entry process.

    `outbox` collects the deltas that have to be sent to every peer; the caller sends and clears
    them, at once after each call.
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
        self.failure_detector.join(announcement.vm)
        self.failure_detector.reached(announcement.vm)
        self._publish_news(now)
        return reply

    def leave(self, vm: VmId, now: Instant) -> bool:
        """Record that a target leaves; return whether it was known."""
        known = self.holder.leave(vm, now)
        self._publish_news(now)
        return known

    def suspect(self, now: Instant) -> bool:
        """Mark silent and dead targets; return whether any changed."""
        changed = self.holder.suspect(now)
        self._publish_news(now)
        self._forget_gone()
        for vm in self.failure_detector.take_dead(now):
            changed = self.holder.confirm_dead(vm) or changed
        self._publish_news(now)
        return changed

    def dispatch_failed(self, vm: VmId, now: Instant) -> bool:
        """Record that a request could not reach a target; return whether it is suspected now."""
        changed = self.holder.dispatch_failed(vm)
        self._publish_news(now)
        return changed

    def record_unreachable(self, vm: VmId, observer: ProcessId, now: Instant) -> bool:
        """Record that a peer could not reach a suspected target; return whether any died."""
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
        """Apply a peer's delta; return whether a full one is wanted from it."""
        outcome = self.directory.apply(delta, now)
        if outcome is not DeltaOutcome.OLD:
            self.holder.yield_to(delta, now)
            self._observe(delta)
        self._publish_news(now)
        return outcome is DeltaOutcome.WANT_FULL

    def check(self, digest: HolderDigest) -> bool:
        """Return whether a full delta is wanted from the peer that sent `digest`."""
        return not self.directory.check(digest)

    def publish(self, now: Instant) -> HolderDigest:
        """Put what peers were not told into the outbox and return the digest to send after it."""
        self._publish(now)
        return self.holder.digest()

    def targets(self) -> Sequence[TargetView]:
        """Return the targets of the data centre that have a pool."""
        return self.directory.targets()

    def _publish_news(self, now: Instant) -> None:
        if self.holder.has_news:
            self._publish(now)

    def _publish(self, now: Instant) -> None:
        delta = self.holder.take_delta(now)
        if delta is not None:
            self.directory.apply(delta, now)
            self.outbox.append(delta)
            self._observe(delta)

    def _observe(self, delta: HolderDelta) -> None:
        for target in delta.targets:
            vm = target.announcement.vm
            self.failure_detector.join(vm)
            if target.state is TargetState.SUSPECTED:
                self.failure_detector.suspect(vm, delta.process, self.holder.dead_at(vm))
            elif target.state is TargetState.DEAD:
                self.failure_detector.confirmed(vm)
            else:
                self.failure_detector.reached(vm)
        self._forget_gone()

    def _forget_gone(self) -> None:
        # A target may also go with a full delta that does not list it, or with a lost holder.
        for vm in self.directory.take_gone():
            self.failure_detector.leave(vm)
