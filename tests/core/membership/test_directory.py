"""Guards against a directory that follows late, repeated or missing deltas."""

from typing import Any

import testtools
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import Epoch, PoolId, ProcessId, VmId
from marigolddoor_core.membership import (
    Assignments,
    DeltaOutcome,
    HolderDelta,
    HolderDigest,
    TargetDirectory,
)
from marigolddoor_core.state.commands import MaintenanceStep
from marigolddoor_core.targets import TargetState

from tests.core.membership import fixtures as f
from tests.core.membership.fixtures import at

STATE = TargetState


def told(
    sequence: int,
    *targets: ObservedTarget,
    process: str = "p1",
    full: bool = False,
    gone: tuple[str, ...] = (),
) -> HolderDelta:
    vms = tuple(VmId(vm) for vm in gone)
    return HolderDelta(ProcessId(process), sequence, full, targets, vms)


def target(
    vm: str = "vm-1",
    incarnation: str = "a",
    state: TargetState = STATE.READY,
    age_s: float = 0.0,
    **parts: Any,
) -> ObservedTarget:
    return ObservedTarget(f.announcement(vm, incarnation, **parts), state, age_s)


class DeltasTest(testtools.TestCase):
    """Deltas in any order give the state that the latest one of each incarnation says."""

    scenarios = [
        (name, {"deltas": deltas, "expected": expected, "outcome": outcome})
        for name, deltas, expected, outcome in [
            ("join", [told(1, target())], "ready", DeltaOutcome.APPLIED),
            (
                "leave",
                [told(1, target()), told(2, target(state=STATE.LEAVING))],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            ("gone", [told(1, target()), told(2, gone=("vm-1",))], None, DeltaOutcome.APPLIED),
            (
                "repeated sequence",
                [told(1, target()), told(2, gone=("vm-1",)), told(1, target())],
                None,
                DeltaOutcome.OLD,
            ),
            (
                "late sequence",
                [told(1, target()), told(3, target(state=STATE.SUSPECTED)), told(2, target())],
                "suspected",
                DeltaOutcome.OLD,
            ),
            (
                "gap",
                [told(1, target()), told(3, target(state=STATE.SUSPECTED))],
                "suspected",
                DeltaOutcome.WANT_FULL,
            ),
            (
                "gap that goes on",
                [told(1, target()), told(3), told(4, target(state=STATE.SUSPECTED))],
                "suspected",
                DeltaOutcome.WANT_FULL,
            ),
            (
                "gap that a full delta fills",
                [told(1, target()), told(3), told(3, target(state=STATE.DEAD), full=True)],
                "dead",
                DeltaOutcome.APPLIED,
            ),
            (
                "late full delta",
                [told(1, target()), told(2, gone=("vm-1",)), told(1, target(), full=True)],
                None,
                DeltaOutcome.OLD,
            ),
            (
                "full delta without the target",
                [told(1, target()), told(2, full=True)],
                None,
                DeltaOutcome.APPLIED,
            ),
            ("first delta is not the first", [told(5, target())], "ready", DeltaOutcome.WANT_FULL),
            (
                "another holder has it since",
                [
                    told(1, target(state=STATE.SUSPECTED, age_s=5.0)),
                    told(1, target(age_s=1.0), process="p2"),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "the old holder suspects it later",
                [
                    told(1, target(age_s=9.0)),
                    told(1, target(age_s=1.0), process="p2"),
                    told(2, target(state=STATE.SUSPECTED, age_s=9.0)),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "the old holder gives it up",
                [
                    told(1, target(age_s=9.0)),
                    told(1, target(age_s=1.0), process="p2"),
                    told(2, gone=("vm-1",)),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late delta of another holder after a leave",
                [told(1, target(state=STATE.LEAVING)), told(1, target(), process="p2")],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late delta after a leave that is over",
                [
                    told(1, target(state=STATE.LEAVING)),
                    told(2, gone=("vm-1",)),
                    told(1, target(), process="p2"),
                ],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            (
                "a restart after a leave",
                [told(1, target(state=STATE.LEAVING)), told(2, target("vm-1", "b"))],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late delta of an older incarnation",
                [
                    told(1, target("vm-1", "a")),
                    told(2, target("vm-1", "b", STATE.LEAVING)),
                    told(1, target("vm-1", "a"), process="p2"),
                ],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late leave of an older incarnation",
                [
                    told(1, target("vm-1", "a")),
                    told(2, target("vm-1", "b")),
                    told(1, target("vm-1", "a", STATE.LEAVING), process="p2"),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "an older incarnation after the newer one has gone",
                [
                    told(1, target("vm-1", "a")),
                    told(2, target("vm-1", "b")),
                    told(3, gone=("vm-1",)),
                    told(1, target("vm-1", "a"), process="p2"),
                ],
                None,
                DeltaOutcome.APPLIED,
            ),
            (
                "incarnations whose order was mistaken",
                [
                    told(1, target("vm-1", "b"), process="p2"),
                    told(1, target("vm-1", "a", STATE.SUSPECTED)),
                    told(2, gone=("vm-1",)),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
        ]
    ]

    def test_state(self) -> None:
        assignments = Assignments()
        assignments.replace([f.record()])
        directory = TargetDirectory(assignments)
        outcomes = [directory.apply(delta, at(10.0)) for delta in self.deltas]
        view = directory.find(VmId("vm-1"))
        self.assertEqual(self.expected, None if view is None else view.state.value)
        self.assertEqual(self.outcome, outcomes[-1])
        self.assertEqual([] if view is None else [view], list(directory.targets()))
        self.assertEqual(list(directory.targets()), list(directory.targets_of(PoolId("web"))))


class AssignmentTest(testtools.TestCase):
    """A target takes work only in the epoch of its assignment, and not while it drains."""

    scenarios = [
        (name, {"record": record, "expected": expected})
        for name, record, expected in [
            ("none", [], None),
            ("same epoch", [f.record()], ("web", "ready")),
            ("next epoch", [f.record(epoch=2)], ("web", "draining")),
            ("other pool", [f.record(pool="rest")], ("rest", "ready")),
            ("moving", [f.record(next_pool=PoolId("rest"))], ("web", "draining")),
            ("maintenance", [f.record(maintenance=MaintenanceStep.VERIFYING)], ("web", "draining")),
            ("maintained", [f.record(maintenance=MaintenanceStep.DONE)], ("web", "ready")),
        ]
    ]

    def test_assign(self) -> None:
        directory = TargetDirectory(Assignments())
        directory.apply(told(1, target()), at(0.0))
        self.assertEqual((), directory.targets())
        directory.assign([f.record()])
        directory.changed_pools.clear()
        directory.assign(self.record)
        views = [(view.pool, view.state.value) for view in directory.targets()]
        self.assertEqual([] if self.expected is None else [self.expected], views)
        # A caller that updates only the changed pools misses nothing.
        changed = {"web"} | {view.pool for view in directory.targets()}
        expected = set() if self.expected == ("web", "ready") else changed
        self.assertEqual(expected, directory.changed_pools)

    def test_before_the_first_epoch(self) -> None:
        """A target refuses requests until it has taken over its first assignment."""
        directory = TargetDirectory(Assignments())
        directory.assign([f.record()])
        directory.apply(told(1, target(epoch=Epoch(0))), at(0.0))
        self.assertEqual("draining", directory.find(VmId("vm-1")).state.value)
        directory.apply(told(2, target()), at(1.0))
        self.assertEqual("ready", directory.find(VmId("vm-1")).state.value)


class DigestTest(testtools.TestCase):
    """A digest finds what the sequence numbers do not show."""

    def test_agrees(self) -> None:
        holder = f.holder()
        directory = TargetDirectory(holder.assignments)
        for number in range(3):
            holder.announce(f.announcement(f"vm-{number}"), at(0.0))
        self.assertTrue(directory.check(f.holder().digest()))
        directory.apply(holder.take_delta(at(0.0)), at(0.0))
        self.assertTrue(directory.check(holder.digest()))
        holder.leave(VmId("vm-1"), at(0.1))
        holder.drop(VmId("vm-2"))
        missed = holder.take_delta(at(0.1))
        self.assertFalse(directory.check(holder.digest()))
        directory.apply(missed, at(0.1))
        self.assertTrue(directory.check(holder.digest()))

    def test_disagrees(self) -> None:
        directory = TargetDirectory(Assignments())
        directory.apply(told(2, target(), full=True), at(0.0))
        good = HolderDigest(ProcessId("p1"), 2, 1, directory._holders[ProcessId("p1")].checksum)
        self.assertTrue(directory.check(good))
        for sequence, targets, checksum in [(3, 1, 0), (2, 2, 0), (2, 1, 0)]:
            digest = HolderDigest(ProcessId("p1"), sequence, targets, good.checksum ^ checksum)
            expected = (sequence, targets) == (2, 1)
            self.assertEqual(expected, directory.check(digest))
        self.assertFalse(directory.check(HolderDigest(ProcessId("p1"), 2, 1, good.checksum ^ 1)))
        self.assertTrue(directory.check(HolderDigest(ProcessId("p1"), 1, 0, 0)))
        self.assertFalse(directory.check(HolderDigest(ProcessId("p9"), 1, 1, 0)))


class LostHolderTest(testtools.TestCase):
    """The targets of a lost entry process stay until they had time to find another one."""

    scenarios = [
        ("before the grace is over", {"now_s": 59.0, "deltas": [], "expected": 1}),
        ("after the grace", {"now_s": 60.0, "deltas": [], "expected": 0}),
        (
            "held by another",
            {"now_s": 60.0, "deltas": [told(1, target(), process="p2")], "expected": 1},
        ),
        ("the holder was not lost", {"now_s": 60.0, "deltas": [told(2, target())], "expected": 1}),
    ]

    def test_lost(self) -> None:
        directory = TargetDirectory(Assignments())
        directory.assign([f.record()])
        directory.apply(told(1, target()), at(0.0))
        directory.mark_holder_lost(ProcessId("p1"), at(0.0))
        directory.mark_holder_lost(ProcessId("p9"), at(0.0))
        for delta in self.deltas:
            directory.apply(delta, at(1.0))
        directory.expire(at(self.now_s))
        self.assertEqual(self.expected, len(directory.targets()))
