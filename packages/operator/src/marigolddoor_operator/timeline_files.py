"""Reads timeline files of processes: one JSON event per line."""

import json
from collections.abc import Sequence
from pathlib import Path

from marigolddoor_core.ids import ProcessId
from marigolddoor_core.plain_values import PlainValueError, from_plain
from marigolddoor_core.timeline import (
    Event,
    ProcessTimeline,
    Timeline,
    TimelineFilter,
    merge,
    select,
)

from marigolddoor_operator.errors import InputFileError

__all__ = ["read_timeline_files"]


def read_timeline_files(files: Sequence[Path], timeline_filter: TimelineFilter) -> Timeline:
    """Return the selected events of all files, merged into one order.

    Raises:
      InputFileError: a file can't be read or a line isn't an event. A last line without
        a line end is ignored, because its process may still be writing it.
    """
    events: list[Event] = []
    for file in files:
        events += _read(file)
    by_process: dict[ProcessId, list[Event]] = {}
    for event in select(events, timeline_filter):
        by_process.setdefault(event.process, []).append(event)
    return merge(
        ProcessTimeline(process, tuple(found), max(event.sequence for event in found))
        for process, found in by_process.items()
    )


def _read(file: Path) -> list[Event]:
    try:
        text = file.read_bytes().decode()
    except OSError as error:
        raise InputFileError(f"{file}: can't be read ({error.strerror})") from error
    except UnicodeDecodeError as error:
        raise InputFileError(f"{file}: not UTF-8") from error
    events = []
    for number, line in enumerate(text.split("\n")[:-1], start=1):
        try:
            events.append(from_plain(Event, json.loads(line), strict=False))
        except (ValueError, PlainValueError, RecursionError) as error:
            raise InputFileError(f"{file}: line {number} is not an event") from error
    return events
