"""Guards against calls that are served without the key of a team, or to another team."""

from dataclasses import replace
from types import SimpleNamespace

import anyio
import testtools
from marigolddoor_control.fleet.service import FleetService
from marigolddoor_core.ids import JobId, QueueName, TeamId
from marigolddoor_core.jobs import NO_KEY, AcceptJob, JobChange, StoreConfiguration, digest_key
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import SERVICE, Log, configuration, document, with_teams

TEAMS = {"red": {"keys": ["r1", "r2"]}, "blue": {"keys": ["b1"]}}
SUBMIT, READ, CANCEL = QueueMethod.SUBMIT, QueueMethod.READ, QueueMethod.CANCEL
ANSWERED, UNAUTHORIZED = QueueOutcome.ANSWERED, QueueOutcome.UNAUTHORIZED
NO_JOB, REFUSED, NO_QUEUE = QueueOutcome.NO_JOB, QueueOutcome.REFUSED, QueueOutcome.NO_QUEUE


class TeamCallTest(testtools.TestCase):
    """Keys were not read: a call with an unknown or withdrawn key was answered with success.

    Job `r` was submitted by team red, `p` without a key to the public queue `open`.
    """

    scenarios = [
        (
            f"{method.value} {path} with {key or 'no key'}{', ' if changes else ''}{changes}",
            {
                "method": method,
                "path": path,
                "key": digest_key(key) if key else NO_KEY,
                "changes": changes,
                "expected": expected,
            },
        )
        for method, path, key, changes, expected in (
            (SUBMIT, "/views/n", "r1", "", ANSWERED),
            (SUBMIT, "/views/n", "x", "", UNAUTHORIZED),
            (SUBMIT, "/views/n", "", "", UNAUTHORIZED),
            (SUBMIT, "/views/r", "r2", "", ANSWERED),
            (SUBMIT, "/views/r", "b1", "", REFUSED),
            (SUBMIT, "/open/n", "", "", ANSWERED),
            (SUBMIT, "/open/n", "x", "", ANSWERED),
            (READ, "/views/r", "r1", "", ANSWERED),
            (READ, "/views/r", "b1", "", NO_JOB),
            (READ, "/views/r", "x", "", UNAUTHORIZED),
            (READ, "/views/", "b1", "", ANSWERED),
            (READ, "/views/", "x", "", UNAUTHORIZED),
            (READ, "/open/p", "", "", ANSWERED),
            (CANCEL, "/views/r", "r1", "", ANSWERED),
            (CANCEL, "/views/r", "b1", "", NO_JOB),
            (CANCEL, "/views/r", "x", "", UNAUTHORIZED),
            (READ, "/views/p", "", "", UNAUTHORIZED),
            (READ, "", "", "", NO_QUEUE),
            (READ, "/views/r", "r1", "key withdrawn", UNAUTHORIZED),
            (READ, "/views/r", "r2", "key withdrawn", ANSWERED),
            (SUBMIT, "/views/r", "r2", "key withdrawn", ANSWERED),
            (READ, "/views/r", "r3", "key added", ANSWERED),
            (READ, "/views/r", "r2", "team removed", UNAUTHORIZED),
            (READ, "/views/r", "r2", "queue removed", ANSWERED),
            (READ, "/open/p", "", "queue removed", ANSWERED),
            (READ, "/open/p", "x", "queue removed", UNAUTHORIZED),
            (READ, "/views/r", "", "teams disabled", ANSWERED),
        )
    ]

    def test_call(self) -> None:
        log = Log()
        queues = configuration(1, views=SERVICE, open=SERVICE)
        log.apply(StoreConfiguration(1, with_teams(queues, TEAMS, ("open",))))
        fleet = Fleet(log)
        fleet.step(self.accepted("r", "views", "red"), self.accepted("p", "open", ""))
        if self.changes:
            log.apply(StoreConfiguration(2, self.changed()))
        self.recorded: list[JobChange] = []
        service = FleetService(log.table, SimpleNamespace(is_leader=True))  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(  # type: ignore[assignment]
            dispatch=fleet.dispatch, has_ended=False, record=self.record, settle=self.settle
        )
        call = QueueCall(self.method, "a.example", self.path, document({"count": 1}), self.key)
        reply = anyio.run(service.call_queue, call)
        self.assertEqual(self.expected, reply.outcome)
        if reply.outcome is not ANSWERED:
            self.assertEqual([], self.recorded)
        if self.path == "/views/n" and reply.outcome is ANSWERED:
            (change,) = self.recorded
            assert isinstance(change, AcceptJob)
            self.assertEqual("red", change.team)

    def accepted(self, job: str, queue: str, team: str) -> AcceptJob:
        return AcceptJob(
            JobId(job), QueueName(queue), SERVICE, 3, document({"count": 1}), TeamId(team)
        )

    def changed(self) -> bytes:
        queues = configuration(2, views=SERVICE, open=SERVICE)
        if self.changes == "teams disabled":
            return queues
        teams = dict(TEAMS)
        if self.changes == "key withdrawn":
            teams["red"] = {"keys": ["r2"]}
        elif self.changes == "key added":
            teams["red"] = {"keys": ["r1", "r2", "r3"]}
        elif self.changes == "team removed":
            del teams["red"]
        elif self.changes == "queue removed":
            queues = configuration(2, other=SERVICE)
        return with_teams(queues, teams, ("open",))

    async def record(self, change: JobChange) -> None:
        self.recorded.append(change)

    async def settle(self) -> None:
        """Wait for no changes."""


