"""Guards against a list of known failing tests that hides another failure."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import testtools

from tools.run_tests import Outcome, known_red_tests


def always_fails() -> None:
    """Raise the error of a failed test."""
    raise AssertionError("on purpose")


class KnownRedTest(testtools.TestCase):
    """Guards against a match on anything but the complete test id."""

    scenarios = [
        ("listed", {"text": "test: {}\nissue 4\n", "broken": 0}),
        ("part of the id", {"text": "test: always\n", "broken": 1}),
        ("not marked as a test", {"text": "{}\n", "broken": 1}),
        ("no file", {"text": None, "broken": 1}),
    ]

    def test_failure(self) -> None:
        test = unittest.FunctionTestCase(always_fails)
        with tempfile.TemporaryDirectory() as name:
            file = Path(name) / "KNOWN-RED.txt"
            if self.text is not None:
                file.write_text(self.text.format(test.id()))
            outcome = Outcome(known_red_tests(file))
        with contextlib.redirect_stdout(io.StringIO()):
            test.run(outcome)
        self.assertEqual(self.broken, len(outcome.failed))
