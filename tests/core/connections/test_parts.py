"""Guards against parts that starve a kind of client, or that exceed the machine."""

import testtools
from marigolddoor_core.connections import BudgetPart, ClientKind, divide_budget

CALLERS, EXECUTORS = ClientKind.CALLERS, ClientKind.EXECUTORS
PEERS, READINESS, METRICS = ClientKind.PEERS, ClientKind.READINESS, ClientKind.METRICS
MEBIBYTE = 1024 * 1024


class PartsTest(testtools.TestCase):
    """Each kind has its own part; together they are a quarter of the memory."""

    scenarios = [
        (
            "an entry process of 200 MB",
            {
                "limits": (200, 4100),
                "parts": {
                    CALLERS: BudgetPart(75 * MEBIBYTE // 2, 2460),
                    PEERS: BudgetPart(25 * MEBIBYTE // 4, 205),
                    READINESS: BudgetPart(25 * MEBIBYTE // 8, 41),
                    METRICS: BudgetPart(25 * MEBIBYTE // 8, 41),
                },
            },
        ),
        (
            "a control process of 424 MB",
            {
                "limits": (424, 4096),
                "parts": {
                    EXECUTORS: BudgetPart(88_919_244, 819),
                    PEERS: BudgetPart(14_819_874, 204),
                    METRICS: BudgetPart(7_409_937, 40),
                },
            },
        ),
        ("memory not stated", {"limits": (None, 1024), "parts": {CALLERS: BudgetPart(None, 614)}}),
    ]

    def test_parts(self) -> None:
        self.assertEqual(self.parts, divide_budget(*self.limits, self.parts.keys()))
