"""Data folders and failing file calls for tests."""

import errno
import tempfile
from pathlib import Path

import testtools
from marigolddoor_storage import OsFiles

# Deleting synced files is slow on some disks, and tests of the format need no disk.
MEMORY = Path("/dev/shm")


def temporary_folder(test: testtools.TestCase) -> Path:
    """Return an empty folder, deleted after the test."""
    parent = MEMORY if MEMORY.is_dir() else None
    folder = tempfile.TemporaryDirectory(prefix="marigolddoor-", dir=parent)
    test.addCleanup(folder.cleanup)
    return Path(folder.name)


class FailingFiles(OsFiles):
    """Counts the calls and fails from call `fail_at` on, which writes half of its data.

    With `complete` the failing call writes all of its data, as if the process had been killed right
    after it.
    """

    def __init__(self, fail_at: int, complete: bool = False, error: int = errno.ENOSPC) -> None:
        self.fail_at = fail_at
        self.complete = complete
        self.error = error
        self.calls = 0

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        self.calls += 1
        if self.calls > self.fail_at:
            self.fail()
        if self.calls == self.fail_at:
            super().write(descriptor, data if self.complete else data[: len(data) // 2], offset)
            self.fail()
        super().write(descriptor, data, offset)

    def sync(self, descriptor: int) -> None:
        self.calls += 1
        if self.calls >= self.fail_at:
            self.fail()

    def fail(self) -> None:
        """Raise the injected error."""
        raise OSError(self.error, "injected")


class UnsyncedFiles(FailingFiles):
    """Kills the process at call `fail_at`, and loses unsynced data in a later power loss."""

    def __init__(self, fail_at: int) -> None:
        super().__init__(fail_at, complete=True)
        self.synced: dict[Path, bytes] = {}

    def sync(self, descriptor: int) -> None:
        super().sync(descriptor)
        path = Path(f"/proc/self/fd/{descriptor}").readlink()
        if path.is_file():
            self.synced[path] = path.read_bytes()

    def restart(self) -> None:
        """Let all further calls succeed."""
        self.fail_at = self.calls + 10**9

    def lose_power(self, folder: Path) -> None:
        """Reset each file to its content at its last sync; a file without one is lost."""
        for path in folder.iterdir():
            if path in self.synced:
                path.write_bytes(self.synced[path])
            else:
                path.unlink()
