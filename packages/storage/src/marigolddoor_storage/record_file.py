"""A file that holds one message with a checksum."""

import struct
import zlib
from pathlib import Path
from typing import Any

from marigolddoor_wire.codec import DecodeError, decode, encode

from marigolddoor_storage.errors import CorruptFileError
from marigolddoor_storage.files import Files, replace_file, typed_errors

__all__ = ["RecordFile"]

_CHECKSUM = struct.Struct(">I")


class RecordFile:
    """Stores the latest message of one kind."""

    def __init__(self, path: Path, files: Files) -> None:
        self.path = path
        self.files = files

    def read(self) -> Any | None:
        """Return the message, or None if none was ever stored.

        Raises:
          CorruptFileError: the checksum or the encoding is wrong.
        """
        if not self.path.exists():
            return None
        with typed_errors(self.path):
            data = self.path.read_bytes()
        body = data[_CHECKSUM.size :]
        if len(data) < _CHECKSUM.size or _CHECKSUM.unpack_from(data)[0] != zlib.crc32(body):
            raise CorruptFileError(f"{self.path}: wrong checksum")
        try:
            return decode(body)
        except DecodeError as error:
            raise CorruptFileError(f"{self.path}: {error}") from error

    def write(self, message: Any) -> None:
        """Store `message`; on return it is durable."""
        body = encode(message)
        replace_file(self.files, self.path, _CHECKSUM.pack(zlib.crc32(body)) + body)
