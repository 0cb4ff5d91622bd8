"""Guards against a failure of a test with processes that leaves nothing to trace it by."""

import contextlib
import io
import tempfile
from pathlib import Path

import testtools
from loguru import logger

from tests.kept_logs import system_folder, system_folder_with_log


class KeptLogsTest(testtools.TestCase):
    scenarios = [
        ("passed", {"error": None, "kept_logs": 0}),
        ("failed", {"error": AssertionError("on purpose"), "kept_logs": 1}),
        ("interrupted", {"error": KeyboardInterrupt(), "kept_logs": 1}),
    ]

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.kept = Path(folder.name)
        self.output = io.StringIO()

    def fail_or_pass(self) -> None:
        if self.error is not None:
            raise self.error

    def check(self, name: str) -> None:
        self.assertEqual([name] * self.kept_logs, [file.name for file in self.kept.glob("*/*")])
        self.assertEqual(self.kept_logs, self.output.getvalue().count("last line"))

    def test_log_of_a_process(self) -> None:
        with (
            contextlib.redirect_stdout(self.output),
            contextlib.suppress(AssertionError, KeyboardInterrupt),
            system_folder(self.kept) as folder,
        ):
            (folder / "log-127.0.0.1.txt").write_text("first line\nlast line\n")
            self.fail_or_pass()
        self.check("log-127.0.0.1.txt")

    def test_log_of_this_process(self) -> None:
        with (
            contextlib.redirect_stdout(self.output),
            contextlib.suppress(AssertionError, KeyboardInterrupt),
            system_folder_with_log(self.kept),
        ):
            logger.info("last line")
            self.fail_or_pass()
        self.check("log.txt")
