"""Points in time and durations.

An `Instant` is a reading of a monotonic clock in seconds. It is meaningful inside one process
only. Durations are sent between processes; instants are not.
"""

from typing import NewType

__all__ = ["Duration", "Instant", "after", "elapsed"]

Instant = NewType("Instant", float)
# In seconds.
Duration = NewType("Duration", float)


def after(start: Instant, duration: float) -> Instant:
    """Return the instant `duration` seconds after `start`."""
    return Instant(start + duration)


def elapsed(start: Instant, now: Instant) -> Duration:
    """Return the seconds from `start` to `now`; negative if `now` is the earlier one."""
    return Duration(now - start)
