"""Machines during one leadership: upkeep, moves between services, and executors that leave."""

import math
from collections.abc import Sequence

from marigolddoor_core.dispatch.arrivals import ArrivalRate
from marigolddoor_core.dispatch.evacuation import movable_runs, unfinishable_runs
from marigolddoor_core.dispatch.executors import Executor, ExecutorState
from marigolddoor_core.dispatch.fleet_view import FleetView
from marigolddoor_core.dispatch.forecast import DemandForecast
from marigolddoor_core.dispatch.leases import LeaseTiming
from marigolddoor_core.dispatch.orders import MoveOrder
from marigolddoor_core.dispatch.outstanding import OutstandingWork
from marigolddoor_core.dispatch.room import MachineView, Move, PoolFloor, RoomPlanner
from marigolddoor_core.dispatch.upkeep import Upkeep
from marigolddoor_core.ids import MachineId, ServiceId, WaveId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    FleetConfiguration,
    JobChange,
    JobPhase,
    JobRecord,
    JobTable,
    OrderMove,
    WaveRecord,
)
from marigolddoor_core.metrics import CounterKind, Counters, Labels

__all__ = ["MachineDuties"]

# Moves are looked at this often; demand that rises is seen within this time.
ROOM_INTERVAL_S = 0.2
# Machines that are ordered now are there after some 1.8 s, so this part of the future counts.
FORESEEN_FROM_S = 0.5
FORESEEN_UNTIL_S = 2.5
# The share of an even division of the machines that every service keeps.
LEAST_SHARE = 0.6


