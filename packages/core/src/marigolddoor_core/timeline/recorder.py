"""The recorder of the latest events of one process."""

from collections import deque
from collections.abc import Callable

from marigolddoor_core.ids import ProcessId
from marigolddoor_core.timeline.clock import START, HybridTime, observe, tick
from marigolddoor_core.timeline.events import Event, EventId, EventKind, Subject
from marigolddoor_core.timeline.filters import TimelineFilter, select
from marigolddoor_core.timeline.timelines import ProcessTimeline

__all__ = ["DEFAULT_CAPACITY", "Recorder"]

# About 4 MB, since an event with its texts takes close to 1 KB.
DEFAULT_CAPACITY = 4096


class Recorder:
    """Keeps the latest `capacity` events of a process; older ones count as dropped.

    `on_record` is called with each event.
    """

    def __init__(
        self,
        process: ProcessId,
        capacity: int = DEFAULT_CAPACITY,
        on_record: Callable[[Event], None] | None = None,
    ) -> None:
        self.process = process
        self.events: deque[Event] = deque(maxlen=capacity)
        self.last_time = START
        self.sequence = 0
        self.on_record = on_record

    def record(
        self,
        kind: EventKind,
        physical_ms: int,
        subject: Subject,
        text: str = "",
        cause: EventId | None = None,
    ) -> EventId:
        """Record an event and return its id, for use as the cause of later events."""
        self.last_time = tick(self.last_time, physical_ms)
        self.sequence += 1
        event_id = EventId(f"{self.process}/{self.sequence}")
        event = Event(
            event_id, self.process, self.sequence, self.last_time, kind, subject, text, cause
        )
        self.events.append(event)
        if self.on_record is not None:
            self.on_record(event)
        return event_id

    def observe(self, remote: HybridTime, physical_ms: int) -> None:
        """Advance the clock past the time of a received message, so that later events follow it."""
        self.last_time = observe(self.last_time, remote, physical_ms)

    def fetch(
        self, wanted: TimelineFilter, after_sequence: int = 0, limit: int = DEFAULT_CAPACITY
    ) -> ProcessTimeline:
        """Return up to `limit` matching events after `after_sequence`, and the new position."""
        oldest = self.events[0].sequence if self.events else self.sequence + 1
        selected = [
            event for event in select(tuple(self.events), wanted) if event.sequence > after_sequence
        ]
        if len(selected) > limit:
            selected = selected[:limit]
            position = selected[-1].sequence
        else:
            position = self.sequence
        dropped = max(0, oldest - 1 - after_sequence)
        return ProcessTimeline(self.process, tuple(selected), position, dropped)
