"""Pool rebalancing: how many machines each service needs now, and which ones move.

Meant for queues whose demand peaks, one after the other, at several times its mean. Machines of the
standby service and idle machines of other services follow the demand. A machine leaves a service
only when it runs nothing and has not been needed for longer than its moves cost. The needs that
aren't a number of cores are decided by `MachineNeeds`.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from marigolddoor_core.dispatch.executors import Executor, ExecutorState
from marigolddoor_core.dispatch.machine_needs import MachineNeeds, NoNeeds
from marigolddoor_core.dispatch.machines import MachineState, MachineView, Move
from marigolddoor_core.dispatch.outstanding import OutstandingWork
from marigolddoor_core.dispatch.requirements import MachineShape, Requirement
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import FleetConfiguration

__all__ = [
    "PoolBalance",
    "PoolFloor",
    "PoolRebalancer",
    "Retirement",
]

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
# A move to a service that the platform refused is not ordered for a requirement again before this.
REFUSED_RETRY_S = 5.0
# Choices that were not logged yet; only a leader that does not log keeps any.
MAX_RETIREMENTS = 1000


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


@dataclass(frozen=True, slots=True)
class Retirement:
    """A machine that was chosen to leave its service, or is kept after all."""

    machine: MachineId
    service: ServiceId
    is_leaving: bool
    balance: PoolBalance


@dataclass(slots=True)
class _OrderedMove:
    """A move that was ordered. `done_at` is when the platform confirmed it."""

    move: Move
    since: Instant
    shape: MachineShape
    done_at: Instant | None = None


class PoolRebalancer:
    """Plans moves during one leadership.

    Args:
      work: the outstanding work of each service.
      is_reserved: whether a machine must stay because of a maintenance wave.
      can_order: whether no order of an earlier leader for a machine can still be in flight.
      needs: the machines that services need for other reasons than cores; by default none.
    """

    def __init__(
        self,
        work: OutstandingWork,
        is_reserved: Callable[[MachineId], bool],
        can_order: Callable[[MachineId], bool],
        needs: MachineNeeds | None = None,
    ) -> None:
        self.work = work
        self.needs: MachineNeeds = needs or NoNeeds()
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
        self.retirements: deque[Retirement] = deque(maxlen=MAX_RETIREMENTS)
        self.planned_at = Instant(0.0)
        # When the platform last refused a move of a machine to a service.
        self.refused_at: dict[tuple[MachineId, ServiceId], Instant] = {}

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
        self.refused_at[move.machine, move.target] = self.planned_at

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
        self.planned_at = now
        self._settle_moves(executors, configuration, now)
        before = set(self.retiring)
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
            self._keep_needed(service, pool, now)
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
        moves = self._acquire_required(executors, pools, surpluses, floors, now)
        for cores, service in sorted(deficits, reverse=True):
            moves += self._acquire_machines(service, cores, pools, surpluses, floors, now)
        standby = next((item.name for item in configuration.services if item.standby), None)
        if standby is not None:
            moves += self._return_to_standby(pools, standby, now)
        self._note_retirements(pools, before)
        return moves

    def _note_retirements(
        self, pools: Mapping[ServiceId, Iterable[Executor]], before: set[MachineId]
    ) -> None:
        for service, pool in pools.items():
            balance = self.balances[service]
            for executor in pool:
                machine = executor.heartbeat.machine
                is_leaving = machine in self.retiring
                if is_leaving != (machine in before) and machine not in self.ordered:
                    self.retirements.append(Retirement(machine, service, is_leaving, balance))

    def needed_cores(self, service: ServiceId, pool: Iterable[Executor], expected: float) -> float:
        """Return the cores that a service needs now.

        If it needs a larger share of the memory or the accelerators of its machines than of their
        cores, these are the cores of the machines that have as much of them.
        """
        pool = list(pool)
        held = [
            placed.task.step.spec
            for executor in pool
            for placed in executor.runs.values()
            if placed.task.step.spec.is_long_running
        ]
        cores = sum(spec.size.cpu_milli for spec in held if not spec.is_best_effort) / 1000
        cores += max(self.work.needed.get(service, 0.0), PREDICTED_SHARE * expected)
        memory: float = sum(spec.size.memory_mb for spec in held)
        memory += self.work.needed_memory.get(service, 0.0)
        accelerators: float = sum(spec.size.accelerators for spec in held)
        accelerators += self.work.needed_accelerators.get(service, 0.0)
        capacities = [executor.heartbeat.capacity for executor in pool]
        present = sum(capacity.cpu_milli for capacity in capacities) / 1000
        shares = [
            needed / total
            for needed, total in (
                (memory, sum(capacity.memory_mb for capacity in capacities)),
                (accelerators, sum(capacity.accelerators for capacity in capacities)),
            )
            if total
        ]
        return max([cores, *(share * present for share in shares)])

    def _supply(self, service: ServiceId, pool: Iterable[Executor]) -> float:
        cpu = sum(
            executor.heartbeat.capacity.cpu_milli
            for executor in pool
            if executor.heartbeat.machine not in self.retiring
        )
        cpu += sum(
            ordered.shape.capacity.cpu_milli
            for ordered in self.ordered.values()
            if ordered.move.target == service
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
                    size = ordered.shape.capacity
                    self.standby[machine] = MachineView(
                        machine,
                        move.target,
                        MachineState.UP,
                        size.cpu_milli,
                        size.memory_mb,
                        size.accelerators,
                        ordered.shape.labels,
                    )
            elif executor is not None and executor.heartbeat.service == move.target:
                del self.ordered[machine]
                self.retiring.discard(machine)
            if now - ordered.since > MOVE_TIMEOUT_S and machine in self.ordered:
                self.cancel_move(move)

    def _keep_needed(self, service: ServiceId, pool: Iterable[Executor], now: Instant) -> None:
        """Keep machines that were about to leave and that open jobs need."""
        staying, leaving = self._split(pool)
        for executor in self.needs.kept(service, staying, leaving, now):
            self.retiring.discard(executor.heartbeat.machine)

    def _split(self, pool: Iterable[Executor]) -> tuple[list[Executor], list[Executor]]:
        """Return the executors of a pool that stay, and those that are about to leave."""
        staying: list[Executor] = []
        leaving: list[Executor] = []
        for executor in pool:
            is_leaving = self.is_leaving(executor.heartbeat.machine)
            (leaving if is_leaving else staying).append(executor)
        return staying, leaving

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
        remaining = [executor for executor in staying if executor not in leaving]
        for executor in self.needs.kept(service, remaining, leaving, now):
            leaving.remove(executor)
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
                self._order(moves[-1], view.shape, now)
                cores -= view.cpu_milli / 1000
        for other, surplus in surpluses.items():
            if cores <= 0:
                break
            idle = self._dispensable(other, pools[other], now)
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
                self._order(moves[-1], MachineShape.of_executor(executor), now)
                cores -= size
            surpluses[other] = surplus
        return moves

    def _dispensable(
        self, service: ServiceId, pool: Iterable[Executor], now: Instant
    ) -> list[Executor]:
        """Return the idle executors that a service does not need for other reasons than cores."""
        staying, leaving = self._split(pool)
        idle = [executor for executor in leaving + staying if self._is_movable(executor)]
        busy = [executor for executor in staying if executor not in idle]
        kept = self.needs.kept(service, busy, idle, now)
        return [executor for executor in idle if executor not in kept]

    def _acquire_required(
        self,
        executors: Mapping[MachineId, Executor],
        pools: Mapping[ServiceId, list[Executor]],
        surpluses: Mapping[ServiceId, float],
        floors: Mapping[ServiceId, PoolFloor],
        now: Instant,
    ) -> list[Move]:
        """Return moves of machines that tasks require and their service has none of.

        Machines of the standby service come first, then idle ones of services with a surplus.
        Where these have none that is idle, one of them gets no new tasks until it is.
        """
        shapes: dict[ServiceId, list[MachineShape]] = {service: [] for service in pools}
        for machine, executor in executors.items():
            is_staying = executor.heartbeat.state is ExecutorState.READY
            if is_staying and machine not in self.ordered and executor.heartbeat.service in shapes:
                shapes[executor.heartbeat.service].append(MachineShape.of_executor(executor))
        for ordered in self.ordered.values():
            if ordered.move.target in shapes:
                shapes[ordered.move.target].append(ordered.shape)
        moves: list[Move] = []
        for service in pools:
            for requirement in self.needs.unmet(service, shapes[service]):
                while requirement.missing(shapes[service]):
                    move = self._required_move(requirement, service, pools, surpluses, floors, now)
                    if move is None:
                        break
                    moves.append(move)
                    shapes[service].append(self.ordered[move.machine].shape)
        return moves

    def _required_move(
        self,
        requirement: Requirement,
        service: ServiceId,
        pools: Mapping[ServiceId, list[Executor]],
        surpluses: Mapping[ServiceId, float],
        floors: Mapping[ServiceId, PoolFloor],
        now: Instant,
    ) -> Move | None:
        """Order the move of a machine that meets a requirement; None if there is none now."""
        for view in self.standby.values():
            if (
                requirement.places(view.shape)
                and not self.is_reserved(view.machine)
                and self.can_order(view.machine)
                and not self._is_refused(view.machine, service, now)
            ):
                del self.standby[view.machine]
                return self._order(Move(view.machine, view.service, service), view.shape, now)
        emptying: list[Executor] = []
        for other in surpluses:
            staying = [e for e in pools[other] if e.heartbeat.machine not in self.ordered]
            if other == service or len(staying) <= max(1, floors.get(other, NO_FLOOR).required):
                continue
            suitable = [
                executor
                for executor in staying
                if requirement.places(MachineShape.of_executor(executor))
                and not self._is_refused(executor.heartbeat.machine, service, now)
            ]
            idle = self._dispensable(other, pools[other], now) if suitable else []
            for executor in idle:
                if executor in suitable:
                    move = Move(executor.heartbeat.machine, other, service)
                    return self._order(move, MachineShape.of_executor(executor), now)
            emptying += [
                executor
                for executor in suitable
                if not _is_pinned(executor) and self._is_dispensable(executor, staying, now)
            ]
        if emptying and not any(e.heartbeat.machine in self.retiring for e in emptying):
            chosen = min(emptying, key=lambda executor: executor.load)
            self.retiring.add(chosen.heartbeat.machine)
        return None

    def _is_dispensable(self, executor: Executor, pool: Iterable[Executor], now: Instant) -> bool:
        """Return whether a service needs an executor for its number of cores only."""
        others = [other for other in pool if other is not executor]
        return not self.needs.kept(executor.heartbeat.service, others, [executor], now)

    def _is_refused(self, machine: MachineId, service: ServiceId, now: Instant) -> bool:
        refused_at = self.refused_at.get((machine, service))
        return refused_at is not None and now - refused_at < REFUSED_RETRY_S

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
                    self._order(moves[-1], MachineShape.of_executor(executor), now)
        return moves

    def _is_movable(self, executor: Executor) -> bool:
        machine = executor.heartbeat.machine
        return not executor.runs and machine not in self.ordered and self.can_order(machine)

    def _typical_cores(self, pool: Iterable[Executor]) -> float:
        """Return the cores of the largest machine of a pool, or of a standby one if it is empty."""
        sizes = [executor.heartbeat.capacity.cpu_milli for executor in pool]
        sizes = sizes or [view.cpu_milli for view in self.standby.values()]
        return max(sizes, default=1000) / 1000

    def _order(self, move: Move, shape: MachineShape, now: Instant) -> Move:
        self.ordered[move.machine] = _OrderedMove(move, now, shape)
        return move


def _is_standby(configuration: FleetConfiguration, service: ServiceId) -> bool:
    settings = configuration.service_by_name.get(service)
    return settings is not None and settings.standby


def _is_pinned(executor: Executor) -> bool:
    """Return whether a long-running task keeps an executor in its pool."""
    return any(placed.task.step.spec.is_long_running for placed in executor.runs.values())