class MachineDuties(FleetView):
    """Plans what happens to machines.

    Every order for a machine is recorded before it is given. Machines that an earlier leader may
    have given an order for get none from this one until `machine_lease_s` are over.
    """

    def __init__(
        self,
        table: JobTable,
        lease_timing: LeaseTiming,
        now: Instant,
        machine_lease_s: float,
        counters: Counters,
    ) -> None:
        super().__init__(table, lease_timing, now)
        self.counters = counters
        self.machine_orders_from = Instant(now + machine_lease_s)
        self.work = OutstandingWork(self.worth.expected_s)
        self.forecast = DemandForecast()
        self.arrivals = ArrivalRate()
        self.room = RoomPlanner(self.work, self._is_in_upkeep, self._may_be_ordered)
        # Machines for which an order of an earlier leader may still be on its way.
        self.ordered_before: set[MachineId] = set()
        self.room_planned_at = now
        self.upkeeps: dict[WaveId, Upkeep] = {}

    def take_over_machines(self) -> None:
        """Take over the demand and the waves that the table knows."""
        for job in self.table.jobs.values():
            self._track_arrival(job)
            if job.phase is JobPhase.ACTIVE:
                self._track_work(job)
        self.ordered_before.update(self.table.machine_orders)
        for wave in self.table.waves.values():
            if not wave.is_finished:
                self.ordered_before.update(wave.begun)
                self.wave_opened(wave)

    def machine_wait_s(self, machine: MachineId) -> float:
        """Return how long no order for a machine may be given."""
        if machine not in self.ordered_before:
            return 0.0
        return max(0.0, self.machine_orders_from - self.now)

    def _may_be_ordered(self, machine: MachineId) -> bool:
        return self.machine_wait_s(machine) == 0.0

    def plan_machines(self, now: Instant, time_s: float) -> list[JobChange]:
        """Return the changes to record, and mark the executors that get no new task."""
        changes = self._plan_upkeep(now)
        self._empty_draining(now)
        changes += self._plan_room(now, time_s)
        for machine, executor in self.by_machine.items():
            executor.is_cordoned = self.room.is_leaving(machine) or self._is_emptying(machine)
        return changes

    def listed(
        self,
        machines: Sequence[MachineView],
        configuration: FleetConfiguration,
        asked_at: Instant,
    ) -> None:
        """Take the platform's list of machines, which was asked for at `asked_at`."""
        self.room.listed(machines, configuration)
        states = {view.machine: view.state for view in machines}
        for upkeep in self.upkeeps.values():
            upkeep.listed(states, self.by_machine.keys(), asked_at)

    def track_job(self, job: JobRecord) -> None:
        """Take a new job into the demand."""
        self._track_arrival(job)
        self._track_work(job)

    def _track_work(self, job: JobRecord) -> None:
        self.work.accepted(job, self.service_of(job), self.worth.first_deadline_s(job))

    def _plan_upkeep(self, now: Instant) -> list[JobChange]:
        changes: list[JobChange] = []
        for wave, upkeep in list(self.upkeeps.items()):
            planned, leaving = upkeep.plan(
                self.by_machine, self.executors.values(), self.room.standby, now
            )
            changes += planned
            for executor in leaving:
                for placed in movable_runs(executor, self.executors, now):
                    self._order_stop(executor, placed.task)
            if upkeep.wave.is_finished:
                del self.upkeeps[wave]
        return changes

    def handed_over(
        self, wave: WaveId, machine: MachineId, executor: Executor | None, now: Instant
    ) -> None:
        """Take the platform's word that it has a machine for its upkeep.

        `executor` is the one that surely ended with it, None if that is not known.
        """
        upkeep = self.upkeeps.get(wave)
        if upkeep is not None:
            upkeep.handed_over(machine, now)
        if executor is not None:
            self.end_incarnation(executor, now)

    def _is_in_upkeep(self, machine: MachineId) -> bool:
        return any(upkeep.is_in_upkeep(machine) for upkeep in self.upkeeps.values())

    def _is_emptying(self, machine: MachineId) -> bool:
        return any(upkeep.is_emptying(machine) for upkeep in self.upkeeps.values())

    def _plan_room(self, now: Instant, time_s: float) -> list[JobChange]:
        """Return the moves to record; their orders are carried out after that."""
        configuration = self.table.configuration
        if configuration is None or now - self.room_planned_at < ROOM_INTERVAL_S:
            return []
        self.room_planned_at = now
        self.work.drop_infeasible(time_s)
        self.forecast.update(time_s)
        expected = {
            service.name: max(
                self.arrivals.cores(service.name, self.work.needed.get(service.name, 0.0), time_s),
                self.forecast.expected_cores(
                    service.name, time_s + FORESEEN_FROM_S, time_s + FORESEEN_UNTIL_S
                ),
            )
            for service in configuration.services
        }
        floors = self._floors(configuration)
        moves = self.room.plan(self.by_machine, configuration, floors, expected, now)
        self.orders += [MoveOrder(move) for move in moves]
        return [OrderMove(move.machine) for move in moves]

    def _floors(self, configuration: FleetConfiguration) -> dict[ServiceId, PoolFloor]:
        """Return the least numbers of machines of each service.

        It keeps a share of an even division, since no machine moves while there is no leader, and
        as many machines as its long-running steps have to be spread over.
        """
        machines = len(self.by_machine) + len(self.room.standby)
        least = math.ceil(LEAST_SHARE * machines / max(1, len(configuration.services)))
        spread: dict[ServiceId, int] = {}
        for executor in self.executors.values():
            service = executor.heartbeat.service
            for placed in executor.runs.values():
                spec = placed.task.step.spec
                if spec.is_long_running and spec.spread_limit:
                    needed = -(-spec.count // spec.spread_limit)
                    # A task that leaves a machine before its upkeep needs another one to go to.
                    needed += 1 if self.upkeeps else 0
                    spread[service] = max(spread.get(service, 0), needed)
        return {
            service.name: PoolFloor(
                spread.get(service.name, 0), max(least, spread.get(service.name, 0))
            )
            for service in configuration.services
            if not service.standby
        }

    def _track_arrival(self, job: JobRecord) -> None:
        if not job.spec.is_long_running and not job.spec.is_timed:
            service, work = self.service_of(job), self.worth.total_work(job)
            self.forecast.arrived(service, work, job.accepted_s)
            self.arrivals.accepted(service, work, self.worth.chain_s(job), job.accepted_s)

    def moved(self, move: Move, now: Instant) -> None:
        """Take the platform's word that a machine moves; nothing runs there any more."""
        self.room.confirmed(move, now)
        self.counters.add(CounterKind.MOVES, Labels(pool=move.target))
        executor = self.by_machine.get(move.machine)
        if executor is not None and executor.heartbeat.service == move.source:
            self.end_incarnation(executor, now)

    def _empty_draining(self, now: Instant) -> None:
        for executor in self.executors.values():
            if executor.heartbeat.state is not ExecutorState.DRAINING or not executor.runs:
                continue
            expected_s = {
                name: self.durations.expected_s(
                    placed.task.step.job.queue, placed.task.step.spec.estimated_s
                )
                for name, placed in executor.runs.items()
            }
            doomed = unfinishable_runs(executor, expected_s, now)
            for placed in doomed + movable_runs(executor, self.executors, now):
                self._order_stop(executor, placed.task)

    def wave_opened(self, wave: WaveRecord) -> None:
        """Begin a wave, or go on with one that an earlier leader began."""
        self.upkeeps[wave.wave] = Upkeep(wave, self.now)

    def upkeep_begun(self, wave: WaveRecord, machine: MachineId) -> None:
        """Order the upkeep that was recorded."""
        self.orders.append(self.upkeeps[wave.wave].begun(machine, self.now))
