"""Errors of a replica's storage."""

from marigolddoor_core.errors import MarigolddoorError

__all__ = [
    "CorruptFileError",
    "DiskFullError",
    "FolderInUseError",
    "FolderMissingError",
    "StorageError",
]


class StorageError(MarigolddoorError):
    """A file could not be read, written or synced."""


class FolderMissingError(StorageError):
    """The data folder, or a file in it, does not exist."""


class FolderInUseError(StorageError):
    """Another process holds the lock of the data folder."""


class DiskFullError(StorageError):
    """The disk has no space left."""


class CorruptFileError(StorageError):
    """A checksum mismatch that an interrupted write cannot explain."""
