"""Planning for machines during one leadership: maintenance, moves between pools, and draining."""

import math
from collections.abc import Sequence

from marigolddoor_core.dispatch.arrivals import ArrivalRate
from marigolddoor_core.dispatch.evacuation import movable_runs, unfinishable_runs
from marigolddoor_core.dispatch.executors import Executor, ExecutorState
from marigolddoor_core.dispatch.fleet_view import FleetView
from marigolddoor_core.dispatch.forecast import DemandForecast
from marigolddoor_core.dispatch.leases import LeaseTiming
from marigolddoor_core.dispatch.machine_maintenance import MaintenanceWave
from marigolddoor_core.dispatch.machines import MachineView, Move
from marigolddoor_core.dispatch.orders import MoveOrder
from marigolddoor_core.dispatch.outstanding import OutstandingWork
from marigolddoor_core.dispatch.quotas import QuotaPolicy
from marigolddoor_core.dispatch.rebalancing import PoolFloor, PoolRebalancer
from marigolddoor_core.dispatch.requirements import OpenRequirements
from marigolddoor_core.ids import JobId, MachineId, ServiceId, WaveId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    FleetConfiguration,
    JobChange,
    JobPhase,
    JobRecord,
    JobTable,
    OrderMove,
    StepRecord,
    WaveRecord,
)
from marigolddoor_core.metrics import CounterKind, Counters, Labels

__all__ = ["MachinePlanning"]

# Moves are planned this often, so rising demand is detected within this time.
REBALANCING_INTERVAL_S = 0.2
# Machines that are ordered now arrive after about 1.8 s, so the forecast covers this interval.
FORECAST_FROM_S = 0.5
FORECAST_UNTIL_S = 2.5
# Every service keeps this share of the machines that an even division would give it.
MIN_EVEN_SHARE = 0.6


