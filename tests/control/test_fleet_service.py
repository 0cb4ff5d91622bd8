"""Guards against answers to callers that differ from what the executors have confirmed."""

from types import SimpleNamespace

import anyio
import testtools
from marigolddoor_control.fleet.service import FleetService
from marigolddoor_core.dispatch import StartOrder
from marigolddoor_core.jobs import StoreConfiguration
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome, QueueReply

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import SERVICE, Log, accept, configuration


class RemovedQueueTest(testtools.TestCase):
    """An accepted job stays known after its queue was removed.

    A read was answered as unknown if another queue of the host has a shorter prefix of its path. A
    submission that was repeated after its answer was lost was answered with "no queue", so that the
    caller took a job that ran for a rejected one.
    """

    scenarios = [
        (
            f"{method.value}, {name}",
            {"method": method, "queue": queue, "path": f"/views/deep/{job}", "known": job == "j"},
        )
        for method in QueueMethod
        for name, queue, job in (
            ("no queue has its path", "other", "j"),
            ("a shorter prefix", "views", "j"),
            ("another job", "views", "k"),
            ("another job, no queue", "other", "k"),
        )
    ]

    def test_call(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(1, **{"views/deep": SERVICE})))
        fleet = Fleet(log)
        fleet.step(accept("j", {"count": 1}))
        log.apply(StoreConfiguration(2, configuration(2, **{self.queue: SERVICE})))
        service = FleetService(log.table, SimpleNamespace(is_leader=True))  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(  # type: ignore[assignment]
            dispatch=fleet.dispatch, has_ended=False, record=self.nothing, settle=self.nothing
        )
        call = QueueCall(self.method, "a.example", self.path, b"")
        reply = anyio.run(service.call_queue, call)
        self.assertEqual(self.known, reply.outcome is QueueOutcome.ANSWERED)

    async def nothing(self, *_: object) -> None:
        """Commit without a consensus group."""


class WaitingJobsTest(testtools.TestCase):
    """Jobs of which no executor has confirmed a run must be counted among the waiting ones.

    They were left out as soon as they were placed: while 4 jobs had waited for 5 s, callers were
    told that none did. Later they were left out after a change of the leader, and shown as active.
    """

    scenarios = [
        ("placed", {"is_answered": False, "leaders": 1, "expected": 1}),
        ("started", {"is_answered": True, "leaders": 1, "expected": 0}),
        ("placed by an earlier leader", {"is_answered": False, "leaders": 2, "expected": 1}),
    ]

    def test_pending(self) -> None:
        self.assertEqual(self.expected, self.read("/views/").pending)

    def test_state(self) -> None:
        self.assertEqual(self.expected == 0, self.read("/views/j").has_started)

    def read(self, path: str) -> QueueReply:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(1, views=SERVICE)))
        fleet = Fleet(log)
        fleet.executor()
        fleet.step(accept("j", {"count": 1}))
        (start,) = fleet.take_orders()
        assert isinstance(start, StartOrder)
        if self.is_answered:
            fleet.dispatch.started(start, fleet.now)
        if self.leaders > 1:
            fleet = Fleet(log)
        service = FleetService(log.table, SimpleNamespace(is_leader=True))  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(dispatch=fleet.dispatch, has_ended=False)  # type: ignore[assignment]
        return anyio.run(service.call_queue, QueueCall(QueueMethod.READ, "a.example", path, b""))
