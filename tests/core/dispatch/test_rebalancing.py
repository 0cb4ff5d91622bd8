"""Guards against moves of busy machines, moves back and forth, and moves against the demand."""

from dataclasses import replace

import testtools
from marigolddoor_core.dispatch import MachineState, MachineView, Move, MoveOrder
from marigolddoor_core.ids import JobId, MachineId, QueueName, ServiceId, WaveId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    BeginUpkeep,
    CancelJob,
    OpenWave,
    OrderMove,
    StoreConfiguration,
)

from tests.core.dispatch.fakes import Fleet, running
from tests.core.jobs.fakes import Log, accept

SPARE = ServiceId("spare")
OTHER = ServiceId("other")


# Two services and a standby one.
CONFIGURATION = (
    b'{"version":1,"queues":{"views":"desk","others":"other"},'
    b'"services":["desk","other","spare"],"standby":["spare"]}'
)


def fleet_with(desk: int, other: int = 0, standby: int = 0) -> Fleet:
    log = Log()
    log.apply(StoreConfiguration(1, CONFIGURATION))
    fleet = Fleet(log)
    for number in range(1, desk + 1):
        fleet.executor(number)
    for number in range(51, 51 + other):
        fleet.executor(number, service=OTHER)
    assert log.table.configuration is not None
    fleet.dispatch.rebalancer.apply_machine_list(
        [
            MachineView(MachineId(f"s-{number}"), SPARE, MachineState.UP, 4000)
            for number in range(standby)
        ],
        log.table.configuration,
    )
    return fleet


def moves(fleet: Fleet) -> list[Move]:
    return [order.move for order in fleet.take_orders() if isinstance(order, MoveOrder)]


class AcquireTest(testtools.TestCase):
    """Machines move to a service with waiting work, and no more of them than it needs."""

    scenarios = [
        ("no work", {"tasks": 0, "standby": 3, "acquired": 0}),
        ("work that fits", {"tasks": 2, "standby": 3, "acquired": 0}),
        ("twice the capacity", {"tasks": 9, "standby": 3, "acquired": 2}),
        ("a flood", {"tasks": 90, "standby": 3, "acquired": 3}),
        ("a flood without standby", {"tasks": 90, "standby": 0, "acquired": 0}),
    ]

    def test_acquire(self) -> None:
        fleet = fleet_with(1, standby=self.standby)
        if self.tasks:
            fleet.step(accept("j", {"count": self.tasks, "estimated_s": 1.0}))
        fleet.at(0.3).step()
        acquired = moves(fleet)
        self.assertEqual(self.acquired, len(acquired))
        self.assertTrue(all(move.target == "desk" for move in acquired))
        self.assertEqual([], moves(fleet.at(0.6)) if fleet.at(0.6).step() else [])


class LeaderChangeTest(testtools.TestCase):
    """A new leader must not order a machine while the previous leader's order may be in flight.

    It may order all other machines at once: on scale-2 of bw-ring the leader is lost just before a
    flood, and the queue at its peak waited 3 s for machines.
    """

    scenarios = [
        ("ordered by the previous leader", {"previous": ("s-0",), "at_s": 2.9, "expected": False}),
        ("ordered, after the wait", {"previous": ("s-0",), "at_s": 3.1, "expected": True}),
        ("others were ordered", {"previous": ("m-7",), "at_s": 0.3, "expected": True}),
        ("no machine was ordered", {"previous": (), "at_s": 0.3, "expected": True}),
    ]

    def test_leader_change(self) -> None:
        previous = fleet_with(1, standby=1)
        previous.log.apply(*(OrderMove(MachineId(machine)) for machine in self.previous))
        fleet = Fleet(previous.log)
        fleet.dispatch.machine_orders_from = fleet.at(3.0).now
        fleet.dispatch.rebalancer.standby = previous.dispatch.rebalancer.standby
        fleet.at(0.0).step(accept("j", {"count": 90, "estimated_s": 1.0}))
        changes = fleet.at(self.at_s).step()
        self.assertEqual(self.expected, OrderMove(MachineId("s-0")) in changes)
        self.assertEqual(self.expected, bool(moves(fleet)))

    def test_maintenance(self) -> None:
        """Maintenance that the previous leader committed is repeated only after the wait."""
        log = Log()
        log.apply(
            OpenWave(WaveId(1), (MachineId("m-1"), MachineId("m-2")), 20.0, 1),
            BeginUpkeep(WaveId(1), MachineId("m-1")),
        )
        dispatch = Fleet(log).dispatch
        dispatch.machine_orders_from = Instant(dispatch.now + 3.0)
        self.assertEqual(3.0, dispatch.machine_wait_s(MachineId("m-1")))
        self.assertEqual(0.0, dispatch.machine_wait_s(MachineId("m-2")))


