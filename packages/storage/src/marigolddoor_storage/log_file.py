"""The log of a replica, in two alternating files."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from marigolddoor_core.consensus.entries import Entry
from marigolddoor_core.consensus.stored import LogBase
from marigolddoor_core.ids import LogIndex, Term
from marigolddoor_wire.codec import DecodeError, decode, decode_as, encode, encode_body

from marigolddoor_storage.batches import pack_batch, read_header, scan_batches
from marigolddoor_storage.errors import CorruptFileError
from marigolddoor_storage.files import Files, OpenFile

__all__ = ["LogFile"]

NEW_BASE = LogBase(LogIndex(0), Term(0))
_ENTRY = Entry.__name__


@dataclass(slots=True)
class _Content:
    """The content of one of the two files."""

    file: OpenFile
    generation: int
    size_bytes: int
    batches: list[list[bytes]]


class LogFile:
    """Appends batches of entries.

    An entry with an existing index replaces that entry and all later ones, so truncating the end of
    the log needs no sync of its own. Compaction writes the remaining entries to the other file, as
    one batch of the next generation. Until that batch is complete, the first file is still valid.
    """

    def __init__(self, folder: Path, files: Files) -> None:
        self.folder = folder
        self.current = OpenFile(folder / "log.0", files)
        self.other = OpenFile(folder / "log.1", files)
        self.generation = 0
        self.size_bytes = 0
        self.base = NEW_BASE
        self.entries: list[Entry] = []

    def exists(self) -> bool:
        """Return whether one of the files exists."""
        return self.current.path.exists() or self.other.path.exists()

    def open(self, is_new: bool) -> None:
        """Read the log, make it durable and prepare to append.

        The next append overwrites a torn tail. The last batch may have been written without its
        sync, if the process was killed in between.

        Args:
          is_new: the replica has not voted yet, so a log without a complete batch means that the
            first write was interrupted.

        Raises:
          CorruptFileError: data before the tail is corrupt.
        """
        contents = [
            content
            for file in (self.current, self.other)
            if (content := _scan(file)) is not None and content.batches
        ]
        if not contents:
            if not is_new:
                raise CorruptFileError(f"{self.folder}: the log files are corrupt or missing")
            self.rewrite(NEW_BASE, ())
            return
        newest = max(contents, key=lambda content: content.generation)
        if newest.file is self.other:
            self.current, self.other = self.other, self.current
        self.current.sync()
        self.generation = newest.generation
        self.size_bytes = newest.size_bytes
        try:
            self._load(newest.batches)
        except (CorruptFileError, DecodeError) as error:
            raise CorruptFileError(f"{self.current.path}: {error}") from error

    def _load(self, batches: Sequence[Sequence[bytes]]) -> None:
        base = decode(batches[0][0])
        if not isinstance(base, LogBase):
            raise CorruptFileError("the first record is not the log base")
        self.base = base
        for record in [record for batch in batches for record in batch][1:]:
            entry = decode_as(_ENTRY, record)
            position = entry.index - base.index - 1
            if not 0 <= position <= len(self.entries):
                raise CorruptFileError(f"entry {entry.index} does not follow the previous entry")
            del self.entries[position:]
            self.entries.append(entry)

    def append(self, batches: Sequence[Sequence[Entry]]) -> None:
        """Append entries with one sync.

        Raises:
          StorageError: the content on the disk is undefined.
        """
        records = [encode_body(entry) for entries in batches for entry in entries]
        data = pack_batch(self.generation, self.size_bytes, records)
        self.current.write(data, self.size_bytes)
        self.current.sync()
        self.size_bytes += len(data)

    def rewrite(self, base: LogBase, entries: Sequence[Entry]) -> None:
        """Switch to the other file, with `entries` after `base`.

        Raises:
          StorageError: the content on the disk is undefined.
        """
        records = [encode(base), *(encode_body(entry) for entry in entries)]
        data = pack_batch(self.generation + 1, 0, records)
        self.other.write(data, 0)
        self.other.sync()
        self.current, self.other = self.other, self.current
        self.generation += 1
        self.size_bytes = len(data)
        self.base = base

    def close(self) -> None:
        """Close the files."""
        self.current.close()
        self.other.close()


def _scan(file: OpenFile) -> _Content | None:
    """Return the content of `file`, or None if its first batch is incomplete.

    Raises:
      CorruptFileError: data before the tail is corrupt.
    """
    data = file.read()
    header = read_header(data, 0)
    if header is None:
        return None
    try:
        batches, size = scan_batches(data, header.generation)
    except CorruptFileError as error:
        raise CorruptFileError(f"{file.path}: {error}") from error
    return _Content(file, header.generation, size, batches)
