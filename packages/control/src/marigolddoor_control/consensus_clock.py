"""The consensus time, which the leader stamps into commands."""

from collections.abc import Callable

__all__ = ["ConsensusClock"]


class ConsensusClock:
    """Wall time that is monotonic on one leader and across changes of the leader."""

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall
        self.last_s = 0.0

    def observe(self, time_s: float) -> None:
        """Raise the clock to the time of an applied command."""
        self.last_s = max(self.last_s, time_s)

    def stamp(self) -> float:
        """Return the time for a new command."""
        self.observe(self.wall())
        return self.last_s

    def read(self) -> float:
        """Return the current time, which no command need carry."""
        return max(self.last_s, self.wall())
