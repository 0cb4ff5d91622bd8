"""Data folders for tests, and file calls that fail."""

import errno
import tempfile
from pathlib import Path

import testtools
from marigolddoor_storage import OsFiles

# Deleting synced files is slow on some disks; tests of the format need no disk.
MEMORY = Path("/dev/shm")


def temporary_folder(test: testtools.TestCase) -> Path:
    """Return an empty folder that is deleted after the test."""
    parent = MEMORY if MEMORY.is_dir() else None
    folder = tempfile.TemporaryDirectory(prefix="marigolddoor-", dir=parent)
    test.addCleanup(folder.cleanup)
    return Path(folder.name)


class FailingFiles(OsFiles):
    """Counts the calls, and fails from a certain one on, writing half of the data at most.

    With `whole` the failing write is complete and only the call fails, as if the process had been
    killed after it.
    """

    def __init__(self, fail_at: int, whole: bool = False, error: int = errno.ENOSPC) -> None:
        self.fail_at = fail_at
        self.whole = whole
        self.error = error
        self.calls = 0

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        self.calls += 1
        if self.calls > self.fail_at:
            self.fail()
        if self.calls == self.fail_at:
            super().write(descriptor, data if self.whole else data[: len(data) // 2], offset)
            self.fail()
        super().write(descriptor, data, offset)

    def sync(self, descriptor: int) -> None:
        self.calls += 1
        if self.calls >= self.fail_at:
            self.fail()

    def fail(self) -> None:
        """Raise the error."""
        raise OSError(self.error, "injected")
