"""The timeline: typed events of all processes in one causal order."""

from marigolddoor_core.timeline.clock import HybridTime, observe, tick
from marigolddoor_core.timeline.events import Event, EventId, EventKind, Subject
from marigolddoor_core.timeline.filters import TimelineFilter, select
from marigolddoor_core.timeline.recorder import Recorder
from marigolddoor_core.timeline.timelines import (
    MissingProcess,
    ProcessTimeline,
    Timeline,
    merge,
    order_events,
)

__all__ = [
    "Event",
    "EventId",
    "EventKind",
    "HybridTime",
    "MissingProcess",
    "ProcessTimeline",
    "Recorder",
    "Subject",
    "Timeline",
    "TimelineFilter",
    "merge",
    "observe",
    "order_events",
    "select",
    "tick",
]
