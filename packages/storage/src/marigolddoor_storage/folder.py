"""The data folder and its lock."""

import fcntl
import os
from pathlib import Path

from marigolddoor_storage.errors import FolderInUseError, FolderMissingError
from marigolddoor_storage.files import typed_errors

__all__ = ["Folder"]

LOCK_NAME = "lock"


class Folder:
    """A data folder, locked for this process.

    A missing folder is not created, because the likely cause is a disk that is not mounted rather
    than a new replica. The folder takes over `lock_descriptor`, which this process has locked
    before.
    """

    def __init__(self, path: Path, lock_descriptor: int | None = None) -> None:
        if not path.is_dir():
            raise FolderMissingError(f"{path} is not a folder")
        self.path = path
        if lock_descriptor is not None:
            self.lock = lock_descriptor
            return
        with typed_errors(path / LOCK_NAME):
            self.lock = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise FolderInUseError(f"{path} is used by another process") from error

    def close(self) -> None:
        """Release the lock."""
        os.close(self.lock)
