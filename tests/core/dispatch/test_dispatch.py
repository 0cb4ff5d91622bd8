"""Guards against runs that count as lost too early, and against duplicate or endless runs."""

import testtools
from marigolddoor_core.dispatch import Executor, ExecutorState, StartOrder, StopOrder
from marigolddoor_core.ids import ExecutorIncarnation, JobId
from marigolddoor_core.jobs import (
    CancelJob,
    EndRun,
    JobPhase,
    PlaceRun,
    RunEnd,
    StepRecord,
    StoreConfiguration,
)

from tests.core.dispatch.fakes import Fleet, finished, heartbeat, running
from tests.core.jobs.fakes import SERVICE, Log, accept, configuration, end, place

ONE = {"count": 1}


def lost(changes: list[object]) -> list[str]:
    return [
        change.task
        for change in changes
        if isinstance(change, EndRun) and change.end is RunEnd.LOST
    ]


class StartedRun(testtools.TestCase):
    """A fleet with one executor, on which the start of one task was ordered."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.executor: Executor = self.fleet.executor()
        self.fleet.step(accept("j", ONE))
        orders = self.fleet.take_orders()
        assert len(orders) == 1 and isinstance(orders[0], StartOrder)
        self.start = orders[0]


class MissingRunTest(StartedRun):
    """A missing run is lost only if the list was requested after the run was confirmed."""

    scenarios = [
        ("not confirmed yet", {"confirmed_s": None, "sent_s": 1.0, "is_lost": False}),
        ("list requested before", {"confirmed_s": 1.0, "sent_s": 0.5, "is_lost": False}),
        ("list requested afterwards", {"confirmed_s": 1.0, "sent_s": 1.5, "is_lost": True}),
    ]

    def test_missing(self) -> None:
        if self.confirmed_s is not None:
            self.fleet.dispatch.started(self.start, self.fleet.at(self.confirmed_s).now)
        self.fleet.at(2.0).hold(self.executor, sent_s_ago=2.0 - self.sent_s)
        changes = self.fleet.dispatch.changes
        self.assertEqual(["j.0.0.0"] if self.is_lost else [], lost(changes))


class BegunJobTest(StartedRun):
    """A job whose placed runs were never confirmed must count as one that waits.

    While executors were cut off, jobs that had been placed on them were left out of the number of
    waiting jobs, also after these runs had been declared lost. After a change of the leader so were
    jobs whose starts had all been rejected.
    """

    scenarios = [
        ("placed", {"events": (), "has_begun": False}),
        ("answered", {"events": ("answered",), "has_begun": True}),
        ("listed", {"events": ("listed",), "has_begun": True}),
        ("ended", {"events": ("ended",), "has_begun": True}),
        ("lost without an answer", {"events": ("lost",), "has_begun": False}),
        ("lost after an answer", {"events": ("answered", "lost"), "has_begun": True}),
        ("rejected", {"events": ("rejected",), "has_begun": False}),
        ("placed by an earlier leader", {"events": ("other leader",), "has_begun": False}),
        ("listed to the next leader", {"events": ("other leader", "listed"), "has_begun": True}),
        ("ended at the next leader", {"events": ("other leader", "ended"), "has_begun": True}),
        (
            "missing at the next leader",
            {"events": ("other leader", "missing"), "has_begun": False},
        ),
        (
            "rejected at an earlier leader",
            {"events": ("rejected", "other leader"), "has_begun": False},
        ),
        (
            "lost at an earlier leader without an answer",
            {"events": ("lost", "other leader"), "has_begun": False},
        ),
        (
            "lost at an earlier leader after an answer",
            {"events": ("answered", "lost", "other leader"), "has_begun": True},
        ),
        (
            "ended at an earlier leader",
            {"events": ("ended", "other leader"), "has_begun": True},
        ),
    ]

    def test_begun(self) -> None:
        fleet, executor = self.fleet, self.executor
        for event in self.events:
            if event == "answered":
                fleet.dispatch.started(self.start, fleet.at(1.0).now)
            elif event == "rejected":
                fleet.dispatch.rejected(self.start, fleet.at(1.0).now)
                fleet.step()
            elif event == "listed":
                fleet.at(1.0).hold(executor, running("j.0.0.0"))
            elif event == "missing":
                fleet.at(1.0).hold(executor)
                fleet.step()
            elif event == "ended":
                fleet.at(1.0).hold(executor, ends=(finished(1, "j.0.0.0", "failed"),))
                fleet.step()
            elif event == "lost":
                fleet.dispatch.expire(fleet.at(7.0).now)
                fleet.step()
            else:
                fleet = Fleet(fleet.log)
                executor = next(iter(fleet.dispatch.executors.values()), executor)
        job = fleet.log.table.jobs[JobId("j")]
        self.assertEqual(self.has_begun, fleet.dispatch.has_begun(job))


class EndedIncarnationTest(StartedRun):
    """Runs end with their executor's incarnation, but not because of late heartbeats."""

    scenarios = [
        ("a later incarnation", {"fields": {"born_ms": 200}, "is_lost": True}),
        (
            "a late heartbeat of an earlier incarnation",
            {"fields": {"born_ms": 50}, "is_lost": False},
        ),
        ("the next heartbeat", {"fields": {"sequence": 2}, "is_lost": False}),
        (
            "another executor at its address",
            {"fields": {"number": 2, "born_ms": 200, "address": "10.0.0.1:80"}, "is_lost": True},
        ),
        (
            "a late heartbeat from its address",
            {"fields": {"number": 2, "born_ms": 50, "address": "10.0.0.1:80"}, "is_lost": False},
        ),
        (
            "another executor on its machine",
            {"fields": {"number": 2, "born_ms": 200, "machine": "m-1"}, "is_lost": True},
        ),
        (
            "a late heartbeat from its machine",
            {"fields": {"number": 2, "born_ms": 50, "machine": "m-1"}, "is_lost": False},
        ),
    ]

    def test_heartbeat(self) -> None:
        self.fleet.at(1.0).dispatch.receive_heartbeat(heartbeat(**self.fields), self.fleet.now)
        self.assertEqual(["j.0.0.0"] if self.is_lost else [], lost(self.fleet.dispatch.changes))


