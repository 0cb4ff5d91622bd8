"""Trouble that staff would not report by themselves, each kind found by one detector."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.declaration.organisation import Job, Pool, Team
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import DataCentreId, PoolId, RackId, TeamId, VmId
from marigolddoor_core.maintenance.budget import PoolLoss
from marigolddoor_core.placement.concerns import SILENT_TARGET
from marigolddoor_core.questions.book import Concern
from marigolddoor_core.state.commands import Choice, Fact, MaintenanceStep
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Resources, TargetState

__all__ = [
    "ALLOW",
    "CUT_OFF",
    "OVERDUE",
    "POOL_BUDGET",
    "QUOTA",
    "SILENT_RACK",
    "Detector",
    "Finding",
    "cut_off_data_centres",
    "overdue_waves",
    "pools_over_budget",
    "silent_racks",
    "silent_targets",
    "unmeetable_quotas",
]

SILENT_RACK = "rack-silent:"
POOL_BUDGET = "pool-budget:"
QUOTA = "quota:"
OVERDUE = "wave-overdue:"
ALLOW = "allow-"
CUT_OFF = "data-centre-silent:"

DAY_S = 86_400.0
# A crashed VM is back within a few minutes; a rack or a data centre is not rebooted from here.
REBOOT_AFTER_S = 600.0
# VMs of a new fleet announce themselves within a minute; until then it looks too small.
GATHERING_S = 120.0
# From this many silent VMs of one rack on, the rack is what fell silent.
RACK_VMS = 3


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong now; it is asked about once it has lasted `after_s`.

    `vms` are the VMs that it is about, for answers that name them.
    """

    concern: Concern
    after_s: float
    vms: tuple[VmRecord, ...] = ()


