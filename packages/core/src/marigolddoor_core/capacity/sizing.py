"""Computes how many VMs each pool needs, and the buffer that all pools share."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import PoolId

__all__ = ["USE_SHARE", "OwnPeakSizing", "PoolDemand", "SharedBufferSizing", "Sizing", "vms_for"]

# Queues stay short up to this utilisation of the slots.
USE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """The demand for the services of one pool, in slots, and the layout of the pool.

    `rack_vms` is the number of VMs in the largest rack of the pool.
    """

    pool: PoolId
    mean_slots: float
    peak_slots: float
    vm_slots: int
    floor: int
    rack_vms: int
    is_spare: bool = False


class Sizing(Protocol):
    """Decides the number of VMs of each pool."""

    def sizes(
        self, pools: Sequence[PoolDemand], overflow_peak_slots: float
    ) -> Mapping[PoolId, int]:
        """Return the VMs that each pool needs.

        Args:
          pools: the demand of every pool.
          overflow_peak_slots: the peak of the demand above the mean, summed over all pools at one
            moment.
        """
        ...


class OwnPeakSizing:
    """The baseline: every pool covers its own peak and the loss of its largest rack."""

    def sizes(
        self, pools: Sequence[PoolDemand], overflow_peak_slots: float
    ) -> Mapping[PoolId, int]:
        """Return the VMs that each pool needs."""
        return {
            pool.pool: max(pool.floor, vms_for(pool.peak_slots, pool.vm_slots) + pool.rack_vms)
            for pool in pools
        }


class SharedBufferSizing:
    """Every pool covers its mean; the spare pool covers the joint overflow and one rack for all.

    A loan replaces the largest rack of a pool that fails, so one rack of buffer is enough. It does
    not cover racks of two pools that fail at the same time.
    """

    def sizes(
        self, pools: Sequence[PoolDemand], overflow_peak_slots: float
    ) -> Mapping[PoolId, int]:
        """Return the VMs that each pool needs."""
        sizes = {
            pool.pool: max(pool.floor, vms_for(pool.mean_slots, pool.vm_slots)) for pool in pools
        }
        largest_rack = max((pool.rack_vms for pool in pools), default=0)
        spare = next((pool for pool in pools if pool.is_spare), None)
        if spare is None:
            return {pool.pool: sizes[pool.pool] + pool.rack_vms for pool in pools}
        sizes[spare.pool] += vms_for(overflow_peak_slots, spare.vm_slots) + largest_rack
        return sizes


def vms_for(slots: float, vm_slots: int) -> int:
    """Return the VMs that serve a demand of `slots` at a utilisation of `USE_SHARE`."""
    return math.ceil(slots / USE_SHARE / vm_slots - 1e-9) if vm_slots > 0 else 0
