"""Guards against entries that are sent twice without need, or never resent."""

from typing import Any

import testtools
from marigolddoor_core.consensus.progress import MAX_IN_FLIGHT, Progress, ProgressState
from marigolddoor_core.ids import LogIndex


def run(progress: Progress, steps: list[tuple[Any, ...]]) -> None:
    """Call the methods named in the steps."""
    for name, *arguments in steps:
        getattr(progress, name)(*map(LogIndex, arguments))


class ProgressTest(testtools.TestCase):
    """Match and next index after a sequence of replies; the peer starts at next index 10."""

    scenarios = [
        (
            "probe",
            {"steps": [("record_sent", 12)], "expected": (0, 10, ProgressState.PROBE, False)},
        ),
        (
            "accepted",
            {
                "steps": [("record_sent", 12), ("record_accepted", 12)],
                "expected": (12, 13, ProgressState.REPLICATE, True),
            },
        ),
        (
            "pipelined",
            {
                "steps": [("record_accepted", 9), ("record_sent", 12), ("record_sent", 15)],
                "expected": (9, 16, ProgressState.REPLICATE, True),
            },
        ),
        (
            "full",
            {
                "steps": [("record_accepted", 9)]
                + [("record_sent", 10 + n) for n in range(MAX_IN_FLIGHT)],
                "expected": (9, 10 + MAX_IN_FLIGHT, ProgressState.REPLICATE, False),
            },
        ),
        (
            "rejected",
            {
                "steps": [("record_sent", 12), ("record_rejected", 9, 4)],
                "expected": (0, 5, ProgressState.PROBE, True),
            },
        ),
        (
            "rejected with a hint that is no smaller",
            {
                "steps": [("record_sent", 12), ("record_rejected", 9, 30)],
                "expected": (0, 9, ProgressState.PROBE, True),
            },
        ),
        (
            "rejected again by a reply to an earlier probe",
            {
                "steps": [
                    ("record_sent", 12),
                    ("record_rejected", 9, 4),
                    ("record_sent", 8),
                    ("record_rejected", 9, 4),
                ],
                "expected": (0, 5, ProgressState.PROBE, False),
            },
        ),
        (
            "rejected twice",
            {
                "steps": [
                    ("record_sent", 12),
                    ("record_rejected", 9, 4),
                    ("record_sent", 8),
                    ("record_rejected", 4, 2),
                ],
                "expected": (0, 3, ProgressState.PROBE, True),
            },
        ),
        (
            "late rejection",
            {
                "steps": [("record_accepted", 12), ("record_rejected", 9, 4)],
                "expected": (12, 13, ProgressState.REPLICATE, True),
            },
        ),
        (
            "late acceptance",
            {
                "steps": [("record_accepted", 12), ("record_accepted", 10)],
                "expected": (12, 13, ProgressState.REPLICATE, True),
            },
        ),
        (
            "lost messages",
            {
                "steps": [
                    ("record_accepted", 9),
                    ("record_sent", 12),
                    ("record_sent", 15),
                    ("record_rejected", 15, 9),
                ],
                "expected": (9, 10, ProgressState.PROBE, True),
            },
        ),
        (
            "snapshot",
            {
                "steps": [("record_sent", 12), ("end_transfer", 40)],
                "expected": (40, 41, ProgressState.PROBE, True),
            },
        ),
    ]

    def test_sequence(self) -> None:
        progress = Progress(LogIndex(10))
        run(progress, self.steps)
        found = (
            progress.match_index,
            progress.next_index,
            progress.state,
            progress.can_send_entries(),
        )
        self.assertEqual(self.expected, found)
