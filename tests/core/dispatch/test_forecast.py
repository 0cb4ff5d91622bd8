"""Guards against demand that is predicted too late, or predicted where there is none."""

import random

import testtools
from marigolddoor_core.dispatch.forecast import DemandForecast
from marigolddoor_core.ids import ServiceId

SERVICES = [ServiceId(name) for name in ("a", "b", "c", "d")]
START_S = 1_773_000_000.0
HIGH, LOW = 150.0, 5.0


def replay_peaks(
    forecast: DemandForecast, seconds: float, peak_s: float, jobs_per_s: float
) -> None:
    """Replay queues that peak one after the other: one is high while the others are low."""
    rng = random.Random(5)
    steps = int(seconds * 10)
    for step in range(steps):
        now_s = START_S + step / 10
        active = int(step / 10 / peak_s) % len(SERVICES)
        for number, service in enumerate(SERVICES):
            cores = HIGH if number == active else LOW
            jobs = jobs_per_s * (1.0 if number == active else LOW / HIGH)
            if rng.random() < jobs / 10:
                forecast.arrived(service, cores / jobs * (LOW / HIGH if cores == LOW else 1), now_s)
    forecast.update(START_S + seconds)


class PeaksTest(testtools.TestCase):
    """After a little more than one cycle the next peak is predicted, for small and large jobs."""

    scenarios = [
        ("small jobs", {"jobs_per_s": 9.0, "peak_s": 4.5}),
        ("large jobs", {"jobs_per_s": 2.5, "peak_s": 4.5}),
        ("longer peaks", {"jobs_per_s": 9.0, "peak_s": 8.0}),
    ]

    def test_next_peak(self) -> None:
        forecast = DemandForecast()
        cycle_s = self.peak_s * len(SERVICES)
        now_s = cycle_s + self.peak_s + 1.0
        replay_peaks(forecast, now_s, self.peak_s, self.jobs_per_s)
        assert forecast.period_bins is not None
        self.assertLessEqual(abs(forecast.period_bins - cycle_s), 1.0)
        # The peak of "c" begins two peak lengths after that of "a".
        begin_s = START_S + cycle_s + 2 * self.peak_s
        rising = forecast.expected_cores(SERVICES[2], begin_s, begin_s + 2)
        idle = forecast.expected_cores(SERVICES[0], begin_s, begin_s + 1)
        self.assertGreater(rising, HIGH / 2)
        self.assertLess(idle, HIGH / 2)


class NoPeriodTest(testtools.TestCase):
    """Without a second cycle, or without any cycle, nothing must be predicted."""

    scenarios = [
        ("first cycle", {"seconds": 15.0, "peak_s": 4.5}),
        ("even demand", {"seconds": 40.0, "peak_s": 1000.0}),
    ]

    def test_no_prediction(self) -> None:
        forecast = DemandForecast()
        replay_peaks(forecast, self.seconds, self.peak_s, 9.0)
        self.assertEqual(0.0, forecast.expected_cores(SERVICES[0], START_S + 40.0, START_S + 44.0))

    def test_no_arrivals(self) -> None:
        forecast = DemandForecast()
        forecast.update(START_S)
        self.assertIsNone(forecast.period_bins)


class MemoryTest(testtools.TestCase):
    """Old arrivals must be dropped, so that the history doesn't grow without bound."""

    def test_bound(self) -> None:
        forecast = DemandForecast()
        for second in range(600):
            forecast.arrived(SERVICES[0], 1.0, START_S + second)
            forecast.update(START_S + second)
        self.assertLessEqual(len(forecast.bins[SERVICES[0]]), 125)
