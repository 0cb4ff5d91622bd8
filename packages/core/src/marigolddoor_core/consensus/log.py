"""The part of a replica's log that is not compacted."""

from collections.abc import Iterable, Sequence

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.consensus.entries import Entry, SnapshotMeta
from marigolddoor_core.ids import LogIndex, Term

__all__ = ["Log"]

# Overhead of an entry in a message or a file, in bytes; only an estimate is needed.
ENTRY_OVERHEAD_BYTES = 24


class Log:
    """Entries after `base_index`, and the configurations that they put in force.

    Entries up to the base are covered by a snapshot and have been dropped.
    """

    def __init__(
        self,
        base_index: LogIndex,
        base_term: Term,
        configuration: Configuration,
        configured_at: LogIndex,
        entries: Iterable[Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[Entry] = []
        self.configurations: list[tuple[LogIndex, Configuration]] = [(configured_at, configuration)]
        self.extend(entries)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry."""
        return LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """Return the latest configuration; it is in force as soon as it is appended."""
        return self.configurations[-1][1]

    @property
    def configured_at(self) -> LogIndex:
        """Return the index of the latest configuration entry."""
        return self.configurations[-1][0]

    def configuration_at(self, index: LogIndex) -> Configuration:
        """Return the configuration in force after the entry at `index`."""
        for configured_at, configuration in reversed(self.configurations):
            if configured_at <= index:
                return configuration
        return self.configurations[0][1]

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at `index`; None if it is compacted or does not exist."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: LogIndex) -> Entry:
        """Return the entry at `index`, which must not be compacted."""
        return self.entries[index - self.base_index - 1]

    def extend(self, entries: Iterable[Entry]) -> None:
        """Append entries that follow the last entry."""
        for entry in entries:
            self.entries.append(entry)
            if entry.configuration is not None and entry.index > self.configurations[0][0]:
                self.configurations.append((entry.index, entry.configuration))

    def truncate(self, first: LogIndex) -> None:
        """Remove the entries from `first` on, and their configurations."""
        del self.entries[first - self.base_index - 1 :]
        while len(self.configurations) > 1 and self.configurations[-1][0] >= first:
            self.configurations.pop()

    def slice(self, first: LogIndex, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `first` on, up to `max_bytes` but at least one if any exists."""
        selected: list[Entry] = []
        size = 0
        for position in range(first - self.base_index - 1, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.command) + ENTRY_OVERHEAD_BYTES
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def index_before(self, last: LogIndex, max_bytes: int) -> LogIndex:
        """Return the lowest index after which the entries up to `last` fit into `max_bytes`."""
        size = 0
        index = last
        while index > self.base_index:
            size += len(self.entry(index).command) + ENTRY_OVERHEAD_BYTES
            if size > max_bytes:
                break
            index = LogIndex(index - 1)
        return index

    def between(self, after: LogIndex, last: LogIndex) -> Sequence[Entry]:
        """Return the entries after `after` up to `last`."""
        return self.entries[after - self.base_index : last - self.base_index]

    def compact(self, index: LogIndex) -> None:
        """Remove the entries up to `index`, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        while len(self.configurations) > 1 and self.configurations[1][0] <= index:
            self.configurations.pop(0)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, snapshot: SnapshotMeta) -> None:
        """Replace the log by an empty one that starts after `snapshot`."""
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries.clear()
        self.configurations = [(snapshot.index, snapshot.configuration)]
