"""Guards against runs in the next incarnation of an executor whose tasks also restart elsewhere.

Found by the simulation of the fleet (bench/faults/fleet.py, seeds 26, 36, 656 and 1096).
"""

import testtools
from marigolddoor_core.dispatch import StartOrder, StopOrder
from marigolddoor_core.dispatch.unconfirmed_starts import UnconfirmedStarts
from marigolddoor_core.ids import ExecutorId, RunNumber, TaskName
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import EndRun, PlaceRun, RunEnd

from tests.core.dispatch.fakes import Fleet, finished, heartbeat, running
from tests.core.jobs.fakes import Log, accept, place

EXECUTOR, TASK, RUN = ExecutorId("i-1"), TaskName("j.0.0.0"), RunNumber(1)


class SettledTest(testtools.TestCase):
    """A start is settled once all its calls were answered and its incarnation lists the run."""

    scenarios = [
        ("sent", {"events": ["sent"], "is_unconfirmed": True}),
        (
            "answered, by an unknown incarnation",
            {"events": ["sent", "answered"], "is_unconfirmed": True},
        ),
        ("listed, the call is in flight", {"events": ["sent", "listed"], "is_unconfirmed": True}),
        ("answered, listed", {"events": ["sent", "answered", "listed"], "is_unconfirmed": False}),
        ("listed, answered", {"events": ["sent", "listed", "answered"], "is_unconfirmed": False}),
        (
            "one of two calls answered",
            {"events": ["sent", "listed", "sent", "answered"], "is_unconfirmed": True},
        ),
        (
            "both calls answered",
            {"events": ["sent", "answered", "sent", "answered", "listed"], "is_unconfirmed": False},
        ),
        ("long ago", {"events": ["sent"], "after_s": 13.5, "is_unconfirmed": False}),
        ("seconds ago", {"events": ["sent"], "after_s": 12.0, "is_unconfirmed": True}),
    ]
    after_s = 0.0

    def test_unconfirmed(self) -> None:
        starts = UnconfirmedStarts()
        for event in self.events:
            if event == "sent":
                starts.sent(EXECUTOR, TASK, RUN, Instant(100.0))
            elif event == "answered":
                starts.answered(EXECUTOR, TASK, RUN)
            else:
                starts.listed(EXECUTOR, TASK, RUN)
        found = starts.starts_of(EXECUTOR, Instant(100.0 + self.after_s))
        self.assertEqual([(TASK, RUN)] if self.is_unconfirmed else [], found)

    def test_forget_old(self) -> None:
        """Starts of executors that left for good would be kept for the whole leadership."""
        starts = UnconfirmedStarts()
        for number in range(100):
            starts.sent(EXECUTOR, TaskName(f"j.0.0.{number}"), RUN, Instant(100.0 + number))
        starts.forget_old(Instant(200.0))
        self.assertEqual(13, len(starts.starts[EXECUTOR]))
        starts.forget_old(Instant(213.0))
        self.assertEqual({}, starts.starts)


