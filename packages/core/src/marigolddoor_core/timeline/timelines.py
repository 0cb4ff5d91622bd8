"""One order for the events of several processes."""

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from marigolddoor_core.ids import ProcessId
from marigolddoor_core.timeline.clock import HybridTime
from marigolddoor_core.timeline.events import Event, EventId

__all__ = ["MissingProcess", "ProcessTimeline", "Timeline", "merge", "order"]

Key = tuple[HybridTime, ProcessId, int]


@dataclass(frozen=True, slots=True)
class ProcessTimeline:
    """Events of one process, in its own order.

    `position` is the sequence up to which the process was read. `dropped` counts the events that
    were forgotten before they were read.
    """

    process: ProcessId
    events: tuple[Event, ...]
    position: int
    dropped: int = 0


@dataclass(frozen=True, slots=True)
class MissingProcess:
    """A process whose events are not in the timeline, with the reason."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class Timeline:
    """The events of several processes in one order, and what is missing from it."""

    events: tuple[Event, ...]
    processes: tuple[ProcessTimeline, ...]
    missing: tuple[MissingProcess, ...] = ()


def merge(parts: Iterable[ProcessTimeline], missing: Iterable[MissingProcess] = ()) -> Timeline:
    """Return the events of all parts in one order; processes are listed without their events.

    A process that is given twice counts once, with the union of its events.
    """
    events: dict[EventId, Event] = {}
    heads: dict[ProcessId, ProcessTimeline] = {}
    for part in parts:
        events.update((event.id, event) for event in part.events)
        known = heads.get(part.process)
        position = part.position if known is None else max(known.position, part.position)
        dropped = part.dropped if known is None else min(known.dropped, part.dropped)
        heads[part.process] = ProcessTimeline(part.process, (), position, dropped)
    return Timeline(
        order(events.values()),
        tuple(heads[process] for process in sorted(heads)),
        tuple(sorted(missing, key=lambda process: process.name)),
    )


def order(events: Iterable[Event]) -> tuple[Event, ...]:
    """Return `events` by hybrid time, but each after its cause and in the order of its process.

    Hybrid times agree with causes while every message carries one. A process that was told of a
    cause in another way, with its clock behind, would otherwise show an effect before its cause.
    """
    by_id = {event.id: event for event in sorted(events, key=_key)}
    followers: dict[EventId, list[Event]] = defaultdict(list)
    waits: dict[EventId, int] = dict.fromkeys(by_id, 0)
    latest: dict[ProcessId, EventId] = {}
    for event in sorted(by_id.values(), key=lambda event: event.sequence):
        before = {latest.get(event.process), event.cause} & by_id.keys()
        for predecessor in before:
            if predecessor is not None:
                followers[predecessor].append(event)
        waits[event.id] = len(before)
        latest[event.process] = event.id
    ready = [(_key(event), event.id) for event in by_id.values() if waits[event.id] == 0]
    heapq.heapify(ready)
    ordered: list[Event] = []
    while ready:
        event = by_id.pop(heapq.heappop(ready)[1])
        ordered.append(event)
        for follower in followers[event.id]:
            waits[follower.id] -= 1
            if waits[follower.id] == 0:
                heapq.heappush(ready, (_key(follower), follower.id))
    # What is left has causes in a circle, which only a damaged report can hold.
    ordered.extend(by_id.values())
    return tuple(ordered)


def _key(event: Event) -> Key:
    return (event.time, event.process, event.sequence)
