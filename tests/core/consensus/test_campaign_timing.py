"""Guards against late, simultaneous or unsafe candidates after a lost leader or a restart."""

import random
from dataclasses import replace
from typing import Any

import testtools
from marigolddoor_control.group_timing import FLEET_TIMING
from marigolddoor_core.consensus import (
    RandomTimeouts,
    RecoveredState,
    Replica,
    Role,
    StaggeredTimeouts,
)
from marigolddoor_core.consensus.campaign_timing import Standing, Timeouts
from marigolddoor_core.consensus.messages import AppendEntries, RequestVote, VoteReply
from marigolddoor_core.ids import LogIndex, ReplicaId, Term
from marigolddoor_core.instants import Instant

from bench.faults.consensus import Options, Simulation
from tests.core.consensus.test_configuration import group
from tests.core.consensus.test_replica import finish_writes

A, B, C, D, E = (ReplicaId(name) for name in "abcde")
TIMEOUTS = Timeouts(0.5, 0.9)
ZERO = LogIndex(0)


def voter(replica: ReplicaId, now: float = 0.0, ended_at: float | None = None) -> Replica:
    """Return one of five voters with the timing of the fleet."""
    recovered = RecoveredState(Term(0), None, None, group("abcde"), ZERO, Term(0), ())
    known = None if ended_at is None else Instant(ended_at)
    rng = random.Random(1)
    return Replica(replica, recovered, rng, Instant(now), FLEET_TIMING, predecessor_ended_at=known)


def request(pre_vote: bool, last_index: int = 0) -> RequestVote:
    return RequestVote(Term(1), LogIndex(last_index), Term(0), pre_vote, False)


class WaitTest(testtools.TestCase):
    """Guards against a wait below the shortest timeout, which the lease is based on."""

    scenarios = [
        (
            f"{type(timing).__name__}, {position} of {candidates}, {failures} failures",
            {"timing": timing, "standing": Standing(position, candidates), "failures": failures},
        )
        for timing in (RandomTimeouts(), StaggeredTimeouts())
        for position, candidates in ((0, 1), (0, 2), (1, 2), (5, 6))
        for failures in (0, 1, 50)
    ]

    def test_bounds(self) -> None:
        rng = random.Random(1)
        for _ in range(100):
            wait_s = self.timing.contact_wait_s(TIMEOUTS, self.standing, rng)
            self.assertTrue(0.5 <= wait_s <= 0.9, wait_s)
            retry_s = self.timing.pre_vote_retry_s(TIMEOUTS, self.standing, self.failures, rng)
            self.assertTrue(0.05 <= retry_s <= 0.9, retry_s)
            self.assertTrue(self.timing.election_retry_s(TIMEOUTS, self.standing, rng) >= 0.5)


