"""The answer of a process to a fetch of its timeline."""

from marigolddoor_core.timeline import Recorder

from marigolddoor_wire.messages import FetchTimeline, FetchTimelineReply

__all__ = ["answer_fetch"]


def answer_fetch(
    recorder: Recorder, message: FetchTimeline, physical_ms: int
) -> FetchTimelineReply:
    """Return the reply of the process that `recorder` belongs to."""
    if message.time is not None:
        recorder.observe(message.time, physical_ms)
    part = recorder.fetch(message.wanted, message.after_sequence, message.limit)
    return FetchTimelineReply(part, recorder.last_time)
