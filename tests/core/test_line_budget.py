"""Guards against lines on one kind of event that displace all others from the log."""

import testtools
from marigolddoor_core.line_budget import BURST_LINES, LINES_PER_S, LineBudget


class FloodTest(testtools.TestCase):
    """A caller that is refused at any rate causes a bounded number of lines a second."""

    scenarios = [
        (f"{per_s} a second", {"per_s": per_s, "at_most": at_most})
        for per_s, at_most in (
            (5, 50),
            (1000, BURST_LINES + 10 * LINES_PER_S),
            (20_000, BURST_LINES + 10 * LINES_PER_S),
        )
    ]

    def test_lines(self) -> None:
        budget = LineBudget()
        times = [100.0 + number / self.per_s for number in range(10 * self.per_s)]
        admitted = sum(budget.admits(time) for time in times)
        self.assertTrue(0 < admitted <= self.at_most, f"{admitted} lines")
