"""Chooses the VMs of the next maintenance wave."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import DataCentreId, RackId, VmId
from marigolddoor_core.maintenance.budget import PoolLoss

__all__ = ["BudgetWave", "Candidate", "OneAtATime", "WavePolicy"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that needs maintenance. The lowest `order` goes first."""

    vm: VmId
    order: float


class WavePolicy(Protocol):
    """Chooses the VMs of one pool that go out of service now."""

    def choose(self, pool: PoolLoss, candidates: Iterable[Candidate]) -> list[VmId]:
        """Return the chosen VMs, in order."""
        ...


class OneAtATime:
    """The baseline: chooses a VM only if no other one is out of service."""

    def choose(self, pool: PoolLoss, candidates: Iterable[Candidate]) -> list[VmId]:
        """Return the first candidate if no VM of the pool is out of service."""
        if pool.loss.total() or pool.headroom() <= 0:
            return []
        first = min(candidates, key=lambda candidate: (candidate.order, candidate.vm), default=None)
        return [] if first is None else [first.vm]


class BudgetWave:
    """Chooses VMs up to the budget, rack by rack.

    VMs in racks that already have a loss go first, so that a failure of that rack costs the pool
    fewer additional VMs. Dead VMs are always chosen, because their maintenance costs no capacity.
    VMs that are set aside or suspected already count as lost, but may still serve requests; they
    are chosen only while the budget is not exceeded.
    """

    def choose(self, pool: PoolLoss, candidates: Iterable[Candidate]) -> list[VmId]:
        """Return as many candidates as the budget allows."""
        remaining = {candidate.vm: candidate for candidate in candidates}
        domains = pool.domains()
        headroom = pool.headroom()
        chosen: list[VmId] = []
        for vm in sorted(remaining):
            is_counted = vm in pool.loss.unplanned
            if vm in pool.loss.dead or (is_counted and headroom >= 0):
                chosen.append(vm)
            if is_counted:
                del remaining[vm]
        while headroom > 0 and remaining:
            next_candidate = min(
                remaining.values(), key=lambda candidate: self._rank(pool, domains, candidate)
            )
            del remaining[next_candidate.vm]
            record = pool.members[next_candidate.vm]
            domains.add((record.data_centre, record.rack))
            headroom -= 1
            chosen.append(next_candidate.vm)
        return chosen

    @staticmethod
    def _rank(
        pool: PoolLoss, domains: set[tuple[DataCentreId, RackId]], candidate: Candidate
    ) -> tuple[bool, float, str, str, str]:
        record = pool.members[candidate.vm]
        is_new_domain = (record.data_centre, record.rack) not in domains
        return (is_new_domain, candidate.order, record.data_centre, record.rack, candidate.vm)
