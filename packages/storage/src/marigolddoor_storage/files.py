"""Synchronous file calls with typed errors.

File calls block the event loop, and with it the heartbeats. Freeing the blocks of a file can take
hundreds of milliseconds on a disk mounted with `discard`, so files are overwritten in place, and
none is deleted or truncated while a replica runs.
"""

import contextlib
import errno
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol

from marigolddoor_storage.errors import DiskFullError, FolderMissingError, StorageError

__all__ = ["Files", "OpenFile", "OsFiles", "typed_errors"]

_FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
_MISSING = (errno.ENOENT, errno.ENOTDIR, errno.ESTALE)


@contextlib.contextmanager
def typed_errors(path: Path) -> Iterator[None]:
    """Convert an `OSError` to a `StorageError` that names `path`."""
    try:
        yield
    except OSError as error:
        reason = f"{path}: {error.strerror}"
        if error.errno in _FULL:
            raise DiskFullError(reason) from error
        if error.errno in _MISSING:
            raise FolderMissingError(reason) from error
        raise StorageError(reason) from error


class Files(Protocol):
    """The calls that change files. Tests replace them to inject failures and partial writes."""

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        """Write all of `data` at `offset`."""
        ...

    def sync(self, descriptor: int) -> None:
        """Make what was written to a file, or the names in a folder, durable."""
        ...


class OsFiles:
    """Writes and syncs files of the operating system."""

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        """Write all of `data` at `offset`."""
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            view = view[written:]
            offset += written

    def sync(self, descriptor: int) -> None:
        """Make what was written to a file, or the names in a folder, durable."""
        os.fsync(descriptor)


class OpenFile:
    """A file of the data folder, kept open for writing."""

    def __init__(self, path: Path, files: Files) -> None:
        self.path = path
        self.files = files
        self.descriptor = -1

    def read(self) -> bytes:
        """Return the content; empty if the file does not exist."""
        if not self.path.exists():
            return b""
        with typed_errors(self.path):
            return self.path.read_bytes()

    def read_part(self, offset: int, length: int) -> bytes:
        """Return up to `length` bytes at `offset`."""
        with typed_errors(self.path), self.path.open("rb") as file:
            file.seek(offset)
            return file.read(length)

    def write(self, data: bytes, offset: int) -> None:
        """Write `data` at `offset`; it is durable only after `sync`."""
        self._open()
        with typed_errors(self.path):
            self.files.write(self.descriptor, data, offset)

    def sync(self) -> None:
        """Make everything written durable.

        Raises:
          FolderMissingError: the file was deleted, so that writes to it are lost.
          StorageError: the content on the disk is undefined.
        """
        self._open()
        with typed_errors(self.path):
            self.files.sync(self.descriptor)
            if os.fstat(self.descriptor).st_nlink == 0:
                raise FolderMissingError(f"{self.path} was deleted")

    def _open(self) -> None:
        if self.descriptor >= 0:
            return
        with typed_errors(self.path):
            self.descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT, 0o600)
            folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                self.files.sync(folder)
            finally:
                os.close(folder)

    def close(self) -> None:
        """Close the file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
