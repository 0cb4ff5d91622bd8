"""Guards against acknowledged data lost in a crash, and against use of a corrupt folder."""

import errno
import shutil
import tempfile
import zlib
from collections.abc import Callable
from pathlib import Path

import testtools
from marigolddoor_core.consensus import Configuration, Entry, Member, SnapshotMeta
from marigolddoor_core.consensus.outputs import (
    CompactLog,
    SaveChunk,
    SaveEntries,
    SaveVote,
    WriteAction,
)
from marigolddoor_core.consensus.stored import Identity
from marigolddoor_core.ids import LogIndex, ReplicaId, Term
from marigolddoor_storage import (
    CorruptFileError,
    DiskFullError,
    Files,
    FolderInUseError,
    FolderMissingError,
    RecoveredReplica,
    ReplicaStore,
    StorageError,
)

from tests.storage.folders import FailingFiles, UnsyncedFiles, temporary_folder

REPLICA = ReplicaId("a.1")
GROUP = Configuration((Member(REPLICA, "127.0.0.1:1"),))
STATE = b"the state after entry 9"


def entries(first: int, last: int, term: int) -> tuple[Entry, ...]:
    """Return entries with commands of different sizes."""
    return tuple(
        Entry(LogIndex(index), Term(term), f"{index}-{term}".encode() * 9)
        for index in range(first, last + 1)
    )


def chunk(offset: int, length: int) -> SaveChunk:
    """Return a chunk of a received snapshot at index 9."""
    meta = SnapshotMeta(LogIndex(9), Term(4), GROUP, len(STATE), zlib.crc32(STATE))
    end = offset + length
    return SaveChunk(meta, offset, STATE[offset:end], end >= len(STATE))


# Writes of a replica: votes, batches, a truncated log, a local snapshot, a received snapshot.
STEPS: list[tuple[WriteAction, ...] | str] = [
    (SaveVote(Term(1), REPLICA), SaveEntries(entries(1, 3, 1))),
    (SaveEntries(entries(4, 4, 1)), SaveEntries(entries(5, 6, 1))),
    (SaveVote(Term(2), None), SaveEntries(entries(5, 5, 2))),
    "snapshot",
    (CompactLog(LogIndex(2), Term(1)),),
    (SaveEntries(entries(6, 7, 2)),),
    (SaveVote(Term(4), None), chunk(0, 10)),
    (chunk(10, 13),),
    (SaveEntries(entries(10, 11, 4)),),
    (SaveVote(Term(5), REPLICA),),
]

RecoveredData = tuple[int, str | None, int, bytes | None, tuple[tuple[int, int, bytes], ...]]


def save_snapshot(store: ReplicaStore, index: int, state: bytes) -> SnapshotMeta:
    """Store a snapshot in two parts."""
    writer = store.begin_snapshot(LogIndex(index), Term(1), GROUP, state)
    store.add_to_snapshot(writer, state[:2])
    store.add_to_snapshot(writer, state[2:])
    assert store.finish_snapshot(writer)
    return writer.meta


def perform_step(store: ReplicaStore, step: tuple[WriteAction, ...] | str) -> None:
    """Perform one step."""
    if isinstance(step, str):
        save_snapshot(store, 4, b"the state after entry 4")
    else:
        store.perform(step)


def recovered_data(restart: RecoveredReplica) -> RecoveredData:
    """Return the state that a replica recovers; entries covered by the snapshot are left out."""
    recovered = restart.recovered
    start = 0 if recovered.snapshot is None else recovered.snapshot.index
    kept = tuple((e.index, e.term, e.command) for e in recovered.entries if e.index > start)
    return (recovered.term, recovered.vote, start, restart.state, kept)


def open_store(path: Path, files: Files | None = None) -> tuple[ReplicaStore, RecoveredReplica]:
    """Open a folder, and initialise it if it is empty."""
    store = ReplicaStore(path, files)
    try:
        if store.identity() is None:
            store.initialise(Identity(REPLICA, GROUP))
        return store, store.open()
    except StorageError:
        store.close()
        raise


def reopen(path: Path) -> RecoveredData:
    """Return the state that a replica recovers after a restart."""
    store, restart = open_store(path)
    store.close()
    return recovered_data(restart)


