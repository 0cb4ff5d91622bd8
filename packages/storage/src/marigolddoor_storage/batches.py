"""The format of a log file: one batch of records for each sync.

A batch is durable as a whole or not at all, so its body has one checksum. The header has a checksum
of its own and contains the generation of the file and the offset of the batch. This rejects record
data that looks like a batch, and batches left over from an earlier generation.

    header: magic (4), generation (8), offset of the batch (8), length of the body (4),
            CRC-32 of the body (4), CRC-32 of the header up to here (4)
    body:   for each record its length (4) and its bytes
"""

import struct
import zlib
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from marigolddoor_storage.errors import CorruptFileError

__all__ = ["HEADER_BYTES", "Header", "pack_batch", "read_header", "scan_batches"]

_MAGIC = b"mdlb"
_HEADER = struct.Struct(">4sQQII")
_CRC = struct.Struct(">I")
_LENGTH = struct.Struct(">I")
HEADER_BYTES = _HEADER.size + _CRC.size


class Header(NamedTuple):
    """The header of a batch, after its checksum was verified."""

    generation: int
    end: int
    body_checksum: int


def pack_batch(generation: int, offset: int, records: Iterable[bytes]) -> bytes:
    """Return the encoded batch for `offset` of the file."""
    parts: list[bytes] = []
    for record in records:
        parts.append(_LENGTH.pack(len(record)))
        parts.append(record)
    body = b"".join(parts)
    header = _HEADER.pack(_MAGIC, generation, offset, len(body), zlib.crc32(body))
    return header + _CRC.pack(zlib.crc32(header)) + body


def read_header(data: bytes, offset: int) -> Header | None:
    """Return the header at `offset`, or None if there is no valid one."""
    if offset + HEADER_BYTES > len(data):
        return None
    magic, generation, stored_offset, length, body_checksum = _HEADER.unpack_from(data, offset)
    (checksum,) = _CRC.unpack_from(data, offset + _HEADER.size)
    if magic != _MAGIC or stored_offset != offset:
        return None
    if checksum != zlib.crc32(data[offset : offset + _HEADER.size]):
        return None
    return Header(generation, offset + HEADER_BYTES + length, body_checksum)


def scan_batches(data: bytes, generation: int) -> tuple[list[list[bytes]], int]:
    """Return the records of each batch of `generation`, and the offset after the last batch.

    Only the last batch can be torn by a crash, because each is synced before the next is written.

    Raises:
      CorruptFileError: a corrupt batch is followed by a batch of the same generation.
    """
    batches: list[list[bytes]] = []
    offset = 0
    while True:
        header = read_header(data, offset)
        if (
            header is None
            or header.generation != generation
            or not _is_intact(data, offset, header)
        ):
            break
        batches.append(list(_records(data[offset + HEADER_BYTES : header.end])))
        offset = header.end
    position = data.find(_MAGIC, offset + 1)
    while position != -1:
        later = read_header(data, position)
        if later is not None and later.generation == generation:
            raise CorruptFileError(f"corrupt data at offset {offset}, followed by a valid batch")
        position = data.find(_MAGIC, position + 1)
    return batches, offset


def _is_intact(data: bytes, offset: int, header: Header) -> bool:
    if header.end > len(data):
        return False
    return zlib.crc32(data[offset + HEADER_BYTES : header.end]) == header.body_checksum


def _records(body: bytes) -> Iterator[bytes]:
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        yield body[position : position + length]
        position += length
