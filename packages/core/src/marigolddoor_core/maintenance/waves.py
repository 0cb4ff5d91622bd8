"""Which VMs a wave takes next."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import DataCentreId, RackId, VmId
from marigolddoor_core.maintenance.budget import PoolLoss

__all__ = ["BudgetWave", "Candidate", "OneAtATime", "WavePolicy"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that is to be maintained. The lowest `order` goes first."""

    vm: VmId
    order: float


class WavePolicy(Protocol):
    """Chooses the VMs of one pool that are taken out of service now."""

    def choose(self, pool: PoolLoss, candidates: Iterable[Candidate]) -> list[VmId]:
        """Return the VMs to take, in order."""
        ...


class OneAtATime:
    """The baseline: a VM is taken when no other one is out of service."""

    def choose(self, pool: PoolLoss, candidates: Iterable[Candidate]) -> list[VmId]:
        """Return the first candidate if the pool is complete."""
        if pool.loss.total() or pool.headroom() <= 0:
            return []
        first = min(candidates, key=lambda candidate: (candidate.order, candidate.vm), default=None)
        return [] if first is None else [first.vm]


class BudgetWave:
    """Takes VMs up to the budget, rack by rack.

    VMs in racks that have a loss already go first: the loss of that rack then costs the pool fewer
    further VMs. A dead VM is always taken, because its maintenance loses nothing more. One that is
    set aside or suspected counts already, but may still answer requests: it is taken only while
    the budget is not exceeded.
    """

    def choose(self, pool: PoolLoss, candidates: Iterable[Candidate]) -> list[VmId]:
        """Return as many candidates as the budget allows."""
        waiting = {candidate.vm: candidate for candidate in candidates}
        domains = pool.domains()
        headroom = pool.headroom()
        chosen: list[VmId] = []
        for vm in sorted(waiting):
            is_counted = vm in pool.loss.unplanned
            if vm in pool.loss.dead or (is_counted and headroom >= 0):
                chosen.append(vm)
            if is_counted:
                del waiting[vm]
        while headroom > 0 and waiting:
            best = min(waiting.values(), key=lambda candidate: self._rank(pool, domains, candidate))
            del waiting[best.vm]
            record = pool.members[best.vm]
            domains.add((record.data_centre, record.rack))
            headroom -= 1
            chosen.append(best.vm)
        return chosen

    @staticmethod
    def _rank(
        pool: PoolLoss, domains: set[tuple[DataCentreId, RackId]], candidate: Candidate
    ) -> tuple[bool, float, str, str, str]:
        record = pool.members[candidate.vm]
        is_elsewhere = (record.data_centre, record.rack) not in domains
        return (is_elsewhere, candidate.order, record.data_centre, record.rack, candidate.vm)