class ReleaseTest(testtools.TestCase):
    """A machine must leave only once it runs nothing and has been surplus for a while."""

    def test_release(self) -> None:
        fleet = fleet_with(4)
        for tenth in range(0, 40, 2):
            for executor in fleet.dispatch.executors.values():
                fleet.at(tenth / 10).hold(executor)
            fleet.step()
        leaving = moves(fleet)
        self.assertTrue(leaving)
        self.assertTrue(all(move.target == SPARE for move in leaving))

    def test_surplus_delay(self) -> None:
        fleet = fleet_with(4)
        fleet.at(0.3).step()
        fleet.at(1.0).step()
        self.assertEqual([], moves(fleet))

    def test_busy_machine_stays(self) -> None:
        """A machine with a long-running task is never chosen."""
        fleet = fleet_with(2)
        fleet.step(accept("j", {"count": 2, "is_long_running": True, "spread_limit": 1}))
        fleet.take_orders()
        for tenth in range(3, 40, 2):
            fleet.at(tenth / 10)
            fleet.dispatch.take_changes(fleet.now, 0.0)
        self.assertEqual([], moves(fleet))

    def test_returning_demand_keeps_the_machine(self) -> None:
        fleet = fleet_with(2)
        fleet.step(accept("a", {"count": 1, "estimated_s": 1.0}))
        for tenth in range(3, 22, 2):
            fleet.at(tenth / 10)
            fleet.dispatch.take_changes(fleet.now, 0.0)
        retiring = set(fleet.dispatch.rebalancer.retiring) | set(fleet.dispatch.rebalancer.ordered)
        self.assertTrue(retiring)


class DemandElsewhereTest(testtools.TestCase):
    """Surplus machines must leave at once if another service lacks more cores than are on standby.

    Found on cristalina-sched-grown, quiet-1: when the second queue's peak began, 27 of 42 machines
    of the first one were surplus, and left three at a time after 1.5 s each.
    """

    scenarios = [
        ("no demand", {"tasks": 0, "standby": 0, "retiring": 0}),
        ("demand for one machine", {"tasks": 6, "standby": 0, "retiring": 1}),
        ("the standby machines suffice", {"tasks": 6, "standby": 2, "retiring": 0}),
        ("a flood", {"tasks": 90, "standby": 2, "retiring": 4}),
    ]

    def test_retiring(self) -> None:
        fleet = fleet_with(6, other=1, standby=self.standby)
        # Each machine of the first service runs one task, so none is idle.
        fleet.step(accept("a", {"count": 6, "estimated_s": 1.0}))
        if self.tasks:
            job = accept("b", {"count": self.tasks, "estimated_s": 1.0})
            fleet.step(replace(job, queue=QueueName("others"), service=OTHER))
        fleet.at(0.3).step()
        leaving = fleet.dispatch.rebalancer.retiring - set(fleet.dispatch.rebalancer.ordered)
        self.assertEqual(self.retiring, len(leaving))


class MinimumPoolTest(testtools.TestCase):
    """Every service keeps a minimum of machines, since none moves while there is no leader.

    Found on the standard day scale-2 of tmpa-jellyworks: pools were empty when the leader froze
    right after the traffic began, and the next one may not move machines for 3 s.
    """

    def test_minimum(self) -> None:
        fleet = fleet_with(4, other=4)
        for tenth in range(0, 60, 2):
            for executor in list(fleet.dispatch.executors.values()):
                fleet.at(tenth / 10).hold(executor)
            fleet.step()
        leaving = moves(fleet)
        # With 8 machines and 3 services, two stay in each service.
        self.assertEqual(4, len(leaving))


class UnreportedMachinesTest(testtools.TestCase):
    """Machines must not leave because the executors of the others have not reported yet.

    Found on cristalina-sched-grown, quiet-1: the floors were computed from the executors that had
    reported in the first second, so pools of 32 to 44 machines kept 6 to 10, and each queue's first
    peak began with a tenth of the cores that it needed.
    """

    scenarios = [
        ("all have reported", {"listed": 6, "leaving": 4}),
        ("half have reported", {"listed": 12, "leaving": 3}),
        ("few have reported", {"listed": 30, "leaving": 0}),
    ]

    def test_leaving(self) -> None:
        fleet = fleet_with(6)
        configuration = fleet.log.table.configuration
        assert configuration is not None
        machines = [
            MachineView(MachineId(f"m-{number}"), ServiceId("desk"), MachineState.UP, 4000)
            for number in range(1, 1 + self.listed)
        ]
        fleet.dispatch.rebalancer.apply_machine_list(machines, configuration)
        for tenth in range(0, 40, 2):
            for executor in list(fleet.dispatch.executors.values()):
                fleet.at(tenth / 10).hold(executor)
            fleet.step()
        self.assertEqual(self.leaving, len(moves(fleet)))


