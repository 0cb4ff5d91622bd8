"""The merged timeline of all processes, fetched from each of them."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Protocol

import anyio
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import ProcessId
from marigolddoor_core.operations.interfaces import TimelinePosition
from marigolddoor_core.timeline import (
    MissingProcess,
    ProcessTimeline,
    Recorder,
    Timeline,
    TimelineFilter,
    merge,
)
from marigolddoor_wire.messages import FetchTimeline, FetchTimelineReply
from marigolddoor_wire.peers import Address

__all__ = ["PeerCaller", "PeerTimelines"]

# A slower process is listed as missing, so that one paused process does not block the timeline.
FETCH_TIMEOUT_S = 2.0


class PeerCaller(Protocol):
    """Calls another process; implemented by `PeerPool`."""

    async def call(self, address: Address, message: Any, timeout_s: float) -> Any:
        """Return the reply."""
        ...


class PeerTimelines:
    """Fetches events from the local recorder and concurrently from all peers."""

    def __init__(
        self,
        recorder: Recorder,
        caller: PeerCaller,
        peers: Callable[[], Awaitable[Sequence[Address]]],
        clock_ms: Callable[[], int],
    ) -> None:
        self.recorder = recorder
        self.caller = caller
        self.peers = peers
        self.clock_ms = clock_ms
        # Positions are kept per process, and only a reply shows which process is at an address.
        self.processes: dict[Address, ProcessId] = {}

    async def fetch(
        self, wanted: TimelineFilter, after: tuple[TimelinePosition, ...], limit: int
    ) -> Timeline:
        """Return the merged events; a process that doesn't answer is listed as missing."""
        positions = {position.process: position.sequence for position in after}
        parts = [self.recorder.fetch(wanted, positions.get(self.recorder.process, 0), limit)]
        missing: list[MissingProcess] = []

        async def ask(address: Address) -> None:
            try:
                parts.append(await self._ask(address, wanted, positions, limit))
            except MarigolddoorError as error:
                missing.append(MissingProcess(address, f"{type(error).__name__}: {error}"))

        async with anyio.create_task_group() as group:
            for address in await self.peers():
                group.start_soon(ask, address)
        return merge(parts, missing)

    async def _ask(
        self,
        address: Address,
        wanted: TimelineFilter,
        positions: Mapping[ProcessId, int],
        limit: int,
    ) -> ProcessTimeline:
        expected = self.processes.get(address)
        position = 0 if expected is None else positions.get(expected, 0)
        part = await self._call(address, wanted, position, limit)
        self.processes[address] = part.process
        if positions.get(part.process, 0) != position:
            part = await self._call(address, wanted, positions.get(part.process, 0), limit)
        return part

    async def _call(
        self, address: Address, wanted: TimelineFilter, after: int, limit: int
    ) -> ProcessTimeline:
        message = FetchTimeline(wanted, after, limit, self.recorder.last_time)
        reply: FetchTimelineReply = await self.caller.call(address, message, FETCH_TIMEOUT_S)
        if reply.time is not None:
            self.recorder.observe(reply.time, self.clock_ms())
        return reply.timeline
