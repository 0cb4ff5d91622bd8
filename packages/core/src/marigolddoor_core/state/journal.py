"""The objects of the agreed state in the order of their last change."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from marigolddoor_core.ids import DataCentreId, LogIndex
from marigolddoor_core.state.objects import Change, ObjectKind, ObjectValue
from marigolddoor_core.state.snapshots import SnapshotEntry

__all__ = ["Journal"]

# A watcher that lags by more removals than this gets a snapshot. The target size replaces 4,000 VMs
# a day, so this many removals cover about a day.
TOMBSTONE_LIMIT = 4_096

# Entry processes use these kinds, and the VMs of their own data centre.
WATCHED_KINDS = frozenset(
    {
        ObjectKind.REVISION,
        ObjectKind.SERVICE,
        ObjectKind.POOL,
        ObjectKind.TEAM,
        ObjectKind.WEIGHTS,
    }
)

# The key of a VM includes its data centre, so that a removal reaches the watchers there even if the
# id is used again elsewhere.
Key = tuple[ObjectKind, str, DataCentreId | None]


class Journal:
    """Orders objects and removals by the log index of their last change.

    `compacted_index` is the highest index of a removal that is no longer kept. The state machine
    sets `index` before it applies a command.
    """

    def __init__(self, tombstone_limit: int = TOMBSTONE_LIMIT) -> None:
        self.index = LogIndex(0)
        self.compacted_index = LogIndex(0)
        self.tombstone_limit = tombstone_limit
        self._entries: OrderedDict[Key, SnapshotEntry] = OrderedDict()
        self._tombstones: OrderedDict[Key, LogIndex] = OrderedDict()

    def put(
        self,
        kind: ObjectKind,
        key: str,
        value: ObjectValue,
        data_centre: DataCentreId | None = None,
    ) -> None:
        """Record `value` as the value of the object since the current index."""
        self._append(SnapshotEntry(Change(kind, key, self.index, value), data_centre))

    def remove(self, kind: ObjectKind, key: str, data_centre: DataCentreId | None = None) -> None:
        """Record that the object was removed at the current index."""
        self._append(SnapshotEntry(Change(kind, key, self.index, None), data_centre))
        while len(self._tombstones) > self.tombstone_limit:
            oldest, index = self._tombstones.popitem(last=False)
            del self._entries[oldest]
            self.compacted_index = index

    def changes_after(
        self, index: LogIndex, data_centre: DataCentreId | None
    ) -> tuple[Change, ...] | None:
        """Return the changes after `index` in order; see `StateMachine.changes_after`."""
        if index < self.compacted_index:
            return None
        changes: list[Change] = []
        for entry in reversed(self._entries.values()):
            if entry.change.index <= index:
                break
            if _is_watched(entry, data_centre):
                changes.append(entry.change)
        changes.reverse()
        return tuple(changes)

    def all_changes(self, data_centre: DataCentreId | None) -> tuple[Change, ...]:
        """Return every object that exists, in the order of its last change."""
        return tuple(
            entry.change
            for entry in self._entries.values()
            if entry.change.value is not None and _is_watched(entry, data_centre)
        )

    def entries(self) -> Iterator[SnapshotEntry]:
        """Iterate over objects and removals in the order of their last change."""
        return iter(self._entries.values())

    def restore(
        self, index: LogIndex, compacted_index: LogIndex, entries: Iterable[SnapshotEntry]
    ) -> None:
        """Replace everything by `entries`, which are in the order of their last change."""
        self.index = index
        self.compacted_index = compacted_index
        self._entries.clear()
        self._tombstones.clear()
        for entry in entries:
            self._append(entry)

    def _append(self, entry: SnapshotEntry) -> None:
        key = (entry.change.kind, entry.change.key, entry.data_centre)
        self._entries[key] = entry
        self._entries.move_to_end(key)
        self._tombstones.pop(key, None)
        if entry.change.value is None:
            self._tombstones[key] = entry.change.index


def _is_watched(entry: SnapshotEntry, data_centre: DataCentreId | None) -> bool:
    if data_centre is None:
        return True
    if entry.change.kind is ObjectKind.VM:
        return entry.data_centre == data_centre
    return entry.change.kind in WATCHED_KINDS