class SuccessionTest(testtools.TestCase):
    """A run counts as placed on the next incarnation until that rejects, stops or completes it."""

    scenarios = [
        (
            "completed there",
            {"is_listed": False, "reports": [{"ends": (finished(1, TASK),)}], "end": RunEnd.DONE},
        ),
        (
            "stopped there",
            {
                "is_listed": False,
                "reports": [
                    {"running": (running(TASK),)},
                    {"ends": (finished(1, TASK, "stopped"),)},
                ],
                "end": RunEnd.STOPPED,
            },
        ),
        ("rejected there", {"is_listed": False, "reports": [{}], "end": RunEnd.LOST}),
        (
            "listed by the previous incarnation",
            {"is_listed": True, "reports": [], "end": RunEnd.LOST},
        ),
    ]

    def test_course(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("j", {"count": 1}))
        (order,) = fleet.take_orders()
        assert isinstance(order, StartOrder)
        fleet.dispatch.start_sent(order, fleet.now)
        if self.is_listed:
            fleet.dispatch.start_answered(order)
            fleet.at(0.1).hold(executor, running(TASK))
        successor = fleet.dispatch.receive_heartbeat(heartbeat(1, born_ms=200), fleet.at(0.5).now)
        assert successor is not None
        recorded = [change for change in fleet.step() if isinstance(change, EndRun)]
        stops = [order for order in fleet.take_orders() if isinstance(order, StopOrder)]
        if self.is_listed:
            self.assertEqual([], stops)
        else:
            self.assertEqual([], recorded)
            self.assertEqual([StopOrder(successor, TASK, RUN)], stops)
            self.assertEqual(3000, successor.free_cpu)
            fleet.dispatch.stop_confirmed(successor, TASK, RUN, fleet.at(0.6).now)
        for number, report in enumerate(self.reports):
            runs = report.get("running", ())
            fleet.at(0.7 + number).hold(successor, *runs, ends=report.get("ends", ()))
            recorded += [change for change in fleet.step() if isinstance(change, EndRun)]
        self.assertEqual([self.end], [change.end for change in recorded])
        has_next_run = self.end is not RunEnd.DONE and bool(self.reports)
        self.assertEqual(3000 if has_next_run else 4000, successor.free_cpu)

    def test_two_starts_of_a_task(self) -> None:
        """Its capacity was reserved twice, and an idle executor stayed full (seed 3289)."""
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("j", {"count": 1}))
        fleet.dispatch.unconfirmed.sent(EXECUTOR, TASK, RunNumber(0), fleet.now)
        fleet.dispatch.unconfirmed.sent(EXECUTOR, TASK, RUN, fleet.now)
        self.assertEqual([TASK], list(executor.runs))
        successor = fleet.dispatch.receive_heartbeat(heartbeat(1, born_ms=200), fleet.at(0.5).now)
        assert successor is not None
        self.assertEqual(3000, successor.free_cpu)


class ExpiredLeaseTest(testtools.TestCase):
    """An executor that is out of contact crashed, and its next incarnation may begin an old start.

    review/15: the task was started elsewhere once the lease had expired, and the next incarnation
    carried out the start 10.1 s late, before its first heartbeat.
    """

    scenarios = [
        ("unanswered", {"events": ["sent"], "lost_at_s": 13.2}),
        ("repeated", {"events": ["sent", "sent", "answered", "listed"], "lost_at_s": 13.2}),
        ("answered, not listed", {"events": ["sent", "answered"], "lost_at_s": 6.4}),
        (
            "listed",
            {"events": ["sent", "answered", "listed"], "lost_at_s": 6.4, "is_unconfirmed": False},
        ),
        (
            "its heartbeats go on",
            {"events": ["sent"], "lost_at_s": 13.2, "has_heartbeats": True},
        ),
        (
            "a long-running task",
            {"events": ["sent"], "lost_at_s": 6.4, "step": {"is_long_running": True}},
        ),
        ("of an earlier leader", {"events": [], "lost_at_s": 6.4, "is_taken_over": True}),
    ]
    step: dict[str, object] = {}
    has_heartbeats = is_taken_over = False
    is_unconfirmed = True

    def setUp(self) -> None:
        super().setUp()
        log = Log()
        if self.is_taken_over:
            log.apply(accept("j", {"count": 1}), place(TASK, incarnation="i-1/100"))
        self.fleet = Fleet(log)
        self.victim = self.fleet.at(0.1).executor()
        if not self.is_taken_over:
            self.fleet.step(accept("j", {"count": 1, **self.step}))
        self.victim.extend_lease(self.fleet.now)
        for event in self.events:
            if event == "sent":
                self.fleet.dispatch.unconfirmed.sent(EXECUTOR, TASK, RUN, self.fleet.now)
            elif event == "answered":
                self.fleet.dispatch.unconfirmed.answered(EXECUTOR, TASK, RUN)
            else:
                self.fleet.hold(self.victim, running(TASK))
        self.fleet.executor(2)

    def starts(self, seconds: float) -> list[tuple[str, int]]:
        """Return where the task is started by a time."""
        fleet = self.fleet.at(seconds)
        if self.has_heartbeats:
            beat = heartbeat(sequence=2 + int(seconds))
            fleet.dispatch.receive_heartbeat(beat, fleet.now)
        fleet.hold(fleet.dispatch.current[ExecutorId("i-2")])
        fleet.dispatch.expire(fleet.now)
        fleet.step()
        return [
            (order.executor.heartbeat.executor, order.run)
            for order in fleet.take_orders()
            if isinstance(order, StartOrder) and order.run > RUN
        ]

    def test_start_elsewhere(self) -> None:
        for number in range(1, int(self.lost_at_s)):
            self.assertEqual([], self.starts(float(number)))
        self.assertEqual([("i-2", 2)], self.starts(self.lost_at_s))
        self.assertEqual(self.has_heartbeats, not self.victim.has_ended)

    def test_next_incarnation_reports(self) -> None:
        self.starts(self.lost_at_s - 0.5)
        self.fleet.dispatch.receive_heartbeat(heartbeat(born_ms=200), self.fleet.now)
        successor = self.fleet.dispatch.current[EXECUTOR]
        orders = self.fleet.take_orders()
        expected = [StopOrder(successor, TASK, RUN)] if self.is_unconfirmed else []
        self.assertEqual(expected, [item for item in orders if isinstance(item, StopOrder)])
        # Nothing is started elsewhere before the next incarnation has rejected the old start.
        elsewhere = [] if self.is_unconfirmed else [("i-2", 2)]
        self.assertEqual(elsewhere, self.starts(self.lost_at_s - 0.4))
        if self.is_unconfirmed:
            self.fleet.dispatch.stop_confirmed(successor, TASK, RUN, self.fleet.now)
            self.fleet.at(self.lost_at_s - 0.2).hold(successor)
            self.assertEqual(1, len(self.starts(self.lost_at_s - 0.1)))


