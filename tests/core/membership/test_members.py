"""Guards against entry processes that do not converge, and costs that grow with the targets."""

import random
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import testtools
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.membership import HolderDelta, Members
from marigolddoor_core.targets import TargetState

from tests.core.membership import fixtures as f
from tests.core.membership.fixtures import at

VMS = [f"vm-{number}" for number in range(8)]
P1, P2 = ProcessId("p1"), ProcessId("p2")


class DataCentre:
    """Entry processes whose messages are randomly lost, delayed, duplicated and reordered."""

    def __init__(self, seed: int, processes: int = 3) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        names = [ProcessId(f"p{number}") for number in range(processes)]
        self.members = {name: Members(name) for name in names}
        self.in_flight: list[tuple[ProcessId, HolderDelta]] = []
        self.incarnations = dict.fromkeys(VMS, 0)
        self.left: set[tuple[str, str]] = set()
        # Process, VM and incarnation of each leave that a process received.
        self.leaves_received: set[tuple[str, str, str]] = set()
        self.repair = True
        # The highest sequence number that each process received from each holder.
        self.highest: dict[tuple[str, str], int] = {}
        self.stale_effect: str | None = None
        for member in self.members.values():
            member.assign([f.record(vm) for vm in VMS])
            member.failure_detector.set_processes(names)

    def run(self, steps: int) -> str | None:
        """Return the first fault, or None."""
        for number in range(steps):
            self.now_s += self.rng.choice((0.0, 0.1, 0.5, 1.0))
            self.apply_random_event()
            self.send()
            self.deliver()
            fault = self.stale_effect or self.left_target_in_service()
            if fault is not None:
                return f"step {number}: {fault}"
        self.settle()
        return self.disagreement()

    def apply_random_event(self) -> None:
        vm = self.rng.choice(VMS)
        process = self.rng.choice(list(self.members))
        members = self.members[process]
        now = at(self.now_s)
        kind = self.rng.random()
        incarnation = f"{vm}.{self.incarnations[vm]}"
        if kind < 0.6:
            leaving = (vm, incarnation) in self.left
            if leaving:
                self.leaves_received.add((process, vm, incarnation))
            members.announce(f.announcement(vm, incarnation, leaving=leaving), now)
        elif kind < 0.7:
            if members.leave(VmId(vm), now):
                held = members.holder.held[VmId(vm)].announcement
                self.left.add((vm, held.incarnation))
                self.leaves_received.add((process, vm, held.incarnation))
        elif kind < 0.8:
            self.incarnations[vm] += 1
        else:
            members.suspect(now)

    def send(self) -> None:
        for process, members in self.members.items():
            for delta in members.outbox:
                for peer in self.members:
                    if peer != process and self.rng.random() < 0.8:
                        self.in_flight.append((peer, delta))
                        if self.rng.random() < 0.1:
                            self.in_flight.append((peer, delta))
            members.outbox.clear()

    def deliver(self) -> None:
        self.rng.shuffle(self.in_flight)
        for _ in range(self.rng.randrange(4)):
            if self.in_flight:
                peer, delta = self.in_flight.pop()
                self.receive(peer, delta)

    def receive(self, peer: ProcessId, delta: HolderDelta) -> None:
        key = (peer, delta.process)
        is_late = delta.sequence <= self.highest.get(key, 0)
        if not is_late:
            self.highest[key] = delta.sequence
            for target in delta.targets:
                if target.state is TargetState.LEAVING:
                    facts = target.announcement
                    self.leaves_received.add((peer, facts.vm, facts.incarnation))
        before = self.members[peer].targets()
        wants_full = self.members[peer].receive(delta, at(self.now_s))
        if is_late and before != self.members[peer].targets():
            self.stale_effect = f"{peer} applied delta {delta.sequence} of {delta.process} late"
        if wants_full and self.repair and self.rng.random() < 0.5:
            self.receive_full(peer, delta.process)

    def receive_full(self, peer: ProcessId, process: ProcessId) -> None:
        full = self.members[process].holder.full_delta(at(self.now_s))
        self.highest[peer, process] = full.sequence
        self.members[peer].receive(full, at(self.now_s))

    def settle(self) -> None:
        """Deliver the messages in flight, then repair the rest by digests."""
        while self.in_flight:
            self.receive(*self.in_flight.pop())
        for _ in range(4):
            for process, members in self.members.items():
                digest = members.publish(at(self.now_s))
                deltas, members.outbox = members.outbox, []
                for peer, other in self.members.items():
                    if peer == process:
                        continue
                    for delta in deltas:
                        other.receive(delta, at(self.now_s))
                    if other.check(digest) and self.repair:
                        self.receive_full(peer, process)

    def left_target_in_service(self) -> str | None:
        """Return a target that a process uses after it received the leave."""
        for process, members in self.members.items():
            for view in members.targets():
                left = (process, view.vm, view.incarnation) in self.leaves_received
                if left and view.state is TargetState.READY:
                    return f"{process} uses {view.vm}, which left"
        return None

    def disagreement(self) -> str | None:
        """Return a holder whose targets differ from what a peer knows."""
        for process, members in self.members.items():
            truth = {vm: held.state for vm, held in members.holder.held.items()}
            for peer, other in self.members.items():
                known = other.directory._holders.get(process)
                reports = {} if known is None else known.reports
                if truth != {vm: report.target.state for vm, report in reports.items()}:
                    return f"{peer} knows {len(reports)} targets of {process}, not {len(truth)}"
        return None


