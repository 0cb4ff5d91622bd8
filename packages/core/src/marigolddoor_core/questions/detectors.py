"""Detectors of problems that users and staff do not report; one function for each kind."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.declaration.organisation import Job, Pool, Team
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import DataCentreId, PoolId, RackId, TeamId, VmId
from marigolddoor_core.maintenance.budget import PoolLoss
from marigolddoor_core.placement.placement_questions import UNRESPONSIVE_TARGET
from marigolddoor_core.questions.question_tracker import QuestionDraft
from marigolddoor_core.state.commands import Choice, Fact, MaintenanceStep
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import Resources, TargetState

__all__ = [
    "ALLOW",
    "OVERDUE",
    "POOL_BUDGET",
    "QUOTA",
    "UNREACHABLE_DATA_CENTRE",
    "UNRESPONSIVE_RACK",
    "Detector",
    "Finding",
    "overdue_waves",
    "pools_over_budget",
    "unreachable_data_centres",
    "unresponsive_racks",
    "unresponsive_targets",
    "unsatisfiable_quotas",
]

UNRESPONSIVE_RACK = "rack-silent:"
POOL_BUDGET = "pool-budget:"
QUOTA = "quota:"
OVERDUE = "wave-overdue:"
ALLOW = "allow-"
UNREACHABLE_DATA_CENTRE = "data-centre-silent:"

DAY_S = 86_400.0
# A crashed VM returns within a few minutes. Racks and data centres are not rebooted here.
REBOOT_AFTER_S = 600.0
# VMs of a new fleet announce themselves within a minute; until then its capacity seems too small.
REGISTRATION_GRACE_S = 120.0
# With this many unresponsive VMs in one rack, the rack itself is reported.
RACK_VMS = 3


@dataclass(frozen=True, slots=True)
class Finding:
    """A problem that exists now; operators are asked once it has lasted `after_s`.

    `vms` are the affected VMs, for answers that act on them.
    """

    draft: QuestionDraft
    after_s: float
    vms: tuple[VmRecord, ...] = ()


class Detector(Protocol):
    """Detects one kind of problem."""

    def __call__(self, fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
        """Return the problems that exist now."""
        ...


WAIT = Choice("wait", "Nothing is changed; the system resumes by itself once the cause is gone.")


def _dead_vms(fleet: Fleet) -> list[VmRecord]:
    """Return the confirmed dead VMs, except those in maintenance or unreachable data centres."""
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


def _last_contact(fleet: Fleet, vm: VmId) -> Fact:
    age_s = fleet.targets[vm].age_s
    return Fact(f"{vm} last announced itself {age_s:.0f} s ago.", fleet.now_s - age_s)


def unresponsive_targets(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find unresponsive VMs in racks that otherwise respond."""
    found: list[Finding] = []
    for records in _by_rack(_dead_vms(fleet)).values():
        if len(records) >= RACK_VMS:
            continue
        for record in records:
            draft = QuestionDraft(
                f"{UNRESPONSIVE_TARGET}{record.vm}",
                f"VM {record.vm} of pool {record.pool} sends no announcements. What should happen?",
                (_last_contact(fleet, record.vm),),
                (
                    Choice("reboot", "The platform is asked to reboot the VM."),
                    Choice("retire", "The VM is removed; another one may take its place."),
                    WAIT,
                ),
                "reboot",
                REBOOT_AFTER_S,
            )
            found.append(Finding(draft, 30.0, (record,)))
    return found


