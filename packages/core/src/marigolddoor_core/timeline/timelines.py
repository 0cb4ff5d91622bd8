"""Merges the events of several processes into one causal order."""

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from marigolddoor_core.ids import ProcessId
from marigolddoor_core.timeline.clock import HybridTime
from marigolddoor_core.timeline.events import Event, EventId

__all__ = ["MissingProcess", "ProcessTimeline", "Timeline", "merge", "order_events"]

SortKey = tuple[HybridTime, ProcessId, int]


@dataclass(frozen=True, slots=True)
class ProcessTimeline:
    """Events of one process, in its own order.

    `position` is the sequence number up to which the process was read. `dropped` is the number of
    events that the process discarded before they were read.
    """

    process: ProcessId
    events: tuple[Event, ...]
    position: int
    dropped: int = 0


@dataclass(frozen=True, slots=True)
class MissingProcess:
    """A process whose events could not be read, with the reason."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class Timeline:
    """The events of several processes in one order, and the processes missing from it."""

    events: tuple[Event, ...]
    processes: tuple[ProcessTimeline, ...]
    missing: tuple[MissingProcess, ...] = ()


def merge(parts: Iterable[ProcessTimeline], missing: Iterable[MissingProcess] = ()) -> Timeline:
    """Return the events of all parts in one order; processes are listed without their events.

    Several parts of the same process are merged into one, with the union of their events.
    """
    events: dict[EventId, Event] = {}
    by_process: dict[ProcessId, ProcessTimeline] = {}
    for part in parts:
        events.update((event.id, event) for event in part.events)
        existing = by_process.get(part.process)
        position = part.position if existing is None else max(existing.position, part.position)
        dropped = part.dropped if existing is None else min(existing.dropped, part.dropped)
        by_process[part.process] = ProcessTimeline(part.process, (), position, dropped)
    return Timeline(
        order_events(events.values()),
        tuple(by_process[process] for process in sorted(by_process)),
        tuple(sorted(missing, key=lambda process: process.name)),
    )


def order_events(events: Iterable[Event]) -> tuple[Event, ...]:
    """Return `events` by hybrid time, but each after its cause and in the order of its process.

    Hybrid times are consistent with causes as long as every message carries one. A process that
    learned of a cause in another way, and whose clock is behind, would otherwise show an effect
    before its cause.
    """
    by_id = {event.id: event for event in sorted(events, key=_sort_key)}
    successors: dict[EventId, list[Event]] = defaultdict(list)
    in_degrees: dict[EventId, int] = dict.fromkeys(by_id, 0)
    last_ids: dict[ProcessId, EventId] = {}
    for event in sorted(by_id.values(), key=lambda event: event.sequence):
        predecessors = {last_ids.get(event.process), event.cause} & by_id.keys()
        for predecessor in predecessors:
            if predecessor is not None:
                successors[predecessor].append(event)
        in_degrees[event.id] = len(predecessors)
        last_ids[event.process] = event.id
    ready = [(_sort_key(event), event.id) for event in by_id.values() if in_degrees[event.id] == 0]
    heapq.heapify(ready)
    ordered: list[Event] = []
    while ready:
        event = by_id.pop(heapq.heappop(ready)[1])
        ordered.append(event)
        for successor in successors[event.id]:
            in_degrees[successor.id] -= 1
            if in_degrees[successor.id] == 0:
                heapq.heappush(ready, (_sort_key(successor), successor.id))
    # The remaining events have cyclic causes, which only a corrupt report can contain.
    ordered.extend(by_id.values())
    return tuple(ordered)


def _sort_key(event: Event) -> SortKey:
    return (event.time, event.process, event.sequence)
