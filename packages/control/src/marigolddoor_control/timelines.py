"""Collects the timelines of all processes that this one knows."""

from collections.abc import Callable, Iterable

import anyio
from marigolddoor_core.ids import ProcessId
from marigolddoor_core.operations.views import TimelinePosition
from marigolddoor_core.timeline import (
    MissingProcess,
    ProcessTimeline,
    Recorder,
    Timeline,
    TimelineFilter,
    merge,
)
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError, RemoteError
from marigolddoor_wire.messages import FetchTimeline, FetchTimelineReply
from marigolddoor_wire.peers import Address, PeerPool

__all__ = ["Timelines", "answer_fetch"]

FETCH_TIMEOUT_S = 1.0


def answer_fetch(recorder: Recorder, message: FetchTimeline) -> FetchTimelineReply:
    """Return the events of this process that a fetch asks for."""
    part = recorder.fetch(message.wanted, message.after_sequence, message.limit)
    return FetchTimelineReply(part, recorder.last)


class Timelines:
    """Implements `marigolddoor_core.operations.views.TimelineSource` over peer links.

    Args:
      recorder: the events of this process.
      pool: links to other processes.
      others: returns name and address of each other process that is known.
    """

    def __init__(
        self,
        recorder: Recorder,
        pool: PeerPool,
        others: Callable[[], Iterable[tuple[str, Address]]],
    ) -> None:
        self.recorder = recorder
        self.pool = pool
        self.others = others

    async def fetch(
        self, wanted: TimelineFilter, after: tuple[TimelinePosition, ...], limit: int
    ) -> Timeline:
        """Return the merged events; a process that can't be reached is listed as missing."""
        positions = {position.process: position.sequence for position in after}
        own = self.recorder.process
        parts = [self.recorder.fetch(wanted, positions.get(own, 0), limit)]
        missing: list[MissingProcess] = []
        async with anyio.create_task_group() as group:
            for name, address in self.others():
                group.start_soon(
                    self._fetch_one, name, address, wanted, positions, limit, parts, missing
                )
        return merge(parts, missing)

    async def _fetch_one(
        self,
        name: str,
        address: Address,
        wanted: TimelineFilter,
        positions: dict[ProcessId, int],
        limit: int,
        parts: list[ProcessTimeline],
        missing: list[MissingProcess],
    ) -> None:
        after = positions.get(ProcessId(name), 0)
        message = FetchTimeline(wanted, after, limit, self.recorder.last)
        try:
            reply = await self.pool.call(address, message, FETCH_TIMEOUT_S)
        except (PeerUnreachableError, PeerTimeoutError, RemoteError) as error:
            missing.append(MissingProcess(name, str(error)))
            return
        assert isinstance(reply, FetchTimelineReply)
        parts.append(reply.timeline)
