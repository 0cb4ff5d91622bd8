"""Runs the tests under tests/ and ends with the line `N passed, N failed`.

Tests listed in KNOWN-RED.txt run and are reported with their errors, but do not fail the run. The
tests are spread over half of the cores; those whose class has `needs_machine = True` run alone
after the others.

Example:
  python tools/run_tests.py consensus state
"""

import argparse
import contextlib
import io
import json
import os
import sys
import time
import unittest
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import anyio
import testscenarios
from anyio.streams.buffered import BufferedByteReceiveStream
from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# The seconds that slow tests took on one machine; only their order matters.
DURATIONS = ROOT / "tests" / "durations.json"
SLOW_TEST_S = 5.0
MAX_REPORT_BYTES = 64 * 1024 * 1024


class Outcome(unittest.TestResult):
    """Counts tests and prints failures as they occur."""

    def __init__(self, known_red: frozenset[str]) -> None:
        super().__init__()
        self.known_red = known_red
        self.passed = 0
        self.known_failures: list[str] = []
        self.failed: list[str] = []
        self.durations: dict[str, float] = {}
        self.started_s = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802 (name of unittest)
        """Record the start time of the test."""
        super().startTest(test)
        self.started_s = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802 (name of unittest)
        """Report the test if it was slow."""
        super().stopTest(test)
        duration_s = time.monotonic() - self.started_s
        self.durations[test.id()] = duration_s
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
        else:
            self.failed.append(name)
            print(f"FAILED: {name}")
        if details is not None:
            for detail in details.values():
                print(detail.as_text())
        elif err is not None:
            print(self._exc_info_to_string(err, test))  # type: ignore[attr-defined]


@dataclass(frozen=True, slots=True)
class TestReport:
    """The result of one test in a worker process, and what it printed."""

    passed: int
    known_failures: list[str]
    failed: list[str]
    duration_s: float
    output: str


class WorkerError(Exception):
    """A worker process ended before it had run its tests."""


def known_red_tests(file: Path = KNOWN_RED) -> frozenset[str]:
    """Return the ids of the tests in the file: the lines that begin with `test: `."""
    if not file.exists():
        return frozenset()
    lines = file.read_text().splitlines()
    return frozenset(line.removeprefix("test: ") for line in lines if line.startswith("test: "))


def discover(names: Iterable[str]) -> list[unittest.TestCase]:
    """Return the tests whose id contains one of the names, or all tests without names."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    wanted = list(names)
    return [
        test
        for test in testscenarios.generate_scenarios(suite)
        if not wanted or any(name in test.id() for name in wanted)
    ]


def run_order(tests: list[unittest.TestCase], durations: dict[str, float]) -> list[int]:
    """Return the positions of the tests with the longest first, so that no worker ends late."""
    return sorted(range(len(tests)), key=lambda n: durations.get(tests[n].id(), 0.0), reverse=True)


def run_one(test: unittest.TestCase, known_red: frozenset[str]) -> TestReport:
    """Run one test and return its result."""
    outcome = Outcome(known_red)
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        unittest.TestSuite([test]).run(outcome)
    return TestReport(
        outcome.passed,
        outcome.known_failures,
        outcome.failed,
        outcome.durations.get(test.id(), 0.0),
        output.getvalue(),
    )


def run_worker(tests: list[unittest.TestCase]) -> None:
    """Run the tests whose positions are read from standard input, and write a line for each."""
    reports = os.fdopen(os.dup(sys.stdout.fileno()), "w")
    # What a test or its child processes write to standard output must not mix with the reports.
    os.dup2(sys.stderr.fileno(), sys.stdout.fileno())
    known_red = known_red_tests()
    for line in sys.stdin:
        print(json.dumps(asdict(run_one(tests[int(line)], known_red))), file=reports, flush=True)


class Runner:
    """Hands tests to worker processes and collects their reports."""

    def __init__(self, names: list[str]) -> None:
        self.names = names
        self.passed = 0
        self.failed: list[str] = []
        self.durations: dict[str, float] = {}

    async def run(self, tests: list[unittest.TestCase], jobs: int) -> None:
        """Run all tests, `jobs` at a time, and then those that need the machine alone."""
        durations = json.loads(DURATIONS.read_text()) if DURATIONS.exists() else {}
        order = run_order(tests, durations)
        alone = {n for n in order if getattr(tests[n], "needs_machine", False)}
        for positions, count in (([n for n in order if n not in alone], jobs), (sorted(alone), 1)):
            queue = iter(positions)
            async with anyio.create_task_group() as group:
                for _ in range(min(count, len(positions))):
                    group.start_soon(self._run_worker, tests, queue)

    async def _run_worker(self, tests: list[unittest.TestCase], queue: Iterator[int]) -> None:
        command = [sys.executable, str(Path(__file__)), "--worker", *self.names]
        # Error output goes to that of this process, as it would without workers.
        async with await anyio.open_process(command, stderr=None) as process:
            assert process.stdin is not None and process.stdout is not None
            reports = BufferedByteReceiveStream(process.stdout)
            for position in queue:
                await process.stdin.send(f"{position}\n".encode())
                try:
                    line = await reports.receive_until(b"\n", MAX_REPORT_BYTES)
                except (anyio.EndOfStream, anyio.IncompleteRead) as error:
                    raise WorkerError(f"the worker ended in {tests[position].id()}") from error
                self._add(tests[position].id(), TestReport(**json.loads(line)))
            await process.stdin.aclose()

    def _add(self, name: str, report: TestReport) -> None:
        print(report.output, end="", flush=True)
        self.passed += report.passed
        self.failed += report.failed
        self.durations[name] = report.duration_s


def _write_durations(durations: dict[str, float]) -> None:
    slow: dict[str, Any] = {
        name: round(duration_s, 1)
        for name, duration_s in sorted(durations.items())
        if duration_s >= 0.5
    }
    DURATIONS.write_text(json.dumps(slow, indent=1) + "\n")


def main() -> int:
    """Run the tests whose names contain one of the arguments, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="run only tests whose name contains one of these")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 1) // 2))
    parser.add_argument("--worker", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument(
        "--measure", action="store_true", help="write the durations, which decide the order"
    )
    arguments = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    # Tests provoke failures on purpose, whose log lines would hide those of real ones.
    logger.remove()
    tests = discover(arguments.names)
    if arguments.worker:
        run_worker(tests)
        return 0
    runner = Runner(arguments.names)
    anyio.run(runner.run, tests, arguments.jobs)
    if arguments.measure:
        _write_durations(runner.durations)
    print(f"{runner.passed} passed, {len(runner.failed)} failed")
    return 1 if runner.failed or runner.passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
