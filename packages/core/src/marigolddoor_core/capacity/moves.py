"""Decides when VMs move between pools."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.declaration.organisation import Weights
from marigolddoor_core.ids import PoolId

__all__ = ["DelayedMoves", "ImmediateMoves", "Move", "MovePolicy", "PoolState"]

# A move costs a drain and the return of the VM; a shorter shortage has ended before the move helps.
MOVE_COST_S = 60.0
# A VM that is returned too early is moved again, at twice the cost of keeping it longer.
RETURN_DELAY_FACTOR = 5.0
# Bounds the effect of the weights on the delays, so that no weight stops moves or causes too many.
MAX_WEIGHT_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class PoolState:
    """The input of a move policy for one pool. VMs that move count as `members` of the receiver."""

    pool: PoolId
    members: int
    declared: int
    floor: int
    is_spare: bool
    latest_vms: int
    mean_vms: int

    def surplus(self) -> int:
        """Return the number of VMs above the floor of a spare pool, or above the declared size."""
        return self.members - (self.floor if self.is_spare else self.declared)


@dataclass(frozen=True, slots=True)
class Move:
    """A decision to move one VM from a pool to another."""

    donor: PoolId
    receiver: PoolId


class MovePolicy(Protocol):
    """Decides which moves to begin."""

    def moves(self, pools: Sequence[PoolState], now_s: float) -> list[Move]:
        """Return the moves to begin now."""
        ...


class ImmediateMoves:
    """The baseline: VMs follow the current demand without delay."""

    def moves(self, pools: Sequence[PoolState], now_s: float) -> list[Move]:
        """Return a move for each VM that a pool lacks now, while donors have VMs to spare."""
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


class DelayedMoves:
    """Moves a VM after the mean demand has exceeded the pool's size for longer than a move costs.

    The VM returns after the pool, without it, would have had one VM more than it needs for 5 times
    as long. The ratio of the weights of moves and buffer scales both delays.
    """

    def __init__(self, weights: Weights) -> None:
        factor = MAX_WEIGHT_FACTOR
        if weights.buffer > 0.0:
            factor = min(max(weights.moves / weights.buffer, 1 / factor), factor)
        self.move_after_s = MOVE_COST_S * factor
        self.return_after_s = self.move_after_s * RETURN_DELAY_FACTOR
        self.members: dict[PoolId, int] = {}
        self.shortage_since_s: dict[PoolId, float] = {}
        self.surplus_since_s: dict[PoolId, float] = {}

    def moves(self, pools: Sequence[PoolState], now_s: float) -> list[Move]:
        """Return at most one move to each pool with a shortage, and one from each with a surplus.

        A change of a pool's members restarts its delays, so that each further VM needs a shortage
        of its own. A move that could not begin is returned again.
        """
        by_id = {pool.pool: pool for pool in pools}
        for pool in pools:
            if self.members.get(pool.pool) != pool.members:
                self.members[pool.pool] = pool.members
                self.shortage_since_s.pop(pool.pool, None)
                self.surplus_since_s.pop(pool.pool, None)
            _track_since(self.shortage_since_s, pool.pool, pool.mean_vms > pool.members, now_s)
            has_surplus = not pool.is_spare and pool.members > max(pool.declared, pool.mean_vms + 1)
            _track_since(self.surplus_since_s, pool.pool, has_surplus, now_s)
        surplus = {pool.pool: self._surplus(pool) for pool in pools}
        moves: list[Move] = []
        for receiver, since_s in sorted(self.shortage_since_s.items(), key=lambda item: item[1]):
            if now_s - since_s < self.move_after_s:
                continue
            donor = _choose_donor(by_id, surplus, receiver)
            if donor is not None:
                surplus[donor] -= 1
                moves.append(Move(donor, receiver))
        for donor, since_s in sorted(self.surplus_since_s.items(), key=lambda item: item[1]):
            return_pool = _choose_return_pool(pools)
            if (
                now_s - since_s >= self.return_after_s
                and surplus[donor] > 0
                and return_pool is not None
            ):
                surplus[donor] -= 1
                moves.append(Move(donor, return_pool))
        return moves

    @staticmethod
    def _surplus(pool: PoolState) -> int:
        """Return the number of VMs that a pool can give without a shortage of its own."""
        return min(pool.surplus(), pool.members - pool.mean_vms)


def _track_since(since_s: dict[PoolId, float], pool: PoolId, holds: bool, now_s: float) -> None:
    if holds:
        since_s.setdefault(pool, now_s)
    else:
        since_s.pop(pool, None)


def _choose_donor(
    pools: Mapping[PoolId, PoolState], surplus: Mapping[PoolId, int], receiver: PoolId
) -> PoolId | None:
    """Return the pool with the largest surplus; spare pools come last."""
    donors = [pool for pool, count in surplus.items() if count > 0 and pool != receiver]
    return max(
        donors,
        key=lambda pool: (not pools[pool].is_spare, surplus[pool], pool),
        default=None,
    )


def _choose_return_pool(pools: Sequence[PoolState]) -> PoolId | None:
    """Return the pool that is furthest below its declared size."""
    lacking = [pool for pool in pools if pool.members < pool.declared]
    largest = max(lacking, key=lambda pool: (pool.declared - pool.members, pool.pool), default=None)
    return None if largest is None else largest.pool
