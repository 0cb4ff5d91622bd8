"""When targets announce themselves again."""

from marigolddoor_core.instants import Instant, after, elapsed

__all__ = ["MAX_ANNOUNCEMENTS_PER_S", "AnnouncementSchedule"]

# The rate at which a holder stays within the control limits of a node: 1.4% of a core and 29 KB/s.
MAX_ANNOUNCEMENTS_PER_S = 16
MIN_INTERVAL_S = 1.0
# Task leases of 45 s are renewed with announcements, so two have to fit into a lease. A process
# that takes over the targets of another one exceeds the limit of processor time instead.
MAX_INTERVAL_S = 21.0
# A target that comes this much too early keeps its place, so that one that announces itself all the
# time takes at most two places a second.
EARLY_S = 0.5


class AnnouncementSchedule:
    """Gives each announcement a place, at most `MAX_ANNOUNCEMENTS_PER_S` of them in a second.

    Places are handed out in order, so the interval follows from the number of targets without
    counting them: 1 s up to 16 targets, 20 s for 320, and 21 s at most. Targets that announce
    themselves at the same moment, as after the loss of another holder, are spread over the
    interval.
    """

    def __init__(self) -> None:
        self._next_place = Instant(0.0)

    def next_announcement(self, due: Instant | None, now: Instant) -> Instant:
        """Return when a target that announced itself `now` is due again.

        Args:
          due: The instant that the target was given last, or None.
          now: The current instant.
        """
        if due is not None and elapsed(now, due) >= EARLY_S:
            return due
        place = max(after(now, MIN_INTERVAL_S), self._next_place)
        place = min(place, after(now, MAX_INTERVAL_S))
        self._next_place = after(place, 1.0 / MAX_ANNOUNCEMENTS_PER_S)
        return place
