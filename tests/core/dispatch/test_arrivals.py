"""Guards against a queue's turn that is seen late, and against single jobs taken for a turn."""

import testtools
from marigolddoor_core.dispatch import MachineState, MachineView, MoveOrder
from marigolddoor_core.dispatch.arrivals import ArrivalRate
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.jobs import StoreConfiguration

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import SERVICE, Log, accept

SPARE = ServiceId("spare")
CONFIGURATION = (
    b'{"version":1,"queues":{"views":"desk"},"services":["desk","spare"],"standby":["spare"]}'
)


class RateTest(testtools.TestCase):
    """Cores that jobs of 4 core-seconds each ask for at 10 s."""

    scenarios = [
        ("none", {"times": [], "cores": 0.0}),
        ("too few to tell", {"times": [9.5, 9.6, 9.7, 9.8, 9.9, 10.0], "cores": 0.0}),
        ("a turn of 10 a second", {"times": [9.4 + n / 10 for n in range(7)], "cores": 40.0}),
        ("the same, one second ago", {"times": [8.4 + n / 10 for n in range(7)], "cores": 15.0}),
        ("a quiet queue", {"times": [4.0 + n for n in range(7)], "cores": 4.0}),
        ("one batch", {"times": [10.0] * 7, "cores": 120.0}),
    ]

    def test_rate(self) -> None:
        rate = ArrivalRate()
        for time_s in self.times:
            rate.accepted(SERVICE, 4.0, time_s)
        self.assertAlmostEqual(self.cores, rate.cores(SERVICE, 10.0))


class TurnTest(testtools.TestCase):
    """Replays the beginning of a turn: 15 small jobs a second after a second of quiet.

    On quiet-1 of bw-ring machines came 2 to 2.5 s after the first job of a turn, and a third of the
    jobs of its first two seconds were late. Outstanding work alone asks for the first machine after
    0.7 s here, when a chain of 1 s has built up.
    """

    def test_first_move(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, CONFIGURATION))
        fleet = Fleet(log)
        executors = [fleet.executor(number, cpu=16000) for number in (1, 2)]
        assert log.table.configuration is not None
        fleet.dispatch.room.listed(
            [
                MachineView(MachineId(f"s-{number}"), SPARE, MachineState.UP, 16000)
                for number in range(6)
            ],
            log.table.configuration,
        )
        asked = 0.0
        for number in range(15):
            since_s = number / 15
            fleet.at(1.0 + since_s)
            log.table.time_s = 1000.0 + since_s
            for executor in executors:
                fleet.hold(executor)
            fleet.step(accept(f"j{number}", {"count": 4, "estimated_s": 1.0}))
            if any(isinstance(order, MoveOrder) for order in fleet.take_orders()):
                asked = since_s
                break
        self.assertTrue(0.0 < asked <= 0.6, f"{asked} s")
