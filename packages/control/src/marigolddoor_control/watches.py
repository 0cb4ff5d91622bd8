"""Watches of entry processes on the agreed state."""

from collections.abc import Callable
from typing import Protocol

import anyio
from marigolddoor_core.ids import DataCentreId, LogIndex, ProcessId, Revision
from marigolddoor_core.state.objects import Change
from marigolddoor_wire.messages import Watch, WatchReply

__all__ = ["WatchService", "WatchedState"]

# Longer waits would keep a watcher on a replica that lost its leader.
MAX_WAIT_S = 10.0


class WatchedState(Protocol):
    """The part of the state machine that watches read."""

    index: LogIndex

    def changes_after(
        self, index: LogIndex, data_centre: DataCentreId | None
    ) -> tuple[Change, ...] | None:
        """Return what changed after `index`, or None if that is no longer known."""
        ...

    def all_changes(self, data_centre: DataCentreId | None) -> tuple[Change, ...]:
        """Return every object as a change."""
        ...


class WatchService:
    """Answers watches from the state of this replica.

    `applied` returns the event that is set when the next batch has been applied. `in_force` keeps
    the revision that each watching process works with.
    """

    def __init__(
        self,
        state: WatchedState,
        applied: Callable[[], anyio.Event],
        on_in_force: Callable[[ProcessId, Revision], None] = lambda process, revision: None,
    ) -> None:
        self.state = state
        self.applied = applied
        self.on_in_force = on_in_force
        self.in_force: dict[ProcessId, Revision] = {}

    async def answer(self, watch: Watch) -> WatchReply:
        """Return the changes that the watcher lacks, after a wait if there are none."""
        if self.in_force.get(watch.process, Revision(-1)) < watch.in_force:
            self.in_force[watch.process] = watch.in_force
            self.on_in_force(watch.process, watch.in_force)
        with anyio.move_on_after(min(watch.wait_s, MAX_WAIT_S)):
            while True:
                applied = self.applied()
                reply = self._reply(watch)
                # A replica that lags behind the watcher has nothing to say until it caught up.
                if reply is not None:
                    return reply
                await applied.wait()
        return WatchReply(watch.after_index, False, ())

    def _reply(self, watch: Watch) -> WatchReply | None:
        if self.state.index <= watch.after_index:
            return None
        changes = self.state.changes_after(watch.after_index, watch.data_centre)
        if changes is None:
            everything = self.state.all_changes(watch.data_centre)
            return WatchReply(self.state.index, True, everything)
        if not changes:
            return None
        return WatchReply(self.state.index, False, changes)
