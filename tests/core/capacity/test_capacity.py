"""Guards against wrong pool sizes and loans, moves for bursts and shortages that last."""

import testtools
from marigolddoor_core.capacity import Capacity, ImmediateMoves, OwnPeakSizing, SharedBufferSizing
from marigolddoor_core.capacity.demand import DemandEstimate, Peak
from marigolddoor_core.capacity.loans import Loan, ServiceNeed, lend
from marigolddoor_core.capacity.moves import DelayedMoves, Move, PoolState
from marigolddoor_core.capacity.sizing import PoolDemand
from marigolddoor_core.declaration.organisation import Weights
from marigolddoor_core.fleet import Demand
from marigolddoor_core.ids import PoolId, ServiceId, VmId
from marigolddoor_core.maintenance import BudgetLedger
from marigolddoor_core.placement import Placement
from marigolddoor_core.state.commands import BeginMove, FinishMove
from marigolddoor_core.state.objects import TaskState
from marigolddoor_standins.virtual import JobBehaviour, VirtualFleet, VirtualState
from marigolddoor_standins.virtual.samples import (
    SIZE,
    add_workers,
    job,
    organisation,
    pool,
    submit,
)

WEB, SPARE = PoolId("web"), PoolId("spare")


def demand(slots: float, arrived: int = -1, admitted: int = -1, queued: int = 0) -> Demand:
    """Return demand whose requests hold a slot for 1 s; by default all are admitted."""
    arrived = round(slots) if arrived < 0 else arrived
    admitted = arrived if admitted < 0 else admitted
    return Demand(1.0, arrived, admitted, max(0, arrived - admitted), 0, queued, slots)


class TestOffered(testtools.TestCase):
    """Guards against demand that omits refused requests or counts queued ones repeatedly."""

    scenarios = [
        ("idle", {"demand": demand(0.0), "offered": 0.0, "latest": 0.0}),
        ("served", {"demand": demand(10.0), "offered": 10.0, "latest": 10.0}),
        ("queued", {"demand": demand(10.0, queued=5), "offered": 10.0, "latest": 15.0}),
        ("refused", {"demand": demand(10.0, 30, 10), "offered": 30.0, "latest": 30.0}),
        ("all refused", {"demand": demand(0.0, 40, 0), "offered": 40.0, "latest": 40.0}),
        ("catching up", {"demand": demand(30.0, 10, 30), "offered": 10.0, "latest": 30.0}),
    ]

    def test_offered_and_latest(self) -> None:
        estimate = DemandEstimate()
        estimate.add(demand(1.0), 99.0)
        estimate.add(self.demand, 100.0)
        self.assertEqual(self.offered, estimate.offered)
        self.assertEqual(self.latest, estimate.latest)


class TestEstimate(testtools.TestCase):
    """Guards against a mean that follows one burst, and a peak that expires early or never."""

    scenarios = [
        ("steady", {"demand": lambda t: 8.0, "low": 7.9, "high": 8.1, "peak": 8.0}),
        (
            "rotating",
            {
                "demand": lambda t: 40.0 if t % 50 < 10 else 0.4,
                "low": 6.0,
                "high": 11.0,
                "peak": 40.0,
            },
        ),
        (
            "old burst",
            {"demand": lambda t: 40.0 if t < 10 else 1.0, "low": 0.9, "high": 1.3, "peak": 1.0},
        ),
    ]

    def test_mean_and_peak(self) -> None:
        estimate = DemandEstimate()
        for second in range(1_200):
            estimate.add(
                demand(self.demand(second), round(10 * self.demand(second))), 100.0 + second
            )
        self.assertTrue(self.low <= estimate.mean() <= self.high, estimate.mean())
        self.assertEqual(self.peak, estimate.peak.value())

    def test_repeated_sample_is_ignored(self) -> None:
        once, twice = DemandEstimate(), DemandEstimate()
        for second in range(100):
            once.add(demand(self.demand(second)), float(second))
            twice.add(demand(self.demand(second)), float(second))
            twice.add(demand(self.demand(second)), float(second))
        self.assertEqual(once.mean(), twice.mean())

    def test_peak_starts_at_zero(self) -> None:
        self.assertEqual(0.0, Peak().value())


class TestSizing(testtools.TestCase):
    """Guards against pools below their floor and buffers that cannot replace a rack."""

    scenarios = [
        ("own peak", {"sizing": OwnPeakSizing(), "web": 8 + 4, "spare": 4 + 4}),
        ("shared", {"sizing": SharedBufferSizing(), "web": 2, "spare": 3 + 6 + 4}),
    ]

    def test_sizes(self) -> None:
        pools = [
            PoolDemand(WEB, 14.4, 57.6, 8, 2, 4),
            PoolDemand(SPARE, 7.2, 28.8, 8, 3, 4, is_spare=True),
        ]
        sizes = self.sizing.sizes(pools, 43.2)
        self.assertEqual({WEB: self.web, SPARE: self.spare}, sizes)


class TestLoans(testtools.TestCase):
    """Guards against loans that exceed the spare pool or prefer less urgent services."""

    scenarios = [
        ("enough", {"lendable": 20.0, "loans": (Loan(ServiceId("a"), 8), Loan(ServiceId("b"), 4))}),
        ("scarce", {"lendable": 9.9, "loans": (Loan(ServiceId("a"), 8), Loan(ServiceId("b"), 1))}),
        ("none lendable", {"lendable": 0.0, "loans": ()}),
    ]

    def test_lend(self) -> None:
        needs = [
            ServiceNeed(ServiceId("c"), 2, 3.0, 10.0),
            ServiceNeed(ServiceId("b"), 1, 13.5, 10.0),
            ServiceNeed(ServiceId("a"), 0, 18.0, 10.0),
        ]
        self.assertEqual(self.loans, lend(needs, self.lendable))


