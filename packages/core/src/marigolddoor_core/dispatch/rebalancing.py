"""Pool rebalancing: how many machines each service needs now, and which ones move.

Meant for queues whose demand peaks, one after the other, at several times its mean. Machines of the
standby service and idle machines of other services follow the demand. A machine leaves a service
only when it runs nothing and has not been needed for longer than its moves cost.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.dispatch.executors import Executor, ExecutorState
from marigolddoor_core.dispatch.outstanding import OutstandingWork
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import FleetConfiguration

__all__ = ["MachineState", "MachineView", "Move", "PoolBalance", "PoolFloor", "PoolRebalancer"]

# Cores are never packed perfectly: above this utilisation tasks of a few cores wait for a gap.
MAX_UTILISATION = 0.9
# Predictions are uncertain, so only this share of the predicted demand is prepared in advance.
PREDICTED_SHARE = 0.8
# A surplus machine stays in its pool for this long. Two moves cost as much as 2.3 s in a pool, and
# the demand of single jobs comes and goes within a second.
SURPLUS_DELAY_S = 1.5
# An ordered move counts as failed if no executor has appeared after this long.
MOVE_TIMEOUT_S = 8.0
# A machine that was moved to the standby service can be moved again after this long. The platform
# takes 1.5 s for a move.
SETTLING_S = 2.0


class MachineState(Enum):
    """The state of a machine as the platform lists it. `UNKNOWN`: its entry can't be read."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class MachineView:
    """A machine as the platform lists it."""

    machine: MachineId
    service: ServiceId
    state: MachineState
    cpu_milli: int


@dataclass(frozen=True, slots=True)
class Move:
    """The move of a machine from one service to another."""

    machine: MachineId
    source: ServiceId
    target: ServiceId


@dataclass(frozen=True, slots=True)
class PoolFloor:
    """The number of machines that a service needs, and the one below which it releases none."""

    required: int = 0
    kept: int = 0


NO_FLOOR = PoolFloor()


@dataclass(frozen=True, slots=True)
class PoolBalance:
    """The needed and present cores that a decision on a service's machines was based on.

    `present` includes machines in flight and excludes those that are about to leave.
    """

    needed: float = 0.0
    present: float = 0.0


@dataclass(slots=True)
class _OrderedMove:
    """A move that was ordered. `done_at` is when the platform confirmed it."""

    move: Move
    since: Instant
    cpu_milli: int
    done_at: Instant | None = None


