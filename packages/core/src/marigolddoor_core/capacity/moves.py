"""When a VM moves from one pool to another."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.declaration.organisation import Weights
from marigolddoor_core.ids import PoolId

__all__ = ["FollowBursts", "Move", "MovePolicy", "PatientMoves", "PoolState"]

# A move costs a drain and the return of the VM; a shorter shortage is over before it helps.
MOVE_COST_S = 60.0
# A VM that is given back too early is taken again, at twice the cost of keeping it a while.
GIVE_BACK_FACTOR = 5.0
# The weights bend the times this much at most, so that no weight stops or floods the moves.
MAX_WEIGHT_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class PoolState:
    """A pool as moves see it. `members` counts each VM where it will be after its move."""

    pool: PoolId
    members: int
    declared: int
    floor: int
    is_spare: bool
    latest_vms: int
    mean_vms: int

    def surplus(self) -> int:
        """Return how many VMs the pool may give: spare ones, or those that it got before."""
        return self.members - (self.floor if self.is_spare else self.declared)


@dataclass(frozen=True, slots=True)
class Move:
    """A VM is to move from one pool to another."""

    donor: PoolId
    receiver: PoolId


class MovePolicy(Protocol):
    """Decides which pools give VMs to which."""

    def moves(self, pools: Sequence[PoolState], now_s: float) -> list[Move]:
        """Return the moves to begin now."""
        ...


class FollowBursts:
    """The baseline: VMs go where the demand is at this moment."""

    def moves(self, pools: Sequence[PoolState], now_s: float) -> list[Move]:
        """Return a move for each VM that a pool lacks now."""
        moves: list[Move] = []
        spare = {
            pool.pool: max(0, pool.members - max(pool.latest_vms, pool.floor)) for pool in pools
        }
        for pool in sorted(pools, key=lambda pool: (pool.members - pool.latest_vms, pool.pool)):
            for _ in range(pool.latest_vms - pool.members):
                donor = max(spare, key=lambda other: (spare[other], other))
                if spare[donor] <= 0:
                    return moves
                spare[donor] -= 1
                moves.append(Move(donor, pool.pool))
        return moves


class PatientMoves:
    """A VM moves when the mean demand has been above the pool for longer than a move costs.

    It moves back when the pool has had one VM more than it needs, after giving, for 5 times as
    long. The weight of moves against buffer stretches or shortens both times.
    """

    def __init__(self, weights: Weights) -> None:
        factor = MAX_WEIGHT_FACTOR
        if weights.buffer > 0.0:
            factor = min(max(weights.moves / weights.buffer, 1 / factor), factor)
        self.take_after_s = MOVE_COST_S * factor
        self.give_after_s = self.take_after_s * GIVE_BACK_FACTOR
        self.members: dict[PoolId, int] = {}
        self.short_since_s: dict[PoolId, float] = {}
        self.rich_since_s: dict[PoolId, float] = {}

    def moves(self, pools: Sequence[PoolState], now_s: float) -> list[Move]:
        """Return at most one move for each pool that is short, and one back from each that is rich.

        A pool whose members changed starts its times again, so that each further VM needs its own
        shortage. A move that could not begin is returned again.
        """
        by_id = {pool.pool: pool for pool in pools}
        for pool in pools:
            if self.members.get(pool.pool) != pool.members:
                self.members[pool.pool] = pool.members
                self.short_since_s.pop(pool.pool, None)
                self.rich_since_s.pop(pool.pool, None)
            _track_since(self.short_since_s, pool.pool, pool.mean_vms > pool.members, now_s)
            is_rich = not pool.is_spare and pool.members > max(pool.declared, pool.mean_vms + 1)
            _track_since(self.rich_since_s, pool.pool, is_rich, now_s)
        surplus = {pool.pool: self._surplus(pool) for pool in pools}
        moves: list[Move] = []
        for receiver, since_s in sorted(self.short_since_s.items(), key=lambda item: item[1]):
            if now_s - since_s < self.take_after_s:
                continue
            donor = _donor(by_id, surplus, receiver)
            if donor is not None:
                surplus[donor] -= 1
                moves.append(Move(donor, receiver))
        for donor, since_s in sorted(self.rich_since_s.items(), key=lambda item: item[1]):
            home = _home(pools)
            if now_s - since_s >= self.give_after_s and surplus[donor] > 0 and home is not None:
                surplus[donor] -= 1
                moves.append(Move(donor, home))
        return moves

    @staticmethod
    def _surplus(pool: PoolState) -> int:
        """Return what a pool can give without being short itself."""
        return min(pool.surplus(), pool.members - pool.mean_vms)


def _track_since(since_s: dict[PoolId, float], pool: PoolId, holds: bool, now_s: float) -> None:
    if holds:
        since_s.setdefault(pool, now_s)
    else:
        since_s.pop(pool, None)


def _donor(
    pools: Mapping[PoolId, PoolState], surplus: Mapping[PoolId, int], receiver: PoolId
) -> PoolId | None:
    """Return the pool with the most to give; pools that hold borrowed VMs give before the spare."""
    givers = [pool for pool, count in surplus.items() if count > 0 and pool != receiver]
    return max(
        givers,
        key=lambda pool: (not pools[pool].is_spare, surplus[pool], pool),
        default=None,
    )


def _home(pools: Sequence[PoolState]) -> PoolId | None:
    """Return the pool that lacks most of its declared size."""
    lacking = [pool for pool in pools if pool.members < pool.declared]
    home = max(lacking, key=lambda pool: (pool.declared - pool.members, pool.pool), default=None)
    return None if home is None else home.pool
