"""Guards against parts that starve a kind of client, or that exceed the machine."""

import testtools
from marigolddoor_core.connections import BudgetPart, ClientKind, divide_budget

CALLERS, EXECUTORS, PEERS = ClientKind.CALLERS, ClientKind.EXECUTORS, ClientKind.PEERS
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
                    PEERS: BudgetPart(25 * MEBIBYTE // 2, 205),
                },
            },
        ),
        (
            "a control process of 424 MB",
            {
                "limits": (424, 4096),
                "parts": {
                    EXECUTORS: BudgetPart(159 * MEBIBYTE // 2, 819),
                    PEERS: BudgetPart(53 * MEBIBYTE // 2, 204),
                },
            },
        ),
        ("memory not stated", {"limits": (None, 1024), "parts": {CALLERS: BudgetPart(None, 614)}}),
    ]

    def test_parts(self) -> None:
        self.assertEqual(self.parts, divide_budget(*self.limits, self.parts.keys()))
