"""Reply to a request for the timeline of a process."""

from marigolddoor_core.timeline import Recorder

from marigolddoor_wire.messages import FetchTimeline, FetchTimelineReply

__all__ = ["answer_fetch"]


def answer_fetch(
    recorder: Recorder, message: FetchTimeline, physical_ms: int
) -> FetchTimelineReply:
    """Return the requested events of `recorder`, after advancing its hybrid clock."""
    if message.time is not None:
        recorder.observe(message.time, physical_ms)
    part = recorder.fetch(message.wanted, message.after_sequence, message.limit)
    return FetchTimelineReply(part, recorder.last_time)
