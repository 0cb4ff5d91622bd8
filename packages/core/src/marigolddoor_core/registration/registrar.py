"""Registration of targets that are new to the replicated state, or whose facts changed."""

from collections import Counter
from collections.abc import Iterable

from marigolddoor_core.actions import Action, ProposeCommand
from marigolddoor_core.declaration.organisation import Pool
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import DataCentreId, PoolId, RackId
from marigolddoor_core.state.commands import RegisterVm
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Announcement, TargetState

__all__ = ["Registrar"]


class Registrar:
    """Assigns each new VM to the pool with the largest deficit, spread over data centres and racks.

    A VM that returns keeps its pool; only its facts are updated.
    """

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return a registration for each announced VM that needs one."""
        pools = sorted(fleet.declaration.pools, key=lambda pool: pool.id)
        if not pools:
            return ()
        counts = _PoolCounts(fleet.vms.values())
        actions = []
        for target in _ready_targets(fleet):
            announcement = target.announcement
            known = fleet.vms.get(announcement.vm)
            if known is None:
                pool = counts.pool_with_largest_deficit(pools, announcement).id
                counts.add(pool, announcement.data_centre, announcement.rack)
                actions.append(ProposeCommand(_registration(announcement, pool)))
            elif _has_changed(known, announcement):
                actions.append(ProposeCommand(_registration(announcement, known.pool)))
        return tuple(actions)


class _PoolCounts:
    """The number of VMs of each pool, in total, by data centre and by rack."""

    def __init__(self, vms: Iterable[VmRecord]) -> None:
        self.sizes: Counter[PoolId] = Counter()
        self.in_data_centre: Counter[tuple[PoolId, DataCentreId]] = Counter()
        self.in_rack: Counter[tuple[PoolId, RackId]] = Counter()
        for vm in vms:
            self.add(vm.next_pool or vm.pool, vm.data_centre, vm.rack)

    def add(self, pool: PoolId, data_centre: DataCentreId, rack: RackId) -> None:
        self.sizes[pool] += 1
        self.in_data_centre[pool, data_centre] += 1
        self.in_rack[pool, rack] += 1

    def pool_with_largest_deficit(self, pools: list[Pool], announcement: Announcement) -> Pool:
        """Return the pool that should get a new VM.

        The criteria, in this order: below its size, fewest VMs in the data centre, smallest share
        of its size, fewest VMs in the rack, not spare.
        """
        return min(
            pools,
            key=lambda pool: (
                self.sizes[pool.id] >= pool.size,
                self.in_data_centre[pool.id, announcement.data_centre],
                self.sizes[pool.id] / pool.size,
                self.in_rack[pool.id, announcement.rack],
                pool.spare,
            ),
        )


def _ready_targets(fleet: Fleet) -> list[ObservedTarget]:
    ready = [
        target
        for target in fleet.targets.values()
        if target.state is TargetState.READY and not target.announcement.leaving
    ]
    return sorted(ready, key=lambda target: target.announcement.vm)


def _has_changed(known: VmRecord, announcement: Announcement) -> bool:
    return (
        known.address != announcement.address
        or known.rack != announcement.rack
        or known.capacity != announcement.capacity
        or known.slots != announcement.slots
    )


def _registration(announcement: Announcement, pool: PoolId) -> RegisterVm:
    return RegisterVm(
        announcement.vm,
        announcement.data_centre,
        announcement.rack,
        announcement.address,
        announcement.capacity,
        announcement.slots,
        pool,
    )
