"""The agreed time, which the leader stamps into commands."""

from collections.abc import Callable

__all__ = ["AgreedClock"]


class AgreedClock:
    """Wall time that never goes back, neither on one leader nor from one leader to the next."""

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall
        self.last_s = 0.0

    def observe(self, time_s: float) -> None:
        """Take the time of an applied command into account."""
        self.last_s = max(self.last_s, time_s)

    def stamp(self) -> float:
        """Return the time for a new command."""
        self.observe(self.wall())
        return self.last_s

    def read(self) -> float:
        """Return the time without promising that a command gets it."""
        return max(self.last_s, self.wall())
