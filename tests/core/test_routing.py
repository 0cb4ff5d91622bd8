"""Guards against requests to failing, slow, draining or unreachable targets."""

import random
from collections import Counter
from dataclasses import replace

import testtools
from marigolddoor_core.ids import Epoch, PoolId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.retries import AttemptEnd
from marigolddoor_core.routing import (
    Dispatch,
    EjectionState,
    LeastLoaded,
    RoutingPolicy,
    TargetHealth,
    TargetView,
    TwoChoices,
)
from marigolddoor_core.routing.ejection import FAILURES_TO_EJECT, FIRST_BACKOFF_S, MAX_BACKOFF_S
from marigolddoor_core.targets import TargetState

POOL = PoolId("p")
NOW = Instant(10.0)


def view(name: str, slots: int = 8, busy: int = 0, **more: object) -> TargetView:
    base = TargetView(VmId(name), POOL, name, slots, busy, Epoch(3), TargetState.READY)
    return replace(base, **more)  # type: ignore[arg-type]


def three() -> list[TargetView]:
    return [view("a"), view("b"), view("c")]


def choose(routing: RoutingPolicy, now: float = NOW) -> Dispatch:
    dispatch = routing.choose(POOL, Instant(now), random.Random(4))
    assert dispatch is not None
    return dispatch


def fail(routing: TwoChoices, name: str, times: int, now: float = NOW) -> None:
    dispatch = Dispatch(VmId(name), POOL, name, Epoch(3))
    for _ in range(times):
        routing.finish(dispatch, AttemptEnd.LOST, True, 0.1, Instant(now))


class UnusableTargetTest(testtools.TestCase):
    """Guards against new requests to a target that leaves, drains or is unresponsive."""

    scenarios = [
        (state.value, {"state": state}) for state in TargetState if state is not TargetState.READY
    ]

    def test_state(self) -> None:
        routing = TwoChoices()
        routing.update(POOL, [view("a", state=self.state), view("b")], 1)
        rng = random.Random(1)
        chosen = {routing.choose(POOL, NOW, rng).vm for _ in range(50)}  # type: ignore[union-attr]
        self.assertEqual({"b"}, chosen)
        routing.update(POOL, [view("a", state=self.state)], 1)
        self.assertEqual(None, routing.choose(POOL, NOW, rng))


class RefusedEpochTest(testtools.TestCase):
    """Guards against using a target that refused the epoch before its epoch or state changes."""

    scenarios = [
        ("unchanged", {"change": {"busy_slots": 1}, "expected": False}),
        ("new epoch", {"change": {"epoch": Epoch(4)}, "expected": True}),
        ("restarted", {"change": {"incarnation": "two"}, "expected": True}),
    ]

    def test_refused(self) -> None:
        routing = TwoChoices()
        routing.update(POOL, [view("a")], 1)
        dispatch = choose(routing)
        self.assertEqual(3, dispatch.epoch)
        routing.finish(dispatch, AttemptEnd.NOT_STARTED, False, 0.01, NOW)
        routing.refused(dispatch)
        routing.update(POOL, [view("a", **self.change)], 1)
        again = routing.choose(POOL, NOW, random.Random(1))
        self.assertEqual(self.expected, again is not None)


class FreeSlotsTest(testtools.TestCase):
    """Guards against a choice that ignores the busy slots of own or other entry processes."""

    scenarios = [
        ("idle", {"busy": (0, 0), "max_share": 0.65}),
        ("others busy", {"busy": (7, 0), "max_share": 0.3}),
    ]

    def test_share(self) -> None:
        routing = TwoChoices()
        routing.update(POOL, [view("a", busy=self.busy[0]), view("b", busy=self.busy[1])], 1)
        rng = random.Random(2)
        counts = Counter(routing.choose(POOL, NOW, rng).vm for _ in range(9))  # type: ignore[union-attr]
        self.assertTrue(counts[VmId("a")] / 9 <= self.max_share, counts)


class FastFailureTest(testtools.TestCase):
    """Guards against a target that fails fast, always has free slots and attracts requests."""

    scenarios = [
        ("two choices", {"policy": TwoChoices, "max_share": 0.1}),
        # The baseline policy shows that the test can fail.
        ("baseline", {"policy": LeastLoaded, "max_share": None}),
    ]

    def test_share(self) -> None:
        routing = self.policy()
        routing.update(POOL, three(), 1)
        rng = random.Random(3)
        running: list[Dispatch] = []
        to_failing = 0
        for step in range(400):
            now = Instant(NOW + step * 0.01)
            dispatch = routing.choose(POOL, now, rng)
            assert dispatch is not None
            if dispatch.vm == "a":
                to_failing += 1
                routing.finish(dispatch, AttemptEnd.ANSWERED, True, 0.001, now)
            else:
                running.append(dispatch)
            if len(running) > 8:
                routing.finish(running.pop(0), AttemptEnd.ANSWERED, False, 0.1, now)
        if self.max_share is None:
            self.assertTrue(to_failing / 400 > 0.9, to_failing)
        else:
            self.assertTrue(to_failing / 400 <= self.max_share, to_failing)