class QuotaRefusalTest(testtools.TestCase):
    """A job of which a task or a gang never fits the quota was accepted, and waited forever.

    In the last case an earlier submission is still being committed under a larger quota.
    """

    scenarios = [
        (
            f"{quota} {step}{' accepted before' if is_accepted else ''}",
            {"quota": quota, "step": step, "is_accepted": is_accepted, "detail": detail},
        )
        for quota, step, is_accepted, detail in (
            ({}, {"count": 9, "cpu": 9000}, False, ""),
            ({"cpu": 2000}, {"count": 9, "cpu": 2000}, False, ""),
            ({"cpu": 2000}, {"count": 2, "cpu": 2001}, False, "a task of step 0 needs 2001 thous"),
            ({"memory": 99}, {"count": 1}, False, "a task of step 0 needs 100 MB of memory, and"),
            ({"cpu": 2000}, {"count": 2, "is_gang": True}, False, ""),
            ({"cpu": 2000}, {"count": 3, "is_gang": True}, False, "the gang of step 0 needs 3000"),
            ({"cpu": 2000}, {"count": 1, "cpu": 9000, "is_best_effort": True}, False, "a task of"),
            ({"cpu": 2000}, {"count": 2, "cpu": 2001}, True, ""),
        )
    ]

    def test_refusal(self) -> None:
        self.log, self.recorded = Log(), []
        views = configuration(1, views=SERVICE)
        team = {"keys": ["r1"], **self.quota}
        self.log.apply(StoreConfiguration(1, with_teams(views, {"red": team})))
        service = FleetService(self.log.table, SimpleNamespace(is_leader=True))  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(  # type: ignore[assignment]
            dispatch=Fleet(self.log).dispatch,
            has_ended=False,
            record=self.record,
            settle=self.settle,
        )
        submitted = document(dict(self.step))
        self.change = AcceptJob(
            JobId("n"), QueueName("views"), SERVICE, 3, submitted, TeamId("red")
        )
        call = QueueCall(SUBMIT, "a.example", "/views/n", submitted, digest_key("r1"))
        reply = anyio.run(service.call_queue, call)
        self.assertEqual(REFUSED if self.detail else ANSWERED, reply.outcome)
        self.assertTrue(reply.detail.startswith(self.detail))
        is_recorded = not self.detail and not self.is_accepted
        self.assertEqual([self.change] if is_recorded else [], self.recorded)

    async def record(self, change: JobChange) -> None:
        self.recorded.append(change)

    async def settle(self) -> None:
        """Commit the earlier submission."""
        if self.is_accepted:
            self.log.apply(self.change)


