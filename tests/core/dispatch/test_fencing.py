"""Guards against calls that a later incarnation of an executor carries out (review/14)."""

import itertools

import testtools
from marigolddoor_core.dispatch import executor_token, leadership_token
from marigolddoor_core.ids import FencingToken

from tests.core.dispatch.fakes import Fleet, heartbeat

ORDERED = [
    executor_token(FencingToken(leadership), predecessors)
    for leadership in (1, 2, 3)
    for predecessors in (0, 1, 2, 5000)
]


class TokenTest(testtools.TestCase):
    scenarios = [
        ("first leadership", {"leadership": 1, "predecessors": 0}),
        ("later incarnation", {"leadership": 7, "predecessors": 12}),
        ("more incarnations than tokens", {"leadership": 7, "predecessors": 1 << 40}),
        ("high term", {"leadership": (1 << 33) - 1, "predecessors": 1 << 20}),
    ]

    def test_leadership(self) -> None:
        token = executor_token(FencingToken(self.leadership), self.predecessors)
        self.assertEqual(self.leadership, leadership_token(token))
        self.assertEqual(token, int(float(token)))

    def test_order(self) -> None:
        self.assertTrue(all(earlier < later for earlier, later in itertools.pairwise(ORDERED)))


class IncarnationTest(testtools.TestCase):
    """The tokens of calls to an executor, relative to those to its first incarnation."""

    scenarios = [
        ("the same one", {"beats": [heartbeat(1, 100, 2)], "later": 0}),
        ("the next one", {"beats": [heartbeat(1, 200)], "later": 1}),
        ("the one after it", {"beats": [heartbeat(1, 200), heartbeat(1, 300)], "later": 2}),
        (
            "another executor at its address",
            {"beats": [heartbeat(2, 200, address="10.0.0.1:80")], "later": 0},
        ),
    ]

    def test_token(self) -> None:
        fleet = Fleet()
        leadership = FencingToken(3)
        first = fleet.executor(1, born_ms=100).fencing_token(leadership)
        for beat in self.beats:
            fleet.dispatch.receive_heartbeat(beat, fleet.now)
        current = fleet.dispatch.current[self.beats[-1].executor]
        self.assertEqual(first + self.later, current.fencing_token(leadership))
        # A call that asks whether another incarnation exists does not fence off the current one.
        candidate = fleet.dispatch.candidate(
            heartbeat(int(current.heartbeat.executor[2:]), 900), fleet.now
        )
        self.assertEqual(current.fencing_token(leadership), candidate.fencing_token(leadership))