class UnresponsiveExecutorTest(StartedRun):
    """Runs of an unresponsive executor are lost when its last lease expires, not before."""

    scenarios = [
        ("during the lease", {"after_s": 6.0, "is_lost": False}),
        ("after the lease on the slowest clock", {"after_s": 6.5, "is_lost": True}),
    ]

    def test_lease_expiry(self) -> None:
        self.executor.lease.extend(self.fleet.now)
        self.fleet.dispatch.expire(self.fleet.at(self.after_s).now)
        self.assertEqual(["j.0.0.0"] if self.is_lost else [], lost(self.fleet.dispatch.changes))


class SilentExecutorTest(testtools.TestCase):
    """An executor that was silent for longer than its lease must be used again once it reports.

    It was cut off but kept running, so its next reports name the incarnation that was given up.
    They were ignored until another process became the leader, and a long-running task that only
    this executor had a place for did not run, although the executor was idle.
    """

    scenarios = [
        ("its next report", {"fields": {"sequence": 2}, "is_used": True}),
        ("a report that was sent before", {"fields": {"sequence": 1}, "is_used": False}),
        ("an earlier incarnation", {"fields": {"sequence": 2, "born_ms": 50}, "is_used": False}),
        ("a later incarnation", {"fields": {"sequence": 1, "born_ms": 200}, "is_used": True}),
    ]

    def test_return(self) -> None:
        fleet = Fleet()
        fleet.executor()
        fleet.step(accept("j", {"count": 1, "is_long_running": True}))
        fleet.dispatch.expire(fleet.at(7.0).now)
        fleet.step()
        fleet.take_orders()
        executor = fleet.at(8.0).dispatch.receive_heartbeat(heartbeat(**self.fields), fleet.now)
        self.assertEqual(self.is_used, executor is not None)
        if executor is not None:
            fleet.hold(executor)
            fleet.step()
            starts = [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
            self.assertEqual([("j.0.0.0", 2)], [(start.task, start.run) for start in starts])

    def test_run_that_was_declared_lost(self) -> None:
        """A run that a late order kept alive is stopped, since its task starts again."""
        fleet = Fleet()
        fleet.executor()
        fleet.step(accept("j", {"count": 1, "is_long_running": True}))
        fleet.dispatch.expire(fleet.at(7.0).now)
        fleet.step()
        fleet.take_orders()
        returned = fleet.at(8.0).dispatch.receive_heartbeat(heartbeat(sequence=2), fleet.now)
        assert returned is not None
        fleet.hold(returned, running("j.0.0.0"))
        stops = [order for order in fleet.take_orders() if isinstance(order, StopOrder)]
        self.assertEqual([("j.0.0.0", 1)], [(stop.task, stop.run) for stop in stops])

    def test_replaced_meanwhile(self) -> None:
        """Reports that were delayed must not end an executor that has replaced the silent one."""
        for replaced in ({"address": "10.0.0.1:80"}, {"machine": "m-1"}):
            fleet = Fleet()
            fleet.executor()
            fleet.dispatch.expire(fleet.at(7.0).now)
            successor = fleet.executor(2, born_ms=200, **replaced)
            late = heartbeat(sequence=2)
            self.assertIsNone(fleet.at(8.0).dispatch.receive_heartbeat(late, fleet.now))
            self.assertFalse(successor.has_ended)

    def test_ended_otherwise(self) -> None:
        """An incarnation that ended is not used again because of its delayed reports."""
        fleet = Fleet()
        fleet.dispatch.end_incarnation(fleet.executor(), fleet.now)
        late = heartbeat(sequence=2)
        self.assertIsNone(fleet.at(1.0).dispatch.receive_heartbeat(late, fleet.now))


class UnansweredTest(testtools.TestCase):
    """Only tasks of which copies may run leave an executor before its lease expires."""

    scenarios = [
        (
            "copies may run",
            {"step": {"count": 1, "is_speculative": True}, "guards": True, "is_lost": True},
        ),
        (
            "the executor does not enforce its capacity",
            {"step": {"count": 1, "is_speculative": True}, "guards": False, "is_lost": False},
        ),
        ("one run at a time", {"step": {"count": 1}, "guards": True, "is_lost": False}),
    ]

    def test_unanswered(self) -> None:
        log = Log()
        unguarded = () if self.guards else (SERVICE,)
        log.apply(StoreConfiguration(1, configuration(1, unguarded, views=SERVICE)))
        fleet = Fleet(log)
        executor = fleet.executor()
        fleet.step(accept("j", self.step))
        fleet.at(1.0).dispatch.unanswered(executor, fleet.now)
        self.assertEqual(["j.0.0.0"] if self.is_lost else [], lost(fleet.dispatch.changes))
        self.assertFalse(executor.accepts_work(fleet.now))
        fleet.hold(executor, running("j.0.0.0"))
        self.assertTrue(executor.accepts_work(fleet.now))


class LateEndTest(testtools.TestCase):
    """An end that an executor lists is committed even if its run was abandoned.

    Found on the standard day scale-1 of tmpa-jellyworks: a task of which copies may run was placed
    elsewhere while its executor was unresponsive. The executor answered again, its end was seen but
    not committed, and the task was started again 2.1 s later (TWICE).
    """

    scenarios = [
        ("done while it waits", {"outcome": "done", "others": 0, "starts": 0, "failures": 0}),
        ("done while a copy runs", {"outcome": "done", "others": 1, "starts": 0, "failures": 0}),
        ("failed", {"outcome": "failed", "others": 0, "starts": 1, "failures": 1}),
        ("stopped", {"outcome": "stopped", "others": 0, "starts": 1, "failures": 0}),
    ]

    def test_late_end(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(1, views=SERVICE)))
        fleet = Fleet(log)
        executor = fleet.executor()
        fleet.step(accept("j", {"count": 1, "is_speculative": True}))
        fleet.dispatch.unanswered(executor, fleet.now)
        others = [fleet.executor(number) for number in range(2, 2 + self.others)]
        fleet.step()
        fleet.take_orders()
        fleet.at(1.0).hold(executor, ends=(finished(1, "j.0.0.0", self.outcome),))
        fleet.step()
        starts = [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
        task = fleet.log.table.task("j.0.0.0")
        assert task is not None
        self.assertEqual(self.starts, len(starts))
        self.assertEqual(self.failures, task.failures)
        if self.outcome == "done":
            self.assertIs(JobPhase.COMPLETED, fleet.log.table.jobs[JobId("j")].phase)
        for other in others:
            fleet.hold(other, ends=(finished(1, "j.0.0.0", "stopped", run=2),))
            self.assertEqual({}, other.runs)
            self.assertEqual(other.heartbeat.capacity.cpu_milli, other.free_cpu)

    def test_counted_once(self) -> None:
        """The next leader receives the same end again; it must not count as another attempt."""
        log = Log()
        log.apply(accept("j", ONE), place("j.0.0.0"), end("j.0.0.0", RunEnd.FAILED))
        log.apply(end("j.0.0.0", RunEnd.FAILED))
        task = log.table.task("j.0.0.0")
        assert task is not None
        self.assertEqual(1, task.failures)


class RepeatedCallsTest(StartedRun):
    """Unanswered calls must not renew the lease of an executor.

    Found on the drawn day fresh-8d7c of bw-ring: calls to a crashed executor were repeated, each
    with a later deadline, so its tasks were not started elsewhere for 40 s (LOST).
    """

    def test_lease_ends(self) -> None:
        self.executor.extend_lease(self.fleet.now)
        self.fleet.dispatch.unanswered(self.executor, self.fleet.now)
        for tenth in range(1, 65, 2):
            self.executor.extend_lease(self.fleet.at(tenth / 10).now)
        self.fleet.dispatch.expire(self.fleet.at(6.0).now)
        self.assertEqual([], lost(self.fleet.dispatch.changes))
        self.fleet.dispatch.expire(self.fleet.at(6.5).now)
        self.assertEqual(["j.0.0.0"], lost(self.fleet.dispatch.changes))

    def test_contact_renews(self) -> None:
        self.executor.extend_lease(self.fleet.now)
        self.fleet.dispatch.unanswered(self.executor, self.fleet.now)
        self.fleet.at(3.0).hold(self.executor, running("j.0.0.0"))
        before = self.executor.lease.over_at
        self.executor.extend_lease(self.fleet.now)
        self.assertGreater(self.executor.lease.over_at, before)


class TakeOverTest(testtools.TestCase):
    """A new leader takes over the runs of the previous one and restarts none that may still run."""

    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.log.apply(accept("j", ONE), place("j.0.0.0", incarnation="i-1/100"))
        self.fleet = Fleet(self.log)

    def test_run_goes_on(self) -> None:
        executor = self.fleet.dispatch.receive_heartbeat(heartbeat(), self.fleet.now)
        assert executor is not None
        self.fleet.at(0.1).hold(executor, running("j.0.0.0"))
        self.assertEqual([], self.fleet.step())
        self.assertEqual({"j.0.0.0"}, set(executor.runs))

    def test_end_is_recorded(self) -> None:
        executor = self.fleet.dispatch.receive_heartbeat(heartbeat(), self.fleet.now)
        assert executor is not None
        self.fleet.at(0.1).hold(executor, ends=(finished(1, "j.0.0.0"),))
        self.fleet.step()
        self.assertIs(JobPhase.COMPLETED, self.log.table.jobs[JobId("j")].phase)

    def test_start_that_never_arrived(self) -> None:
        executor = self.fleet.dispatch.receive_heartbeat(heartbeat(), self.fleet.now)
        assert executor is not None
        self.fleet.at(0.1).hold(executor)
        changes = self.fleet.step()
        self.assertEqual(["j.0.0.0"], lost(changes))
        self.assertEqual([2], [change.run for change in changes if isinstance(change, PlaceRun)])

    def test_unknown_executor(self) -> None:
        """The task must not start elsewhere while its executor may hold an old lease."""
        self.fleet.executor(2)
        self.fleet.dispatch.expire(self.fleet.at(6.0).now)
        self.assertEqual([], self.fleet.step())
        self.fleet.dispatch.expire(self.fleet.at(6.5).now)
        self.assertEqual(["j.0.0.0"], lost(self.fleet.step()))


class CancelledBeforeTakeOverTest(testtools.TestCase):
    """A run of a job that was cancelled under an earlier leader is stopped by the next one.

    Found on the standard day scale-1 of bw-ring: all control processes were killed right after the
    cancellation was acknowledged, and the run continued.
    """

    def test_stop(self) -> None:
        log = Log()
        log.apply(accept("j", ONE), place("j.0.0.0"), CancelJob(JobId("j")))
        fleet = Fleet(log)
        executor = fleet.dispatch.receive_heartbeat(heartbeat(), fleet.now)
        assert executor is not None
        fleet.at(0.1).hold(executor, running("j.0.0.0"))
        orders = fleet.take_orders()
        self.assertEqual(["j.0.0.0"], [getattr(order, "task", None) for order in orders])
        self.assertTrue(all(isinstance(order, StopOrder) for order in orders))


class EnrolmentTest(testtools.TestCase):
    """A new leader knows the executors of the previous one and their reported states."""

    scenarios = [
        ("ready", {"state": ExecutorState.READY, "accepts": True}),
        ("draining", {"state": ExecutorState.DRAINING, "accepts": False}),
    ]

    def test_take_over(self) -> None:
        previous = Fleet()
        executor = previous.executor()
        previous.dispatch.receive_heartbeat(heartbeat(sequence=2, state=self.state), previous.now)
        previous.step()
        fleet = Fleet(previous.log)
        self.assertEqual([executor.incarnation], list(fleet.dispatch.executors))
        taken_over = fleet.dispatch.executors[executor.incarnation]
        fleet.hold(taken_over)
        self.assertEqual(self.accepts, taken_over.accepts_work(fleet.now))
        self.assertEqual([], fleet.dispatch.changes)

    def test_ended_incarnation(self) -> None:
        previous = Fleet()
        previous.dispatch.end_incarnation(previous.executor(), previous.now)
        previous.step()
        self.assertEqual({}, Fleet(previous.log).dispatch.executors)


class StopTest(StartedRun):
    """Runs that belong to no active job are stopped, once each."""

    def test_cancelled_job(self) -> None:
        self.fleet.step(CancelJob(JobId("j")))
        self.fleet.step(CancelJob(JobId("j")))
        self.assertEqual(
            [StopOrder(self.executor, self.start.task, self.start.run)], self.fleet.take_orders()
        )

    def test_unknown_run(self) -> None:
        self.fleet.hold(self.executor, running("j.0.0.0"), running("other.0.0.0", 4))
        orders = self.fleet.take_orders()
        self.assertEqual(["other.0.0.0"], [order.task for order in orders])

    def test_no_start_of_a_cancelled_job(self) -> None:
        self.fleet.step(CancelJob(JobId("j")), end("j.0.0.0", RunEnd.STOPPED))
        self.fleet.take_orders()
        self.assertEqual([], self.fleet.step())


class BadExecutorTest(testtools.TestCase):
    """An executor on which tasks of several jobs fail is blocked for a while."""

    scenarios = [
        ("one job fails", {"jobs": ["a", "a"], "accepts": True}),
        ("two jobs fail", {"jobs": ["a", "b"], "accepts": False}),
    ]

    def test_failures(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("a", {"count": 2}), accept("b", {"count": 2}))
        ends = tuple(
            finished(number, f"{job}.0.0.{number - 1}", "failed")
            for number, job in enumerate(self.jobs, 1)
        )
        fleet.hold(executor, ends=ends)
        self.assertEqual(self.accepts, executor.accepts_work(fleet.now))


class DrainingTest(StartedRun):
    """Runs that can't end before their draining executor does are stopped in time."""

    scenarios = [
        ("ends in time", {"estimated_s": 1.0, "is_stopped": False}),
        ("would be interrupted", {"estimated_s": 9.0, "is_stopped": True}),
    ]

    def test_draining(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("j", {"count": 1, "estimated_s": self.estimated_s}))
        fleet.take_orders()
        draining = heartbeat(sequence=2, state=ExecutorState.DRAINING, remaining_s=2.0)
        fleet.at(0.1).dispatch.receive_heartbeat(draining, fleet.now)
        fleet.step()
        self.assertEqual(self.is_stopped, bool(fleet.take_orders()))
        self.assertFalse(executor.accepts_work(fleet.now))


class EndedBeforeStartTest(testtools.TestCase):
    """A placement on an executor that has ended by then is lost, not started."""

    def test_placement(self) -> None:
        fleet = Fleet()
        fleet.step(accept("j", ONE))
        fleet.log.apply(place("j.0.0.0", incarnation=ExecutorIncarnation("i-9/1")))
        self.assertEqual(["j.0.0.0"], lost(fleet.dispatch.changes))
        self.assertEqual([], fleet.take_orders())


class CountingOrder:
    """Keeps the order of the steps, and counts the steps that it was asked to sort."""

    def __init__(self) -> None:
        self.sorted = 0

    def sort(self, steps: list[StepRecord], time_s: float) -> list[StepRecord]:
        self.sorted += len(steps)
        return steps


class FullPoolTest(testtools.TestCase):
    """A backlog that fits nowhere must not be sorted with each batch, whatever its size."""

    scenarios = [
        ("full", {"cpu": 4000, "sorted": 0}),
        ("capacity for smaller tasks only", {"cpu": 3500, "sorted": 0}),
        ("enough capacity", {"cpu": 3000, "sorted": 40}),
    ]

    def test_backlog(self) -> None:
        fleet = Fleet()
        fleet.executor(cpu=4000)
        fleet.step(accept("first", {"count": 1, "cpu": self.cpu}))
        fleet.dispatch.order = order = CountingOrder()
        fleet.log.apply(*(accept(f"j{number}", {"count": 1}) for number in range(40)))
        placed = fleet.dispatch.take_changes(fleet.now, fleet.log.table.time_s)
        self.assertEqual(self.sorted, order.sorted)
        self.assertEqual(bool(self.sorted), any(isinstance(c, PlaceRun) for c in placed))
