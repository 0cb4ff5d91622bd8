"""Guards against log lines that contain a token, span two lines, or cannot be parsed."""

import io
import json
import logging

import testtools
from loguru import logger
from marigolddoor_daemon.logs import configure_logging
from marigolddoor_daemon.settings import LogFormat, LogLevel, LogSettings


class LogTest(testtools.TestCase):
    """An event is one line with its prefix, whatever the message contains."""

    scenarios = [
        (
            f"{name} {form.value}",
            {"form": form, "message": message, "part": part, "expected": expected},
        )
        for form in LogFormat
        for name, message, part, expected in [
            ("plain", "entry: vm-1 joined.", "entry", "vm-1 joined."),
            ("newline", "control: a\nERROR b", "control", "a\\nERROR b"),
            ("token", "entry: Authorization: Bearer secret", "entry", "Authorization: Bearer ..."),
            ("no prefix", "Something else.", "", "Something else."),
            ("braces", "entry: {x} {0}", "entry", "{x} {0}"),
        ]
    ]

    def setUp(self) -> None:
        super().setUp()
        self.stream = io.StringIO()
        configure_logging(LogSettings(LogLevel.INFO, self.form), "entry-1", self.stream)
        self.addCleanup(logger.remove)

    def test_line(self) -> None:
        logger.info(self.message)
        logger.debug("entry: not shown.")
        (line,) = self.stream.getvalue().splitlines()
        if self.form is LogFormat.JSON:
            fields = json.loads(line)
            values = ("info", "entry-1", self.part, self.expected)
            names = ("level", "process", "part", "message")
            self.assertEqual(values, tuple(fields[name] for name in names))
        else:
            prefix = f"{self.part}: " if self.part else ""
            self.assertTrue(line.endswith(f" INFO    {prefix}{self.expected}"), line)

    def test_exception_without_values(self) -> None:
        try:
            raise ValueError("secret-body")
        except ValueError:
            logger.exception("entry: a request failed.")
        (line,) = self.stream.getvalue().splitlines()
        self.assertIn("a request failed. (ValueError)", line)
        self.assertNotIn("secret-body", line)

    def test_library(self) -> None:
        logging.getLogger("some.library").warning("odd %s", "thing")
        logging.getLogger("some.library").info("not shown")
        (line,) = self.stream.getvalue().splitlines()
        self.assertIn("some.library: odd thing", line)
