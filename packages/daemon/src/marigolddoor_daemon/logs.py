"""Log configuration: one line for each event on standard error.

A message is a short sentence after the prefix of its subsystem, such as `entry:`, `control:` or
`agreement:`. Bodies, tokens and keys are never logged.
"""

import json
import logging
import re
import sys
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from marigolddoor_daemon.settings import LogFormat, LogSettings

if TYPE_CHECKING:
    from loguru import Message, Record

__all__ = ["configure_logging"]

# Safeguard against libraries that log request headers.
_BEARER = re.compile(r"(?i)(bearer\s+)\S+")
_PART = re.compile(r"([a-z-]+): ")


def configure_logging(settings: LogSettings, process: str, stream: TextIO | None = None) -> None:
    """Write all log lines of this process, including those of libraries, to `stream`.

    Args:
      settings: the minimum level and the line format.
      process: the name of the process in JSON lines.
      stream: standard error if None.
    """
    out = sys.stderr if stream is None else stream

    def write(message: "Message") -> None:
        record = message.record
        if settings.format is LogFormat.JSON:
            out.write(_json_line(record, process))
        else:
            out.write(_text_line(record))
        out.flush()

    logger.remove()
    # `backtrace` and `diagnose` can log the values of variables, which may be keys.
    logger.add(
        write, level=settings.level.name, format="{message}", backtrace=False, diagnose=False
    )
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


class _LibraryHandler(logging.Handler):
    """Forwards the warnings of libraries to the log."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.log(record.levelname, "library: {}: {}", record.name, record.getMessage())


def _sanitise(text: str) -> str:
    return _BEARER.sub(r"\1...", text).replace("\r", "\\r").replace("\n", "\\n")


def _message(record: "Record") -> str:
    exception = record["exception"]
    text = record["message"]
    if exception is not None and exception.type is not None:
        text = f"{text} ({exception.type.__name__})"
    return _sanitise(text)


def _text_line(record: "Record") -> str:
    time = record["time"].astimezone().isoformat(timespec="milliseconds")
    return f"{time} {record['level'].name:<7} {_message(record)}\n"


def _json_line(record: "Record", process: str) -> str:
    message = _message(record)
    part = _PART.match(message)
    line = {
        "time": record["time"].astimezone().isoformat(timespec="milliseconds"),
        "level": record["level"].name.lower(),
        "process": process,
        "part": "" if part is None else part[1],
        "message": message if part is None else message[part.end() :],
    }
    return json.dumps(line) + "\n"
