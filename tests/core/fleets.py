"""Small fleets for tests of decisions."""

from collections.abc import Iterable

from marigolddoor_core.declaration import Declaration, Pool, Service
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    OrganisationId,
    PoolId,
    RackId,
    Revision,
    ServiceId,
    VmId,
)
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Announcement, Resources, TargetState

CAPACITY = Resources(16.0, 32_000)


def declaration(pools: Iterable[tuple[str, int]]) -> Declaration:
    """Return a declaration with one service for each of `pools`, given by name and size."""
    return Declaration(
        OrganisationId("example"),
        tuple(Service(ServiceId(name), PoolId(name), True, 2) for name, _ in pools),
        tuple(Pool(PoolId(name), size, 1, 1) for name, size in pools),
        (),
    )


def announcement(vm: str, data_centre: str, rack: str, address: str = "") -> Announcement:
    """Return an announcement of an idle target."""
    return Announcement(
        VmId(vm),
        DataCentreId(data_centre),
        RackId(rack),
        address or f"127.0.0.1:{9000 + int(vm.removeprefix('vm-'))}",
        8,
        0,
        CAPACITY,
        Epoch(0),
    )


def observed(
    announced: Announcement, state: TargetState = TargetState.READY, age_s: float = 0.5
) -> ObservedTarget:
    """Return the target that made the announcement."""
    return ObservedTarget(announced, state, age_s)


def record(announced: Announcement, pool: str, epoch: int = 1) -> VmRecord:
    """Return the record of the VM that made the announcement."""
    return VmRecord(
        announced.vm,
        announced.data_centre,
        announced.rack,
        announced.address,
        announced.capacity,
        announced.slots,
        PoolId(pool),
        Epoch(epoch),
    )


def fleet(
    declared: Declaration, targets: Iterable[ObservedTarget], vms: Iterable[VmRecord] = ()
) -> Fleet:
    """Return a fleet at consensus time 100 s."""
    return Fleet(
        100.0,
        Revision(1),
        declared,
        {vm.vm: vm for vm in vms},
        targets={target.announcement.vm: target for target in targets},
    )
