"""Guards against a run of the tests that hides a failure or leaves out a test."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import anyio
import testtools

from tools.run_tests import Outcome, Runner, discover, known_red_tests, run_one, run_order


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
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            test.run(outcome)
        self.assertEqual(self.broken, len(outcome.failed))
        # Without the error a failure that occurs once can't be traced.
        self.assertIn("on purpose", output.getvalue())


class RunOrderTest(testtools.TestCase):
    """A long test that began last would keep the run waiting while the other workers are idle."""

    scenarios = [
        ("longest first", {"durations": {"b": 3.0, "a": 1.0}, "order": ["b", "a", "c"]}),
        ("unmeasured", {"durations": {}, "order": ["a", "b", "c"]}),
    ]

    def test_order(self) -> None:
        tests = [unittest.FunctionTestCase(always_fails, description=name) for name in "abc"]
        for test, name in zip(tests, "abc", strict=True):
            test.id = lambda name=name: name  # type: ignore[method-assign]
        order = run_order(tests, self.durations)
        self.assertEqual(self.order, [tests[position].id() for position in order])


class WorkerTest(testtools.TestCase):
    """The workers together run each test once, and a failure in one of them fails the run."""

    scenarios = [("one worker", {"jobs": 1}), ("three workers", {"jobs": 3})]

    def test_counts(self) -> None:
        names = ["test_run_tests.KnownRedTest", "test_run_tests.RunOrderTest"]
        tests = discover(names)
        runner = Runner(names)
        anyio.run(runner.run, tests, self.jobs)
        self.assertEqual((len(tests), []), (runner.passed, runner.failed))
        self.assertEqual({test.id() for test in tests}, set(runner.durations))

    def test_failure(self) -> None:
        report = run_one(unittest.FunctionTestCase(always_fails), frozenset())
        self.assertEqual((0, 1), (report.passed, len(report.failed)))
        self.assertIn("on purpose", report.output)
