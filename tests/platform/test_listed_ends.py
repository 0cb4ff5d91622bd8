"""Guards against taking a report with as many ends as one can list for a complete one."""

import json

import testtools
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
