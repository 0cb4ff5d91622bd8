"""Guards against a leadership that outlives its term."""

from types import SimpleNamespace
from typing import Any

import anyio
import testtools
from marigolddoor_control.fleet.fleet_leadership import FleetLeadership
from marigolddoor_core.dispatch import LeaseTiming
from marigolddoor_core.ids import FencingToken
from marigolddoor_core.jobs import JobTable
from marigolddoor_core.metrics import Counters
from marigolddoor_platform.documents import JsonDocuments

TERM = 3


class FakeConsensus:
    """A replica whose role and term the test sets."""

    def __init__(self) -> None:
        self.is_leader = True
        self.replica = SimpleNamespace(term=TERM, is_leader=True)

    def consensus_time(self) -> float:
        return 0.0


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
        ports: Any = None
        leadership = FleetLeadership(
            JobTable(JsonDocuments()),
            consensus,
            ports,
            LeaseTiming(6.0),
            3.0,
            FencingToken(TERM),
            anyio.current_time,
            Counters(),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(leadership.run)
            await anyio.sleep(0.05)
            consensus.replica = SimpleNamespace(term=self.term, is_leader=self.is_leader)
            consensus.is_leader = self.has_lease
            await anyio.sleep(1.0)
            self.assertEqual(self.ends, leadership.has_ended)
            group.cancel_scope.cancel()
