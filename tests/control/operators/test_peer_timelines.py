"""Guards against a timeline that omits a process without a notice, or repeats an event."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio
import testtools
from marigolddoor_control.operators import PeerTimelines
from marigolddoor_core.ids import ProcessId
from marigolddoor_core.operations import TimelinePosition
from marigolddoor_core.timeline import EventKind, HybridTime, Recorder, Subject, TimelineFilter
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError
from marigolddoor_wire.peers import Address
from marigolddoor_wire.timeline_fetch import answer_fetch

FIRST, SECOND = Address("127.0.0.1:1"), Address("127.0.0.1:2")
ALL = TimelineFilter()


def recorder(name: str, count: int) -> Recorder:
    """Return a recorder with `count` events."""
    created = Recorder(ProcessId(name))
    for i in range(count):
        created.record(EventKind.TARGET_JOINED, 100 + i, Subject())
    return created


def known(*addresses: Address) -> Callable[[], Awaitable[Sequence[Address]]]:
    """Return a function that returns the known addresses."""

    async def read() -> Sequence[Address]:
        return addresses

    return read


class FakePeers:
    """Fake peers by address; one that has an exception instead of a recorder raises it."""

    def __init__(self, peers: dict[Address, Recorder | Exception]) -> None:
        self.peers = peers
        self.calls = 0

    async def call(self, address: Address, message: Any, timeout_s: float) -> Any:
        """Return the reply of the process at `address`."""
        self.calls += 1
        peer = self.peers[address]
        if isinstance(peer, Exception):
            raise peer
        return answer_fetch(peer, message, 50)


def fetch(timelines: PeerTimelines, after: dict[str, int], limit: int = 99) -> Any:
    """Return the timeline after the given positions."""
    positions = tuple(TimelinePosition(ProcessId(name), at) for name, at in after.items())
    return anyio.run(timelines.fetch, ALL, positions, limit)


class FetchTest(testtools.TestCase):
    """Events after the positions are returned once; a process without an answer is listed."""

    scenarios = [
        ("all", {"after": {}, "second": recorder("e2", 2), "expected": "c/1 e1/1 e2/1 e2/2"}),
        (
            "from positions",
            {
                "after": {"c": 1, "e1": 1, "e2": 1},
                "second": recorder("e2", 2),
                "expected": "e2/2",
            },
        ),
        (
            "restarted under a new id",
            {"after": {"c": 1, "e1": 1, "e0": 9}, "second": recorder("e2", 1), "expected": "e2/1"},
        ),
        (
            "unreachable",
            {"after": {}, "second": PeerUnreachableError("no connection"), "expected": "c/1 e1/1"},
        ),
        ("timeout", {"after": {}, "second": PeerTimeoutError("late"), "expected": "c/1 e1/1"}),
    ]

    def test_fetch(self) -> None:
        peers = FakePeers({FIRST: recorder("e1", 1), SECOND: self.second})
        timelines = PeerTimelines(recorder("c", 1), peers, known(FIRST, SECOND), lambda: 50)
        for _ in range(2):
            timeline = fetch(timelines, self.after)
            self.assertEqual(self.expected, " ".join(sorted(event.id for event in timeline.events)))
            missing = [SECOND] if isinstance(self.second, Exception) else []
            self.assertEqual(missing, [process.name for process in timeline.missing])

    def test_one_call_per_known_process(self) -> None:
        peers = FakePeers({FIRST: recorder("e1", 3)})
        timelines = PeerTimelines(recorder("c", 1), peers, known(FIRST), lambda: 50)
        fetch(timelines, {})
        fetch(timelines, {"e1": 2})
        self.assertEqual(2, peers.calls)

    def test_local_clock_advances(self) -> None:
        behind, ahead = recorder("c", 1), recorder("e1", 1)
        ahead.observe(HybridTime(40_000), 40_000)
        timelines = PeerTimelines(behind, FakePeers({FIRST: ahead}), known(FIRST), lambda: 50)
        fetch(timelines, {})
        self.assertGreaterEqual(behind.last_time, ahead.last_time)
