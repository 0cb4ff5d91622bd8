"""Snapshots of the state, in files that take turns."""

import struct
import zlib
from pathlib import Path

from marigolddoor_core.consensus.entries import SnapshotMeta
from marigolddoor_wire.codec import DecodeError, decode, encode

from marigolddoor_storage.errors import CorruptFileError, StorageError
from marigolddoor_storage.files import Files, OpenFile

__all__ = ["SnapshotFiles", "SnapshotWriter"]

# The latest snapshot, one that is being taken, and one that is being received.
SLOTS = 3
_HEADER = struct.Struct(">II")


class SnapshotWriter:
    """A snapshot that is being written."""

    def __init__(self, file: OpenFile, meta: SnapshotMeta) -> None:
        self.file = file
        self.meta = meta
        description = encode(meta)
        header = _HEADER.pack(len(description), zlib.crc32(description))
        file.write(header + description, 0)
        self.data_offset = len(header) + len(description)
        self.end = self.data_offset

    def add(self, data: bytes) -> None:
        """Add a part of the state; it is not durable yet."""
        self.file.write(data, self.end)
        self.end += len(data)

    def sync(self) -> None:
        """Make durable what was added so far."""
        self.file.sync()


class SnapshotFiles:
    """Keeps the latest snapshot while others are written.

    A file holds a description and the encoded state, each with a checksum, so that one that was
    not finished is recognised. The latest snapshot is never written over.
    """

    def __init__(self, folder: Path, files: Files) -> None:
        self.folder = folder
        self.slots = [OpenFile(folder / f"snapshot.{number}", files) for number in range(SLOTS)]
        self.latest: SnapshotMeta | None = None
        self.latest_file = self.slots[0]
        self.data_offset = 0
        self.own: SnapshotWriter | None = None
        self.received: SnapshotWriter | None = None

    def open(self) -> bytes | None:
        """Return the state of the latest whole snapshot, if there is one."""
        state: bytes | None = None
        for file in self.slots:
            content = _read(file)
            if content is None:
                continue
            meta, data, offset = content
            if self.latest is None or meta.index > self.latest.index:
                self.latest, self.latest_file, self.data_offset = meta, file, offset
                state = data
        return state

    def begin_own(self, meta: SnapshotMeta) -> SnapshotWriter:
        """Begin a snapshot of the own state, in place of one that was not finished."""
        self.own = None
        self.own = SnapshotWriter(self._free_file(), meta)
        return self.own

    def finish_own(self, writer: SnapshotWriter) -> bool:
        """Publish a snapshot of the own state; return whether it is the latest one now.

        Raises:
          StorageError: it is not stored. The snapshot before it is still there.
        """
        self.own = None
        writer.sync()
        if self.latest is not None and self.latest.index >= writer.meta.index:
            # A later one was received meanwhile.
            return False
        self._publish(writer)
        return True

    def begin(self, meta: SnapshotMeta) -> None:
        """Begin to receive a snapshot, in place of one that was not finished."""
        self.received = None
        self.received = SnapshotWriter(self._free_file(), meta)

    def add(self, data: bytes) -> None:
        """Add a chunk to the snapshot that is being received, and sync it."""
        if self.received is None:
            raise StorageError(f"{self.folder}: a chunk without the beginning of its snapshot")
        self.received.add(data)
        self.received.sync()

    def finish(self) -> bytes:
        """Store the received snapshot; return its state.

        Raises:
          CorruptFileError: the state does not have the announced checksum.
        """
        writer, self.received = self.received, None
        if writer is None:
            raise StorageError(f"{self.folder}: the end of a snapshot that was not begun")
        writer.sync()
        content = _read(writer.file)
        if content is None or content[0] != writer.meta:
            raise CorruptFileError(f"{writer.file.path}: wrong checksum of a received snapshot")
        self._publish(writer)
        return content[1]

    def read_chunk(self, meta: SnapshotMeta, offset: int, length: int) -> bytes | None:
        """Return a part of the state of the latest snapshot; None if it is not `meta`."""
        if self.latest != meta:
            return None
        return self.latest_file.read_part(self.data_offset + offset, length)

    def _publish(self, writer: SnapshotWriter) -> None:
        self.latest = writer.meta
        self.latest_file = writer.file
        self.data_offset = writer.data_offset

    def _free_file(self) -> OpenFile:
        used = [writer.file for writer in (self.own, self.received) if writer is not None]
        if self.latest is not None:
            used.append(self.latest_file)
        return next(file for file in self.slots if file not in used)

    def close(self) -> None:
        """Close the files."""
        for file in self.slots:
            file.close()


def _read(file: OpenFile) -> tuple[SnapshotMeta, bytes, int] | None:
    """Return description, state and offset of the state; None if the file is not whole."""
    data = file.read()
    if len(data) < _HEADER.size:
        return None
    length, checksum = _HEADER.unpack_from(data)
    offset = _HEADER.size + length
    description = data[_HEADER.size : offset]
    if zlib.crc32(description) != checksum:
        return None
    try:
        meta: SnapshotMeta = decode(description)
    except DecodeError:
        return None
    state = data[offset : offset + meta.size_bytes]
    if len(state) != meta.size_bytes or zlib.crc32(state) != meta.checksum:
        return None
    return meta, state, offset
