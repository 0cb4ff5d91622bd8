"""Selection of events by what they are about."""

from collections.abc import Sequence
from dataclasses import dataclass

from marigolddoor_core.ids import JobId, PoolId, QuestionId, RequestId, Revision, VmId
from marigolddoor_core.timeline.events import Event, EventId

__all__ = ["TimelineFilter", "select"]


@dataclass(frozen=True, slots=True)
class TimelineFilter:
    """What the wanted events are about. Unset parts match everything."""

    request: RequestId | None = None
    vm: VmId | None = None
    pool: PoolId | None = None
    job: JobId | None = None
    revision: Revision | None = None
    question: QuestionId | None = None

    def matches(self, event: Event) -> bool:
        """Return whether `event` has every part that is set."""
        subject = event.subject
        pairs = (
            (self.request, subject.request),
            (self.vm, subject.vm),
            (self.pool, subject.pool),
            (self.job, subject.job),
            (self.revision, subject.revision),
            (self.question, subject.question),
        )
        return all(wanted is None or wanted == found for wanted, found in pairs)


def select(events: Sequence[Event], wanted: TimelineFilter) -> tuple[Event, ...]:
    """Return the matching events and the chain of causes of each, in the order of `events`."""
    by_id = {event.id: event for event in events}
    kept: set[EventId] = set()
    for event in events:
        if not wanted.matches(event):
            continue
        link: Event | None = event
        while link is not None and link.id not in kept:
            kept.add(link.id)
            link = by_id.get(link.cause) if link.cause is not None else None
    return tuple(event for event in events if event.id in kept)
