"""Guards against a log that blocks the process, exceeds its rate limit or truncates lines."""

import os
from typing import Any

import testtools
from loguru import logger
from marigolddoor_wire.log_sink import BoundedLogSink


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


class SinkTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.clock = Clock()

    def lines(self) -> list[str]:
        os.set_blocking(self.reader, False)
        try:
            return os.read(self.reader, 1 << 20).decode().splitlines()
        except BlockingIOError:
            return []


class RateLimitTest(SinkTest):
    """Lines over the rate limit are dropped, and the next line reports their number."""

    scenarios = [
        ("within the burst", {"lines_written": 5, "pause_s": 1.0, "left_out": None}),
        ("beyond the burst", {"lines_written": 8, "pause_s": 1.0, "left_out": 3}),
    ]

    def test_rate_limit(self) -> None:
        self.addCleanup(os.close, self.writer)
        sink = BoundedLogSink(self.writer, self.clock, lines_per_s=2, burst=5)
        for number in range(self.lines_written):
            sink.write(f"line {number}\n")
        self.assertEqual([f"line {number}" for number in range(5)], self.lines())
        self.clock.now += self.pause_s
        sink.write("later")
        expected = ["later"]
        if self.left_out is not None:
            expected.insert(0, f"log: {self.left_out} lines were left out")
        self.assertEqual(expected, self.lines())


class FilterTest(SinkTest):
    """Lines beyond the rate limit are not formatted, and are counted once.

    A leader with 700 lines a second formatted 300 of them in vain.
    """

    scenarios = [
        ("within the burst", {"lines_written": 5, "formatted": 5, "left_out": 0}),
        ("beyond the burst", {"lines_written": 8, "formatted": 5, "left_out": 3}),
    ]

    def test_formatted(self) -> None:
        self.addCleanup(os.close, self.writer)
        sink = BoundedLogSink(self.writer, self.clock, lines_per_s=2, burst=5)
        formatted: list[str] = []

        def format_line(record: Any) -> str:
            formatted.append(record["message"])
            return "{message}"

        handler = logger.add(sink.write, format=format_line, filter=sink.admits)
        self.addCleanup(logger.remove, handler)
        for number in range(self.lines_written):
            logger.info("line {}", number)
        self.assertEqual(self.formatted, len(formatted))
        self.assertEqual(self.left_out, sink.left_out)


class SlowReaderTest(SinkTest):
    """A full pipe drops lines instead of blocking, and later lines are complete."""

    def test_full_pipe(self) -> None:
        self.addCleanup(os.close, self.writer)
        sink = BoundedLogSink(self.writer, self.clock, lines_per_s=1, burst=10_000)
        for _ in range(1000):
            sink.write("x" * 199)
        self.assertGreater(sink.left_out, 0)
        first = self.lines()
        sink.write("a")
        sink.write("b")
        second = self.lines()
        text = "\n".join(first + second)
        self.assertIn("lines were left out", text)
        self.assertEqual("b", second[-1])
        self.assertEqual({199}, {len(line) for line in first[:-1]})


class ClosedReaderTest(SinkTest):
    """A closed reader must not end the process."""

    def test_closed(self) -> None:
        sink = BoundedLogSink(self.writer, self.clock)
        os.close(self.writer)
        sink.write("this line is lost")
        self.assertEqual(1, sink.left_out)
