"""Set-up of the log: one line for each event on standard error.

A message is a short sentence that begins with the part it comes from, such as `entry:`,
`control:` or `agreement:`. Nothing is logged from bodies, tokens or keys.
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

__all__ = ["set_up_logs"]

# A last guard: libraries may put request headers into their messages.
_BEARER = re.compile(r"(?i)(bearer\s+)\S+")
_PART = re.compile(r"([a-z-]+): ")


def set_up_logs(settings: LogSettings, process: str, stream: TextIO | None = None) -> None:
    """Send all log lines of this process, those of libraries included, to `stream`.

    Args:
      settings: the least level and the form of a line.
      process: the name of the process, which JSON lines carry.
      stream: standard error if it is None.
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
    # Neither option of loguru that shows the values of variables is safe with keys in memory.
    logger.add(
        write, level=settings.level.name, format="{message}", backtrace=False, diagnose=False
    )
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)


class _LibraryHandler(logging.Handler):
    """Passes the warnings of libraries on."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.log(record.levelname, "library: {}: {}", record.name, record.getMessage())


def _clean(text: str) -> str:
    return _BEARER.sub(r"\1...", text).replace("\r", "\\r").replace("\n", "\\n")


def _message(record: "Record") -> str:
    exception = record["exception"]
    text = record["message"]
    if exception is not None and exception.type is not None:
        text = f"{text} ({exception.type.__name__})"
    return _clean(text)


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