class OverlappingSubmissionTest(testtools.TestCase):
    """Two teams submitted a job under one id at once: both were told that theirs was accepted."""

    scenarios = [
        (f"accepted first from {team}", {"team": team, "expected": expected})
        for team, expected in (("red", ANSWERED), ("blue", REFUSED))
    ]

    def test_submission(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, with_teams(configuration(1, views=SERVICE), TEAMS)))

        async def record(change: JobChange) -> None:
            log.apply(replace(change, team=TeamId(self.team)), change)

        service = FleetService(log.table, SimpleNamespace(is_leader=True))  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(has_ended=False, record=record)  # type: ignore
        path = "/views/n"
        call = QueueCall(SUBMIT, "a.example", path, document({"count": 1}), digest_key("r1"))
        self.assertEqual(self.expected, anyio.run(service.call_queue, call).outcome)


class WithdrawalWhileWaitingTest(testtools.TestCase):
    """A cancellation waited for the commit that withdrew its key, and was then carried out."""

    scenarios = [
        (f"keys {keys}", {"keys": keys, "expected": expected})
        for keys, expected in ((("r1",), ANSWERED), (("r2",), UNAUTHORIZED))
    ]

    def test_cancellation(self) -> None:
        log = Log()
        queues = configuration(1, views=SERVICE)
        log.apply(StoreConfiguration(1, with_teams(queues, TEAMS)))
        job = AcceptJob(
            JobId("n"), QueueName("views"), SERVICE, 3, document({"count": 1}), TeamId("red")
        )

        async def settle() -> None:
            later = with_teams(configuration(2, views=SERVICE), {"red": {"keys": self.keys}})
            log.apply(job, StoreConfiguration(2, later))

        async def record(change: JobChange) -> None:
            log.apply(change)

        service = FleetService(log.table, SimpleNamespace(is_leader=True))  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(  # type: ignore[assignment]
            has_ended=False, settle=settle, record=record
        )
        call = QueueCall(CANCEL, "a.example", "/views/n", key=digest_key("r1"))
        self.assertEqual(self.expected, anyio.run(service.call_queue, call).outcome)


class RepeatedRefusalTest(testtools.TestCase):
    """An entry process that repeats a refusal must not refuse calls to a public queue.

    The public queues are `/open/` and, in the folder of another one, `/views/open/`.
    """

    scenarios = [
        (f"{path} with {key or 'no key'}", {"path": path, "key": key, "expected": expected})
        for path, key, expected in (
            ("/jobs/n", "x", True),
            ("/jobs/", "x", True),
            ("/jobs/n", "", False),
            ("/views/n", "x", False),
            ("/n", "x", False),
        )
    ]

    def test_validity(self) -> None:
        log = Log()
        queues = {"jobs": SERVICE, "views": SERVICE, "open": SERVICE, "views/open": SERVICE}
        teams = with_teams(configuration(1, **queues), TEAMS, ("open", "views/open"))
        log.apply(StoreConfiguration(1, teams))
        service = FleetService(log.table, SimpleNamespace(is_leader=True))  # type: ignore[arg-type]
        service.leadership = SimpleNamespace(has_ended=False)  # type: ignore[assignment]
        key = digest_key(self.key) if self.key else NO_KEY
        reply = anyio.run(service.call_queue, QueueCall(READ, "a.example", self.path, key=key))
        self.assertEqual(self.expected, reply.retry_after_s > 0)
        # The bound of a new key, less the attempt that brings the refusal.
        self.assertTrue(reply.retry_after_s <= 2.5 - 1.0)