def unresponsive_racks(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find racks with several unresponsive VMs."""
    found: list[Finding] = []
    for (data_centre, rack), records in _by_rack(_dead_vms(fleet)).items():
        if len(records) < RACK_VMS:
            continue
        draft = QuestionDraft(
            f"{UNRESPONSIVE_RACK}{data_centre}/{rack}",
            f"{len(records)} VMs of rack {rack} in {data_centre} send no announcements. "
            "What should happen?",
            tuple(_last_contact(fleet, record.vm) for record in records),
            (WAIT, Choice("retire", "These VMs are removed; others may take their place.")),
            "wait",
            DAY_S,
        )
        found.append(Finding(draft, 30.0, tuple(records)))
    return found


def pools_over_budget(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find pools that have lost more VMs than their budget allows."""
    found: list[Finding] = []
    for pool, entry in losses.items():
        if not entry.members or entry.headroom() >= 0 or not fleet.targets:
            continue
        out = ", ".join(sorted(entry.loss.planned | entry.loss.unplanned)) or "none"
        draft = QuestionDraft(
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
                budget_choice(entry.pool, entry.loss.total()),
            ),
            "wait",
            DAY_S,
        )
        found.append(Finding(draft, 60.0))
    return found


def unsatisfiable_quotas(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
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
            _quota_draft(team, fact, fleet.now_s),
            0.0 if team in too_small else REGISTRATION_GRACE_S,
        )
        for team, fact in sorted({**too_large, **too_small}.items())
    ]


def _quota_draft(team: TeamId, fact: str, now_s: float) -> QuestionDraft:
    return QuestionDraft(
        f"{QUOTA}{team}",
        f"The quota of team {team} cannot be met. Is this intended?",
        (Fact(fact, now_s),),
        (
            Choice("keep", "The quota stays; work beyond the available capacity waits."),
            Choice("fit", "A new revision fits the quota to the fleet and to the largest task."),
        ),
        "keep",
        DAY_S,
    )


def overdue_waves(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find pools with VMs that were not maintained within the maintenance interval."""
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
        draft = QuestionDraft(
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
            (WAIT, budget_choice(entry.pool, entry.pool.max_unavailable + 1)),
            "wait",
            DAY_S,
        )
        found.append(Finding(draft, 3_600.0))
    return found


def unreachable_data_centres(fleet: Fleet, losses: dict[PoolId, PoolLoss]) -> list[Finding]:
    """Find data centres whose VMs send no announcements."""
    found: list[Finding] = []
    for data_centre in sorted(fleet.unresponsive_data_centres):
        records = tuple(
            record for _, record in sorted(fleet.vms.items()) if record.data_centre == data_centre
        )
        ages = [fleet.targets[r.vm].age_s for r in records if r.vm in fleet.targets]
        last_contact = Fact("This leader has received no announcement from it.", fleet.now_s)
        if ages:
            age_s = min(ages)
            last_contact = Fact(f"The last announcement is {age_s:.0f} s old.", fleet.now_s - age_s)
        draft = QuestionDraft(
            f"{UNREACHABLE_DATA_CENTRE}{data_centre}",
            f"Data centre {data_centre} is unresponsive. Is it lost or only cut off?",
            (
                Fact(f"{len(records)} VMs are in it.", fleet.now_s),
                last_contact,
            ),
            (
                Choice("cut-off", "Its VMs keep their pools, and the system waits for them."),
                Choice("lost", "Its VMs are removed from their pools."),
            ),
            "cut-off",
            DAY_S,
        )
        found.append(Finding(draft, 0.0, records))
    return found


def budget_choice(pool: Pool, vms: int) -> Choice:
    """Return the choice to let `vms` VMs of a pool be out of service; its name contains the number.

    The absolute number makes carrying out the answer idempotent.
    """
    allowed = max(pool.max_unavailable, min(vms, pool.size - 1))
    return Choice(
        f"{ALLOW}{allowed}", f"A new revision lets {allowed} VMs be out of service at once."
    )


def fitted_team(team: Team, jobs: Iterable[Job], total: Resources) -> Team:
    """Return the team with a quota that can be met and fits at least one task of each job."""
    largest = max((job.size.cores for job in jobs if job.team == team.id), default=0.0)
    return Team(team.id, team.slots, max(min(team.cores, total.cores), largest))