class NewLeaderTest(testtools.TestCase):
    """A new leader does not know which starts of the previous one are in flight."""

    scenarios = [
        ("soon", {"after_s": 1.0, "is_lost": False}),
        ("much later", {"after_s": 14.0, "is_lost": True}),
    ]

    def test_previous_incarnation(self) -> None:
        log = Log()
        log.apply(accept("j", {"count": 1}), place(TASK, incarnation="i-1/100"))
        fleet = Fleet(log)
        successor = fleet.dispatch.receive_heartbeat(
            heartbeat(1, born_ms=200), fleet.at(self.after_s).now
        )
        assert successor is not None
        recorded = fleet.step()
        ends = [change.end for change in recorded if isinstance(change, EndRun)]
        self.assertEqual([RunEnd.LOST] if self.is_lost else [], ends)
        stops = [order for order in fleet.take_orders() if isinstance(order, StopOrder)]
        self.assertEqual([] if self.is_lost else [StopOrder(successor, TASK, RUN)], stops)


class NextIncarnationAnswerTest(testtools.TestCase):
    """On an answer before the report, only runs that the next incarnation can't have are lost."""

    scenarios = [
        ("all runs listed", {"is_listed": True, "has_ended": True}),
        ("a start is unconfirmed", {"is_listed": False, "has_ended": False}),
    ]

    def test_answer(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("j", {"count": 1}), accept("k", {"count": 1}))
        orders = [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
        for order in orders:
            fleet.dispatch.start_sent(order, fleet.now)
            fleet.dispatch.start_answered(order)
        listed = [running("k.0.0.0")] + ([running(TASK)] if self.is_listed else [])
        fleet.at(0.1).hold(executor, *listed)
        self.assertEqual(
            self.has_ended, fleet.dispatch.later_incarnation_answered(executor, fleet.now)
        )
        self.assertEqual(self.has_ended, executor.has_ended)
        ends = {change.task for change in fleet.step() if isinstance(change, EndRun)}
        self.assertEqual({"k.0.0.0", TASK} if self.is_listed else {"k.0.0.0"}, ends)
        self.assertFalse(executor.accepts_work(fleet.now))


class SupersededRunTest(testtools.TestCase):
    """A run that ends in the same batch as an earlier run of its task releases its capacity.

    It was recorded as lost with each answer of its executor, and its machine never became empty for
    its maintenance (seed 106).
    """

    def test_room(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("j", {"count": 1}))
        fleet.step(EndRun(TASK, RUN, RunEnd.REJECTED))
        second = executor.runs[TASK]
        self.assertEqual(2, second.run)
        fleet.dispatch.started(fleet.take_orders()[-1], fleet.now)  # type: ignore[arg-type]
        fleet.log.apply(EndRun(TASK, RUN, RunEnd.DONE), EndRun(TASK, RunNumber(2), RunEnd.DONE))
        fleet.at(1.0).hold(executor)
        recorded = [change for change in fleet.step() if isinstance(change, EndRun | PlaceRun)]
        self.assertEqual([], recorded)
        self.assertEqual(4000, executor.free_cpu)
