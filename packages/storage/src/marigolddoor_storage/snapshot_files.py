"""Snapshot files: a header with the description, then the encoded state."""

import os
import struct
import zlib
from pathlib import Path

from marigolddoor_core.consensus.entries import SnapshotMeta
from marigolddoor_wire.codec import DecodeError, decode, encode

from marigolddoor_storage.errors import CorruptFileError, StorageError
from marigolddoor_storage.files import Files, typed_errors

__all__ = ["SnapshotFiles"]

_PREFIX = "snapshot-"
_INCOMING = "incoming.part"
_HEADER = struct.Struct(">II")


class SnapshotFiles:
    """Keeps the latest snapshot, and the one that is being received.

    A file is written under another name, synced, renamed, and the folder is synced. Its name has
    the index, so an older snapshot stays until the newer one is durable.
    """

    def __init__(self, folder: Path, files: Files) -> None:
        self.folder = folder
        self.files = files
        self.latest: SnapshotMeta | None = None
        self.data_offset = 0
        self.incoming = -1

    def open(self) -> bytes | None:
        """Return the state of the latest snapshot, and delete what a crash left behind.

        Raises:
          CorruptFileError: the snapshot is damaged. An older one is not used in its place,
            because the log after it is gone.
        """
        with typed_errors(self.folder):
            for part in self.folder.glob("*.part"):
                part.unlink()
            names = sorted(self.folder.glob(_PREFIX + "*"))
        if not names:
            return None
        self.latest, state, self.data_offset = self._read(names[-1])
        for older in names[:-1]:
            older.unlink()
        return state

    def _read(self, path: Path) -> tuple[SnapshotMeta, bytes, int]:
        with typed_errors(path):
            data = path.read_bytes()
        if len(data) < _HEADER.size:
            raise CorruptFileError(f"{path}: shorter than its header")
        length, checksum = _HEADER.unpack_from(data)
        offset = _HEADER.size + length
        description = data[_HEADER.size : offset]
        if zlib.crc32(description) != checksum:
            raise CorruptFileError(f"{path}: wrong checksum of the description")
        try:
            meta = decode(description)
        except DecodeError as error:
            raise CorruptFileError(f"{path}: {error}") from error
        state = data[offset:]
        if len(state) != meta.size_bytes or zlib.crc32(state) != meta.checksum:
            raise CorruptFileError(f"{path}: wrong checksum")
        return meta, state, offset

    def save(self, meta: SnapshotMeta, state: bytes) -> None:
        """Store a snapshot of the own state; on return it is durable."""
        self.begin(meta)
        self.add(state)
        self.finish(meta)

    def begin(self, meta: SnapshotMeta) -> None:
        """Begin a snapshot in place of one that was not finished."""
        self._close_incoming()
        description = encode(meta)
        header = _HEADER.pack(len(description), zlib.crc32(description))
        path = self.folder / _INCOMING
        with typed_errors(path):
            self.incoming = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            self.files.write(self.incoming, header + description)

    def add(self, data: bytes) -> None:
        """Add a chunk of the state."""
        with typed_errors(self.folder / _INCOMING):
            self.files.write(self.incoming, data)

    def finish(self, meta: SnapshotMeta) -> bytes:
        """Check, sync and publish the snapshot; return its state.

        Raises:
          CorruptFileError: the received state does not have the announced checksum.
        """
        path = self.folder / _INCOMING
        with typed_errors(path):
            self.files.sync(self.incoming)
            self._close_incoming()
            read_meta, state, offset = self._read(path)
            if read_meta != meta:
                raise StorageError(f"{path} holds another snapshot")
            name = f"{_PREFIX}{meta.index:020d}-{meta.term:010d}"
            self.files.rename(path, self.folder / name)
            self.files.sync_folder(self.folder)
            for older in self.folder.glob(_PREFIX + "*"):
                if older.name != name:
                    older.unlink()
        self.latest, self.data_offset = meta, offset
        return state

    def read_chunk(self, meta: SnapshotMeta, offset: int, length: int) -> bytes | None:
        """Return a part of the state of the latest snapshot; None if it is not `meta`."""
        if self.latest != meta:
            return None
        path = self.folder / f"{_PREFIX}{meta.index:020d}-{meta.term:010d}"
        with typed_errors(path), path.open("rb") as file:
            file.seek(self.data_offset + offset)
            return file.read(length)

    def _close_incoming(self) -> None:
        if self.incoming >= 0:
            os.close(self.incoming)
            self.incoming = -1

    def close(self) -> None:
        """Close the file of an unfinished snapshot."""
        self._close_incoming()
