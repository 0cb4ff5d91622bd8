"""A timeline recorder that also counts the events that are exported as metrics."""

from marigolddoor_core.ids import ProcessId
from marigolddoor_core.metrics import CounterKind, Counters, Labels
from marigolddoor_core.timeline import EventId, EventKind, Recorder, Subject

__all__ = ["CountingRecorder"]

_COUNTER_OF_EVENT = {
    EventKind.MOVE_BEGUN: CounterKind.MOVES,
    EventKind.QUESTION_OPENED: CounterKind.QUESTIONS,
    # Only the new leader counts a failover, so that the sum over all processes is correct.
    EventKind.ELECTION_WON: CounterKind.FAILOVERS,
}


class CountingRecorder(Recorder):
    """A recorder whose counters cover all events, also those it no longer keeps."""

    def __init__(self, process: ProcessId, capacity: int) -> None:
        super().__init__(process, capacity)
        self.counters = Counters()

    def record(
        self,
        kind: EventKind,
        physical_ms: int,
        subject: Subject,
        text: str = "",
        cause: EventId | None = None,
    ) -> EventId:
        """Store and count an event and return its id."""
        counter = _COUNTER_OF_EVENT.get(kind)
        if counter is not None:
            self.counters.add(counter, Labels(pool=subject.pool or ""))
        return super().record(kind, physical_ms, subject, text, cause)