def count_file_calls() -> int:
    """Return the number of file calls of all steps."""
    files = FailingFiles(10**9)
    with tempfile.TemporaryDirectory() as folder:
        store, _ = open_store(Path(folder), files)
        for step in STEPS:
            perform_step(store, step)
        store.close()
    return files.calls


class CrashTest(testtools.TestCase):
    """A crash at any file call loses no acknowledged write and exposes no partial one."""

    scenarios = [
        (f"call {call}{' complete' if complete else ''}", {"call": call, "complete": complete})
        for call in range(1, count_file_calls() + 1)
        for complete in (False, True)
    ]

    def test_restart(self) -> None:
        path = temporary_folder(self)
        expected = self.data_after_each_step()
        done = 0
        files = FailingFiles(self.call, self.complete)
        try:
            store, _ = open_store(path, files)
        except StorageError:
            self.assertEqual(expected[0], reopen(path))
            return
        self.assertRaises(DiskFullError, self.run_steps, store, performed := [0])
        done = performed[0]
        # All writes after a failed one fail, because the content on the disk is undefined.
        self.assertRaises(StorageError, store.perform, (SaveVote(Term(9), REPLICA),))
        store.close()
        recovered = reopen(path)
        allowed = self.partial_data(done) + expected[done : done + 2]
        self.assertIn(recovered, allowed)

    def run_steps(self, store: ReplicaStore, performed: list[int]) -> None:
        for step in STEPS:
            perform_step(store, step)
            performed[0] += 1

    def data_after_each_step(self) -> list[RecoveredData]:
        path = temporary_folder(self)
        recovered = []
        for count in range(len(STEPS) + 1):
            folder = path / str(count)
            folder.mkdir()
            store, _ = open_store(folder)
            for step in STEPS[:count]:
                perform_step(store, step)
            store.close()
            recovered.append(reopen(folder))
        return recovered

    def partial_data(self, done: int) -> list[RecoveredData]:
        """Return the state recovered if only the first action of the next step was performed."""
        step = STEPS[done]
        if isinstance(step, str):
            return []
        folder = temporary_folder(self)
        store, _ = open_store(folder)
        for earlier in STEPS[:done]:
            perform_step(store, earlier)
        store.perform(step[:1])
        store.close()
        return [reopen(folder)]


class RestartBeforePowerLossTest(testtools.TestCase):
    """What a restarted replica has read, and may acknowledge, survives a later power loss.

    The process is killed at a file call, possibly between a write and its sync.
    """

    scenarios = [(f"call {call}", {"call": call}) for call in range(1, count_file_calls() + 1)]

    def test_recovered(self) -> None:
        path = temporary_folder(self).resolve()
        files = UnsyncedFiles(self.call)
        try:
            store, _ = open_store(path, files)
        except StorageError:
            store = None
        if store is not None:
            self.assertRaises(StorageError, self.run_steps, store)
            store.close()
        files.restart()
        store, restart = open_store(path, files)
        store.close()
        files.lose_power(path)
        self.assertEqual(recovered_data(restart), reopen(path))

    def run_steps(self, store: ReplicaStore) -> None:
        for step in STEPS:
            perform_step(store, step)


def flip_bit(path: Path, position: int) -> None:
    """Flip one bit."""
    data = bytearray(path.read_bytes())
    data[position] ^= 1
    path.write_bytes(bytes(data))


def corrupt_both_slots(path: Path) -> None:
    """Corrupt both slots of a record file."""
    flip_bit(path, 9)
    flip_bit(path, 4096 + 9)


def corrupt_current_log(path: Path) -> None:
    """Corrupt the second batch of the current log file."""
    flip_bit(path / "log.1", path.joinpath("log.1").read_bytes().find(b"mdlb", 1) + 40)


