"""How many machines each service needs now, and which ones move.

Answers queues whose demand rises to several times its mean in turn. Machines of the standby service
and idle ones of other services follow the demand. A machine leaves a service only when it runs
nothing and is not needed for longer than its moves cost.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.dispatch.executors import Executor, ExecutorState
from marigolddoor_core.dispatch.outstanding import OutstandingWork
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import FleetConfiguration

__all__ = ["MachineState", "MachineView", "Move", "PoolBalance", "PoolFloor", "RoomPlanner"]

# Cores are never packed perfectly; above this share tasks of a few cores wait for a gap.
FULL_SHARE = 0.9
# The past is no certain guide: a part of what is foreseen is prepared, the rest follows the demand.
FORESEEN_SHARE = 0.8
# A machine stays for this long after it became superfluous. Two moves cost as much as 2.3 s in a
# pool, and demand of single jobs comes and goes within a second.
PATIENCE_S = 1.5
# An ordered move that shows no executor after this long has failed.
MOVE_TIMEOUT_S = 8.0
# A machine that was moved to the standby service can be moved again after this long. The platform's
# moves take 1.5 s.
SETTLING_S = 2.0


class MachineState(Enum):
    """The state of a machine as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class MachineView:
    """A machine as the platform lists it."""

    machine: MachineId
    service: ServiceId
    state: MachineState
    cpu_milli: int


@dataclass(frozen=True, slots=True)
class Move:
    """A machine changes its service."""

    machine: MachineId
    source: ServiceId
    target: ServiceId


@dataclass(frozen=True, slots=True)
class PoolFloor:
    """The machines that a service needs in any case, and those below which it gives none away."""

    required: int = 0
    kept: int = 0


NO_FLOOR = PoolFloor()


@dataclass(frozen=True, slots=True)
class PoolBalance:
    """What a decision on a service's machines was based on, in cores.

    `present` includes machines on their way and leaves out those that are to leave.
    """

    needed: float = 0.0
    present: float = 0.0


@dataclass(slots=True)
class _Ordered:
    """A move that was ordered. `done_at` is when the platform said yes."""

    move: Move
    since: Instant
    cpu_milli: int
    done_at: Instant | None = None


