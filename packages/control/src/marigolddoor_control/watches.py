"""Watches of entry processes on the replicated state."""

from collections.abc import Callable
from typing import Protocol

import anyio
from marigolddoor_core.ids import DataCentreId, LogIndex, ProcessId, Revision
from marigolddoor_core.state.objects import Change
from marigolddoor_wire.messages import Watch, WatchReply

__all__ = ["WatchService", "WatchedState"]

# Limit, so that a watcher does not stay on a replica that lost its leader.
MAX_WAIT_S = 10.0


class WatchedState(Protocol):
    """The part of the state machine that watches read."""

    index: LogIndex

    def changes_after(
        self, index: LogIndex, data_centre: DataCentreId | None
    ) -> tuple[Change, ...] | None:
        """Return the changes after `index`, or None if they are no longer retained."""
        ...

    def all_changes(self, data_centre: DataCentreId | None) -> tuple[Change, ...]:
        """Return every object as a change."""
        ...


class WatchService:
    """Answers watches from the state of this replica.

    `applied` returns the event that is set when the next batch has been applied. `in_force` maps
    each watching process to the revision in force there.
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
        """Return the changes that the watcher is missing; if there are none, wait for some."""
        if self.in_force.get(watch.process, Revision(-1)) < watch.in_force:
            self.in_force[watch.process] = watch.in_force
            self.on_in_force(watch.process, watch.in_force)
        with anyio.move_on_after(min(watch.wait_s, MAX_WAIT_S)):
            while True:
                applied = self.applied()
                reply = self._reply_if_newer(watch)
                # A replica that lags behind the watcher waits until it has caught up.
                if reply is not None:
                    return reply
                await applied.wait()
        return WatchReply(watch.after_index, False, ())

    def _reply_if_newer(self, watch: Watch) -> WatchReply | None:
        if self.state.index <= watch.after_index:
            return None
        changes = self.state.changes_after(watch.after_index, watch.data_centre)
        if changes is None:
            all_changes = self.state.all_changes(watch.data_centre)
            return WatchReply(self.state.index, True, all_changes)
        if not changes:
            return None
        return WatchReply(self.state.index, False, changes)
