"""Guards against a queue's turn that is seen late, and against single jobs taken for a turn."""

import testtools
from marigolddoor_core.dispatch import MachineState, MachineView, MoveOrder
from marigolddoor_core.dispatch.arrivals import ArrivalRate
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.jobs import StoreConfiguration

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import SERVICE, Log, accept

SPARE = ServiceId("spare")
# Seven jobs, 0.1 s apart, the last one at 10 s.
TURN = [9.4 + number / 10 for number in range(7)]
CONFIGURATION = (
    b'{"version":1,"queues":{"views":"desk"},"services":["desk","spare"],"standby":["spare"]}'
)


class RateTest(testtools.TestCase):
    """Cores that jobs of 4 core-seconds each ask for at 10 s, when open jobs need `open` cores."""

    scenarios = [
        ("none", {"times": [], "critical_path_s": 0.5, "open": 7.0, "cores": 0.0}),
        ("too few to tell", {"times": TURN[1:], "critical_path_s": 0.5, "open": 7.0, "cores": 0.0}),
        (
            "a turn of 10 a second",
            {"times": TURN, "critical_path_s": 0.5, "open": 7.0, "cores": 40.0},
        ),
        (
            "the same, one second ago",
            {
                "times": [time_s - 1 for time_s in TURN],
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
        # In 2 s arrive 20 jobs, of which each needs a core for 4 s.
        ("large jobs", {"times": TURN, "critical_path_s": 4.0, "open": 7.0, "cores": 27.0}),
        (
            "large jobs for long",
            {"times": TURN, "critical_path_s": 4.0, "open": 30.0, "cores": 40.0},
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
    """Replays the beginning of a turn after a second of quiet, on two machines of 16 cores.

    Small jobs: on quiet-1 of bw-ring machines came 2 to 2.5 s after the first job of a turn, and a
    third of the jobs of its first two seconds were late. Outstanding work alone asks for the first
    machine after 0.7 s here, when a chain of 1 s has built up.

    Large jobs: in incident inc-a674 a burst of them took all free machines 7 s before the turn of
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
        asked = None
        for number in range(self.jobs):
            since_s = number * self.interval_s
            fleet.at(1.0 + since_s)
            log.table.time_s = 1000.0 + since_s
            for executor in executors:
                fleet.hold(executor)
            fleet.step(accept(f"j{number}", self.steps))
            if any(isinstance(order, MoveOrder) for order in fleet.take_orders()):
                asked = since_s
                break
        if self.by is None:
            self.assertIsNone(asked)
        else:
            self.assertTrue(asked is not None and 0.0 < asked <= self.by, f"{asked} s")
