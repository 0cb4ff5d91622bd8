"""Guards against best-effort tasks that slow users down, or that are paused without need."""

import testtools
from marigolddoor_core.dispatch import PaceOrder

from tests.core.dispatch.fakes import Fleet, running
from tests.core.jobs.fakes import accept

SERVING = {"count": 1, "is_long_running": True, "latency_target_ms": 200.0}
BEST_EFFORT = {"count": 1, "is_best_effort": True}


class PaceTest(testtools.TestCase):
    """The pace of a best-effort task after a series of tail latencies, one each second."""

    scenarios = [
        ("no latency reported", {"loads": [None], "pace": 100}),
        ("far from the target", {"loads": [50.0, 60.0], "pace": 100}),
        ("between the thresholds", {"loads": [150.0, 150.0], "pace": 100}),
        ("near the target", {"loads": [180.0], "pace": 50}),
        ("over the target", {"loads": [250.0], "pace": 25}),
        ("over the target for 3 s", {"loads": [250.0, 250.0, 250.0], "pace": 0}),
        ("recovers slowly", {"loads": [250.0, 250.0, 250.0, 50.0, 50.0], "pace": 40}),
        ("recovers fully", {"loads": [250.0, 250.0] + [50.0] * 6, "pace": 100}),
    ]

    def test_pace(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("s", SERVING), accept("f", BEST_EFFORT))
        fleet.take_orders()
        for second, load in enumerate(self.loads, 1):
            fleet.at(second).hold(
                executor, running("s.0.0.0", load=load), running("f.0.0.0", load=900.0)
            )
        self.assertEqual(self.pace, executor.runs["f.0.0.0"].pace)
        orders = [order for order in fleet.take_orders() if isinstance(order, PaceOrder)]
        self.assertEqual({"f.0.0.0"} if orders else set(), {order.task for order in orders})

    def test_one_change_a_measurement(self) -> None:
        """Two answers within half a second reflect the same measurement, so they count once."""
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("s", SERVING), accept("f", BEST_EFFORT))
        for tenth in (10, 11, 12):
            fleet.at(tenth / 10).hold(
                executor, running("s.0.0.0", load=250.0), running("f.0.0.0", load=900.0)
            )
        self.assertEqual(25, executor.runs["f.0.0.0"].pace)
