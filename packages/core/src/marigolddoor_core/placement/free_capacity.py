"""The free room of the workers of one pool, indexed so that a search does not look at them all."""

from collections.abc import Callable

from marigolddoor_core.ids import VmId
from marigolddoor_core.targets import Resources

__all__ = ["RoomIndex"]

MEMORY_STEP_MB = 4096
# Enough candidates to choose between racks; more would cost without a better choice.
CANDIDATES = 8

Bucket = tuple[int, int, int]


class RoomIndex:
    """Groups workers by free accelerators, whole cores and memory steps.

    `generation` grows whenever a worker gains room, so a search that failed need not be repeated
    before that.
    """

    def __init__(self) -> None:
        self.free: dict[VmId, Resources] = {}
        self.buckets: dict[Bucket, dict[VmId, None]] = {}
        self.generation = 0

    def put(self, vm: VmId, free: Resources) -> None:
        """Record the free room of a worker."""
        old = self.free.get(vm)
        if old == free:
            return
        if old is None or not free.fits(old):
            self.generation += 1
        if old is not None:
            self._leave(vm, old)
        self.free[vm] = free
        self.buckets.setdefault(_bucket(free), {})[vm] = None

    def drop(self, vm: VmId) -> None:
        """Take a worker out of the index."""
        old = self.free.pop(vm, None)
        if old is not None:
            self._leave(vm, old)

    def find(self, size: Resources, accept: Callable[[VmId], bool]) -> list[VmId]:
        """Return up to 8 workers with room for `size`, those with the least room first."""
        least = _bucket(size)
        found: list[VmId] = []
        for bucket in sorted(b for b in self.buckets if _covers(b, least)):
            for vm in self.buckets[bucket]:
                if size.fits(self.free[vm]) and accept(vm):
                    found.append(vm)
                    if len(found) == CANDIDATES:
                        return found
        return found

    def _leave(self, vm: VmId, free: Resources) -> None:
        bucket = _bucket(free)
        members = self.buckets[bucket]
        del members[vm]
        if not members:
            del self.buckets[bucket]


def _bucket(free: Resources) -> Bucket:
    return (free.accelerators, int(free.cores // 1), free.memory_mb // MEMORY_STEP_MB)


def _covers(bucket: Bucket, least: Bucket) -> bool:
    return bucket[0] >= least[0] and bucket[1] >= least[1] and bucket[2] >= least[2]
