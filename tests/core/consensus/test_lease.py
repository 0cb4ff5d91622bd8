"""Guards against a lease that is still valid when its peers may elect another leader."""

import testtools
from marigolddoor_core.consensus.lease import Lease
from marigolddoor_core.ids import ReplicaId
from marigolddoor_core.instants import Instant

from tests.core.consensus.test_configuration import group


class LeaseTest(testtools.TestCase):
    """Guards against a lease that counts from the answer, not from the beginning of its round.

    Rounds begin at 0.0, 0.1, 0.2 and 0.3 s; `answers` are (peer, round).
    """

    scenarios = [
        ("no answer", {"voters": "abc", "answers": [], "ends": None}),
        ("single voter", {"voters": "a", "answers": [], "ends": 99.0}),
        ("one of two peers", {"voters": "abc", "answers": [("b", 2)], "ends": 0.55}),
        ("late answer", {"voters": "abc", "answers": [("b", 3), ("b", 1)], "ends": 0.65}),
        ("the newer of two", {"voters": "abc", "answers": [("b", 1), ("c", 4)], "ends": 0.75}),
        ("the older of two", {"voters": "abcd", "answers": [("b", 1), ("c", 4)], "ends": 0.45}),
        ("unknown round", {"voters": "abc", "answers": [("b", 9)], "ends": None}),
        ("a learner", {"voters": "abc", "answers": [("x", 4)], "ends": None}),
    ]

    def test_end(self) -> None:
        lease = Lease(ReplicaId("a"), 0.45)
        for number in range(4):
            lease.begin_round(Instant(number / 10))
        for peer, number in self.answers:
            lease.record_answer(ReplicaId(peer), number)
        configuration = group(self.voters)
        valid = [
            step / 100
            for step in range(30, 120)
            if lease.is_valid(configuration, Instant(step / 100))
        ]
        if self.ends is None:
            self.assertEqual([], valid)
        elif self.ends == 99.0:
            self.assertEqual(90, len(valid))
        else:
            self.assertAlmostEqual(self.ends, valid[-1] + 0.01, places=5)
