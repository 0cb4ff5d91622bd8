"""Log, vote and snapshot files of a replica."""

from marigolddoor_storage.errors import (
    CorruptFileError,
    DiskFullError,
    FolderInUseError,
    FolderMissingError,
    StorageError,
)
from marigolddoor_storage.files import Files, OsFiles
from marigolddoor_storage.store import RecoveredReplica, ReplicaStore

__all__ = [
    "CorruptFileError",
    "DiskFullError",
    "Files",
    "FolderInUseError",
    "FolderMissingError",
    "OsFiles",
    "RecoveredReplica",
    "ReplicaStore",
    "StorageError",
]
