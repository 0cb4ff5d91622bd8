"""Selection of events by their subjects."""

from collections.abc import Sequence
from dataclasses import dataclass

from marigolddoor_core.ids import JobId, PoolId, QuestionId, RequestId, Revision, VmId
from marigolddoor_core.timeline.events import Event, EventId

__all__ = ["TimelineFilter", "select"]


@dataclass(frozen=True, slots=True)
class TimelineFilter:
    """The subjects to select events by. An unset field matches every event."""

    request: RequestId | None = None
    vm: VmId | None = None
    pool: PoolId | None = None
    job: JobId | None = None
    revision: Revision | None = None
    question: QuestionId | None = None

    def matches(self, event: Event) -> bool:
        """Return whether the subject of `event` has every value that is set here."""
        subject = event.subject
        pairs = (
            (self.request, subject.request),
            (self.vm, subject.vm),
            (self.pool, subject.pool),
            (self.job, subject.job),
            (self.revision, subject.revision),
            (self.question, subject.question),
        )
        return all(expected is None or expected == actual for expected, actual in pairs)


def select(events: Sequence[Event], wanted: TimelineFilter) -> tuple[Event, ...]:
    """Return the matching events and their direct and indirect causes, in the order of `events`."""
    by_id = {event.id: event for event in events}
    selected: set[EventId] = set()
    for event in events:
        if not wanted.matches(event):
            continue
        ancestor: Event | None = event
        while ancestor is not None and ancestor.id not in selected:
            selected.add(ancestor.id)
            ancestor = by_id.get(ancestor.cause) if ancestor.cause is not None else None
    return tuple(event for event in events if event.id in selected)