class ConvergenceTest(testtools.TestCase):
    """After losses, duplicates and reordering, digests make all processes converge."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(20)]

    def test_convergence(self) -> None:
        self.assertIsNone(DataCentre(self.seed).run(300))


class UnguardedTest(testtools.TestCase):
    """At least one run detects that a guard is removed."""

    def unguarded(self, seed: int) -> DataCentre:
        data_centre = DataCentre(seed)
        self.guard(data_centre)
        return data_centre

    def test_reported(self) -> None:
        self.assertTrue(any(self.unguarded(seed).run(300) for seed in range(20)))


def skip_repair(data_centre: DataCentre) -> None:
    data_centre.repair = False


def trust_digests(data_centre: DataCentre) -> None:
    for members in data_centre.members.values():
        members.check = lambda digest: False


def ignore_sequences(data_centre: DataCentre) -> None:
    for members in data_centre.members.values():
        directory = members.directory
        apply = directory.apply

        def apply_any_sequence(
            delta: Any, now: Any, directory: Any = directory, apply: Any = apply
        ) -> Any:
            if delta.process in directory._holders and not delta.full:
                directory._holders[delta.process].sequence = delta.sequence - 1
            return apply(delta, now)

        directory.apply = apply_any_sequence


def forget_leaves(data_centre: DataCentre) -> None:
    for members in data_centre.members.values():
        holder = members.holder
        announce = holder.announce

        def announce_without_leave(
            announcement: Any, now: Any, holder: Any = holder, announce: Any = announce
        ) -> Any:
            held = holder.held.get(announcement.vm)
            if held is not None:
                held.state = TargetState.READY
            for history in data_centre_histories(data_centre):
                history.left.clear()
            return announce(f.announcement(announcement.vm, announcement.incarnation), now)

        holder.announce = announce_without_leave


def data_centre_histories(data_centre: DataCentre) -> list[Any]:
    return [
        history
        for members in data_centre.members.values()
        for history in members.directory._histories.values()
    ]


UnguardedTest.scenarios = [
    (guard.__name__, {"guard": guard})
    for guard in (skip_repair, trust_digests, ignore_sequences, forget_leaves)
]


class LeaveTest(testtools.TestCase):
    """A leave is in the outbox at once, and a peer that receives it stops using the target."""

    def test_leave(self) -> None:
        one, two = Members(P1), Members(P2)
        for members in (one, two):
            members.assign([f.record()])
        one.announce(f.announcement(), at(0.0))
        one.leave(VmId("vm-1"), at(0.1))
        for delta in one.outbox:
            two.receive(delta, at(0.2))
        for members in (one, two):
            self.assertEqual([TargetState.LEAVING], [view.state for view in members.targets()])


class DeathTest(testtools.TestCase):
    """A target is dead after a peer failed to reach it too, and ready when it returns."""

    def test_death(self) -> None:
        members = Members(P1)
        members.failure_detector.set_processes([P1, P2])
        members.assign([f.record("vm-1"), f.record("vm-2")])
        for now_s in (0.0, 1.0, 2.0, 3.0):
            members.announce(f.announcement("vm-2"), at(now_s))
            if now_s == 0.0:
                members.announce(f.announcement("vm-1"), at(now_s))
        self.assertTrue(members.suspect(at(3.2)))
        self.assertEqual((VmId("vm-1"),), members.failure_detector.targets_to_probe())
        self.assertFalse(members.suspect(at(5.0)))
        self.assertTrue(members.record_unreachable(VmId("vm-1"), P2, at(5.0)))
        states = {view.vm: view.state for view in members.targets()}
        self.assertEqual(TargetState.DEAD, states[VmId("vm-1")])
        members.announce(f.announcement("vm-1"), at(6.0))
        self.assertEqual({"vm-1": "ready"}, f.states(members.outbox[-1]))

    def test_one_process(self) -> None:
        members = Members(P1)
        members.failure_detector.set_processes([P1])
        members.assign([f.record("vm-1"), f.record("vm-2")])
        members.announce(f.announcement("vm-1"), at(0.0))
        for _ in range(3):
            members.announce(f.announcement("vm-2"), at(0.0))
            members.dispatch_failed(VmId("vm-1"), at(0.1))
        # Failed dispatches make it suspected early, but not dead before twice the timeout.
        for now_s, expected in [(0.2, "suspected"), (5.9, "suspected"), (6.0, "dead")]:
            members.announce(f.announcement("vm-2"), at(now_s))
            members.suspect(at(now_s))
            states = {view.vm: view.state.value for view in members.targets()}
            self.assertEqual(expected, states[VmId("vm-1")])


class RemovedTargetTest(testtools.TestCase):
    """A removed target does not conceal that all others are unresponsive."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        (
            "gone",
            {"remove_target": lambda m: m.receive(peer_change(gone=(VmId("vm-x"),)), at(1.0))},
        ),
        (
            "not in a full delta",
            {"remove_target": lambda m: m.receive(peer_change(full=True), at(1.0))},
        ),
        (
            "lost holder",
            {
                "remove_target": lambda m: (
                    m.directory.mark_holder_lost(P2, at(0.0)),
                    m.directory.expire(at(60.0)),
                )
            },
        ),
    ]
    remove_target: Callable[[Members], object]

    def test_unreachable(self) -> None:
        members = Members(P1)
        members.failure_detector.set_processes([P1])
        members.receive(peer_delta(), at(0.0))
        for vm in ("vm-1", "vm-2"):
            members.announce(f.announcement(vm), at(0.0))
        members.suspect(at(5.0))
        self.assertFalse(members.failure_detector.is_data_centre_unreachable())
        self.remove_target(members)
        members.suspect(at(5.0))
        self.assertTrue(members.failure_detector.is_data_centre_unreachable())

    def test_dead_at_its_holder(self) -> None:
        members = Members(P1)
        for sequence, state in enumerate((TargetState.SUSPECTED, TargetState.DEAD), start=1):
            target = ObservedTarget(f.announcement("vm-x"), state, 9.0)
            members.receive(HolderDelta(P2, sequence, False, (target,)), at(0.0))
            expected = (VmId("vm-x"),) if state is TargetState.SUSPECTED else ()
            self.assertEqual(expected, members.failure_detector.targets_to_probe())


