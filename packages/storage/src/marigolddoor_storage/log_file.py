"""The log file of a replica."""

import os
from collections.abc import Sequence
from pathlib import Path

from marigolddoor_core.consensus.entries import Entry
from marigolddoor_core.consensus.stored import LogBase
from marigolddoor_core.ids import LogIndex, Term
from marigolddoor_wire.codec import DecodeError, decode, decode_as, encode, encode_body

from marigolddoor_storage.batches import pack_batch, scan_batches
from marigolddoor_storage.errors import CorruptFileError, FolderMissingError
from marigolddoor_storage.files import Files, replace_file, typed_errors

__all__ = ["LogFile"]

NEW_BASE = LogBase(LogIndex(0), Term(0))


class LogFile:
    """Appends batches of entries; the first batch names the entry before the first one.

    The file is only appended to. An entry with an index that is already there replaces it and
    everything after it, so that dropping entries needs no second sync.
    """

    def __init__(self, path: Path, files: Files) -> None:
        self.path = path
        self.files = files
        self.descriptor = -1
        self.size_bytes = 0
        self.base = NEW_BASE
        self.entries: list[Entry] = []

    def open(self) -> None:
        """Read the file, cut a torn tail, and get ready to append.

        Raises:
          CorruptFileError: something before the tail is damaged.
        """
        if not self.path.exists():
            self.rewrite(NEW_BASE, ())
            return
        with typed_errors(self.path):
            data = self.path.read_bytes()
        try:
            batches, size = scan_batches(data)
            self._load(batches)
        except (CorruptFileError, DecodeError) as error:
            raise CorruptFileError(f"{self.path}: {error}") from error
        with typed_errors(self.path):
            self.descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND)
            if size < len(data):
                os.ftruncate(self.descriptor, size)
                self.files.sync(self.descriptor)
        self.size_bytes = size

    def _load(self, batches: Sequence[Sequence[bytes]]) -> None:
        if not batches:
            raise CorruptFileError("the first batch is missing")
        base = decode(batches[0][0])
        if not isinstance(base, LogBase):
            raise CorruptFileError("the first record is not the base of the log")
        self.base = base
        records = [record for batch in batches for record in batch][1:]
        for record in records:
            entry = decode_as(Entry.__name__, record)
            position = entry.index - base.index - 1
            if not 0 <= position <= len(self.entries):
                raise CorruptFileError(f"entry {entry.index} does not follow the one before")
            del self.entries[position:]
            self.entries.append(entry)

    def append(self, batches: Sequence[Sequence[Entry]]) -> None:
        """Append entries with one sync.

        Raises:
          StorageError: nothing is known about what is on the disk.
        """
        records = [encode_body(entry) for entries in batches for entry in entries]
        data = pack_batch(self.size_bytes, records)
        with typed_errors(self.path):
            if os.fstat(self.descriptor).st_nlink == 0:
                # Writes to a deleted file succeed, but nothing of it survives.
                raise FolderMissingError(f"{self.path} was deleted")
            self.files.write(self.descriptor, data)
            self.files.sync(self.descriptor)
        self.size_bytes += len(data)

    def rewrite(self, base: LogBase, entries: Sequence[Entry]) -> None:
        """Replace the file by one with `entries` after `base`."""
        data = pack_batch(0, [encode(base), *(encode_body(entry) for entry in entries)])
        replace_file(self.files, self.path, data)
        self.close()
        with typed_errors(self.path):
            self.descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        self.size_bytes = len(data)
        self.base = base

    def close(self) -> None:
        """Close the file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
