"""The events of one request, each with the previous one as its cause."""

from collections.abc import Callable

from marigolddoor_core.ids import RequestId, ServiceId, VmId
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.timeline import EventId, EventKind, Subject

__all__ = ["RecordEvent", "RequestEvents"]

# Arguments: the kind, the subject, the text and the cause of an event.
RecordEvent = Callable[[EventKind, Subject, str, EventId | None], EventId | None]

_END_KINDS = {
    Outcome.ANSWERED: EventKind.REQUEST_ANSWERED,
    Outcome.NOT_RUN: EventKind.REQUEST_REFUSED,
    Outcome.FAILED: EventKind.REQUEST_FAILED,
    Outcome.UNKNOWN: EventKind.REQUEST_UNKNOWN,
}


class RequestEvents:
    """Records the events of a request. No text may contain a part of a body or of a key."""

    def __init__(self, record: RecordEvent, request: RequestId) -> None:
        self.record = record
        self.request = request
        self.service: ServiceId | None = None
        self.last: EventId | None = None

    def add(self, kind: EventKind, text: str = "", vm: VmId | None = None) -> None:
        """Record an event whose cause is the previous one."""
        subject = Subject(self.request, self.service, vm)
        self.last = self.record(kind, subject, text, self.last)

    def end(self, outcome: Outcome, text: str) -> None:
        """Record how the request ended for its caller."""
        self.add(_END_KINDS[outcome], text)
