"""Guards against announcement rates above the control limits of a node, and expired leases."""

import testtools
from marigolddoor_core.instants import Instant
from marigolddoor_core.membership.schedule import MAX_ANNOUNCEMENTS_PER_S, AnnouncementSchedule
from marigolddoor_core.placement import LEASE_S

from tests.core.membership.fixtures import at


class IntervalTest(testtools.TestCase):
    """The interval adapts to the number of targets, even if all start at once."""

    scenarios = [
        (f"{targets} targets", {"targets": targets, "interval_s": interval_s})
        for targets, interval_s in [(1, 1.0), (6, 1.0), (16, 1.0), (32, 2.0), (320, 20.0)]
    ]

    def test_interval_and_rate(self) -> None:
        schedule = AnnouncementSchedule()
        due: list[Instant] = [schedule.next_announcement(None, at(0.0))] * 0
        due = [schedule.next_announcement(None, at(0.0)) for _ in range(self.targets)]
        times: list[float] = []
        intervals: list[float] = []
        while times[-1:] < [100.0]:
            number = min(range(self.targets), key=due.__getitem__)
            now = due[number]
            due[number] = schedule.next_announcement(now, now)
            times.append(now)
            intervals.append(due[number] - now)
        self.assertAlmostEqual(self.interval_s, intervals[-1], 6)
        settled = [time for time in times if time >= 1.0]
        for first, last in zip(settled, settled[MAX_ANNOUNCEMENTS_PER_S:], strict=False):
            self.assertGreaterEqual(last - first, 1.0 - 1e-6)


class EarlyTest(testtools.TestCase):
    """A target that announces itself continuously does not delay the others."""

    def test_early(self) -> None:
        schedule = AnnouncementSchedule()
        due = schedule.next_announcement(None, at(0.0))
        for step in range(1, 1_000):
            due = schedule.next_announcement(due, at(step * 0.01))
        now = at(10.0)
        self.assertLessEqual(schedule.next_announcement(None, now) - now, 1.2)


class OverloadTest(testtools.TestCase):
    """A process that takes over targets of others keeps their task leases alive.

    With 762 targets and no maximum, the interval was 47 s, longer than the lease of 45 s, so every
    task stopped.
    """

    scenarios = [(f"{targets} targets", {"targets": targets}) for targets in (320, 640, 762)]

    def test_two_announcements_fit_into_a_lease(self) -> None:
        schedule = AnnouncementSchedule()
        due = [schedule.next_announcement(None, at(0.0)) for _ in range(self.targets)]
        for _ in range(10 * self.targets):
            number = min(range(self.targets), key=due.__getitem__)
            now = due[number]
            due[number] = schedule.next_announcement(now, now)
            self.assertLess(2 * (due[number] - now), LEASE_S)
