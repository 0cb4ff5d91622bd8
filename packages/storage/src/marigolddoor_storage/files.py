"""Synchronous file calls with typed errors."""

import contextlib
import errno
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol

from marigolddoor_storage.errors import DiskFullError, FolderMissingError, StorageError

__all__ = ["Files", "OsFiles", "replace_file", "typed_errors"]

_FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
_MISSING = (errno.ENOENT, errno.ENOTDIR, errno.ESTALE)


@contextlib.contextmanager
def typed_errors(path: Path) -> Iterator[None]:
    """Turn an `OSError` into a `StorageError` that names `path`."""
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
    """The calls that change files. Tests replace them to fail or to stop half-way."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data` at the current position."""
        ...

    def sync(self, descriptor: int) -> None:
        """Make the data of a file durable."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Replace `target` by `source`."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Make the names in `folder` durable."""
        ...


class OsFiles:
    """The calls of the operating system."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data` at the current position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Make the data of a file durable."""
        os.fsync(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Replace `target` by `source`."""
        os.replace(source, target)

    def sync_folder(self, folder: Path) -> None:
        """Make the names in `folder` durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replace_file(files: Files, path: Path, data: bytes) -> None:
    """Write a file so that after a crash it holds the old or the new data, never a part.

    Raises:
      StorageError: the file was not replaced, or it is not known whether it was.
    """
    part = path.with_name(path.name + ".part")
    with typed_errors(path):
        descriptor = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            files.write(descriptor, data)
            files.sync(descriptor)
        finally:
            os.close(descriptor)
        files.rename(part, path)
        files.sync_folder(path.parent)
