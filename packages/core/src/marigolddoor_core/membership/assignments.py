"""The committed assignments of the VMs of a data centre, as known to an entry process."""

from collections.abc import Iterable, Mapping

from marigolddoor_core.ids import PoolId, ServiceId, VmId
from marigolddoor_core.state.objects import VmRecord

__all__ = ["Assignments"]


class Assignments:
    """The VM records and the service of each pool, shared by holder and directory."""

    def __init__(self) -> None:
        self.records: dict[VmId, VmRecord] = {}
        self.services: Mapping[PoolId, ServiceId] = {}

    def replace(self, records: Iterable[VmRecord]) -> tuple[VmId, ...]:
        """Replace all records and return the VMs whose record changed."""
        new = {record.vm: record for record in records}
        changed = [vm for vm, record in new.items() if self.records.get(vm) != record]
        changed += [vm for vm in self.records if vm not in new]
        self.records = new
        return tuple(changed)

    def update(self, record: VmRecord) -> None:
        """Replace the record of one VM."""
        self.records[record.vm] = record

    def remove(self, vm: VmId) -> None:
        """Remove the record of one VM."""
        self.records.pop(vm, None)