class CorruptFolderTest(testtools.TestCase):
    """A corrupt or incomplete folder is refused with a typed error, not partly recovered."""

    scenarios: list[tuple[str, dict[str, Callable[[Path], None]]]] = [
        ("a batch before the tail", {"damage": corrupt_current_log}),
        ("header of the log", {"damage": lambda path: flip_bit(path / "log.1", 5)}),
        ("missing log", {"damage": lambda path: (path / "log.1").unlink()}),
        ("missing vote", {"damage": lambda path: (path / "vote").unlink()}),
        ("missing identity", {"damage": lambda path: (path / "identity").unlink()}),
        ("both slots of the vote", {"damage": lambda path: corrupt_both_slots(path / "vote")}),
    ]

    def test_refused(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        for step in STEPS[:3]:
            perform_step(store, step)
        store.close()
        self.damage(path)
        self.assertRaises(CorruptFileError, open_store, path)


class CorruptSnapshotTest(testtools.TestCase):
    """A folder is refused if the snapshot that precedes its log is corrupt."""

    scenarios = [("metadata", {"position": 20}), ("state", {"position": -5})]

    def test_refused(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        for step in STEPS[:5]:
            perform_step(store, step)
        store.close()
        size = (path / "snapshot.0").stat().st_size
        flip_bit(path / "snapshot.0", self.position % size)
        self.assertRaises(CorruptFileError, open_store, path)


class CorruptSlotTest(testtools.TestCase):
    """A corrupt slot of the vote or identity loses nothing; the other slot has the same record."""

    scenarios = [
        (f"{name} slot {slot}", {"name": name, "slot": slot})
        for name in ("vote", "identity")
        for slot in (0, 1)
    ]

    def test_read(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        for step in STEPS[:3]:
            perform_step(store, step)
        store.close()
        before = reopen(path)
        flip_bit(path / self.name, self.slot * 4096 + 8)
        self.assertEqual(before, reopen(path))


class FailureTest(testtools.TestCase):
    """A full disk and a missing folder raise typed errors, also while the replica runs."""

    scenarios = [
        ("disk full", {"error": errno.ENOSPC, "expected": DiskFullError}),
        ("quota", {"error": errno.EDQUOT, "expected": DiskFullError}),
        ("no such folder", {"error": errno.ENOENT, "expected": FolderMissingError}),
        ("input/output error", {"error": errno.EIO, "expected": StorageError}),
    ]

    def test_write(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        store.close()
        files = FailingFiles(10**9, error=self.error)
        store, _ = open_store(path, files)
        self.addCleanup(store.close)
        files.fail_at = files.calls + 1
        error = self.assertRaises(self.expected, store.perform, STEPS[0])
        self.assertIs(self.expected, type(error))

    def test_open(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        store.close()
        files = FailingFiles(1, error=self.error)
        error = self.assertRaises(self.expected, open_store, path, files)
        self.assertIs(self.expected, type(error))


class FolderTest(testtools.TestCase):
    """A folder is locked by one process and must exist; its deletion is detected."""

    def test_in_use(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        self.assertRaises(FolderInUseError, ReplicaStore, path)
        store.close()
        ReplicaStore(path).close()

    def test_missing(self) -> None:
        path = temporary_folder(self) / "not there"
        self.assertRaises(FolderMissingError, ReplicaStore, path)

    def test_deleted_while_running(self) -> None:
        path = temporary_folder(self) / "data"
        path.mkdir()
        store, _ = open_store(path)
        self.addCleanup(store.close)
        perform_step(store, STEPS[0])
        shutil.rmtree(path)
        self.assertRaises(FolderMissingError, perform_step, store, STEPS[1])


class ChunkTest(testtools.TestCase):
    """Chunks are read from the requested offset, and only from the requested snapshot."""

    scenarios = [
        ("beginning", {"offset": 0, "length": 5, "expected": STATE[:5]}),
        ("middle", {"offset": 5, "length": 7, "expected": STATE[5:12]}),
        ("end", {"offset": 20, "length": 50, "expected": STATE[20:]}),
    ]

    def test_read(self) -> None:
        store, _ = open_store(temporary_folder(self))
        self.addCleanup(store.close)
        old = save_snapshot(store, 4, b"old")
        meta = save_snapshot(store, 9, STATE)
        self.assertEqual(self.expected, store.read_chunk(meta, self.offset, self.length))
        self.assertIsNone(store.read_chunk(old, 0, 3))