class CostTest(testtools.TestCase):
    """Each event takes the same number of steps with 50 times as many targets."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("join", {"event": lambda m: m.announce(f.announcement("new"), at(1.0))}),
        ("leave", {"event": lambda m: m.leave(VmId("vm-0"), at(1.0))}),
        ("announcement", {"event": lambda m: m.announce(f.announcement("vm-0"), at(1.0))}),
        ("gone", {"event": lambda m: (m.holder.drop(VmId("vm-0")), m.publish(at(1.0)))}),
        ("peer's delta", {"event": lambda m: m.receive(peer_delta(), at(1.0))}),
        ("digest", {"event": lambda m: m.publish(at(1.0))}),
        ("suspicion check", {"event": lambda m: m.suspect(at(1.0))}),
    ]
    event: Callable[[Members], object]

    def steps(self, targets: int) -> int:
        members = Members(P1)
        members.assign([f.record(f"vm-{number}") for number in range(targets)])
        for number in range(targets):
            members.announce(f.announcement(f"vm-{number}"), at(0.0))
        members.outbox.clear()
        count = 0

        def trace(frame: FrameType, event: str, argument: Any) -> Any:
            nonlocal count
            count += 1
            return trace

        sys.settrace(trace)
        try:
            self.event(members)
        finally:
            sys.settrace(None)
        return count

    def test_cost(self) -> None:
        self.assertEqual(self.steps(20), self.steps(1_000))


def peer_delta() -> HolderDelta:
    holder = f.holder("p2")
    holder.announce(f.announcement("vm-x"), at(0.0))
    delta = holder.take_delta(at(0.0))
    assert delta is not None
    return delta


def peer_change(full: bool = False, gone: tuple[VmId, ...] = ()) -> HolderDelta:
    return HolderDelta(P2, 2, full, (), gone)
