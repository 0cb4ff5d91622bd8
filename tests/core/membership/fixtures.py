"""Announcements, records and holders for the membership tests."""

from typing import Any

from marigolddoor_core.ids import DataCentreId, Epoch, PoolId, ProcessId, RackId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.membership import Assignments, HolderDelta, TargetHolder
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Announcement, Resources

SIZE = Resources(16.0, 32_000)
EAST = DataCentreId("east")


def announcement(vm: str = "vm-1", incarnation: str = "a", **parts: Any) -> Announcement:
    values = {"epoch": Epoch(1), "slots": 8, "busy_slots": 0, "address": "127.0.0.1:9000"} | parts
    return Announcement(
        VmId(vm), EAST, RackId("rack-1"), capacity=SIZE, incarnation=incarnation, **values
    )


def record(vm: str = "vm-1", pool: str = "web", epoch: int = 1, **parts: Any) -> VmRecord:
    return VmRecord(
        VmId(vm),
        EAST,
        RackId("rack-1"),
        "127.0.0.1:9000",
        SIZE,
        8,
        PoolId(pool),
        Epoch(epoch),
        **parts,
    )


def holder(process: str = "p1", *records: VmRecord) -> TargetHolder:
    assignments = Assignments()
    assignments.replace(records)
    return TargetHolder(ProcessId(process), assignments)


def at(seconds: float) -> Instant:
    return Instant(seconds)


def states(delta: HolderDelta | None) -> dict[str, str]:
    """Return the state of each VM in a delta; `gone` for removed ones."""
    if delta is None:
        return {}
    reported = {str(target.announcement.vm): target.state.value for target in delta.targets}
    return reported | {str(vm): "gone" for vm in delta.gone}
