"""Runs the tests under tests/ and ends with the line `N passed, N failed`.

Tests listed in KNOWN-RED.txt run and are reported, but do not fail the run.

Example:
  python tools/run_tests.py consensus state
"""

import argparse
import sys
import time
import unittest
from pathlib import Path

import testscenarios
from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SLOW_TEST_S = 5.0


class Outcome(unittest.TestResult):
    """Counts tests and prints failures as they occur."""

    def __init__(self, known_red: frozenset[str]) -> None:
        super().__init__()
        self.known_red = known_red
        self.passed = 0
        self.known_failures: list[str] = []
        self.failed: list[str] = []
        self.started_s = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802 (name of unittest)
        """Record the start time of the test."""
        super().startTest(test)
        self.started_s = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802 (name of unittest)
        """Report the test if it was slow."""
        super().stopTest(test)
        duration_s = time.monotonic() - self.started_s
        if duration_s > SLOW_TEST_S:
            print(f"slow: {test.id()} took {duration_s:.1f} s")

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802 (name of unittest)
        """Count a test that passed."""
        self.passed += 1

    def addError(self, test, err=None, details=None) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        """Count a test that raised."""
        self._fail(test, err, details)

    def addFailure(self, test, err=None, details=None) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        """Count a test that failed."""
        self._fail(test, err, details)

    def _fail(self, test, err, details) -> None:  # type: ignore[no-untyped-def]
        name = test.id()
        if name in self.known_red:
            self.known_failures.append(name)
            print(f"known red: {name}")
            return
        self.failed.append(name)
        print(f"FAILED: {name}")
        if details is not None:
            for detail in details.values():
                print(detail.as_text())
        elif err is not None:
            print(self._exc_info_to_string(err, test))  # type: ignore[attr-defined]


def known_red_tests(file: Path = KNOWN_RED) -> frozenset[str]:
    """Return the ids of the tests in the file: the lines that begin with `test: `."""
    if not file.exists():
        return frozenset()
    lines = file.read_text().splitlines()
    return frozenset(line.removeprefix("test: ") for line in lines if line.startswith("test: "))


def main() -> int:
    """Run the tests whose names contain one of the arguments, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="run only tests whose name contains one of these")
    arguments = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    # Tests provoke failures on purpose, whose log lines would hide those of real ones.
    logger.remove()
    suite = unittest.TestSuite()
    for test in testscenarios.generate_scenarios(
        unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    ):
        if not arguments.names or any(name in test.id() for name in arguments.names):
            suite.addTest(test)
    outcome = Outcome(known_red_tests())
    suite.run(outcome)
    print(f"{outcome.passed} passed, {len(outcome.failed)} failed")
    return 1 if outcome.failed or outcome.passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
