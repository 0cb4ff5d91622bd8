"""Schedules the announcements of targets."""

from marigolddoor_core.instants import Instant, after, elapsed

__all__ = ["MAX_ANNOUNCEMENTS_PER_S", "AnnouncementSchedule"]

# At this rate a holder stays within the control limits of a node: 1.4% of a core and 29 KB/s.
MAX_ANNOUNCEMENTS_PER_S = 16
MIN_INTERVAL_S = 1.0
# Announcements renew task leases of 45 s, so two intervals must fit into a lease. A process that
# takes over the targets of another one exceeds the processor time limit instead.
MAX_INTERVAL_S = 21.0
# An announcement this early does not change the time of the next one, so that a target that
# announces itself continuously is scheduled at most twice a second.
EARLY_THRESHOLD_S = 0.5


class AnnouncementSchedule:
    """Schedules at most `MAX_ANNOUNCEMENTS_PER_S` announcements per second.

    Times are assigned in order, so the interval adapts to the number of targets: 1 s up to 16
    targets, 20 s for 320, and 21 s at most. Targets that announce themselves simultaneously, such
    as after the loss of another holder, are spread over the interval.
    """

    def __init__(self) -> None:
        self._next_free = Instant(0.0)

    def next_announcement(self, due: Instant | None, now: Instant) -> Instant:
        """Return when a target that announced itself `now` is due again.

        Args:
          due: The instant last returned for the target, or None.
          now: The current instant.
        """
        if due is not None and elapsed(now, due) >= EARLY_THRESHOLD_S:
            return due
        next_due = max(after(now, MIN_INTERVAL_S), self._next_free)
        next_due = min(next_due, after(now, MAX_INTERVAL_S))
        self._next_free = after(next_due, 1.0 / MAX_ANNOUNCEMENTS_PER_S)
        return next_due
