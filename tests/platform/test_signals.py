"""Guards against a process that a notification about its settings ends while it starts."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import testtools

STARTED_WITHIN_S = 30.0


class StartTest(testtools.TestCase):
    """SIGHUP doesn't end a process that has not read its settings yet; SIGTERM does."""

    scenarios = [
        ("SIGHUP", {"number": signal.SIGHUP, "status": 2}),
        ("SIGTERM", {"number": signal.SIGTERM, "status": -signal.SIGTERM}),
    ]

    def test_signal(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            # The process waits in the start, until something is written to its settings file.
            path = Path(folder) / "settings.conf"
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "marigolddoor_platform"],
                env={**os.environ, "MARIGOLDDOOR_BOOT": str(path)},
                stderr=subprocess.DEVNULL,
            )
            self.addCleanup(process.kill)
            settings = self._open_for_writing(path)
            process.send_signal(self.number)
            with contextlib.suppress(BrokenPipeError):
                os.write(settings, b"node-name=without-other-settings\n")
            os.close(settings)
            self.assertEqual(self.status, process.wait(STARTED_WITHIN_S))

    def _open_for_writing(self, path: Path) -> int:
        deadline = time.monotonic() + STARTED_WITHIN_S
        while True:
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.01)
