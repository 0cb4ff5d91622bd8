"""The format of the log file: batches of records, one for each sync.

A batch is durable as a whole or not at all, so it has one checksum. Its header has its own one,
and contains the offset of the batch in the file: data that merely looks like a batch is not taken
for one.

    header: magic (4), offset (8), length of the body (4), CRC-32 of the body (4),
            CRC-32 of the header up to here (4)
    body:   for each record its length (4) and its bytes
"""

import struct
import zlib
from collections.abc import Iterable, Iterator

from marigolddoor_storage.errors import CorruptFileError

__all__ = ["HEADER_BYTES", "pack_batch", "scan_batches"]

_MAGIC = b"mdlb"
_HEADER = struct.Struct(">4sQII")
_CRC = struct.Struct(">I")
_LENGTH = struct.Struct(">I")
HEADER_BYTES = _HEADER.size + _CRC.size


def pack_batch(offset: int, records: Iterable[bytes]) -> bytes:
    """Return the batch that begins at `offset` of the file."""
    parts: list[bytes] = []
    for record in records:
        parts.append(_LENGTH.pack(len(record)))
        parts.append(record)
    body = b"".join(parts)
    header = _HEADER.pack(_MAGIC, offset, len(body), zlib.crc32(body))
    return header + _CRC.pack(zlib.crc32(header)) + body


def scan_batches(data: bytes) -> tuple[list[list[bytes]], int]:
    """Return the records of each batch, and the offset at which the torn tail begins.

    Only the last batch can be torn by a crash, because each is synced before the next is written.

    Raises:
      CorruptFileError: a damaged batch is followed by a whole one.
    """
    batches: list[list[bytes]] = []
    offset = 0
    while offset < len(data):
        end = _batch_end(data, offset)
        if end is None:
            _check_tail(data, offset)
            break
        batches.append(list(_records(data[offset + HEADER_BYTES : end])))
        offset = end
    return batches, offset


def _body_end(data: bytes, offset: int) -> int | None:
    """Return where the batch at `offset` ends, if its header is whole."""
    if offset + HEADER_BYTES > len(data):
        return None
    magic, own_offset, length, _ = _HEADER.unpack_from(data, offset)
    header = data[offset : offset + _HEADER.size]
    (checksum,) = _CRC.unpack_from(data, offset + _HEADER.size)
    if magic != _MAGIC or own_offset != offset or checksum != zlib.crc32(header):
        return None
    return offset + HEADER_BYTES + int(length)


def _batch_end(data: bytes, offset: int) -> int | None:
    """Return where the batch at `offset` ends, if it is whole."""
    end = _body_end(data, offset)
    if end is None or end > len(data):
        return None
    checksum = _HEADER.unpack_from(data, offset)[3]
    return end if zlib.crc32(data[offset + HEADER_BYTES : end]) == checksum else None


def _check_tail(data: bytes, offset: int) -> None:
    end = _body_end(data, offset)
    if end is not None and end < len(data):
        raise CorruptFileError(f"wrong checksum of the batch at offset {offset}")
    position = data.find(_MAGIC, offset + 1)
    while position != -1:
        if _body_end(data, position) is not None:
            raise CorruptFileError(f"damaged data at offset {offset}, before a whole batch")
        position = data.find(_MAGIC, position + 1)


def _records(body: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        yield body[position : position + length]
        position += length
