"""The journal of changes: the objects of the replicated state in the order of their last change."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator

from marigolddoor_core.ids import DataCentreId, LogIndex
from marigolddoor_core.state.objects import Change, ObjectKind, ObjectValue
from marigolddoor_core.state.snapshots import Compaction, SnapshotEntry

__all__ = ["Journal"]

# A watcher that lags by more removals than this gets all objects again. The target size replaces
# 4,000 VMs a day, so this limit covers about a day of removals.
TOMBSTONE_LIMIT = 4_096

# Entry processes watch these kinds, and the VMs of their own data centre.
WATCHED_KINDS = (
    ObjectKind.REVISION,
    ObjectKind.SERVICE,
    ObjectKind.POOL,
    ObjectKind.TEAM,
    ObjectKind.WEIGHTS,
)

NOTHING_COMPACTED = LogIndex(0)


class Journal:
    """Orders objects and removals by the log index of their last change.

    There is a stream for each kind, and for the VMs of each data centre. A watcher reads only its
    own streams, so that changes of tasks or of other data centres cost it nothing and do not make
    it lag.

    The state machine sets `index` before it applies a command.
    """

    def __init__(self, tombstone_limit: int = TOMBSTONE_LIMIT) -> None:
        self.index = LogIndex(0)
        self.tombstone_limit = tombstone_limit
        self._streams: dict[str, Stream] = {}

    def put(
        self,
        kind: ObjectKind,
        key: str,
        value: ObjectValue,
        data_centre: DataCentreId | None = None,
    ) -> None:
        """Record that the object has `value` from the current index on."""
        self._append(SnapshotEntry(Change(kind, key, self.index, value), data_centre))

    def remove(self, kind: ObjectKind, key: str, data_centre: DataCentreId | None = None) -> None:
        """Record that the object was removed at the current index."""
        self._append(SnapshotEntry(Change(kind, key, self.index, None), data_centre))

    def changes_after(
        self, index: LogIndex, data_centre: DataCentreId | None
    ) -> tuple[Change, ...] | None:
        """Return the changes after `index` in order; see `StateMachine.changes_after`."""
        streams = self._streams_for(data_centre)
        if any(index < stream.compacted_index for stream in streams):
            return None
        return _sort_changes(
            entry.change for stream in streams for entry in stream.entries_after(index)
        )

    def all_changes(self, data_centre: DataCentreId | None) -> tuple[Change, ...]:
        """Return every object that was not removed, in the order of its last change."""
        return _sort_changes(
            entry.change
            for stream in self._streams_for(data_centre)
            for entry in stream.entries.values()
            if entry.change.value is not None
        )

    def entries(self) -> tuple[SnapshotEntry, ...]:
        """Return the objects and removals in the order of their last change."""
        entries = [entry for stream in self._streams_for(None) for entry in stream.entries.values()]
        return tuple(sorted(entries, key=lambda entry: entry.change.index))

    def compactions(self) -> tuple[Compaction, ...]:
        """Return the streams that dropped removals, with the highest index dropped."""
        return tuple(
            Compaction(name, self._streams[name].compacted_index)
            for name in sorted(self._streams)
            if self._streams[name].compacted_index
        )

    def restore(
        self,
        index: LogIndex,
        entries: Iterable[SnapshotEntry],
        compactions: Iterable[Compaction],
    ) -> None:
        """Replace all streams with the entries of a snapshot."""
        self.index = index
        self._streams = {
            compaction.stream: Stream(self.tombstone_limit, compaction.index)
            for compaction in compactions
        }
        for entry in entries:
            self._append(entry)

    def _append(self, entry: SnapshotEntry) -> None:
        name = _stream_name(entry.change.kind, entry.data_centre)
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = Stream(self.tombstone_limit)
        stream.append(entry)

    def _streams_for(self, data_centre: DataCentreId | None) -> tuple["Stream", ...]:
        """Return the streams for a watcher of `data_centre`, in the same order on every replica."""
        names: Iterable[str] = sorted(self._streams)
        if data_centre is not None:
            names = (*WATCHED_STREAMS, _stream_name(ObjectKind.VM, data_centre))
        return tuple(self._streams[name] for name in names if name in self._streams)


class Stream:
    """Objects of one kind, and their removals, in the order of their last change.

    `compacted_index` is the highest index of a removal that is no longer kept.
    """

    def __init__(self, tombstone_limit: int, compacted_index: LogIndex = NOTHING_COMPACTED) -> None:
        self.tombstone_limit = tombstone_limit
        self.compacted_index = compacted_index
        self.entries: OrderedDict[str, SnapshotEntry] = OrderedDict()
        self.tombstones: OrderedDict[str, LogIndex] = OrderedDict()

    def append(self, entry: SnapshotEntry) -> None:
        """Record the latest change of an object."""
        key = entry.change.key
        self.entries[key] = entry
        self.entries.move_to_end(key)
        self.tombstones.pop(key, None)
        if entry.change.value is None:
            self.tombstones[key] = entry.change.index
            while len(self.tombstones) > self.tombstone_limit:
                oldest, self.compacted_index = self.tombstones.popitem(last=False)
                del self.entries[oldest]

    def entries_after(self, index: LogIndex) -> Iterator[SnapshotEntry]:
        """Iterate over the entries after `index` in reverse order."""
        for entry in reversed(self.entries.values()):
            if entry.change.index <= index:
                return
            yield entry


def _stream_name(kind: ObjectKind, data_centre: DataCentreId | None) -> str:
    return kind.value if data_centre is None else f"{kind.value} {data_centre}"


WATCHED_STREAMS = tuple(_stream_name(kind, None) for kind in WATCHED_KINDS)


def _sort_changes(changes: Iterable[Change]) -> tuple[Change, ...]:
    return tuple(sorted(changes, key=lambda change: (change.index, change.kind.value, change.key)))
