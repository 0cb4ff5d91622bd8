"""When each VM is due for its regular maintenance."""

import zlib

from marigolddoor_core.declaration.organisation import Pool
from marigolddoor_core.ids import VmId
from marigolddoor_core.state.objects import VmRecord

__all__ = ["due_since_s"]

# A VM waits for the budget of its pool, so its turn comes after 90% of the interval.
TURN_SHARE = 0.9
PHASES = 2**32


def due_since_s(record: VmRecord, pool: Pool, now_s: float) -> float | None:
    """Return the time since when a VM is due, or None if it is not.

    Each VM has a fixed turn in every period, drawn from its id, so the turns of a pool are spread
    evenly and stay in place when VMs come and go. A VM whose turn has passed since its last
    maintenance is due.
    """
    period_s = pool.maintenance_interval_s * TURN_SHARE
    if period_s <= 0.0:
        return None
    offset_s = phase(record.vm) * period_s
    turn_s = (now_s - offset_s) // period_s * period_s + offset_s
    return turn_s if record.maintained_s < turn_s else None


def phase(vm: VmId) -> float:
    """Return the place of a VM in the period, from 0 up to 1."""
    return zlib.crc32(vm.encode()) / PHASES
