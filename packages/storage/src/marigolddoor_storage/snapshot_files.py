"""Snapshots of the state, in three files that are reused."""

import struct
import zlib
from pathlib import Path

from marigolddoor_core.consensus.entries import SnapshotMeta
from marigolddoor_wire.codec import DecodeError, decode, encode

from marigolddoor_storage.errors import CorruptFileError, StorageError
from marigolddoor_storage.files import Files, OpenFile

__all__ = ["SnapshotFiles", "SnapshotWriter"]

# The latest snapshot, one being written locally, and one being received.
SLOTS = 3
_HEADER = struct.Struct(">II")


class SnapshotWriter:
    """Writes a snapshot to a file."""

    def __init__(self, file: OpenFile, meta: SnapshotMeta) -> None:
        self.file = file
        self.meta = meta
        metadata = encode(meta)
        header = _HEADER.pack(len(metadata), zlib.crc32(metadata))
        file.write(header + metadata, 0)
        self.data_offset = len(header) + len(metadata)
        self.end = self.data_offset

    def add(self, data: bytes) -> None:
        """Append a part of the state; it is durable only after `sync`."""
        self.file.write(data, self.end)
        self.end += len(data)

    def sync(self) -> None:
        """Make the parts appended so far durable."""
        self.file.sync()


class SnapshotFiles:
    """Keeps the latest snapshot while others are written.

    A file contains the metadata and the encoded state, each with a checksum, so an incomplete
    snapshot is detected. The file of the latest snapshot is never overwritten.
    """

    def __init__(self, folder: Path, files: Files) -> None:
        self.folder = folder
        self.slots = [OpenFile(folder / f"snapshot.{number}", files) for number in range(SLOTS)]
        self.latest: SnapshotMeta | None = None
        self.latest_file = self.slots[0]
        self.data_offset = 0
        self.local_writer: SnapshotWriter | None = None
        self.received_writer: SnapshotWriter | None = None

    def open(self) -> bytes | None:
        """Return the state of the latest complete snapshot, made durable; None if there is none."""
        state: bytes | None = None
        for file in self.slots:
            content = _read(file)
            if content is None:
                continue
            meta, data, offset = content
            if self.latest is None or meta.index > self.latest.index:
                self.latest, self.latest_file, self.data_offset = meta, file, offset
                state = data
        if state is not None:
            # The process may have been killed between the last write and its sync.
            self.latest_file.sync()
        return state

    def begin_local(self, meta: SnapshotMeta) -> SnapshotWriter:
        """Begin a snapshot of the local state; an unfinished one is discarded."""
        self.local_writer = None
        self.local_writer = SnapshotWriter(self._free_file(), meta)
        return self.local_writer

    def finish_local(self, writer: SnapshotWriter) -> bool:
        """Publish a snapshot of the local state; return whether it is now the latest one.

        Raises:
          StorageError: the snapshot is not stored; the previous one is still valid.
        """
        self.local_writer = None
        writer.sync()
        if self.latest is not None and self.latest.index >= writer.meta.index:
            # A later snapshot was received in the meantime.
            return False
        self._publish(writer)
        return True

    def begin(self, meta: SnapshotMeta) -> None:
        """Begin to receive a snapshot; an unfinished one is discarded."""
        self.received_writer = None
        self.received_writer = SnapshotWriter(self._free_file(), meta)

    def add(self, data: bytes) -> None:
        """Append a chunk to the snapshot being received, and sync it."""
        if self.received_writer is None:
            raise StorageError(f"{self.folder}: received a chunk before the start of its snapshot")
        self.received_writer.add(data)
        self.received_writer.sync()

    def finish(self) -> bytes:
        """Publish the received snapshot and return its state.

        Raises:
          CorruptFileError: the state does not match the checksum in its metadata.
        """
        writer, self.received_writer = self.received_writer, None
        if writer is None:
            raise StorageError(
                f"{self.folder}: received the end of a snapshot that was not started"
            )
        writer.sync()
        content = _read(writer.file)
        if content is None or content[0] != writer.meta:
            raise CorruptFileError(f"{writer.file.path}: checksum mismatch in a received snapshot")
        self._publish(writer)
        return content[1]

    def read_chunk(self, meta: SnapshotMeta, offset: int, length: int) -> bytes | None:
        """Return a part of the state of the latest snapshot; None if that is not `meta`."""
        if self.latest != meta:
            return None
        return self.latest_file.read_part(self.data_offset + offset, length)

    def _publish(self, writer: SnapshotWriter) -> None:
        self.latest = writer.meta
        self.latest_file = writer.file
        self.data_offset = writer.data_offset

    def _free_file(self) -> OpenFile:
        used = [
            writer.file
            for writer in (self.local_writer, self.received_writer)
            if writer is not None
        ]
        if self.latest is not None:
            used.append(self.latest_file)
        return next(file for file in self.slots if file not in used)

    def close(self) -> None:
        """Close the files."""
        for file in self.slots:
            file.close()


def _read(file: OpenFile) -> tuple[SnapshotMeta, bytes, int] | None:
    """Return metadata, state and offset of the state; None if the snapshot is incomplete."""
    data = file.read()
    if len(data) < _HEADER.size:
        return None
    length, checksum = _HEADER.unpack_from(data)
    offset = _HEADER.size + length
    metadata = data[_HEADER.size : offset]
    if zlib.crc32(metadata) != checksum:
        return None
    try:
        meta: SnapshotMeta = decode(metadata)
    except DecodeError:
        return None
    state = data[offset : offset + meta.size_bytes]
    if len(state) != meta.size_bytes or zlib.crc32(state) != meta.checksum:
        return None
    return meta, state, offset
