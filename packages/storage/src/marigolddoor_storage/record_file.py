"""A file that stores one message, with a checksum, in two copies."""

import struct
import zlib
from pathlib import Path
from typing import Any

from marigolddoor_wire.codec import DecodeError, decode, encode

from marigolddoor_storage.errors import CorruptFileError, StorageError
from marigolddoor_storage.files import Files, OpenFile

__all__ = ["SLOT_BYTES", "RecordFile"]

# CRC-32 of everything after it, sequence number, length of the body.
_HEADER = struct.Struct(">IQI")
SLOT_BYTES = 4096
SLOTS = 2


class RecordFile:
    """Stores the latest message of one kind, in two slots.

    Each write fills and syncs one slot after the other. A crash damages at most the slot being
    written, so the other slot has the old or the new message. If a slot becomes corrupt later, the
    other slot still has the same message.
    """

    def __init__(self, path: Path, files: Files) -> None:
        self.file = OpenFile(path, files)
        self.sequence = 0

    def exists(self) -> bool:
        """Return whether a message was ever stored."""
        return self.file.path.exists() and self.file.path.stat().st_size > 0

    def read(self) -> Any | None:
        """Return the message, or None if none was ever stored; a message returned is durable.

        Raises:
          CorruptFileError: no slot is valid.
        """
        data = self.file.read()
        if not data:
            return None
        slots = [_read_slot(data[n * SLOT_BYTES : (n + 1) * SLOT_BYTES]) for n in range(SLOTS)]
        valid = [slot for slot in slots if slot is not None]
        if not valid:
            if len(data) <= SLOT_BYTES:
                # The very first write was interrupted before the second slot.
                return None
            raise CorruptFileError(f"{self.file.path}: checksum mismatch in every slot")
        # The process may have been killed between the write of a slot and its sync.
        self.file.sync()
        self.sequence, body = max(valid)
        try:
            return decode(body)
        except DecodeError as error:
            raise CorruptFileError(f"{self.file.path}: {error}") from error

    def write(self, message: Any) -> None:
        """Store `message` durably.

        Raises:
          StorageError: the old or the new message is stored.
        """
        self.sequence += 1
        body = encode(message)
        slot = _pack_slot(self.sequence, body)
        if len(slot) > SLOT_BYTES:
            raise StorageError(f"{self.file.path}: a record of {len(body)} bytes is too large")
        for number in range(SLOTS):
            self.file.write(slot.ljust(SLOT_BYTES, b"\0"), number * SLOT_BYTES)
            self.file.sync()

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def _pack_slot(sequence: int, body: bytes) -> bytes:
    payload = _HEADER.pack(0, sequence, len(body))[4:] + body
    return struct.pack(">I", zlib.crc32(payload)) + payload


def _read_slot(slot: bytes) -> tuple[int, bytes] | None:
    if len(slot) < _HEADER.size:
        return None
    checksum, sequence, length = _HEADER.unpack_from(slot)
    end = _HEADER.size + length
    if end > len(slot) or zlib.crc32(slot[4:end]) != checksum:
        return None
    return sequence, slot[_HEADER.size : end]
