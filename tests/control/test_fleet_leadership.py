"""Guards against a leadership that outlives its term or commits wrongly sized batches."""

from types import SimpleNamespace
from typing import Any

import anyio
import testtools
from marigolddoor_control.fleet.fleet_leadership import TIMER_INTERVAL_S, FleetLeadership
from marigolddoor_control.fleet.service import FleetService
from marigolddoor_core.dispatch import LeaseTiming
from marigolddoor_core.ids import FencingToken
from marigolddoor_core.jobs import JobTable, RecordChanges, StoreConfiguration
from marigolddoor_core.metrics import Counters
from marigolddoor_core.ports import NoQuorumError
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome
from marigolddoor_wire.codec import encode
from marigolddoor_wire.frames import MAX_FRAME_BYTES

from bench.faults.virtual_loop import run_in_virtual_time
from tests.core.jobs.fakes import SERVICE, Log, accept, configuration, document

TERM = 3


class FakeConsensus:
    """A replica whose role and term the test sets."""

    def __init__(self) -> None:
        self.is_leader = True
        self.replica = SimpleNamespace(term=TERM, is_leader=True)

    def consensus_time(self) -> float:
        return 0.0


def create_leadership(table: JobTable, consensus: Any) -> FleetLeadership:
    ports: Any = SimpleNamespace(machines=SimpleNamespace(list_machines=no_machines))
    return FleetLeadership(
        table,
        consensus,
        ports,
        LeaseTiming(6.0),
        3.0,
        FencingToken(TERM),
        anyio.current_time,
        Counters(),
    )


async def no_machines() -> tuple[Any, ...]:
    return ()


class TermTest(testtools.TestCase):
    """A leadership goes on without the lease, and ends with its term.

    A process that lost an election and won the next one within 0.25 s kept its old fencing token,
    which executors reject once they have had an order of the leader between.
    """

    scenarios = [
        ("its term", {"term": TERM, "is_leader": True, "has_lease": True, "ends": False}),
        ("without the lease", {"term": TERM, "is_leader": True, "has_lease": False, "ends": False}),
        ("deposed", {"term": TERM + 1, "is_leader": False, "has_lease": False, "ends": True}),
        ("elected again", {"term": TERM + 2, "is_leader": True, "has_lease": True, "ends": True}),
    ]

    def test_end(self) -> None:
        anyio.run(self._run)

    async def _run(self) -> None:
        consensus: Any = FakeConsensus()
        leadership = create_leadership(Log().table, consensus)
        async with anyio.create_task_group() as group:
            group.start_soon(leadership.run)
            await anyio.sleep(0.05)
            consensus.replica = SimpleNamespace(term=self.term, is_leader=self.is_leader)
            consensus.is_leader = self.has_lease
            await anyio.sleep(1.0)
            self.assertEqual(self.ends, leadership.has_ended)
            group.cancel_scope.cancel()


class SlowConsensus(FakeConsensus):
    """Commits proposals, or loses the leadership, when `decided` is set."""

    def __init__(self, log: Log, commits: bool) -> None:
        super().__init__()
        self.log = log
        self.commits = commits
        self.decided = anyio.Event()
        self.commands: list[RecordChanges] = []

    async def propose_here(self, command: RecordChanges, timeout_s: float) -> None:
        await self.decided.wait()
        self.commands.append(command)
        if not self.commits:
            raise NoQuorumError("this replica lost the leadership")
        self.log.apply(*command.changes)


class UncommittedJobTest(testtools.TestCase):
    """A call for a job waits while an earlier attempt to submit it is being committed.

    The sync of a disk outlasted the caller's patience and the queue was removed meanwhile: the next
    attempt was answered with "no queue", or a cancel with "no job", and then the job ran.
    """

    scenarios = [
        (
            f"{method.value}, {name}",
            {"method": method, "commits": commits, "expected": expected},
        )
        for method in (QueueMethod.SUBMIT, QueueMethod.CANCEL)
        for name, commits, expected in (
            ("committed", True, QueueOutcome.ANSWERED),
            ("not committed", False, QueueOutcome.UNAVAILABLE),
        )
    ]

    def test_call(self) -> None:
        anyio.run(self._run)

    async def _run(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(1, views=SERVICE)))
        consensus: Any = SlowConsensus(log, self.commits)
        leadership = create_leadership(log.table, consensus)
        service = FleetService(log.table, consensus)
        service.leadership = leadership
        outcomes: list[QueueOutcome] = []

        async def call(method: QueueMethod) -> None:
            content = document({"count": 1})
            reply = await service.call_queue(QueueCall(method, "a.example", "/views/j", content))
            outcomes.append(reply.outcome)

        async with anyio.create_task_group() as group:
            group.start_soon(leadership.run)
            async with anyio.create_task_group() as calls:
                calls.start_soon(call, QueueMethod.SUBMIT)
                await anyio.sleep(0.05)
                log.apply(StoreConfiguration(2, configuration(2, other=SERVICE)))
                calls.start_soon(call, self.method)
                await anyio.sleep(0.05)
                self.assertEqual([], outcomes)
                consensus.decided.set()
            group.cancel_scope.cancel()
        self.assertEqual(self.expected, outcomes[-1])


class LargeJobsTest(testtools.TestCase):
    """Large jobs that come at once are committed in entries that fit in a message to a peer.

    26 jobs of 262,144 bytes made one entry of 6.8 MB, which ended the leader and each next one.
    Repeated submissions change nothing, so that no planning wakes the leader for the next entry.
    """

    different = 26
    scenarios = [
        ("the largest jobs", {"size": 262_144, "jobs": 26, "at_most": 26}),
        (
            "the largest jobs, repeated",
            {"size": 262_144, "jobs": 26, "different": 1, "at_most": 26},
        ),
        ("small jobs", {"size": 4_800, "jobs": 26, "at_most": 2}),
        ("larger than a batch", {"size": 2_000_000, "jobs": 3, "at_most": 3}),
    ]

    def test_entries(self) -> None:
        run_in_virtual_time(self._run)

    async def _run(self) -> None:
        log = Log()
        consensus: Any = SlowConsensus(log, commits=True)
        leadership = create_leadership(log.table, consensus)
        async with anyio.create_task_group() as group:
            group.start_soon(leadership.run)
            async with anyio.create_task_group() as calls:
                for number in range(self.jobs):
                    name = f"j-{number % self.different}"
                    job = accept(name, {"count": 1}, payload="x" * self.size)
                    calls.start_soon(leadership.record, job)
                await anyio.sleep(0.05)
                decided_at = anyio.current_time()
                consensus.decided.set()
            # No batch waits for the timer, as the syncs take no time here.
            self.assertTrue(anyio.current_time() - decided_at < TIMER_INTERVAL_S)
            group.cancel_scope.cancel()
        self.assertEqual(min(self.jobs, self.different), len(log.table.jobs))
        self.assertTrue(len(consensus.commands) <= self.at_most)
        for command in consensus.commands:
            self.assertTrue(len(encode(command)) < MAX_FRAME_BYTES)