def state(
    name: str, members: int, mean_vms: int, latest_vms: int = 0, spare: bool = False
) -> PoolState:
    return PoolState(PoolId(name), members, 6, 3, spare, latest_vms, mean_vms)


class TestMoves(testtools.TestCase):
    """Guards against moves that are too early or too late, or cause a shortage at the donor."""

    scenarios = [
        ("not yet", {"weights": Weights(), "after_s": 59.0, "web": 8, "moves": []}),
        (
            "sustained",
            {"weights": Weights(), "after_s": 60.0, "web": 8, "moves": [Move(SPARE, WEB)]},
        ),
        ("no shortage", {"weights": Weights(), "after_s": 600.0, "web": 6, "moves": []}),
        (
            "moves weigh more",
            {"weights": Weights(moves=4.0), "after_s": 239.0, "web": 8, "moves": []},
        ),
        (
            "buffer weighs more",
            {
                "weights": Weights(buffer=4.0),
                "after_s": 15.0,
                "web": 8,
                "moves": [Move(SPARE, WEB)],
            },
        ),
        (
            "buffer weighs nothing",
            {"weights": Weights(buffer=0.0), "after_s": 239.0, "web": 8, "moves": []},
        ),
        (
            "spare at its floor",
            {"weights": Weights(), "after_s": 600.0, "web": 8, "spare": 3, "moves": []},
        ),
    ]
    spare = 6

    def test_move_on_sustained_shortage(self) -> None:
        policy = DelayedMoves(self.weights)
        pools = [state("web", 6, self.web), state("spare", self.spare, 1, spare=True)]
        self.assertEqual([], policy.moves(pools, 100.0))
        self.assertEqual(self.moves, policy.moves(pools, 100.0 + self.after_s))

    def test_surplus_returns_later(self) -> None:
        policy = DelayedMoves(self.weights)
        pools = [state("web", 8, 5), state("spare", 4, 1, spare=True)]
        self.assertEqual([], policy.moves(pools, 100.0))
        self.assertEqual([], policy.moves(pools, 100.0 + policy.return_after_s - 1.0))
        self.assertEqual([Move(WEB, SPARE)], policy.moves(pools, 100.0 + policy.return_after_s))

    def test_baseline_moves_at_once(self) -> None:
        pools = [state("web", 6, 1, 8), state("spare", 6, 1, 1, spare=True)]
        self.assertEqual([Move(SPARE, WEB)] * 2, ImmediateMoves().moves(pools, 100.0))


class TestCapacity(testtools.TestCase):
    """Guards against moves that lose tasks, break a budget or floor, or never return."""

    scenarios = [
        ("short burst", {"slots": 80.0, "duration_s": 12, "moved": 0, "lent": 0}),
        ("sustained shortage", {"slots": 60.0, "duration_s": 900, "moved": 3, "lent": 1}),
        ("down to the floor", {"slots": 400.0, "duration_s": 1_500, "moved": 4, "lent": 1}),
    ]

    def test_moves_and_returns(self) -> None:
        declaration = organisation(
            [pool("web"), pool("spare", floor=2, spare=True)], [job("j", "spare")]
        )
        fleet = VirtualFleet(
            VirtualState(declaration), lambda: [Placement(), Capacity(BudgetLedger())]
        )
        for name in ("web", "spare"):
            add_workers(fleet, name, 6)
        tasks = submit(fleet, "j", 8, JobBehaviour(1e9, SIZE))
        fleet.demand[ServiceId("spare")] = demand(2.0)
        fleet.demand[ServiceId("web")] = demand(10.0)
        fleet.run(400)
        fleet.demand[ServiceId("web")] = demand(self.slots)
        fleet.run(self.duration_s)
        web_vms = sum(vm.pool == WEB for vm in fleet.state.vms.values())
        self.assertEqual(6 + self.moved, web_vms)
        self.assertEqual(self.moved, fleet.applied[BeginMove])
        self.assertEqual(self.moved, fleet.applied[FinishMove])
        states = {fleet.state.tasks[task].state for task in tasks}
        self.assertEqual({TaskState.LEASED}, states)
        fleet.demand[ServiceId("web")] = demand(10.0)
        fleet.run(2_500)
        self.assertEqual(6, sum(vm.pool == WEB for vm in fleet.state.vms.values()))

    def test_dead_vm_moves_after_its_lease(self) -> None:
        declaration = organisation([pool("web"), pool("spare", floor=2, spare=True)])
        fleet = VirtualFleet(VirtualState(declaration), lambda: [Capacity(BudgetLedger())])
        add_workers(fleet, "web", 6)
        add_workers(fleet, "spare", 6)
        fleet.run(5)
        vm = VmId("spare-0")
        fleet.workers[vm].unresponsive = True
        fleet.state.apply(BeginMove(vm, fleet.state.vms[vm].epoch, WEB), fleet.now_s)
        fleet.run(48)
        self.assertEqual(SPARE, fleet.state.vms[vm].pool)
        fleet.run(10)
        self.assertEqual(WEB, fleet.state.vms[vm].pool)
