"""Guards against target states that are published late, wrongly or not at all."""

import testtools
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import Epoch, FencingToken, PoolId, ProcessId, ServiceId, TaskId, VmId
from marigolddoor_core.membership import HolderDelta
from marigolddoor_core.placement.leases import LeaseRenewal
from marigolddoor_core.state.commands import MaintenanceStep
from marigolddoor_core.targets import Resources, TargetState, TaskPhase, TaskReport

from tests.core.membership import fixtures as f
from tests.core.membership.fixtures import at

VM = VmId("vm-1")


class ReplyTest(testtools.TestCase):
    """The reply contains the committed assignment and the drain flag."""

    scenarios = [
        (name, {"records": records, "expected": expected})
        for name, records, expected in [
            ("unknown", [], (None, None, 0, False)),
            ("assigned", [f.record()], ("web", "orders", 1, False)),
            ("moving", [f.record(next_pool=PoolId("rest"))], ("web", "orders", 1, True)),
            (
                "maintenance",
                [f.record(maintenance=MaintenanceStep.DRAINING)],
                ("web", "orders", 1, True),
            ),
            (
                "maintained",
                [f.record(maintenance=MaintenanceStep.DONE)],
                ("web", "orders", 1, False),
            ),
            ("pool without a service", [f.record(pool="rest", epoch=3)], ("rest", None, 3, False)),
        ]
    ]

    def test_reply(self) -> None:
        holder = f.holder("p1", *self.records)
        holder.assignments.services = {PoolId("web"): ServiceId("orders")}
        reply = holder.announce(f.announcement(), at(0.0))
        self.assertEqual(self.expected, (reply.pool, reply.service, reply.epoch, reply.drain))
        self.assertEqual(1.0, reply.interval_s)


class DeltaTest(testtools.TestCase):
    """Peers are notified of significant changes, and of nothing else."""

    scenarios = [
        (name, {"events": events, "expected": expected})
        for name, events, expected in [
            ("repeated", lambda h: h.announce(f.announcement(), at(1.0)), {}),
            ("join", lambda h: h.announce(f.announcement("vm-2"), at(1.0)), {"vm-2": "ready"}),
            ("leave", lambda h: h.leave(VM, at(0.1)), {"vm-1": "leaving"}),
            (
                "leave by announcement",
                lambda h: h.announce(f.announcement(leaving=True), at(0.5)),
                {"vm-1": "leaving"},
            ),
            (
                "an announcement that arrives after the leave",
                lambda h: (h.leave(VM, at(0.1)), h.announce(f.announcement(), at(0.2))),
                {"vm-1": "leaving"},
            ),
            (
                "a restart after a leave",
                lambda h: (h.leave(VM, at(0.1)), h.announce(f.announcement("vm-1", "b"), at(0.2))),
                {"vm-1": "ready"},
            ),
            ("unresponsive for 2.9 intervals", lambda h: h.suspect(at(2.9)), {}),
            ("unresponsive for 3 intervals", lambda h: h.suspect(at(3.0)), {"vm-1": "suspected"}),
            (
                "unresponsive after a leave",
                lambda h: (h.leave(VM, at(0.1)), h.suspect(at(3.0))),
                {"vm-1": "gone"},
            ),
            (
                "back after suspicion",
                lambda h: (h.suspect(at(3.0)), h.announce(f.announcement(), at(3.5))),
                {"vm-1": "ready"},
            ),
            ("2 failed dispatches", lambda h: [h.dispatch_failed(VM) for _ in range(2)], {}),
            (
                "3 failed dispatches",
                lambda h: [h.dispatch_failed(VM) for _ in range(3)],
                {"vm-1": "suspected"},
            ),
            (
                "failed dispatches with one that succeeded",
                lambda h: [
                    (h.dispatch_failed(VM), h.dispatch_failed(VM), h.dispatch_succeeded(VM))
                    for _ in range(3)
                ],
                {},
            ),
            ("not suspected, not dead", lambda h: h.confirm_dead(VM), {}),
            ("dead", lambda h: (h.suspect(at(3.0)), h.confirm_dead(VM)), {"vm-1": "dead"}),
            (
                "dead and retired",
                lambda h: (h.suspect(at(3.0)), h.confirm_dead(VM), h.assign([])),
                {"vm-1": "gone"},
            ),
            ("retired while it is alive", lambda h: h.assign([]), {}),
            (
                "new epoch",
                lambda h: h.announce(f.announcement(epoch=Epoch(2)), at(1.0)),
                {"vm-1": "ready"},
            ),
            ("few slots", lambda h: h.announce(f.announcement(busy_slots=3), at(1.0)), {}),
            (
                "half of the slots",
                lambda h: h.announce(f.announcement(busy_slots=4), at(1.0)),
                {"vm-1": "ready"},
            ),
            (
                "announced to a peer later",
                lambda h: h.drop_superseded(delta_of("p2", 0.1), at(1.0)),
                {"vm-1": "gone"},
            ),
            (
                "announced to a peer earlier",
                lambda h: h.drop_superseded(delta_of("p2", 2.0), at(1.0)),
                {},
            ),
            ("own delta", lambda h: h.drop_superseded(delta_of("p1", 0.1), at(1.0)), {}),
        ]
    ]

    def test_delta(self) -> None:
        holder = f.holder("p1", f.record())
        holder.announce(f.announcement(), at(0.0))
        first = holder.take_delta(at(0.0))
        self.events(holder)
        second = holder.take_delta(at(4.0))
        self.assertEqual(self.expected, f.states(second))
        self.assertEqual(1, first.sequence)
        self.assertIsNone(holder.take_delta(at(4.0)))
        if second is not None:
            self.assertEqual(2, second.sequence)

    def test_digest_is_that_of_the_deltas(self) -> None:
        holder = f.holder("p1", f.record())
        holder.announce(f.announcement(), at(0.0))
        holder.take_delta(at(0.0))
        before = holder.digest()
        self.events(holder)
        # The digest contains only published changes.
        self.assertEqual(before, holder.digest())
        self.assertEqual(len(holder.full_delta(at(4.0)).targets), holder.digest().targets)


