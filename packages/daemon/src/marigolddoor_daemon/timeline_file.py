"""The timeline file of a process: JSON lines, read by `marigolddoor timeline --file`.

The file is meant for analysis after a process has ended. It is not synced, because no decision
depends on it. Recording an event takes 41 us with the file and 4 us without it, so busy entry
processes should run without one.
"""

import json
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import TracebackType
from typing import BinaryIO

from loguru import logger
from marigolddoor_core.plain_values import to_plain
from marigolddoor_core.timeline import Event, Recorder

from marigolddoor_daemon.settings import Role, Settings

__all__ = ["TimelineFile", "write_timeline_file"]

MAX_FILE_BYTES = 64 * 1024 * 1024


class TimelineFile:
    """Appends events. At `max_bytes` the file is rotated: it is renamed to `FILE.1`."""

    def __init__(self, path: Path, max_bytes: int = MAX_FILE_BYTES) -> None:
        self.path = path
        self.max_bytes = max_bytes
        self.file: BinaryIO | None = None
        self.failed = False

    def __enter__(self) -> "TimelineFile":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def append(self, events: Iterable[Event]) -> None:
        """Write events; a full disk or missing folder is logged once until a write succeeds."""
        data = b"".join(json.dumps(to_plain(event)).encode() + b"\n" for event in events)
        if not data:
            return
        try:
            self._write(data)
        except OSError as error:
            self.close()
            if not self.failed:
                logger.warning("timeline: can't write {} ({}).", self.path, error.strerror)
            self.failed = True
        else:
            self.failed = False

    def close(self) -> None:
        """Close the file; the next event reopens it."""
        if self.file is not None:
            self.file.close()
            self.file = None

    def _write(self, data: bytes) -> None:
        if self.file is None:
            self.file = open(self.path, "ab", buffering=0)  # noqa: SIM115 (kept open)
        if self.file.tell() > 0 and self.file.tell() + len(data) > self.max_bytes:
            self.close()
            self.path.replace(self.path.with_name(self.path.name + ".1"))
            self.file = open(self.path, "ab", buffering=0)  # noqa: SIM115 (kept open)
        self.file.write(data)


@contextmanager
def write_timeline_file(settings: Settings, role: Role, recorder: Recorder) -> Iterator[None]:
    """Write the events of `recorder` to the timeline file of the settings, if there is one.

    Roles that share a process write to separate files, because each rotates its own file:
    `events.jsonl` becomes `events-entry.jsonl` and `events-control.jsonl`.
    """
    path = settings.timeline.file
    if path is None:
        yield
        return
    if len(settings.roles) > 1:
        path = path.with_name(f"{path.stem}-{role.value}{path.suffix}")
    with TimelineFile(path) as file:
        recorder.on_record = lambda event: file.append((event,))
        try:
            yield
        finally:
            recorder.on_record = None