class Detector(Protocol):
    """Finds one kind of trouble."""

    def __call__(self, fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
        """Return what is wrong now."""
        ...


WAIT = Choice("wait", "Nothing is changed; the system goes on by itself when the cause is gone.")


def _dead(fleet: Fleet) -> list[VmRecord]:
    """Return the VMs that are confirmed dead, apart from reboots and from cut-off data centres."""
    return [
        record
        for vm, record in sorted(fleet.vms.items())
        if vm in fleet.targets
        and fleet.targets[vm].state is TargetState.DEAD
        and record.maintenance in (None, MaintenanceStep.DONE)
        and record.data_centre not in fleet.unresponsive_data_centres
    ]


def _by_rack(records: Iterable[VmRecord]) -> dict[tuple[DataCentreId, RackId], list[VmRecord]]:
    racks: dict[tuple[DataCentreId, RackId], list[VmRecord]] = {}
    for record in records:
        racks.setdefault((record.data_centre, record.rack), []).append(record)
    return racks


def _last_heard(fleet: Fleet, vm: VmId) -> Fact:
    age_s = fleet.targets[vm].age_s
    return Fact(f"{vm} last announced itself {age_s:.0f} s ago.", fleet.now_s - age_s)


def silent_targets(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find single VMs that fell silent."""
    found: list[Finding] = []
    for records in _by_rack(_dead(fleet)).values():
        if len(records) >= RACK_VMS:
            continue
        for record in records:
            concern = Concern(
                f"{SILENT_TARGET}{record.vm}",
                f"VM {record.vm} of pool {record.pool} fell silent. What should happen?",
                (_last_heard(fleet, record.vm),),
                (
                    Choice("reboot", "The platform is asked to reboot the VM."),
                    Choice("retire", "The VM is removed; another one may take its place."),
                    WAIT,
                ),
                "reboot",
                REBOOT_AFTER_S,
            )
            found.append(Finding(concern, 30.0, (record,)))
    return found


def silent_racks(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find racks of which several VMs fell silent."""
    found: list[Finding] = []
    for (data_centre, rack), records in _by_rack(_dead(fleet)).items():
        if len(records) < RACK_VMS:
            continue
        concern = Concern(
            f"{SILENT_RACK}{data_centre}/{rack}",
            f"{len(records)} VMs of rack {rack} in {data_centre} fell silent. What should happen?",
            tuple(_last_heard(fleet, record.vm) for record in records),
            (WAIT, Choice("retire", "These VMs are removed; others may take their place.")),
            "wait",
            DAY_S,
        )
        found.append(Finding(concern, 30.0, tuple(records)))
    return found


def pools_over_budget(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find pools that have lost more VMs than their budget allows."""
    found: list[Finding] = []
    for pool, entry in losses.items():
        if not entry.members or entry.headroom() >= 0 or not fleet.targets:
            continue
        out = ", ".join(sorted(entry.loss.planned | entry.loss.unplanned)) or "none"
        concern = Concern(
            f"{POOL_BUDGET}{pool}",
            f"Pool {pool} has lost more VMs than its budget allows. What should happen?",
            (
                Fact(
                    f"{entry.loss.total()} VMs are out of service and "
                    f"{entry.pool.max_unavailable} may be.",
                    fleet.now_s,
                ),
                Fact(f"Out of service: {out}. Missing: {entry.loss.missing}.", fleet.now_s),
            ),
            (
                WAIT,
                allowance(entry.pool, entry.loss.total()),
            ),
            "wait",
            DAY_S,
        )
        found.append(Finding(concern, 60.0))
    return found


def unmeetable_quotas(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find quotas larger than the fleet, and quotas smaller than one task of their team."""
    if not fleet.vms:
        return []
    total = sum((record.capacity for record in fleet.vms.values()), Resources(0.0, 0))
    teams = {team.id: team for team in fleet.declaration.teams}
    too_large = {
        team.id: f"The quota is {team.cores:g} cores and the fleet has {total.cores:g}."
        for team in fleet.declaration.teams
        if team.cores > total.cores
    }
    too_small = {
        job.team: f"A task of job {job.id} needs {job.size.cores:g} cores and the quota is "
        f"{teams[job.team].cores:g}."
        for job in fleet.declaration.jobs
        if job.team in teams and job.size.cores > teams[job.team].cores
    }
    return [
        Finding(
            _quota_concern(team, fact, fleet.now_s),
            0.0 if team in too_small else GATHERING_S,
        )
        for team, fact in sorted({**too_large, **too_small}.items())
    ]


def _quota_concern(team: TeamId, fact: str, now_s: float) -> Concern:
    return Concern(
        f"{QUOTA}{team}",
        f"The quota of team {team} cannot be met. Is it meant to be so?",
        (Fact(fact, now_s),),
        (
            Choice("keep", "The quota stays; work beyond what can be had waits."),
            Choice("fit", "A new revision sets the quota to what can be met and is needed."),
        ),
        "keep",
        DAY_S,
    )


def overdue_waves(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find pools with VMs that were not maintained within the interval."""
    found: list[Finding] = []
    for pool, entry in losses.items():
        overdue = [
            record
            for record in entry.members.values()
            if fleet.now_s - record.maintained_s > entry.pool.maintenance_interval_s > 0.0
        ]
        if not overdue:
            continue
        oldest = min(overdue, key=lambda record: (record.maintained_s, record.vm))
        age_days = (fleet.now_s - oldest.maintained_s) / DAY_S
        concern = Concern(
            f"{OVERDUE}{pool}",
            f"The maintenance of pool {pool} cannot finish in time. Should it take more at once?",
            (
                Fact(f"{len(overdue)} VMs are overdue.", fleet.now_s),
                Fact(f"{oldest.vm} was last maintained {age_days:.1f} days ago.", fleet.now_s),
                Fact(
                    f"{entry.loss.total()} of {entry.pool.max_unavailable} VMs that may be out "
                    "of service are.",
                    fleet.now_s,
                ),
            ),
            (WAIT, allowance(entry.pool, entry.pool.max_unavailable + 1)),
            "wait",
            DAY_S,
        )
        found.append(Finding(concern, 3_600.0))
    return found


def cut_off_data_centres(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find data centres from which nothing is heard."""
    found: list[Finding] = []
    for data_centre in sorted(fleet.unresponsive_data_centres):
        records = tuple(
            record for _, record in sorted(fleet.vms.items()) if record.data_centre == data_centre
        )
        ages = [fleet.targets[r.vm].age_s for r in records if r.vm in fleet.targets]
        heard = Fact("This leader has heard no announcement from it.", fleet.now_s)
        if ages:
            age_s = min(ages)
            heard = Fact(f"The last announcement is {age_s:.0f} s old.", fleet.now_s - age_s)
        concern = Concern(
            f"{CUT_OFF}{data_centre}",
            f"Nothing is heard from data centre {data_centre}. Is it lost or only cut off?",
            (
                Fact(f"{len(records)} VMs are in it.", fleet.now_s),
                heard,
            ),
            (
                Choice("cut-off", "Its VMs keep their pools, and the system waits for them."),
                Choice("lost", "Its VMs are removed from their pools."),
            ),
            "cut-off",
            DAY_S,
        )
        found.append(Finding(concern, 0.0, records))
    return found


def allowance(pool: Pool, vms: int) -> Choice:
    """Return the choice to let `vms` VMs of a pool be out of service; its name carries the number.

    The number makes the answer an absolute one, so that carrying it out twice changes nothing.
    """
    allowed = max(pool.max_unavailable, min(vms, pool.size - 1))
    return Choice(
        f"{ALLOW}{allowed}", f"A new revision lets {allowed} VMs be out of service at once."
    )


def fitted_team(team: Team, jobs: Iterable[Job], total: Resources) -> Team:
    """Return the team with a quota that can be met and holds at least one task of each job."""
    largest = max((job.size.cores for job in jobs if job.team == team.id), default=0.0)
    return Team(team.id, team.slots, max(min(team.cores, total.cores), largest))
