"""The part of the declared state that an entry process watches and uses."""

from collections.abc import Iterable
from typing import NamedTuple

from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import LogIndex, PoolId, Revision, ServiceId, TeamId, VmId
from marigolddoor_core.state.objects import Change, ObjectKind, RevisionRecord, VmRecord

__all__ = ["Catalogue"]


class _ObjectKey(NamedTuple):
    kind: ObjectKind
    key: str


class Catalogue:
    """Services, pools, teams and VMs in force. No object is replaced by one of a lower index."""

    def __init__(self) -> None:
        self.index = LogIndex(0)
        self.revision = Revision(0)
        self.services: dict[ServiceId, Service] = {}
        self.pools: dict[PoolId, Pool] = {}
        self.teams: dict[TeamId, Team] = {}
        self.vms: dict[VmId, VmRecord] = {}
        self.indexes: dict[_ObjectKey, LogIndex] = {}

    def apply(self, index: LogIndex, changes: Iterable[Change], snapshot: bool) -> bool:
        """Apply changes up to `index`; return False if a later index has been applied.

        A snapshot replaces everything. An outdated one, which a lagging replica may send after a
        failover, is ignored.
        """
        if index < self.index:
            return False
        if snapshot:
            self.services, self.pools, self.teams, self.vms = {}, {}, {}, {}
            self.indexes = {}
        for change in changes:
            key = _ObjectKey(change.kind, change.key)
            if change.index >= self.indexes.get(key, LogIndex(0)):
                self.indexes[key] = change.index
                self._set(change)
        self.index = index
        return True

    def _set(self, change: Change) -> None:
        value = change.value
        if isinstance(value, RevisionRecord):
            self.revision = max(self.revision, value.revision)
        elif change.kind is ObjectKind.SERVICE:
            if isinstance(value, Service):
                self.services[value.id] = value
            else:
                self.services.pop(ServiceId(change.key), None)
        elif change.kind is ObjectKind.POOL:
            if isinstance(value, Pool):
                self.pools[value.id] = value
            else:
                self.pools.pop(PoolId(change.key), None)
        elif change.kind is ObjectKind.TEAM:
            if isinstance(value, Team):
                self.teams[value.id] = value
            else:
                self.teams.pop(TeamId(change.key), None)
        elif change.kind is ObjectKind.VM:
            if isinstance(value, VmRecord):
                self.vms[value.vm] = value
            else:
                self.vms.pop(VmId(change.key), None)
