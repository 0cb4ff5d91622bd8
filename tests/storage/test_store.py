"""Guards against acknowledged data that a crash loses, and against use of a damaged folder."""

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
    ReplicaStore,
    Restart,
    StorageError,
)

from tests.storage.folders import FailingFiles, temporary_folder

REPLICA = ReplicaId("a.1")
GROUP = Configuration((Member(REPLICA, "127.0.0.1:1"),))
STATE = b"the state after entry 9"


def entries(first: int, last: int, term: int) -> tuple[Entry, ...]:
    """Return entries with commands of some size."""
    return tuple(
        Entry(LogIndex(index), Term(term), f"{index}-{term}".encode() * 9)
        for index in range(first, last + 1)
    )


def chunk(offset: int, length: int) -> SaveChunk:
    """Return a part of a received snapshot at index 9."""
    meta = SnapshotMeta(LogIndex(9), Term(4), GROUP, len(STATE), zlib.crc32(STATE))
    end = offset + length
    return SaveChunk(meta, offset, STATE[offset:end], end >= len(STATE))


# A life of a replica: votes, batches, a replaced end, a snapshot of its own, a received one.
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

Facts = tuple[int, str | None, int, bytes | None, tuple[tuple[int, int, bytes], ...]]


def save_snapshot(store: ReplicaStore, index: int, state: bytes) -> SnapshotMeta:
    """Store a snapshot in two parts."""
    writer = store.begin_snapshot(LogIndex(index), Term(1), GROUP, state)
    store.add_to_snapshot(writer, state[:2])
    store.add_to_snapshot(writer, state[2:])
    assert store.finish_snapshot(writer)
    return writer.meta


def do(store: ReplicaStore, step: tuple[WriteAction, ...] | str) -> None:
    """Carry out one step."""
    if isinstance(step, str):
        save_snapshot(store, 4, b"the state after entry 4")
    else:
        store.perform(step)


def facts(restart: Restart) -> Facts:
    """Return what a restarted replica knows; entries before a snapshot don't matter."""
    recovered = restart.recovered
    start = 0 if recovered.snapshot is None else recovered.snapshot.index
    kept = tuple((e.index, e.term, e.command) for e in recovered.entries if e.index > start)
    return (recovered.term, recovered.vote, start, restart.state, kept)


def open_store(path: Path, files: Files | None = None) -> tuple[ReplicaStore, Restart]:
    """Open a folder, as a new replica if it is empty."""
    store = ReplicaStore(path, files)
    try:
        if store.identity() is None:
            store.found(Identity(REPLICA, GROUP))
        return store, store.open()
    except StorageError:
        store.close()
        raise


def reopened(path: Path) -> Facts:
    """Return what a replica finds after a restart."""
    store, restart = open_store(path)
    store.close()
    return facts(restart)


def count_calls() -> int:
    """Return the number of file calls of the whole life."""
    files = FailingFiles(10**9)
    with tempfile.TemporaryDirectory() as folder:
        store, _ = open_store(Path(folder), files)
        for step in STEPS:
            do(store, step)
        store.close()
    return files.calls


class CrashTest(testtools.TestCase):
    """After a crash at any file call, what was acknowledged is there, and nothing half-done is."""

    scenarios = [
        (f"call {call}{' whole' if whole else ''}", {"call": call, "whole": whole})
        for call in range(1, count_calls() + 1)
        for whole in (False, True)
    ]

    def test_restart(self) -> None:
        path = temporary_folder(self)
        expected = self.facts_after_each_step()
        done = 0
        files = FailingFiles(self.call, self.whole)
        try:
            store, _ = open_store(path, files)
        except StorageError:
            self.assertEqual(expected[0], reopened(path))
            return
        self.assertRaises(DiskFullError, self.run_steps, store, counted := [0])
        done = counted[0]
        # A failed write stays failed: what is on the disk is not known any more.
        self.assertRaises(StorageError, store.perform, (SaveVote(Term(9), REPLICA),))
        store.close()
        found = reopened(path)
        allowed = self.partial_facts(done) + expected[done : done + 2]
        self.assertIn(found, allowed)

    def run_steps(self, store: ReplicaStore, counted: list[int]) -> None:
        for step in STEPS:
            do(store, step)
            counted[0] += 1

    def facts_after_each_step(self) -> list[Facts]:
        path = temporary_folder(self)
        found = []
        for count in range(len(STEPS) + 1):
            folder = path / str(count)
            folder.mkdir()
            store, _ = open_store(folder)
            for step in STEPS[:count]:
                do(store, step)
            store.close()
            found.append(reopened(folder))
        return found

    def partial_facts(self, done: int) -> list[Facts]:
        """Return what is found if only the first action of the next step was finished."""
        step = STEPS[done]
        if isinstance(step, str):
            return []
        folder = temporary_folder(self)
        store, _ = open_store(folder)
        for earlier in STEPS[:done]:
            do(store, earlier)
        store.perform(step[:1])
        store.close()
        return [reopened(folder)]


