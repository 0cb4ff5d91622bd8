"""Guards against taking a report with as many ends as one can list for a complete one."""

import json

import testtools
from marigolddoor_core.dispatch import ReportList
from marigolddoor_platform.executor_documents import MAX_LISTED_ENDS, read_hold_report


class ListedEndsTest(testtools.TestCase):
    scenarios = [
        ("none", {"readable": 0, "unreadable": 0, "has_all_ends": True}),
        ("one less", {"readable": MAX_LISTED_ENDS - 1, "unreadable": 0, "has_all_ends": True}),
        ("as many", {"readable": MAX_LISTED_ENDS, "unreadable": 0, "has_all_ends": False}),
        (
            "as many, one of them unreadable",
            {"readable": MAX_LISTED_ENDS - 1, "unreadable": 1, "has_all_ends": False},
        ),
    ]

    def test_report(self) -> None:
        rows: list[object] = [
            [number, f"j.0.0.{number}", 1, "done", ""] for number in range(self.readable)
        ]
        rows += [None] * self.unreadable
        document = json.dumps({"clock-ms": 1, "running": [], "finished": rows}).encode()
        self.assertEqual(self.has_all_ends, read_hold_report(document).has_all_ends)


class UnreadableEndTest(testtools.TestCase):
    """The second of three ends can't be read; what is known of it tells which run has ended."""

    scenarios = [
        ("no outcome", {"row": [2, "j.0.0.2", 1, None, ""], "number": 2, "key": ("j.0.0.2", 1)}),
        ("no run", {"row": [2, "j.0.0.2", "x", "done", ""], "number": 2, "key": None}),
        ("no name", {"row": [2, "j", 1, "done", ""], "number": 2, "key": None}),
        ("no number", {"row": ["2", "j.0.0.2", 1, "done"], "number": None, "key": ("j.0.0.2", 1)}),
        ("short", {"row": [2], "number": 2, "key": None}),
        ("no row", {"row": None, "number": None, "key": None}),
    ]

    def test_report(self) -> None:
        rows = [[1, "j.0.0.1", 1, "done", ""], self.row, [3, "j.0.0.3", 1, "done", ""]]
        document = json.dumps({"clock-ms": 1, "running": [], "finished": rows}).encode()
        report = read_hold_report(document)
        self.assertEqual([1, 3], [end.number for end in report.finished])
        (unread,) = report.unreadable
        self.assertEqual((1, self.number, self.key), (unread.after, unread.number, unread.key))
        self.assertIs(ReportList.FINISHED, unread.place)