class MachinePlanning(FleetView):
    """Plans maintenance, moves and draining of machines.

    Every order for a machine is committed before it is sent. Machines for which an earlier leader
    may have sent an order get none from this leader until `machine_lease_s` have passed.
    """

    def __init__(
        self,
        table: JobTable,
        lease_timing: LeaseTiming,
        now: Instant,
        machine_lease_s: float,
        counters: Counters,
        quotas: QuotaPolicy | None = None,
        remote_factor: float = 1.0,
    ) -> None:
        super().__init__(table, lease_timing, now, quotas, remote_factor)
        self.counters = counters
        self.machine_orders_from = Instant(now + machine_lease_s)
        self.work = OutstandingWork(self.value_order.expected_s, self.limits.of)
        self.forecast = DemandForecast()
        self.arrivals = ArrivalRate()
        self.requirements = OpenRequirements(self.service_of)
        self.rebalancer = PoolRebalancer(self.work, self._is_in_maintenance, self._can_order)
        # Machines for which an order of an earlier leader may still be in flight.
        self.ordered_by_earlier_leader: set[MachineId] = set()
        self.rebalanced_at = now
        self.maintenance_waves: dict[WaveId, MaintenanceWave] = {}
        self.long_running: dict[JobId, JobRecord] = {}

    def take_over_machines(self) -> None:
        """Take over the demand and the maintenance waves from the replicated table."""
        for job in self.table.jobs.values():
            self._record_arrival(
                job, self._record_work(job) if job.phase is JobPhase.ACTIVE else 1.0
            )
        self.ordered_by_earlier_leader.update(self.table.machine_orders)
        for wave in self.table.waves.values():
            if not wave.is_finished:
                self.ordered_by_earlier_leader.update(wave.begun)
                self.wave_opened(wave)

    def machine_wait_s(self, machine: MachineId) -> float:
        """Return how long to wait before an order for a machine may be sent."""
        if machine not in self.ordered_by_earlier_leader:
            return 0.0
        return max(0.0, self.machine_orders_from - self.now)

    def _can_order(self, machine: MachineId) -> bool:
        return self.machine_wait_s(machine) == 0.0

    def plan_machines(self, now: Instant, time_s: float) -> list[JobChange]:
        """Return the changes to propose, and cordon the executors that get no new tasks."""
        changes = self._plan_maintenance(now)
        self._evacuate_draining(now)
        changes += self._plan_moves(now, time_s)
        for machine, executor in self.by_machine.items():
            executor.is_cordoned = self.rebalancer.is_leaving(machine) or self._is_cordoned(machine)
            executor.is_leaving = machine in self.rebalancer.ordered or (
                self._is_maintenance_ordered(machine)
            )
        return changes

    def apply_machine_list(
        self,
        machines: Sequence[MachineView],
        configuration: FleetConfiguration,
        asked_at: Instant,
    ) -> None:
        """Apply the platform's list of machines, which was requested at `asked_at`."""
        self.rebalancer.apply_machine_list(machines, configuration)
        states = {view.machine: view.state for view in machines}
        for maintenance_wave in self.maintenance_waves.values():
            maintenance_wave.apply_machine_list(states, self.by_machine.keys(), asked_at)

    def record_job(self, job: JobRecord) -> None:
        """Add a new job to the demand."""
        self._record_arrival(job, self._record_work(job))

    def _record_work(self, job: JobRecord) -> float:
        """Add the work of an open job; return the share that its team's quota lets run."""
        self.requirements.accepted(job)
        if job.spec.is_long_running:
            self.long_running[job.job] = job
        deadline_s = self.value_order.first_deadline_s(job)
        return self.work.accepted(job, self.service_of(job), deadline_s)

    def _plan_maintenance(self, now: Instant) -> list[JobChange]:
        changes: list[JobChange] = []
        for wave, maintenance_wave in list(self.maintenance_waves.items()):
            planned, leaving = maintenance_wave.plan(
                self.by_machine, self.executors.values(), self.rebalancer.standby, now
            )
            changes += planned
            for executor in leaving:
                for placed in movable_runs(executor, self.executors, now):
                    self._order_stop(executor, placed.task)
            if maintenance_wave.wave.is_finished:
                del self.maintenance_waves[wave]
        return changes

    def handed_over(
        self, wave: WaveId, machine: MachineId, executor: Executor | None, now: Instant
    ) -> None:
        """Record that the platform has taken a machine for maintenance.

        `executor` is the executor that the handover certainly ended, or None if that is not known.
        """
        maintenance_wave = self.maintenance_waves.get(wave)
        if maintenance_wave is not None:
            maintenance_wave.handed_over(machine, now)
        if executor is not None:
            self.end_incarnation(executor, now)

    def _is_in_maintenance(self, machine: MachineId) -> bool:
        return any(
            maintenance_wave.is_in_maintenance(machine)
            for maintenance_wave in self.maintenance_waves.values()
        )

    def _is_cordoned(self, machine: MachineId) -> bool:
        return any(
            maintenance_wave.is_cordoning(machine)
            for maintenance_wave in self.maintenance_waves.values()
        )

    def _is_maintenance_ordered(self, machine: MachineId) -> bool:
        return any(
            maintenance_wave.is_ordered(machine)
            for maintenance_wave in self.maintenance_waves.values()
        )

    def _plan_moves(self, now: Instant, time_s: float) -> list[JobChange]:
        """Return the moves to propose; their orders are sent once they are committed."""
        configuration = self.table.configuration
        if configuration is None or now - self.rebalanced_at < REBALANCING_INTERVAL_S:
            return []
        self.rebalanced_at = now
        self.work.drop_infeasible(time_s)
        self.forecast.update(time_s)
        expected = {
            service.name: max(
                self.arrivals.cores(service.name, self.work.needed.get(service.name, 0.0), time_s),
                self.forecast.expected_cores(
                    service.name, time_s + FORECAST_FROM_S, time_s + FORECAST_UNTIL_S
                ),
            )
            for service in configuration.services
        }
        floors = self._floors(configuration)
        moves = self.rebalancer.plan(self.by_machine, configuration, floors, expected, now)
        self.orders += [MoveOrder(move) for move in moves]
        return [OrderMove(move.machine) for move in moves]

    def _floors(self, configuration: FleetConfiguration) -> dict[ServiceId, PoolFloor]:
        """Return the minimum numbers of machines of each service.

        A service keeps a share of an even division, since no machine moves while there is no
        leader, and as many machines as its long-running steps must be spread over, also while their
        tasks wait.
        """
        machines = max(
            len(self.by_machine) + len(self.rebalancer.standby), self.rebalancer.listed_count
        )
        even_share = math.ceil(MIN_EVEN_SHARE * machines / max(1, len(configuration.services)))
        spread: dict[ServiceId, int] = {}
        for job in list(self.long_running.values()):
            if job.phase is not JobPhase.ACTIVE:
                del self.long_running[job.job]
                continue
            service = self.service_of(job)
            for number, spec in enumerate(job.spec.steps):
                if not spec.is_long_running:
                    continue
                count = self._startable_count(job.step(0, number))
                if count:
                    needed = -(-count // spec.spread_limit) if spec.spread_limit else 1
                    # A task that leaves a machine before maintenance needs another one to move to.
                    needed += 1 if self.maintenance_waves else 0
                    spread[service] = max(spread.get(service, 0), needed)
        return {
            service.name: PoolFloor(
                spread.get(service.name, 0), max(even_share, spread.get(service.name, 0))
            )
            for service in configuration.services
            if not service.standby
        }

    def _startable_count(self, step: StepRecord) -> int:
        """Return the number of tasks of a step that run or that its team's quota lets start."""
        is_held = bool(step.waiting) and not self.quotas.admits(step, 1)
        return step.placed if is_held else len(step.tasks)

    def _record_arrival(self, job: JobRecord, share: float) -> None:
        """Add the arrival of a job, of which the quota of its team lets a share run."""
        if not job.spec.is_long_running and not job.spec.is_timed:
            service, work = self.service_of(job), share * self.value_order.total_work(job)
            self.forecast.arrived(service, work, job.accepted_s)
            self.arrivals.accepted(
                service, work, self.value_order.critical_path_s(job), job.accepted_s
            )

    def moved(self, move: Move, now: Instant) -> None:
        """Record that the platform confirmed a move, which ends what ran on the machine."""
        self.rebalancer.confirm_move(move, now)
        self.counters.add(CounterKind.MOVES, Labels(pool=move.target))
        executor = self.by_machine.get(move.machine)
        if executor is not None and executor.heartbeat.service == move.source:
            self.end_incarnation(executor, now)

    def _evacuate_draining(self, now: Instant) -> None:
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
        """Begin a wave, or continue one that an earlier leader began."""
        self.maintenance_waves[wave.wave] = MaintenanceWave(wave, self.now, self.rebalancer.needs)

    def maintenance_begun(self, wave: WaveRecord, machine: MachineId) -> None:
        """Order the maintenance that was committed."""
        self.orders.append(self.maintenance_waves[wave.wave].create_order(machine, self.now))
