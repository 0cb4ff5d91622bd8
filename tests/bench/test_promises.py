"""Guards against counts of violations that are 0 because their check detects nothing."""

import testtools

from bench.measure_promises import (
    GUARANTEES,
    Comparison,
    Guarantee,
    UndetectedViolationError,
    ViolationCount,
)


class GuardTest(testtools.TestCase):
    """Each check reports violations without the guard, and none with it."""

    scenarios = [
        (f"{guarantee.name} of {comparison.operation}", {"comparison": comparison})
        for guarantee in GUARANTEES
        for comparison in guarantee.comparisons
    ]

    def test_missing_guard_is_reported(self) -> None:
        count = self.comparison.run_without_guard(self.comparison.few_seeds)
        self.assertGreater(count.violations, 0)

    def test_nothing_is_reported_with_the_guard(self) -> None:
        count = self.comparison.run(self.comparison.few_seeds)
        self.assertEqual(0, count.violations)
        self.assertGreater(count.operations, 0)


class UndetectedViolationTest(testtools.TestCase):
    """A run without its guard that reports no violation raises an error instead of giving a row."""

    def test_no_row(self) -> None:
        comparison = Comparison(
            lambda _: ViolationCount(0, 1),
            lambda _: ViolationCount(0, 1),
            range(1),
            range(1),
            "runs",
        )
        self.assertRaises(UndetectedViolationError, Guarantee("kept", [comparison]).row)