class EjectionBudgetTest(testtools.TestCase):
    """Guards against ejections that exceed the pool's budget when many targets fail."""

    scenarios = [
        ("none allowed", {"max_unavailable": 0, "draining": 0, "expected": 3}),
        ("one allowed", {"max_unavailable": 1, "draining": 0, "expected": 2}),
        ("one allowed, one drains", {"max_unavailable": 1, "draining": 1, "expected": 2}),
    ]

    def test_budget(self) -> None:
        routing = TwoChoices()
        views = three()
        routing.update(POOL, views, self.max_unavailable)
        for name in ("a", "b", "c"):
            fail(routing, name, FAILURES_TO_EJECT)
        for index in range(self.draining):
            # A drain after the ejection uses up the budget, so an ejected target is readmitted.
            views[2 - index] = replace(views[2 - index], state=TargetState.DRAINING)
        routing.update(POOL, views, self.max_unavailable)
        self.assertEqual(self.expected, len(routing.pools[POOL].usable))


class SlowTargetTest(testtools.TestCase):
    """Guards against a much slower target that isn't ejected although the budget allows it."""

    scenarios = [
        ("slow", {"slow_s": 0.5, "max_unavailable": 1, "expected": EjectionState.EJECTED}),
        (
            "slow, no budget",
            {"slow_s": 0.5, "max_unavailable": 0, "expected": EjectionState.IN_ROTATION},
        ),
        (
            "slightly slower",
            {"slow_s": 0.1, "max_unavailable": 1, "expected": EjectionState.IN_ROTATION},
        ),
    ]

    def test_slow(self) -> None:
        routing = TwoChoices()
        routing.update(POOL, three(), self.max_unavailable)
        self.answer(routing, 0.05, self.slow_s)
        health = routing.pools[POOL].targets[VmId("a")].health
        self.assertEqual(self.expected, health.state)
        if self.expected is EjectionState.EJECTED:
            due = health.probe_at
            probe = choose(routing, due)
            routing.finish(probe, AttemptEnd.ANSWERED, False, self.slow_s, due)
            self.assertEqual(EjectionState.EJECTED, health.state)
            due = health.probe_at
            probe = choose(routing, due)
            routing.finish(probe, AttemptEnd.ANSWERED, False, 0.05, due)
            self.assertEqual(EjectionState.IN_ROTATION, health.state)

    def test_all_slow(self) -> None:
        """If all targets become slow, none is ejected, since none is slower than the others."""
        routing = TwoChoices()
        routing.update(POOL, three(), self.max_unavailable)
        self.answer(routing, 0.05, 0.05)
        self.answer(routing, self.slow_s, self.slow_s)
        self.assertEqual(3, len(routing.pools[POOL].usable))

    def answer(self, routing: TwoChoices, others_s: float, first_s: float) -> None:
        for _ in range(40):
            for name, latency_s in (("b", others_s), ("c", others_s), ("a", first_s)):
                dispatch = Dispatch(VmId(name), POOL, name, Epoch(3))
                routing.finish(dispatch, AttemptEnd.ANSWERED, False, latency_s, NOW)


class ProbeTest(testtools.TestCase):
    """Guards against more than one probe at a time and against a backoff that does not grow."""

    scenarios = [
        ("success", {"failed": False, "state": EjectionState.IN_ROTATION}),
        ("failure", {"failed": True, "state": EjectionState.EJECTED}),
    ]

    def test_probe(self) -> None:
        routing = TwoChoices()
        routing.update(POOL, three(), 1)
        fail(routing, "a", FAILURES_TO_EJECT)
        rng = random.Random(5)
        early = {routing.choose(POOL, NOW, rng).vm for _ in range(30)}  # type: ignore[union-attr]
        self.assertFalse("a" in early)
        due = NOW + FIRST_BACKOFF_S
        probe = choose(routing, due)
        self.assertEqual(("a", True), (probe.vm, probe.probe))
        self.assertFalse(choose(routing, due).vm == "a")
        routing.finish(probe, AttemptEnd.ANSWERED, self.failed, 0.1, Instant(due))
        health = routing.pools[POOL].targets[VmId("a")].health
        self.assertEqual(self.state, health.state)
        if self.failed:
            self.assertFalse(health.is_probe_due(Instant(due + FIRST_BACKOFF_S)))
            self.assertTrue(health.is_probe_due(Instant(due + 2 * FIRST_BACKOFF_S)))


class BackoffTest(testtools.TestCase):
    """Guards against a backoff without a limit, which would never readmit a recovered target."""

    def test_bound(self) -> None:
        health = TargetHealth()
        health.eject(NOW)
        for _ in range(50):
            health.state = EjectionState.PROBING
            health.record_failure(NOW)
        self.assertTrue(health.is_probe_due(Instant(NOW + MAX_BACKOFF_S)))