def flip(path: Path, position: int) -> None:
    """Change one bit."""
    data = bytearray(path.read_bytes())
    data[position] ^= 1
    path.write_bytes(bytes(data))


def flip_both_slots(path: Path) -> None:
    """Damage both slots of a record file."""
    flip(path, 9)
    flip(path, 4096 + 9)


def flip_current_log(path: Path) -> None:
    """Damage the second batch of the log file in use."""
    flip(path / "log.1", path.joinpath("log.1").read_bytes().find(b"mdlb", 1) + 40)


class DamageTest(testtools.TestCase):
    """A damaged or incomplete folder is refused with a typed error, never guessed."""

    scenarios: list[tuple[str, dict[str, Callable[[Path], None]]]] = [
        ("a batch before the tail", {"damage": flip_current_log}),
        ("header of the log", {"damage": lambda path: flip(path / "log.1", 5)}),
        ("the log is gone", {"damage": lambda path: (path / "log.1").unlink()}),
        ("the vote is gone", {"damage": lambda path: (path / "vote").unlink()}),
        ("the identity is gone", {"damage": lambda path: (path / "identity").unlink()}),
        ("both slots of the vote", {"damage": lambda path: flip_both_slots(path / "vote")}),
    ]

    def test_refused(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        for step in STEPS[:3]:
            do(store, step)
        store.close()
        self.damage(path)
        self.assertRaises(CorruptFileError, open_store, path)


class DamagedSnapshotTest(testtools.TestCase):
    """A snapshot that the log depends on is refused if it is damaged."""

    scenarios = [("description", {"position": 20}), ("state", {"position": -5})]

    def test_refused(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        for step in STEPS[:5]:
            do(store, step)
        store.close()
        size = (path / "snapshot.0").stat().st_size
        flip(path / "snapshot.0", self.position % size)
        self.assertRaises(CorruptFileError, open_store, path)


class OneSlotTest(testtools.TestCase):
    """One bad slot of the vote or the identity costs nothing, because the other is the same."""

    scenarios = [
        (f"{name} slot {slot}", {"name": name, "slot": slot})
        for name in ("vote", "identity")
        for slot in (0, 1)
    ]

    def test_read(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        for step in STEPS[:3]:
            do(store, step)
        store.close()
        before = reopened(path)
        flip(path / self.name, self.slot * 4096 + 8)
        self.assertEqual(before, reopened(path))


class FailureTest(testtools.TestCase):
    """A full disk and a missing folder give typed errors, also while the replica runs."""

    scenarios = [
        ("disk full", {"error": errno.ENOSPC, "expected": DiskFullError}),
        ("quota", {"error": errno.EDQUOT, "expected": DiskFullError}),
        ("no such folder", {"error": errno.ENOENT, "expected": FolderMissingError}),
        ("input output error", {"error": errno.EIO, "expected": StorageError}),
    ]

    def test_write(self) -> None:
        path = temporary_folder(self)
        store, _ = open_store(path)
        store.close()
        store, _ = open_store(path, FailingFiles(1, error=self.error))
        self.addCleanup(store.close)
        error = self.assertRaises(self.expected, store.perform, STEPS[0])
        self.assertIs(self.expected, type(error))


class FolderTest(testtools.TestCase):
    """A folder is used by one process, must exist, and is noticed when it disappears."""

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
        do(store, STEPS[0])
        shutil.rmtree(path)
        self.assertRaises(FolderMissingError, do, store, STEPS[1])


class ChunkTest(testtools.TestCase):
    """Chunks of a snapshot are read from the right place, and only from the right snapshot."""

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
