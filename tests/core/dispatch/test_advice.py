"""Guards against starts without a valid ticket, and against jobs that wait for one forever."""

import testtools
from marigolddoor_core.dispatch import AdviceRequest, ExecutorState, StartOrder
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


class ManyExecutorsTest(testtools.TestCase):
    """The adviser is asked about every executor, however many there are.

    A request names 100 executors at most, and each one named the same 100, none of which was
    approved; a job never started although others were (review/9).
    """

    scenarios = [
        ("approved in the first request", {"count": 110, "approved": {1}, "starts_by": 1}),
        ("approved in the second request", {"count": 110, "approved": {105}, "starts_by": 2}),
        ("approved in the last request", {"count": 250, "approved": {250}, "starts_by": 3}),
        (
            "the approved one in the first request has left",
            {"count": 110, "approved": {1, 105}, "left": 1, "starts_by": 2},
        ),
        (
            "the approved one in the first request drains",
            {"count": 110, "approved": {1, 105}, "drains": 1, "starts_by": 2},
        ),
        (
            "the approved one in the first request lacks the label",
            {
                "count": 110,
                "approved": {1, 105},
                "labelled": 105,
                "label": "b",
                "starts_by": 1,
            },
        ),
    ]
    left = drains = labelled = 0
    label = ""

    def test_start(self) -> None:
        log = Log()
        document = configuration(1, advised=(QUEUE,), **{QUEUE: SERVICE})
        log.apply(StoreConfiguration(1, document))
        fleet = Fleet(log)
        for number in range(1, self.count + 1):
            state = ExecutorState.DRAINING if number == self.drains else ExecutorState.READY
            labels = ("a", "b") if number == self.labelled else ("a",)
            executor = fleet.executor(number, state=state, labels=labels)
            if number == self.left:
                fleet.dispatch.end_incarnation(executor, fleet.now)
        fleet.step(accept("j", {"count": 1, "required_label": self.label}))
        asked = 0
        starts: list[StartOrder] = []
        for attempt in range(1, 6):
            orders = fleet.take_orders()
            for request in [order for order in orders if isinstance(order, AdviceRequest)]:
                asked += 1
                names = [executor.heartbeat.executor for executor in request.executors]
                self.assertTrue(len(names) <= 100)
                tickets = {name: "t" for name in names if int(name[2:]) in self.approved}
                fleet.dispatch.advised(request, tickets, 30.0, fleet.now)
            fleet.at(1.1 * attempt)
            for executor in fleet.dispatch.executors.values():
                fleet.hold(executor)
            fleet.step()
            starts = [order for order in fleet.dispatch.orders if isinstance(order, StartOrder)]
            if starts:
                break
        self.assertEqual(1, len(starts))
        self.assertEqual(self.starts_by, asked)
