"""Guards against zero-counts that stay 0 because their check sees nothing."""

import testtools

from bench.measure_promises import PROMISES, Count, Part, Promise, UnseenBreakError


class GuardTest(testtools.TestCase):
    """Each promise is reported as broken without its guard, and as kept with it."""

    scenarios = [
        (f"{promise.name} of {part.operation}", {"part": part})
        for promise in PROMISES
        for part in promise.parts
    ]

    def test_missing_guard_is_reported(self) -> None:
        count = self.part.run_without_guard(self.part.few_seeds)
        self.assertGreater(count.breaks, 0)

    def test_nothing_is_reported_with_the_guard(self) -> None:
        count = self.part.run(self.part.few_seeds)
        self.assertEqual(0, count.breaks)
        self.assertGreater(count.operations, 0)


class UnseenBreakTest(testtools.TestCase):
    """A run that shows nothing without its guard gives an error and no row."""

    def test_no_row(self) -> None:
        part = Part(lambda _: Count(0, 1), lambda _: Count(0, 1), range(1), range(1), "runs")
        self.assertRaises(UnseenBreakError, Promise("kept", [part]).row)