def delta_of(process: str, age_s: float) -> HolderDelta:
    target = ObservedTarget(f.announcement(), TargetState.READY, age_s)
    return HolderDelta(ProcessId(process), 1, False, (target,))


class ReportTest(testtools.TestCase):
    """The leader receives each announcement with its tasks; peers receive no tasks."""

    def test_report(self) -> None:
        holder = f.holder()
        task = TaskReport(TaskId("t"), FencingToken(1), TaskPhase.RUNNING, Resources(1.0, 100), 5.0)
        holder.announce(f.announcement(tasks=(task,)), at(0.0))
        holder.announce(f.announcement("vm-2"), at(0.5))
        report = holder.take_report(at(1.0), full=False)
        self.assertEqual([1.0, 0.5], [target.age_s for target in report.targets])
        self.assertEqual((task,), report.targets[0].announcement.tasks)
        self.assertEqual((), holder.take_delta(at(1.0)).targets[0].announcement.tasks)
        self.assertIsNone(holder.take_report(at(1.0), full=False))
        holder.announce(f.announcement(), at(1.5))
        holder.drop(VmId("vm-2"))
        report = holder.take_report(at(2.0), full=False)
        self.assertEqual({"vm-1": "ready", "vm-2": "gone"}, f.states(report))
        self.assertEqual(2, report.sequence)
        full = holder.take_report(at(2.0), full=True)
        self.assertEqual((True, 3, {"vm-1": "ready"}), (full.full, full.sequence, f.states(full)))


class RenewalTest(testtools.TestCase):
    """A lease renewal is forwarded once, less the time since the report, and never after expiry.

    The worker counts from the moment it sent its announcement, so its lease expires no later than
    on the leader.
    """

    scenarios = [
        (f"after {now_s} s", {"now_s": now_s, "expected": expected})
        for now_s, expected in [
            (1.0, [45.0]),
            (11.0, [35.0]),
            (45.9, [0.1]),
            (46.0, []),
            (90.0, []),
        ]
    ]

    def test_renewal(self) -> None:
        holder = f.holder()
        holder.announce(f.announcement(), at(0.0))
        renewal = LeaseRenewal(VM, TaskId("t"), FencingToken(3), 45.0)
        holder.renew(
            [renewal, LeaseRenewal(VmId("vm-9"), TaskId("u"), FencingToken(1), 45.0)], at(1.0)
        )
        orders = holder.announce(f.announcement(), at(self.now_s)).orders
        self.assertEqual(self.expected, [round(order.lease_s, 6) for order in orders])
        self.assertEqual([3] * len(orders), [order.token for order in orders])
        self.assertEqual((), holder.announce(f.announcement(), at(self.now_s)).orders)