class RoomPlanner:
    """Plans moves during one leadership.

    Args:
      work: the outstanding work of each service.
      is_reserved: whether a machine must stay because of a wave of upkeep.
      may_be_ordered: whether no order of an earlier leader for a machine may still be on its way.
    """

    def __init__(
        self,
        work: OutstandingWork,
        is_reserved: Callable[[MachineId], bool],
        may_be_ordered: Callable[[MachineId], bool],
    ) -> None:
        self.work = work
        self.is_reserved = is_reserved
        self.may_be_ordered = may_be_ordered
        self.standby: dict[MachineId, MachineView] = {}
        self.ordered: dict[MachineId, _Ordered] = {}
        # The latest ones.
        self.balances: dict[ServiceId, PoolBalance] = {}
        self.spare_since: dict[ServiceId, Instant] = {}
        # Machines that get no new task, so that they become free.
        self.retiring: set[MachineId] = set()

    def listed(self, machines: Iterable[MachineView], configuration: FleetConfiguration) -> None:
        """Take the platform's list of machines."""
        self.standby = {
            view.machine: view
            for view in machines
            if view.state is MachineState.UP
            and view.machine not in self.ordered
            and _is_standby(configuration, view.service)
        }

    def is_leaving(self, machine: MachineId) -> bool:
        """Return whether a machine gets no new task because it is to move."""
        return machine in self.retiring or machine in self.ordered

    def confirmed(self, move: Move, now: Instant) -> None:
        """Take the platform's word that a machine moves."""
        ordered = self.ordered.get(move.machine)
        if ordered is not None:
            ordered.done_at = now

    def failed(self, move: Move) -> None:
        """Take the platform's word that a machine does not move."""
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
        """Return the moves that are due, and cordon machines that are to become free.

        Args:
          executors: the executor of each machine that has one.
          configuration: the one in force.
          floors: the least numbers of machines of each service.
          expected: the cores that jobs which are still to come will need.
          now: the time.
        """
        self._track_arrivals(executors, configuration, now)
        pools: dict[ServiceId, list[Executor]] = {
            service.name: [] for service in configuration.services if not service.standby
        }
        for machine, executor in executors.items():
            is_ready = executor.heartbeat.state is ExecutorState.READY
            pool_of = pools.get(executor.heartbeat.service)
            is_free = machine not in self.ordered and not self.is_reserved(machine)
            if is_ready and is_free and pool_of is not None:
                pool_of.append(executor)
        short: list[tuple[float, ServiceId]] = []
        spares: dict[ServiceId, float] = {}
        for service, pool in pools.items():
            needed = self.needed_cores(service, pool, expected.get(service, 0.0))
            present = self._supply(service, pool)
            self.balances[service] = PoolBalance(needed, present)
            spare = present * FULL_SHARE - needed
            if spare < 0:
                spare += self._keep_retiring(pool, -spare)
            missing = (
                floors.get(service, NO_FLOOR).required - len(pool) - self._count_incoming(service)
            )
            if spare < 0 or missing > 0:
                self.spare_since.pop(service, None)
                short.append((max(-spare, missing * _typical_cores(pool)), service))
            else:
                spares[service] = spare
                self._retire(service, pool, spare, floors, now)
        moves: list[Move] = []
        for cores, service in sorted(short, reverse=True):
            moves += self._fetch(service, cores, pools, spares, floors, now)
        standby = next((item.name for item in configuration.services if item.standby), None)
        if standby is not None:
            moves += self._send_home(pools, standby, now)
        return moves

    def needed_cores(self, service: ServiceId, pool: Iterable[Executor], expected: float) -> float:
        """Return the cores that a service needs now."""
        lasting = sum(
            placed.task.step.spec.size.cpu_milli
            for executor in pool
            for placed in executor.runs.values()
            if placed.task.step.spec.is_long_running and not placed.task.step.spec.is_filler
        )
        now = self.work.needed.get(service, 0.0)
        return lasting / 1000 + max(now, FORESEEN_SHARE * expected)

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

    def _count_incoming(self, service: ServiceId) -> int:
        return sum(1 for ordered in self.ordered.values() if ordered.move.target == service)

    def _track_arrivals(
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
                self.failed(move)

    def _keep_retiring(self, pool: Iterable[Executor], cores: float) -> float:
        """Keep machines that were about to leave; return the cores that this gives back."""
        kept = 0.0
        for executor in pool:
            if kept >= cores:
                break
            if executor.heartbeat.machine in self.retiring:
                self.retiring.discard(executor.heartbeat.machine)
                kept += executor.heartbeat.capacity.cpu_milli / 1000
        return kept

    def _retire(
        self,
        service: ServiceId,
        pool: list[Executor],
        spare: float,
        floors: Mapping[ServiceId, PoolFloor],
        now: Instant,
    ) -> None:
        """Choose machines that the service does not need, once that has lasted for a while."""
        staying = [e for e in pool if e.heartbeat.machine not in self.retiring]
        free = [executor for executor in staying if not _is_pinned(executor)]
        free.sort(key=lambda executor: executor.load)
        most = len(staying) - floors.get(service, NO_FLOOR).kept
        leavers = []
        for executor in free[: max(0, most)]:
            spare -= executor.heartbeat.capacity.cpu_milli / 1000 * FULL_SHARE
            if spare < 0:
                break
            leavers.append(executor)
        if not leavers:
            self.spare_since.pop(service, None)
        elif now - self.spare_since.setdefault(service, now) >= PATIENCE_S:
            self.retiring.update(executor.heartbeat.machine for executor in leavers)

    def _fetch(
        self,
        service: ServiceId,
        cores: float,
        pools: Mapping[ServiceId, list[Executor]],
        spares: dict[ServiceId, float],
        floors: Mapping[ServiceId, PoolFloor],
        now: Instant,
    ) -> list[Move]:
        """Return moves into a service, from the standby service first."""
        moves: list[Move] = []
        for view in list(self.standby.values()):
            if cores <= 0:
                return moves
            if not self.is_reserved(view.machine) and self.may_be_ordered(view.machine):
                del self.standby[view.machine]
                moves.append(Move(view.machine, view.service, service))
                self._order(moves[-1], view.cpu_milli, now)
                cores -= view.cpu_milli / 1000
        for other, spare in spares.items():
            idle = [e for e in pools[other] if self._is_movable(e)]
            for executor in idle:
                size = executor.heartbeat.capacity.cpu_milli / 1000
                left = sum(1 for e in pools[other] if e.heartbeat.machine not in self.ordered)
                is_retiring = executor.heartbeat.machine in self.retiring
                if cores <= 0 or left <= floors.get(other, NO_FLOOR).kept:
                    break
                if spare < size * FULL_SHARE and not is_retiring:
                    continue
                spare -= 0 if is_retiring else size * FULL_SHARE
                moves.append(Move(executor.heartbeat.machine, other, service))
                self._order(moves[-1], executor.heartbeat.capacity.cpu_milli, now)
                cores -= size
            spares[other] = spare
        return moves

    def _send_home(
        self, pools: Mapping[ServiceId, list[Executor]], standby: ServiceId, now: Instant
    ) -> list[Move]:
        """Return moves of machines that have become free to the standby service."""
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
        return not executor.runs and machine not in self.ordered and self.may_be_ordered(machine)

    def _order(self, move: Move, cpu_milli: int, now: Instant) -> None:
        self.ordered[move.machine] = _Ordered(move, now, cpu_milli)


def _is_standby(configuration: FleetConfiguration, service: ServiceId) -> bool:
    settings = configuration.service_by_name.get(service)
    return settings is not None and settings.standby


def _is_pinned(executor: Executor) -> bool:
    """Return whether a long-running task keeps an executor where it is."""
    return any(placed.task.step.spec.is_long_running for placed in executor.runs.values())


def _typical_cores(pool: list[Executor]) -> float:
    """Return the cores of one machine of a pool; 1 for a pool without machines."""
    return max((e.heartbeat.capacity.cpu_milli / 1000 for e in pool), default=1.0)