class FirstPreVoteTest(testtools.TestCase):
    """Guards against a restarted voter that waits for longer than a lease may be held, or less."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("end unknown", {"ended_at": None, "granted_from": 10.5, "first": 10.5175}),
        ("ended at the start", {"ended_at": 10.0, "granted_from": 10.5, "first": 10.5175}),
        ("imports took 0.3 s", {"ended_at": 9.7, "granted_from": 10.2, "first": 10.2175}),
        ("ended long ago", {"ended_at": 1.0, "granted_from": 10.0, "first": 1.5175}),
    ]

    def test_vote(self) -> None:
        for step in range(60):
            now = 10.0 + step / 100
            replica = voter(A, 10.0, self.ended_at)
            replica.receive(B, request(pre_vote=False), Instant(now))
            is_granted = any(
                isinstance(sent.message, VoteReply) and sent.message.granted
                for sent in finish_writes(replica, now).messages
            )
            self.assertEqual(now >= self.granted_from - 1e-9, is_granted, now)

    def test_pre_vote(self) -> None:
        self.assertAlmostEqual(self.first, voter(A, 10.0, self.ended_at).next_deadline(), places=6)


class PreVoteTest(testtools.TestCase):
    """Guards against votes that are split, or a candidate that can't win and delays the others.

    `b` (of a to e) heard of its leader `e` at 0 s, and its first pre-vote is due at 0.609 s.
    """

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("undisturbed", {"events": [], "due": 0.609}),
        ("bound by the lease", {"events": [("request", A, 0, 0.4)], "due": 0.609}),
        ("another may win", {"events": [("request", A, 0, 0.55)], "due": 0.9}),
        (
            "deferred only once",
            {"events": [("request", A, 0, 0.55), ("request", A, 0, 0.8)], "due": 0.9},
        ),
        (
            "a candidate lacks entries",
            {"events": [("request", A, 0, 0.55), ("request", C, -1, 0.6)], "due": 0.6 + 0.1094},
        ),
        (
            "a lower id crosses",
            {"events": [("tick", 0.61), ("request", A, 0, 0.611)], "due": 0.961},
        ),
        (
            "a higher id crosses",
            {"events": [("tick", 0.61), ("request", C, 0, 0.611)], "due": None},
        ),
        (
            "the votes are split",
            {
                "events": [("tick", 0.61), ("grant", 0.62), ("refuse", A, C, D, 0.63)],
                "due": 0.63 + 0.0875,
            },
        ),
    ]

    def test_due(self) -> None:
        replica = voter(B, -10.0)
        message = AppendEntries(Term(0), ZERO, Term(0), (), ZERO, 1)
        replica.receive(E, message, Instant(0.0))
        finish_writes(replica, 0.0)
        for kind, *arguments in self.events:
            now = Instant(arguments[-1])
            if kind == "tick":
                replica.tick(now)
            elif kind == "request":
                last_index = arguments[1]
                replica.receive(arguments[0], request(True, last_index), now)
            elif kind == "grant":
                for peer in (A, C):
                    replica.receive(peer, VoteReply(Term(1), True, True), now)
            else:
                for peer in arguments[:-1]:
                    replica.receive(peer, VoteReply(Term(1), False, False), now)
            finish_writes(replica, now)
        due = replica.next_deadline()
        if self.due is None:
            self.assertIs(Role.PRE_CANDIDATE, replica.role)
            self.assertTrue(0.61 + 0.07 <= due <= 0.61 + 0.14, due)
        else:
            self.assertAlmostEqual(self.due, due, delta=0.001)


class AdditionalElectionTest(testtools.TestCase):
    """Guards against an election while the leader works, though its machine or links are slow.

    Every `interval_s` the process is paused for `pause_s`, as by a disk that syncs in 180 ms, or a
    VM that is frozen for as long as heartbeats still arrive within the shortest timeout.
    """

    scenarios = [
        (f"{name}, {type(timing).__name__}", {**case, "campaign": timing})
        for timing in (RandomTimeouts(), StaggeredTimeouts())
        for name, case in (
            ("slow disk of the leader", {"is_leader": True, "pause_s": 0.18, "interval_s": 0.25}),
            ("slow disk of a follower", {"is_leader": False, "pause_s": 0.18, "interval_s": 0.25}),
            ("frozen leader", {"is_leader": True, "pause_s": 0.3, "interval_s": 0.7}),
            ("frozen follower", {"is_leader": False, "pause_s": 1.2, "interval_s": 1.5}),
            ("far", {"is_leader": True, "pause_s": 0.0, "interval_s": 1.0, "latency_s": 0.02}),
            (
                "far, frozen",
                {"is_leader": True, "pause_s": 0.3, "interval_s": 0.7, "latency_s": 0.02},
            ),
        )
    ]
    latency_s = 0.001

    def test_term(self) -> None:
        timing = replace(FLEET_TIMING, campaign=self.campaign)
        for seed in range(10):
            options = Options(
                voters=5,
                spares=0,
                timing=timing,
                latency_s=self.latency_s,
                fault_interval_s=1e9,
                fault_kinds=("heal",),
            )
            simulation = Simulation(seed, options)
            terms: set[int] = set()
            simulation.schedule_at(2.0, self.pause, simulation, terms)
            simulation.run()
            self.assertEqual(1, len(terms), f"seed {seed}")

    def pause(self, simulation: Simulation, terms: set[int]) -> None:
        """Pause a process, and record the terms of all."""
        nodes = list(simulation.nodes.values())
        terms.update(node.replica.term for node in nodes)
        chosen = [node for node in nodes if (node.replica.role is Role.LEADER) == self.is_leader]
        for node in chosen[:1]:
            node.paused_until = simulation.now + self.pause_s
        if simulation.now < 5.0:
            simulation.schedule_after(self.interval_s, self.pause, simulation, terms)