class PoolRebalancer:
    """Plans moves during one leadership.

    Args:
      work: the outstanding work of each service.
      is_reserved: whether a machine must stay because of a maintenance wave.
      can_order: whether no order of an earlier leader for a machine can still be in flight.
    """

    def __init__(
        self,
        work: OutstandingWork,
        is_reserved: Callable[[MachineId], bool],
        can_order: Callable[[MachineId], bool],
    ) -> None:
        self.work = work
        self.is_reserved = is_reserved
        self.can_order = can_order
        self.standby: dict[MachineId, MachineView] = {}
        self.ordered: dict[MachineId, _OrderedMove] = {}
        # The machines of all services in the platform's latest list.
        self.listed_count = 0
        # The latest balance of each service.
        self.balances: dict[ServiceId, PoolBalance] = {}
        self.surplus_since: dict[ServiceId, Instant] = {}
        # Machines that get no new tasks, so that they become idle and can move.
        self.retiring: set[MachineId] = set()

    def apply_machine_list(
        self, machines: Iterable[MachineView], configuration: FleetConfiguration
    ) -> None:
        """Apply the platform's list of machines."""
        machines = list(machines)
        self.listed_count = len(machines)
        self.standby = {
            view.machine: view
            for view in machines
            if view.state is MachineState.UP
            and view.machine not in self.ordered
            and _is_standby(configuration, view.service)
        }

    def is_leaving(self, machine: MachineId) -> bool:
        """Return whether a machine gets no new tasks because it is about to move."""
        return machine in self.retiring or machine in self.ordered

    def confirm_move(self, move: Move, now: Instant) -> None:
        """Record that the platform confirmed a move."""
        ordered = self.ordered.get(move.machine)
        if ordered is not None:
            ordered.done_at = now

    def cancel_move(self, move: Move) -> None:
        """Drop a move that the platform refused or that timed out."""
        self.ordered.pop(move.machine, None)
        self.retiring.discard(move.machine)

    def plan(
        self,
        executors: Mapping[MachineId, Executor],
        configuration: FleetConfiguration,
        floors: Mapping[ServiceId, PoolFloor],
        expected: Mapping[ServiceId, float],
        now: Instant,
    ) -> list[Move]:
        """Return the moves that are due, and choose the machines that are to become idle.

        Args:
          executors: the executor of each machine that has one.
          configuration: the configuration in force.
          floors: the minimum numbers of machines of each service.
          expected: the cores that future jobs are predicted to need.
          now: the current time.
        """
        self._settle_moves(executors, configuration, now)
        pools: dict[ServiceId, list[Executor]] = {
            service.name: [] for service in configuration.services if not service.standby
        }
        for machine, executor in executors.items():
            is_ready = executor.heartbeat.state is ExecutorState.READY
            pool_of = pools.get(executor.heartbeat.service)
            is_free = machine not in self.ordered and not self.is_reserved(machine)
            if is_ready and is_free and pool_of is not None:
                pool_of.append(executor)
        deficits: list[tuple[float, ServiceId]] = []
        surpluses: dict[ServiceId, float] = {}
        for service, pool in pools.items():
            needed = self.needed_cores(service, pool, expected.get(service, 0.0))
            present = self._supply(service, pool)
            self.balances[service] = PoolBalance(needed, present)
            surplus = present * MAX_UTILISATION - needed
            if surplus < 0:
                surplus += self._keep_retiring(pool, -surplus)
            required = floors.get(service, NO_FLOOR).required - self._count_incoming(service)
            missing = self._keep_required(pool, required)
            if surplus < 0 or missing > 0:
                self.surplus_since.pop(service, None)
                deficits.append((max(-surplus, missing * self._typical_cores(pool)), service))
            else:
                surpluses[service] = surplus
        lacking = sum(cores for cores, _ in deficits) - self._available_standby_cores()
        for service, surplus in surpluses.items():
            lacking -= self._retire(service, pools[service], surplus, floors, lacking, now)
        moves: list[Move] = []
        for cores, service in sorted(deficits, reverse=True):
            moves += self._acquire_machines(service, cores, pools, surpluses, floors, now)
        standby = next((item.name for item in configuration.services if item.standby), None)
        if standby is not None:
            moves += self._return_to_standby(pools, standby, now)
        return moves

    def needed_cores(self, service: ServiceId, pool: Iterable[Executor], expected: float) -> float:
        """Return the cores that a service needs now."""
        long_running = sum(
            placed.task.step.spec.size.cpu_milli
            for executor in pool
            for placed in executor.runs.values()
            if placed.task.step.spec.is_long_running and not placed.task.step.spec.is_best_effort
        )
        now = self.work.needed.get(service, 0.0)
        return long_running / 1000 + max(now, PREDICTED_SHARE * expected)

    def _supply(self, service: ServiceId, pool: Iterable[Executor]) -> float:
        cpu = sum(
            executor.heartbeat.capacity.cpu_milli
            for executor in pool
            if executor.heartbeat.machine not in self.retiring
        )
        cpu += sum(
            ordered.cpu_milli for ordered in self.ordered.values() if ordered.move.target == service
        )
        return cpu / 1000

    def _available_standby_cores(self) -> float:
        return (
            sum(
                view.cpu_milli
                for view in self.standby.values()
                if not self.is_reserved(view.machine) and self.can_order(view.machine)
            )
            / 1000
        )

    def _count_incoming(self, service: ServiceId) -> int:
        return sum(1 for ordered in self.ordered.values() if ordered.move.target == service)

    def _settle_moves(
        self,
        executors: Mapping[MachineId, Executor],
        configuration: FleetConfiguration,
        now: Instant,
    ) -> None:
        for machine, ordered in list(self.ordered.items()):
            move = ordered.move
            executor = executors.get(machine)
            done_at = ordered.done_at
            if _is_standby(configuration, move.target):
                if done_at is not None and now - done_at >= SETTLING_S:
                    del self.ordered[machine]
                    self.retiring.discard(machine)
                    self.standby[machine] = MachineView(
                        machine, move.target, MachineState.UP, ordered.cpu_milli
                    )
            elif executor is not None and executor.heartbeat.service == move.target:
                del self.ordered[machine]
                self.retiring.discard(machine)
            if now - ordered.since > MOVE_TIMEOUT_S and machine in self.ordered:
                self.cancel_move(move)

    def _keep_retiring(self, pool: Iterable[Executor], cores: float) -> float:
        """Keep machines that were about to leave; return the cores that this regains."""
        kept = 0.0
        for executor in pool:
            if kept >= cores:
                break
            if executor.heartbeat.machine in self.retiring:
                self.retiring.discard(executor.heartbeat.machine)
                kept += executor.heartbeat.capacity.cpu_milli / 1000
        return kept

    def _keep_required(self, pool: list[Executor], required: int) -> int:
        """Keep machines that were about to leave if too few stay; return how many are missing."""
        leaving = [e.heartbeat.machine for e in pool if e.heartbeat.machine in self.retiring]
        missing = required - (len(pool) - len(leaving))
        kept = leaving[: max(0, missing)]
        self.retiring.difference_update(kept)
        return missing - len(kept)

    def _retire(
        self,
        service: ServiceId,
        pool: list[Executor],
        surplus: float,
        floors: Mapping[ServiceId, PoolFloor],
        lacking: float,
        now: Instant,
    ) -> float:
        """Choose machines to leave once the service has had a surplus for `SURPLUS_DELAY_S`.

        Machines with as many cores as other services lack leave without this delay: they run their
        last tasks meanwhile. Return the cores of these machines.
        """
        staying = [e for e in pool if e.heartbeat.machine not in self.retiring]
        free = [executor for executor in staying if not _is_pinned(executor)]
        free.sort(key=lambda executor: executor.load)
        most = len(staying) - floors.get(service, NO_FLOOR).kept
        leaving = []
        for executor in free[: max(0, most)]:
            surplus -= executor.heartbeat.capacity.cpu_milli / 1000 * MAX_UTILISATION
            if surplus < 0:
                break
            leaving.append(executor)
        if not leaving:
            self.surplus_since.pop(service, None)
            return 0.0
        if now - self.surplus_since.setdefault(service, now) >= SURPLUS_DELAY_S:
            self.retiring.update(executor.heartbeat.machine for executor in leaving)
        claimed = 0.0
        for executor in leaving:
            if claimed >= lacking:
                break
            self.retiring.add(executor.heartbeat.machine)
            claimed += executor.heartbeat.capacity.cpu_milli / 1000
        return claimed

    def _acquire_machines(
        self,
        service: ServiceId,
        cores: float,
        pools: Mapping[ServiceId, list[Executor]],
        surpluses: dict[ServiceId, float],
        floors: Mapping[ServiceId, PoolFloor],
        now: Instant,
    ) -> list[Move]:
        """Return moves into a service, taking machines of the standby service first."""
        moves: list[Move] = []
        for view in list(self.standby.values()):
            if cores <= 0:
                return moves
            if not self.is_reserved(view.machine) and self.can_order(view.machine):
                del self.standby[view.machine]
                moves.append(Move(view.machine, view.service, service))
                self._order(moves[-1], view.cpu_milli, now)
                cores -= view.cpu_milli / 1000
        for other, surplus in surpluses.items():
            idle = [e for e in pools[other] if self._is_movable(e)]
            for executor in idle:
                size = executor.heartbeat.capacity.cpu_milli / 1000
                left = sum(1 for e in pools[other] if e.heartbeat.machine not in self.ordered)
                is_retiring = executor.heartbeat.machine in self.retiring
                if cores <= 0 or left <= floors.get(other, NO_FLOOR).kept:
                    break
                if surplus < size * MAX_UTILISATION and not is_retiring:
                    continue
                surplus -= 0 if is_retiring else size * MAX_UTILISATION
                moves.append(Move(executor.heartbeat.machine, other, service))
                self._order(moves[-1], executor.heartbeat.capacity.cpu_milli, now)
                cores -= size
            surpluses[other] = surplus
        return moves

    def _return_to_standby(
        self, pools: Mapping[ServiceId, list[Executor]], standby: ServiceId, now: Instant
    ) -> list[Move]:
        """Return moves of leaving machines that have become idle to the standby service."""
        moves = []
        for service, pool in pools.items():
            for executor in pool:
                machine = executor.heartbeat.machine
                if machine in self.retiring and self._is_movable(executor):
                    moves.append(Move(machine, service, standby))
                    self._order(moves[-1], executor.heartbeat.capacity.cpu_milli, now)
        return moves

    def _is_movable(self, executor: Executor) -> bool:
        machine = executor.heartbeat.machine
        return not executor.runs and machine not in self.ordered and self.can_order(machine)

    def _typical_cores(self, pool: Iterable[Executor]) -> float:
        """Return the cores of the largest machine of a pool, or of a standby one if it is empty."""
        sizes = [executor.heartbeat.capacity.cpu_milli for executor in pool]
        sizes = sizes or [view.cpu_milli for view in self.standby.values()]
        return max(sizes, default=1000) / 1000

    def _order(self, move: Move, cpu_milli: int, now: Instant) -> None:
        self.ordered[move.machine] = _OrderedMove(move, now, cpu_milli)


def _is_standby(configuration: FleetConfiguration, service: ServiceId) -> bool:
    settings = configuration.service_by_name.get(service)
    return settings is not None and settings.standby


def _is_pinned(executor: Executor) -> bool:
    """Return whether a long-running task keeps an executor in its pool."""
    return any(placed.task.step.spec.is_long_running for placed in executor.runs.values())
