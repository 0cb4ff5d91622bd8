"""Guards against a group that looks healthy although it survives no further failure."""

from typing import Any

import testtools
from marigolddoor_core.ids import ReplicaId
from marigolddoor_core.instants import Instant

from tests.core.consensus.test_configuration import group
from tests.core.consensus.test_replica import B, C, D, answer, new_leader


class HealthTest(testtools.TestCase):
    """The leader `a` reports the members whose last answer is older than `quorum_lost_s`."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("all answer", {"answering": [B, C, D], "unresponsive": [], "tolerated": 1}),
        ("learner lost", {"answering": [B, C], "unresponsive": [D], "tolerated": 1}),
        ("voter lost", {"answering": [B, D], "unresponsive": [C], "tolerated": 0}),
        ("quorum lost", {"answering": [D], "unresponsive": [B, C], "tolerated": -1}),
        (
            "learner lacks entries",
            {"answering": [B, C, D], "behind": [D], "unresponsive": [], "tolerated": 1},
        ),
    ]
    behind: list[ReplicaId] = []

    def test_health(self) -> None:
        replica = new_leader(group("abc", "d"))
        now = 3.2
        replica.leader_state.begin_round(Instant(now))
        answer(replica, [peer for peer in self.answering if peer not in self.behind], now)
        for peer in self.behind:
            replica.leader_state.lease.record_answer(peer, replica.leader_state.lease.round)
        health = replica.health(Instant(now))
        self.assertEqual(tuple(self.unresponsive), health.unresponsive)
        self.assertEqual(tuple(self.behind), health.behind)
        self.assertEqual(self.tolerated, health.tolerated_failures)

    def test_follower(self) -> None:
        replica = new_leader(group("abc", "d"))
        replica.leader_state = None
        self.assertIsNone(replica.health(Instant(2.0)))
