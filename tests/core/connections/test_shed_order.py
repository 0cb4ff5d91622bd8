"""Guards against shedding connections in an order that favours hostile clients."""

import testtools
from marigolddoor_core.connections import (
    Account,
    ConnectionId,
    ConnectionLimits,
    ConnectionPhase,
    LeastProgressFirst,
)

BODY, CLOSING = ConnectionPhase.BODY, ConnectionPhase.CLOSING


class ShedOrderTest(testtools.TestCase):
    """Each row has accounts of (phase, began at, last progress at, held); `order` is at 100 s."""

    scenarios = [
        ("least progress", {"rows": [(BODY, 90, 98, 9), (BODY, 90, 91, 1)], "order": [1, 0]}),
        ("most held", {"rows": [(BODY, 90, 94.2, 1), (BODY, 91, 94.8, 9)], "order": [1, 0]}),
        ("oldest", {"rows": [(BODY, 91, 95, 5), (BODY, 90, 95, 5)], "order": [1, 0]}),
        ("refused before", {"rows": [(BODY, 50, 51, 9), (CLOSING, 99, 99, 1)], "order": [1, 0]}),
        ("keeps up", {"rows": [(BODY, 99.5, 99.9, 9), (BODY, 90, 95, 1)], "order": [1]}),
    ]

    def test_order(self) -> None:
        accounts = [
            Account(ConnectionId(number), since, progressed_at, phase, held)
            for number, (phase, since, progressed_at, held) in enumerate(self.rows)
        ]
        shed = LeastProgressFirst(ConnectionLimits()).candidates(accounts, 100.0)
        self.assertEqual(self.order, [account.id for account in shed])
