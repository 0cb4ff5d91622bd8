"""Guards against starts without a valid ticket, and against jobs that wait for one forever."""

import testtools
from marigolddoor_core.dispatch import AdviceRequest, StartOrder
from marigolddoor_core.jobs import StoreConfiguration

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import QUEUE, SERVICE, Log, accept, configuration


def advised_fleet(executors: int) -> Fleet:
    log = Log()
    document = configuration(1, advised=(QUEUE,), **{QUEUE: SERVICE})
    log.apply(StoreConfiguration(1, document))
    fleet = Fleet(log)
    for number in range(1, executors + 1):
        fleet.executor(number)
    fleet.step(accept("j", {"count": 2}))
    return fleet


def requests(fleet: Fleet) -> list[AdviceRequest]:
    return [order for order in fleet.take_orders() if isinstance(order, AdviceRequest)]


class TicketTest(testtools.TestCase):
    """A task starts only on an executor with a valid ticket, and its start carries the ticket."""

    scenarios = [
        ("approved", {"approved": {"i-2": "t-2"}, "later_s": 0.5, "starts": ["t-2", "t-2"]}),
        ("approved for no executor", {"approved": {}, "later_s": 0.5, "starts": []}),
        ("too close to the expiry", {"approved": {"i-2": "t-2"}, "later_s": 2.9, "starts": []}),
    ]

    def test_start(self) -> None:
        fleet = advised_fleet(2)
        (request,) = requests(fleet)
        self.assertEqual("j.0.0", request.name)
        self.assertEqual(2, len(request.executors))
        fleet.dispatch.advised(request, self.approved, 3.0, fleet.now)
        fleet.at(self.later_s)
        for executor in fleet.dispatch.executors.values():
            fleet.hold(executor)
        fleet.step()
        starts = [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
        self.assertEqual(self.starts, [order.ticket for order in starts])


class RepeatTest(testtools.TestCase):
    """A request to the adviser is repeated, but not while the answer may still come."""

    scenarios = [
        ("before the retry interval", {"later_s": 0.3, "asked": 0}),
        ("after the retry interval", {"later_s": 1.1, "asked": 1}),
    ]

    def test_repeat(self) -> None:
        fleet = advised_fleet(1)
        self.assertEqual(1, len(requests(fleet)))
        fleet.at(self.later_s).step()
        self.assertEqual(self.asked, len(requests(fleet)))
