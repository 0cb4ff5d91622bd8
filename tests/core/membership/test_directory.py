"""Guards against wrong target states after late, repeated or lost deltas."""

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


def holder_delta(
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
    """In any order of deltas, the state is that of the latest report of the last incarnation."""

    scenarios = [
        (name, {"deltas": deltas, "expected": expected, "outcome": outcome})
        for name, deltas, expected, outcome in [
            ("join", [holder_delta(1, target())], "ready", DeltaOutcome.APPLIED),
            (
                "leave",
                [holder_delta(1, target()), holder_delta(2, target(state=STATE.LEAVING))],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            (
                "gone",
                [holder_delta(1, target()), holder_delta(2, gone=("vm-1",))],
                None,
                DeltaOutcome.APPLIED,
            ),
            (
                "repeated sequence",
                [
                    holder_delta(1, target()),
                    holder_delta(2, gone=("vm-1",)),
                    holder_delta(1, target()),
                ],
                None,
                DeltaOutcome.OLD,
            ),
            (
                "late sequence",
                [
                    holder_delta(1, target()),
                    holder_delta(3, target(state=STATE.SUSPECTED)),
                    holder_delta(2, target()),
                ],
                "suspected",
                DeltaOutcome.OLD,
            ),
            (
                "gap",
                [holder_delta(1, target()), holder_delta(3, target(state=STATE.SUSPECTED))],
                "suspected",
                DeltaOutcome.WANT_FULL,
            ),
            (
                "gap that is not filled",
                [
                    holder_delta(1, target()),
                    holder_delta(3),
                    holder_delta(4, target(state=STATE.SUSPECTED)),
                ],
                "suspected",
                DeltaOutcome.WANT_FULL,
            ),
            (
                "gap that a full delta fills",
                [
                    holder_delta(1, target()),
                    holder_delta(3),
                    holder_delta(3, target(state=STATE.DEAD), full=True),
                ],
                "dead",
                DeltaOutcome.APPLIED,
            ),
            (
                "late full delta",
                [
                    holder_delta(1, target()),
                    holder_delta(2, gone=("vm-1",)),
                    holder_delta(1, target(), full=True),
                ],
                None,
                DeltaOutcome.OLD,
            ),
            (
                "full delta without the target",
                [holder_delta(1, target()), holder_delta(2, full=True)],
                None,
                DeltaOutcome.APPLIED,
            ),
            (
                "first delta is not the first",
                [holder_delta(5, target())],
                "ready",
                DeltaOutcome.WANT_FULL,
            ),
            (
                "announced to another holder since",
                [
                    holder_delta(1, target(state=STATE.SUSPECTED, age_s=5.0)),
                    holder_delta(1, target(age_s=1.0), process="p2"),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "suspected by the old holder later",
                [
                    holder_delta(1, target(age_s=9.0)),
                    holder_delta(1, target(age_s=1.0), process="p2"),
                    holder_delta(2, target(state=STATE.SUSPECTED, age_s=9.0)),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "dropped by the old holder",
                [
                    holder_delta(1, target(age_s=9.0)),
                    holder_delta(1, target(age_s=1.0), process="p2"),
                    holder_delta(2, gone=("vm-1",)),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late delta of another holder after a leave",
                [
                    holder_delta(1, target(state=STATE.LEAVING)),
                    holder_delta(1, target(), process="p2"),
                ],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late delta after a completed leave",
                [
                    holder_delta(1, target(state=STATE.LEAVING)),
                    holder_delta(2, gone=("vm-1",)),
                    holder_delta(1, target(), process="p2"),
                ],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            (
                "a restart after a leave",
                [
                    holder_delta(1, target(state=STATE.LEAVING)),
                    holder_delta(2, target("vm-1", "b")),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late delta of an older incarnation",
                [
                    holder_delta(1, target("vm-1", "a")),
                    holder_delta(2, target("vm-1", "b", STATE.LEAVING)),
                    holder_delta(1, target("vm-1", "a"), process="p2"),
                ],
                "leaving",
                DeltaOutcome.APPLIED,
            ),
            (
                "a late leave of an older incarnation",
                [
                    holder_delta(1, target("vm-1", "a")),
                    holder_delta(2, target("vm-1", "b")),
                    holder_delta(1, target("vm-1", "a", STATE.LEAVING), process="p2"),
                ],
                "ready",
                DeltaOutcome.APPLIED,
            ),
            (
                "an older incarnation after the newer one has gone",
                [
                    holder_delta(1, target("vm-1", "a")),
                    holder_delta(2, target("vm-1", "b")),
                    holder_delta(3, gone=("vm-1",)),
                    holder_delta(1, target("vm-1", "a"), process="p2"),
                ],
                None,
                DeltaOutcome.APPLIED,
            ),
            (
                "incarnations whose order was inferred wrongly",
                [
                    holder_delta(1, target("vm-1", "b"), process="p2"),
                    holder_delta(1, target("vm-1", "a", STATE.SUSPECTED)),
                    holder_delta(2, gone=("vm-1",)),
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
    """A target is ready only in the epoch of its assignment, and not while it drains."""

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
        directory.apply(holder_delta(1, target()), at(0.0))
        self.assertEqual((), directory.targets())
        directory.assign([f.record()])
        directory.changed_pools.clear()
        directory.assign(self.record)
        views = [(view.pool, view.state.value) for view in directory.targets()]
        self.assertEqual([] if self.expected is None else [self.expected], views)
        # A caller that updates only `changed_pools` misses no change.
        changed = {"web"} | {view.pool for view in directory.targets()}
        expected = set() if self.expected == ("web", "ready") else changed
        self.assertEqual(expected, directory.changed_pools)

    def test_before_the_first_epoch(self) -> None:
        """A target gets no requests until it has applied its first assignment."""
        directory = TargetDirectory(Assignments())
        directory.assign([f.record()])
        directory.apply(holder_delta(1, target(epoch=Epoch(0))), at(0.0))
        self.assertEqual("draining", directory.find(VmId("vm-1")).state.value)
        directory.apply(holder_delta(2, target()), at(1.0))
        self.assertEqual("ready", directory.find(VmId("vm-1")).state.value)


class DigestTest(testtools.TestCase):
    """A digest reveals differences that sequence numbers do not show."""

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
        directory.apply(holder_delta(2, target(), full=True), at(0.0))
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
    """The targets of a lost holder are kept until they had time to move to another one."""

    scenarios = [
        ("before the grace period has passed", {"now_s": 59.0, "deltas": [], "expected": 1}),
        ("after the grace period", {"now_s": 60.0, "deltas": [], "expected": 0}),
        (
            "held by another",
            {"now_s": 60.0, "deltas": [holder_delta(1, target(), process="p2")], "expected": 1},
        ),
        (
            "the holder was not lost",
            {"now_s": 60.0, "deltas": [holder_delta(2, target())], "expected": 1},
        ),
    ]

    def test_lost(self) -> None:
        directory = TargetDirectory(Assignments())
        directory.assign([f.record()])
        directory.apply(holder_delta(1, target()), at(0.0))
        directory.mark_holder_lost(ProcessId("p1"), at(0.0))
        directory.mark_holder_lost(ProcessId("p9"), at(0.0))
        for delta in self.deltas:
            directory.apply(delta, at(1.0))
        directory.expire(at(self.now_s))
        self.assertEqual(self.expected, len(directory.targets()))
