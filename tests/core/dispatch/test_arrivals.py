"""Guards against peaks that are detected late, and against single jobs mistaken for a peak."""

import testtools
from marigolddoor_core.dispatch import MachineState, MachineView, MoveOrder
from marigolddoor_core.dispatch.arrivals import ArrivalRate
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.jobs import StoreConfiguration

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import SERVICE, Log, accept

SPARE = ServiceId("spare")
# Seven jobs, 0.1 s apart, the last one at 10 s.
PEAK = [9.4 + number / 10 for number in range(7)]
CONFIGURATION = (
    b'{"version":1,"queues":{"views":"desk"},"services":["desk","spare"],"standby":["spare"]}'
)


class RateTest(testtools.TestCase):
    """Cores that jobs of 4 core-seconds each need at 10 s, when open jobs need `open` cores."""

    scenarios = [
        ("none", {"times": [], "critical_path_s": 0.5, "open": 7.0, "cores": 0.0}),
        (
            "too few arrivals for an estimate",
            {"times": PEAK[1:], "critical_path_s": 0.5, "open": 7.0, "cores": 0.0},
        ),
        (
            "a peak of 10 jobs a second",
            {"times": PEAK, "critical_path_s": 0.5, "open": 7.0, "cores": 40.0},
        ),
        (
            "the same, one second ago",
            {
                "times": [time_s - 1 for time_s in PEAK],
                "critical_path_s": 0.5,
                "open": 7.0,
                "cores": 15.0,
            },
        ),
        (
            "a quiet queue",
            {
                "times": [4.0 + n for n in range(7)],
                "critical_path_s": 0.5,
                "open": 7.0,
                "cores": 4.0,
            },
        ),
        ("one batch", {"times": [10.0] * 7, "critical_path_s": 0.5, "open": 7.0, "cores": 120.0}),
        # 20 jobs arrive in 2 s, and each needs a core for 4 s.
        ("large jobs", {"times": PEAK, "critical_path_s": 4.0, "open": 7.0, "cores": 27.0}),
        (
            "large jobs for a long time",
            {"times": PEAK, "critical_path_s": 4.0, "open": 30.0, "cores": 40.0},
        ),
        (
            "a batch of large jobs",
            {"times": [10.0] * 7, "critical_path_s": 4.0, "open": 7.0, "cores": 67.0},
        ),
    ]

    def test_rate(self) -> None:
        rate = ArrivalRate()
        for time_s in self.times:
            rate.accepted(SERVICE, 4.0, self.critical_path_s, time_s)
        self.assertAlmostEqual(self.cores, rate.cores(SERVICE, self.open, 10.0))


class FirstMoveTest(testtools.TestCase):
    """Replays the start of a peak after an idle second, on two machines of 16 cores.

    Small jobs: on quiet-1 of bw-ring machines arrived 2 to 2.5 s after the first job of a peak, and
    a third of the jobs of its first two seconds were late. Here, outstanding work alone requests
    the first machine after 0.7 s, when jobs with a critical path of 1 s have accumulated.

    Large jobs: in incident inc-a674 a burst of them took all free machines 7 s before the peak of
    another service. Here they need 9 of the 32 cores.
    """

    scenarios = [
        (
            "small jobs",
            {
                "interval_s": 1 / 15,
                "jobs": 15,
                "steps": {"count": 4, "estimated_s": 1.0},
                "by": 0.6,
            },
        ),
        (
            "a burst of large jobs",
            {"interval_s": 0.09, "jobs": 9, "steps": {"count": 1, "estimated_s": 4.0}, "by": None},
        ),
    ]

    def test_first_move(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, CONFIGURATION))
        fleet = Fleet(log)
        executors = [fleet.executor(number, cpu=16000) for number in (1, 2)]
        assert log.table.configuration is not None
        fleet.dispatch.rebalancer.apply_machine_list(
            [
                MachineView(MachineId(f"s-{number}"), SPARE, MachineState.UP, 16000)
                for number in range(6)
            ],
            log.table.configuration,
        )
        requested = None
        for number in range(self.jobs):
            since_s = number * self.interval_s
            fleet.at(1.0 + since_s)
            log.table.time_s = 1000.0 + since_s
            for executor in executors:
                fleet.hold(executor)
            fleet.step(accept(f"j{number}", self.steps))
            if any(isinstance(order, MoveOrder) for order in fleet.take_orders()):
                requested = since_s
                break
        if self.by is None:
            self.assertIsNone(requested)
        else:
            self.assertTrue(requested is not None and 0.0 < requested <= self.by, f"{requested} s")