class HopelessDemandTest(testtools.TestCase):
    """Work that can't meet its deadline must not draw machines away from work that can."""

    def test_hopeless(self) -> None:
        fleet = fleet_with(1, standby=3)
        fleet.step(accept("j", {"count": 90, "estimated_s": 1.0}))
        needed = fleet.dispatch.work.needed
        self.assertEqual(90.0, needed["desk"])
        # The deadline is 1.6 x 1 s + 0.6 s after its arrival; half its critical path is subtracted.
        fleet.dispatch.work.drop_infeasible(1.6)
        self.assertEqual(90.0, needed["desk"])
        fleet.dispatch.work.drop_infeasible(1.8)
        self.assertEqual(0.0, needed["desk"])


class PredictedDemandTest(testtools.TestCase):
    """Machines must have arrived when a peak begins that the forecast predicts."""

    scenarios = [
        ("a peak is near", {"at_s": 25.0, "is_acquired": True}),
        ("a peak is far", {"at_s": 20.0, "is_acquired": False}),
    ]

    def test_predicted(self) -> None:
        fleet = fleet_with(1, other=1, standby=4)
        # Each service has a peak of 4 s in a cycle of 18 s; "other" peaks at 9 and at 27 s.
        for second in range(int(self.at_s)):
            if second % 18 < 4:
                fleet.dispatch.forecast.arrived(ServiceId("desk"), 30.0, 1000.0 + second)
            if 9 <= second % 18 < 13:
                fleet.dispatch.forecast.arrived(OTHER, 30.0, 1000.0 + second)
        fleet.at(10.0).dispatch.take_changes(fleet.now, 1000.0 + self.at_s)
        acquired = [move for move in moves(fleet) if move.target == OTHER]
        self.assertEqual(self.is_acquired, bool(acquired))


class CancelledDemandTest(testtools.TestCase):
    """Cancelled work must not request machines."""

    def test_cancelled(self) -> None:
        fleet = fleet_with(1, standby=3)
        fleet.step(accept("j", {"count": 90, "estimated_s": 1.0}), CancelJob(JobId("j")))
        fleet.at(2.0).step()
        self.assertEqual([], moves(fleet))


class WaitingLongRunningTaskTest(testtools.TestCase):
    """A long-running task that waits must get a machine, even if no other task of its step runs."""

    def test_leaving_machine_stays(self) -> None:
        """A machine that was about to leave stays if a task needs it to be spread over machines.

        It got no new task until it had moved to the standby service, and only then was another
        machine ordered for the task.
        """
        fleet = fleet_with(3)
        step = {"count": 2, "is_long_running": True, "spread_limit": 1}
        fleet.step(accept("j", step), accept("b", {"count": 1, "estimated_s": 1.0}))
        placed = {order.task: order.executor for order in fleet.take_orders()}  # type: ignore[attr-defined]
        self.run_for(fleet, 3.0)
        leaving = placed["b.0.0.0"]
        self.assertTrue(leaving.is_cordoned)
        fleet.dispatch.end_incarnation(placed["j.0.0.0"], fleet.now)
        fleet.step()
        self.run_for(fleet, 0.5)
        starts = {order.task: order.executor for order in fleet.take_orders()}  # type: ignore[attr-defined]
        self.assertIs(leaving, starts.get("j.0.0.0"))

    def test_empty_pool(self) -> None:
        """No task of the step is placed, since its service has no machine."""
        fleet = fleet_with(0, other=1, standby=3)
        fleet.step(accept("j", {"count": 2, "is_long_running": True, "spread_limit": 1}))
        fleet.at(0.3).step()
        self.assertEqual(["desk", "desk"], [move.target for move in moves(fleet)])

    def run_for(self, fleet: Fleet, seconds: float) -> None:
        start = fleet.now - 100.0
        for fifth in range(1, int(seconds * 5) + 1):
            fleet.at(start + fifth / 5)
            for executor in fleet.dispatch.executors.values():
                names = [running(name, placed.run) for name, placed in executor.runs.items()]
                fleet.hold(executor, *names)
            fleet.step()
