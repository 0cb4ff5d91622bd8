"""Guards against a timeline file that stops the process, grows without limit or is invalid."""

import tempfile
from pathlib import Path

import testtools
from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.timeline import EventKind, Recorder, Subject, TimelineFilter
from marigolddoor_daemon.timeline_file import TimelineFile, write_timeline_file
from marigolddoor_operator.timeline_files import read_timeline_files

from tests.daemon.test_settings import ENTRY, HEAD, VALID, Folder

FILE = '[timeline]\nfile = "events.jsonl"\n'
ONE_ROLE = HEAD.replace('"entry", "control"', '"entry"') + ENTRY


def recorded(count: int) -> Recorder:
    """Return a recorder with `count` events."""
    recorder = Recorder(ProcessId("entry-1"))
    for i in range(count):
        recorder.record(EventKind.TARGET_JOINED, i, Subject(vm=VmId("vm-1")), "line\nend")
    return recorder


class TimelineFileTest(testtools.TestCase):
    """Written events are read back; a file at its size limit is rotated."""

    scenarios = [
        ("one file", {"max_bytes": 10_000, "kept": 6, "older": 0}),
        ("two files", {"max_bytes": 1_000, "kept": 3, "older": 3}),
        ("an event over the limit", {"max_bytes": 10, "kept": 1, "older": 1}),
    ]

    def test_append(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "events.jsonl"
            events = list(recorded(6).events)
            with TimelineFile(path, self.max_bytes) as file:
                for event in events:
                    file.append([event])
            older = path.with_name("events.jsonl.1")
            files = [older, path] if older.exists() else [path]
            counts = [len(read_timeline_files([one], TimelineFilter()).events) for one in files]
            self.assertEqual([self.older, self.kept][-len(counts) :], counts)
            found = read_timeline_files(files, TimelineFilter()).events
            self.assertEqual(tuple(events[-len(found) :]), found)

    def test_missing_folder(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "later" / "events.jsonl"
            with TimelineFile(path) as file:
                file.append(recorded(1).events)
                self.assertFalse(path.exists())
                path.parent.mkdir()
                file.append(recorded(2).events)
            self.assertEqual(2, len(read_timeline_files([path], TimelineFilter()).events))


class RoleFileTest(testtools.TestCase):
    """Each role writes to its own file while it runs, if the settings name a file."""

    scenarios = [
        ("both roles", {"text": VALID + FILE, "expected": ["events-control.jsonl"]}),
        ("one role", {"text": ONE_ROLE + FILE, "expected": ["events.jsonl"]}),
        ("no file", {"text": VALID, "expected": []}),
    ]

    def test_written(self) -> None:
        folder = Folder(self, self.text)
        settings = folder.load()
        recorder = recorded(1)
        with write_timeline_file(settings, settings.roles[-1], recorder):
            recorder.record(EventKind.PROCESS_STARTED, 1, Subject())
        recorder.record(EventKind.PROCESS_STOPPING, 2, Subject())
        files = sorted(folder.path.glob("events*"))
        self.assertEqual(self.expected, [file.name for file in files])
        if files:
            kinds = [event.kind for event in read_timeline_files(files, TimelineFilter()).events]
            self.assertEqual([EventKind.PROCESS_STARTED], kinds)
