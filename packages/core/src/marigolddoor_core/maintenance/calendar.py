"""Computes when each VM is due for its regular maintenance."""

import zlib

from marigolddoor_core.declaration.organisation import Pool
from marigolddoor_core.ids import VmId
from marigolddoor_core.state.objects import VmRecord

__all__ = ["due_since_s"]

# A due VM waits for the budget of its pool, so VMs are scheduled after 90% of the interval.
PERIOD_SHARE = 0.9
PHASE_STEPS = 2**32


def due_since_s(record: VmRecord, pool: Pool, now_s: float) -> float | None:
    """Return the time since which a VM is due, or None if it is not.

    Each VM has a fixed time in every period, derived from a hash of its id. So the times in a pool
    are spread evenly and do not shift when VMs join or leave. A VM is due if its time has passed
    since its last maintenance.
    """
    period_s = pool.maintenance_interval_s * PERIOD_SHARE
    if period_s <= 0.0:
        return None
    offset_s = phase(record.vm) * period_s
    scheduled_s = (now_s - offset_s) // period_s * period_s + offset_s
    return scheduled_s if record.maintained_s < scheduled_s else None


def phase(vm: VmId) -> float:
    """Return the phase of a VM in the period, from 0 to below 1."""
    return zlib.crc32(vm.encode()) / PHASE_STEPS
