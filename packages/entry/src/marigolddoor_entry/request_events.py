"""The events of one request, each linked with the one before it."""

from collections.abc import Callable

from marigolddoor_core.ids import RequestId, ServiceId, VmId
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.timeline import EventId, EventKind, Subject

__all__ = ["RecordEvent", "RequestEvents"]

# Takes the kind, the subject, the text and the cause of an event.
RecordEvent = Callable[[EventKind, Subject, str, EventId | None], EventId | None]

_ENDS = {
    Outcome.ANSWERED: EventKind.REQUEST_ANSWERED,
    Outcome.NOT_RUN: EventKind.REQUEST_REFUSED,
    Outcome.FAILED: EventKind.REQUEST_FAILED,
    Outcome.UNKNOWN: EventKind.REQUEST_UNKNOWN,
}


class RequestEvents:
    """Records what happens to a request. No text may hold a part of a body or of a key."""

    def __init__(self, record: RecordEvent, request: RequestId) -> None:
        self.record = record
        self.request = request
        self.service: ServiceId | None = None
        self.last: EventId | None = None

    def add(self, kind: EventKind, text: str = "", vm: VmId | None = None) -> None:
        """Record an event that the previous one led to."""
        subject = Subject(self.request, self.service, vm)
        self.last = self.record(kind, subject, text, self.last)

    def end(self, outcome: Outcome, text: str) -> None:
        """Record how the request ended for its caller."""
        self.add(_ENDS[outcome], text)
