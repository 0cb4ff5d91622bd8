"""Hybrid logical clock: physical time that never decreases and is consistent with causality.

It only orders the timeline. No timeout, lease or other decision depends on it.

Example:
  >>> first = tick(HybridTime(1_000), 900)
  >>> first
  HybridTime(physical_ms=1000, logical=1)
  >>> observe(first, HybridTime(1_500, 4), 1_200)
  HybridTime(physical_ms=1500, logical=5)
"""

from dataclasses import dataclass

__all__ = ["MAX_DRIFT_MS", "START", "HybridTime", "observe", "tick"]

# A remote time further ahead than this is ignored, so that one process with a wrong clock can't
# advance the times of all others. Clocks of VMs under NTP differ by less than a second.
MAX_DRIFT_MS = 60_000


@dataclass(frozen=True, slots=True, order=True)
class HybridTime:
    """Milliseconds since the Unix epoch, and a counter of the events within one millisecond."""

    physical_ms: int
    logical: int = 0


START = HybridTime(0)


def tick(last: HybridTime, physical_ms: int) -> HybridTime:
    """Return the time of the next local event, which is later than `last`.

    Args:
      last: the latest time that this process has used.
      physical_ms: the reading of the wall clock; it may be earlier than `last`.
    """
    if physical_ms > last.physical_ms:
        return HybridTime(physical_ms)
    return HybridTime(last.physical_ms, last.logical + 1)


def observe(last: HybridTime, remote: HybridTime, physical_ms: int) -> HybridTime:
    """Return a time later than both `last` and `remote`, the time in a received message.

    A `remote` more than `MAX_DRIFT_MS` ahead of the wall clock is ignored.
    """
    if remote.physical_ms > physical_ms + MAX_DRIFT_MS:
        return tick(last, physical_ms)
    return tick(max(last, remote), physical_ms)
