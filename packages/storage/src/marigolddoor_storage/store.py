"""The storage of a replica: identity, vote, log and snapshots in its data folder."""

import contextlib
import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from marigolddoor_core.consensus.configuration import Configuration
from marigolddoor_core.consensus.entries import Entry, SnapshotMeta
from marigolddoor_core.consensus.outputs import (
    CompactLog,
    RecoveredState,
    SaveChunk,
    SaveEntries,
    SaveVote,
    WriteAction,
)
from marigolddoor_core.consensus.stored import Identity, LogBase, VoteRecord
from marigolddoor_core.ids import LogIndex, Term

from marigolddoor_storage.errors import CorruptFileError, StorageError
from marigolddoor_storage.files import Files, OsFiles
from marigolddoor_storage.folder import Folder
from marigolddoor_storage.log_file import LogFile
from marigolddoor_storage.record_file import RecordFile
from marigolddoor_storage.snapshot_files import SnapshotFiles, SnapshotWriter

__all__ = ["RecoveredReplica", "ReplicaStore"]


@dataclass(frozen=True, slots=True)
class RecoveredReplica:
    """What a replica recovers at start: vote and log, and the state of its snapshot."""

    recovered: RecoveredState
    state: bytes | None


class ReplicaStore:
    """Performs the writes of a replica in order, each synced before `perform` returns.

    After a failed write the content on the disk is undefined, so every later write fails as well
    until the folder is opened again. `lock_descriptor` is the open lock file of the folder if this
    process has locked it already.
    """

    def __init__(
        self, path: Path, files: Files | None = None, lock_descriptor: int | None = None
    ) -> None:
        self.folder = Folder(path, lock_descriptor)
        self.files = files or OsFiles()
        self.identity_file = RecordFile(path / "identity", self.files)
        self.vote_file = RecordFile(path / "vote", self.files)
        self.log = LogFile(path, self.files)
        self.snapshots = SnapshotFiles(path, self.files)
        self.failure: StorageError | None = None
        # Entries of the log after its base.
        self.tail: list[Entry] = []

    def identity(self) -> Identity | None:
        """Return the identity of the replica; None if the folder is new.

        Raises:
          CorruptFileError: the folder is not new, but has no identity.
        """
        identity: Identity | None = self.identity_file.read()
        if identity is None and (self.log.exists() or self.vote_file.exists()):
            raise CorruptFileError(f"{self.folder.path}: the identity file is missing")
        return identity

    def initialise(self, identity: Identity) -> None:
        """Initialise the folder for a new replica."""
        self.identity_file.write(identity)

    def open(self) -> RecoveredReplica:
        """Recover the replica from the folder.

        Raises:
          StorageError: the folder is not initialised or cannot be read.
          CorruptFileError: a file is corrupt.
        """
        identity = self.identity()
        if identity is None:
            raise StorageError(f"{self.folder.path} is not initialised")
        state = self.snapshots.open()
        vote: VoteRecord | None = self.vote_file.read()
        self.log.open(is_new=vote is None)
        snapshot = self.snapshots.latest
        base, entries = self.log.base, self.log.entries
        if base.index > (0 if snapshot is None else snapshot.index):
            raise CorruptFileError(
                f"{self.folder.path}: the snapshot that precedes the log is corrupt or missing"
            )
        if snapshot is not None and not _contains(base, entries, snapshot):
            # The replica crashed after storing a received snapshot, before replacing the log.
            base, entries = LogBase(snapshot.index, snapshot.term), []
            self.log.rewrite(base, entries)
        last_term = entries[-1].term if entries else base.term
        if last_term > (0 if vote is None else vote.term):
            # With a lost vote the replica could vote twice in a term.
            raise CorruptFileError(
                f"{self.folder.path}: the term of the vote is older than the log"
            )
        self.tail = list(entries)
        self.log.entries = []
        recovered = RecoveredState(
            term=Term(0) if vote is None else vote.term,
            vote=None if vote is None else vote.vote,
            snapshot=snapshot,
            configuration=identity.configuration if snapshot is None else snapshot.configuration,
            base_index=base.index,
            base_term=base.term,
            entries=entries,
        )
        return RecoveredReplica(recovered, state)

    def perform(self, actions: Iterable[WriteAction]) -> bytes | None:
        """Perform writes; return the state of a received snapshot if it became complete.

        Consecutive appends share one sync.

        Raises:
          StorageError: a write failed; it and all later ones count as not performed.
        """
        state: bytes | None = None
        with self._sticky_failure():
            pending: list[Sequence[Entry]] = []
            for action in actions:
                if isinstance(action, SaveEntries):
                    pending.append(action.entries)
                    continue
                self._append(pending)
                pending = []
                state = self._perform(action) or state
            self._append(pending)
        return state

    def _append(self, batches: list[Sequence[Entry]]) -> None:
        if not batches:
            return
        self.log.append(batches)
        for entries in batches:
            del self.tail[entries[0].index - self.log.base.index - 1 :]
            self.tail.extend(entries)

    def _perform(self, action: WriteAction) -> bytes | None:
        if isinstance(action, SaveVote):
            self.vote_file.write(VoteRecord(action.term, action.vote))
        elif isinstance(action, SaveChunk):
            return self._save_chunk(action)
        elif isinstance(action, CompactLog):
            kept = self.tail[action.index - self.log.base.index :]
            self._replace_log(LogBase(action.index, action.term), kept)
        return None

    def _save_chunk(self, action: SaveChunk) -> bytes | None:
        if action.offset == 0:
            self.snapshots.begin(action.snapshot)
        self.snapshots.add(action.data)
        if not action.last:
            return None
        state = self.snapshots.finish()
        self._replace_log(LogBase(action.snapshot.index, action.snapshot.term), [])
        return state

    def _replace_log(self, base: LogBase, entries: list[Entry]) -> None:
        self.log.rewrite(base, entries)
        self.tail = entries

    def begin_snapshot(
        self, index: LogIndex, term: Term, configuration: Configuration, state: bytes
    ) -> SnapshotWriter:
        """Begin to store a snapshot of the local state.

        The caller adds the state in parts, each synced, so that no single call blocks for long.

        Raises:
          StorageError: this write and all later ones count as not performed.
        """
        meta = SnapshotMeta(index, term, configuration, len(state), zlib.crc32(state))
        with self._sticky_failure():
            return self.snapshots.begin_local(meta)

    def add_to_snapshot(self, writer: SnapshotWriter, data: bytes) -> None:
        """Append a part of the state and sync it.

        Raises:
          StorageError: this write and all later ones count as not performed.
        """
        with self._sticky_failure():
            writer.add(data)
            writer.sync()

    def finish_snapshot(self, writer: SnapshotWriter) -> bool:
        """Publish a snapshot; return False if a later one was received in the meantime.

        Raises:
          StorageError: this write and all later ones count as not performed.
        """
        with self._sticky_failure():
            return self.snapshots.finish_local(writer)

    @contextlib.contextmanager
    def _sticky_failure(self) -> Iterator[None]:
        if self.failure is not None:
            raise self.failure
        try:
            yield
        except StorageError as error:
            self.failure = error
            raise

    def read_chunk(self, meta: SnapshotMeta, offset: int, length: int) -> bytes | None:
        """Return a part of the state of a snapshot, or None if it is not the latest one."""
        return self.snapshots.read_chunk(meta, offset, length)

    def close(self) -> None:
        """Close the files and release the lock of the folder."""
        self.identity_file.close()
        self.vote_file.close()
        self.log.close()
        self.snapshots.close()
        self.folder.close()


def _contains(base: LogBase, entries: Sequence[Entry], snapshot: SnapshotMeta) -> bool:
    if snapshot.index == base.index:
        return snapshot.term == base.term
    position = snapshot.index - base.index - 1
    return 0 <= position < len(entries) and entries[position].term == snapshot.term
