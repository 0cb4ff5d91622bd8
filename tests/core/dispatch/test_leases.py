"""Guards against tasks that are started elsewhere before their lease has surely expired."""

import testtools
from marigolddoor_core.dispatch import ExecutorLease, LeaseTiming
from marigolddoor_core.instants import Instant

SLOWEST = 0.98


class ExpiryTest(testtools.TestCase):
    """A lease counts as expired only when the slowest allowed clock has passed its deadline."""

    scenarios = [
        ("answered at once", {"read_at": 0.0, "sent_at": 0.0}),
        ("sent a second after the last answer", {"read_at": 0.0, "sent_at": 1.0}),
        ("no answer for 5 s", {"read_at": 0.0, "sent_at": 5.0}),
    ]

    def test_expiry(self) -> None:
        lease = ExecutorLease(LeaseTiming(6.0), Instant(-100.0))
        lease.observe(50_000, Instant(self.read_at))
        deadline_ms = lease.extend(Instant(self.sent_at))
        slow_clock_ms = 50_000 + (lease.over_at - self.read_at) * 1000 * SLOWEST
        self.assertGreater(slow_clock_ms, deadline_ms)
        self.assertGreaterEqual(deadline_ms, 50_000 + (self.sent_at - self.read_at + 5.9) * 1000)

    def test_previous_leader(self) -> None:
        """A lease that the previous leader renewed just now lasts its full time."""
        lease = ExecutorLease(LeaseTiming(6.0), Instant(10.0))
        self.assertGreater(lease.over_at, 10.0 + 6.0 / SLOWEST)

    def test_deadline_never_shrinks(self) -> None:
        """A reading of a slow clock must not shorten a deadline that was sent."""
        lease = ExecutorLease(LeaseTiming(6.0), Instant(0.0))
        lease.observe(1000, Instant(0.0))
        first = lease.extend(Instant(2.0))
        lease.observe(2900, Instant(2.0))
        self.assertGreaterEqual(lease.extend(Instant(2.0)), first)
