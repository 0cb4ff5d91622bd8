"""Guards against ending connections of clients that keep up, and keeping ones that do not."""

import testtools
from marigolddoor_core.connections import Account, ConnectionId, ConnectionLimits, ConnectionPhase

LIMITS = ConnectionLimits()


class ConnectionLimitsTest(testtools.TestCase):
    """Clients within the contract reach no limit, also while the budget is short.

    `age_s` and `quiet_s` are the times since the phase began and since the last progress.
    """

    scenarios = [
        (
            name,
            {
                "phase": ConnectionPhase(phase),
                "age_s": age_s,
                "quiet_s": quiet_s,
                "progress": progress,
                "keeps_up": keeps_up,
                "is_overdue": is_overdue,
            },
        )
        for name, phase, age_s, quiet_s, progress, keeps_up, is_overdue in (
            ("a head that takes 3 s", "head", 3.0, 3.0, 1, True, False),
            ("a slow head", "head", 5.0, 0.0, 16_384, False, False),
            ("an endless head", "head", 10.1, 0.0, 60_000, False, True),
            ("a body that just began", "body", 0.5, 0.5, 0, True, False),
            ("a body at 2 Mbit/s", "body", 1.05, 0.1, 262_000, True, False),
            ("64 bodies at 2 Mbit/s", "body", 60.0, 0.9, 245_000, True, False),
            ("a body that stopped", "body", 2.5, 2.4, 262_134, False, False),
            ("a body byte by byte", "body", 10.0, 0.1, 100, False, False),
            ("a body that never ends", "body", 71.0, 0.1, 300_000, True, True),
            ("an answer that takes a minute", "working", 60.0, 60.0, 0, True, False),
            ("answers that are read", "sending", 60.0, 0.1, 600_000, True, False),
            ("answers that are not read", "sending", 31.0, 31.0, 0, False, True),
            ("a new connection without a request", "new", 15.0, 15.0, 0, False, False),
            ("15 s idle", "idle", 15.0, 15.0, 0, True, False),
            ("a minute idle", "idle", 60.0, 60.0, 0, False, False),
            ("idle beyond the limit", "idle", 76.0, 76.0, 0, False, True),
            ("a refusal that is not read", "closing", 2.1, 2.1, 0, False, True),
        )
    ]

    def test_decisions(self) -> None:
        account = Account(
            ConnectionId(1),
            phase_since=100.0,
            progressed_at=100.0 + self.age_s - self.quiet_s,
            phase=self.phase,
            progress_bytes=self.progress,
        )
        now = 100.0 + self.age_s
        self.assertEqual(self.keeps_up, LIMITS.keeps_up(account, now))
        self.assertEqual(self.is_overdue, LIMITS.is_overdue(account, now))
