"""Index of the free capacity of the workers of one pool, which avoids a scan of all workers."""

from collections.abc import Callable

from marigolddoor_core.ids import VmId
from marigolddoor_core.targets import Resources

__all__ = ["FreeCapacityIndex"]

MEMORY_STEP_MB = 4096
# Enough candidates to choose between racks; more would cost time without a better choice.
MAX_CANDIDATES = 8

Bucket = tuple[int, int, int]


class FreeCapacityIndex:
    """Groups workers by free accelerators, whole cores and memory steps.

    `generation` grows whenever a worker gains free capacity; a failed search need not be repeated
    before that.
    """

    def __init__(self) -> None:
        self.free: dict[VmId, Resources] = {}
        self.buckets: dict[Bucket, dict[VmId, None]] = {}
        self.generation = 0

    def update(self, vm: VmId, free: Resources) -> None:
        """Record the free capacity of a worker."""
        old = self.free.get(vm)
        if old == free:
            return
        if old is None or not free.fits(old):
            self.generation += 1
        if old is not None:
            self._remove_from_bucket(vm, old)
        self.free[vm] = free
        self.buckets.setdefault(_bucket(free), {})[vm] = None

    def remove(self, vm: VmId) -> None:
        """Remove a worker from the index."""
        old = self.free.pop(vm, None)
        if old is not None:
            self._remove_from_bucket(vm, old)

    def find(self, size: Resources, accept: Callable[[VmId], bool]) -> list[VmId]:
        """Return up to 8 workers that fit `size`, those with the least free capacity first."""
        minimum = _bucket(size)
        found: list[VmId] = []
        for bucket in sorted(b for b in self.buckets if _covers(b, minimum)):
            for vm in self.buckets[bucket]:
                if size.fits(self.free[vm]) and accept(vm):
                    found.append(vm)
                    if len(found) == MAX_CANDIDATES:
                        return found
        return found

    def _remove_from_bucket(self, vm: VmId, free: Resources) -> None:
        bucket = _bucket(free)
        members = self.buckets[bucket]
        del members[vm]
        if not members:
            del self.buckets[bucket]


def _bucket(free: Resources) -> Bucket:
    return (free.accelerators, int(free.cores // 1), free.memory_mb // MEMORY_STEP_MB)


def _covers(bucket: Bucket, minimum: Bucket) -> bool:
    return bucket[0] >= minimum[0] and bucket[1] >= minimum[1] and bucket[2] >= minimum[2]
