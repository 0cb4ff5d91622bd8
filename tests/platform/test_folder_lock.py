"""Guards against a wait for leases that counts from before the end of the previous process."""

import os
import time
from pathlib import Path

import testtools
from marigolddoor_platform.folder_lock import lock_data_folder
from marigolddoor_storage import FolderInUseError, ReplicaStore

from tests.storage.folders import temporary_folder


class FolderLockTest(testtools.TestCase):
    """Guards against a lock on another folder, and against a failure before the log is set up."""

    scenarios = [
        ("control", {"text": "listen.control=h:1\ndata-dir={folder}", "is_locked": True}),
        ("spaces", {"text": " listen.control = h:1\n data-dir = {folder} \n", "is_locked": True}),
        ("entry", {"text": "listen.frontend=h:1\ndata-dir={folder}", "is_locked": False}),
        ("no folder", {"text": "listen.control=h:1", "is_locked": False}),
        ("comment", {"text": "listen.control=h:1\n#data-dir={folder}", "is_locked": False}),
        ("missing", {"text": "listen.control=h:1\ndata-dir={folder}/no", "is_locked": False}),
        ("odd", {"text": "listen.control=h:1\ndata-dir={folder}\0", "is_locked": False}),
        ("empty", {"text": "", "is_locked": False}),
    ]

    def test_lock(self) -> None:
        folder = temporary_folder(self)
        settings = Path(folder) / "settings"
        settings.write_text(self.text.format(folder=folder))
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        lock = lock_data_folder(str(settings))
        self.assertEqual(self.is_locked, lock is not None)
        if lock is None:
            return
        self.assertTrue(before <= lock.held_since <= time.clock_gettime(time.CLOCK_BOOTTIME))
        # The process that holds the lock has not ended.
        self.assertIs(None, lock_data_folder(str(settings)))
        self.assertRaises(FolderInUseError, ReplicaStore, Path(folder))
        ReplicaStore(Path(folder), lock_descriptor=lock.descriptor).close()
        again = lock_data_folder(str(settings))
        assert again is not None
        os.close(again.descriptor)

    def test_no_settings(self) -> None:
        self.assertIs(None, lock_data_folder(""))
