"""Builders of small organisations for virtual fleets."""

from collections.abc import Iterable

from marigolddoor_core.declaration import Declaration, Job, Pool, Service, Team
from marigolddoor_core.declaration.organisation import Weights
from marigolddoor_core.ids import (
    DataCentreId,
    JobId,
    OrganisationId,
    PoolId,
    RackId,
    ServiceId,
    TaskId,
    TeamId,
    VmId,
)
from marigolddoor_core.state.commands import RegisterVm, SubmitTask
from marigolddoor_core.targets import Resources

from marigolddoor_standins.virtual.fleet import VirtualFleet
from marigolddoor_standins.virtual.workers import JobBehaviour

__all__ = ["SIZE", "TEAM", "WORKER", "add_workers", "job", "organisation", "pool", "submit"]

WORKER = Resources(16.0, 32_000)
SIZE = Resources(4.0, 8_000)
TEAM = TeamId("kitchen")
RACK_SIZE = 4
DATA_CENTRES = 3


def pool(
    name: str, size: int = 6, floor: int = 2, max_unavailable: int = 1, spare: bool = False
) -> Pool:
    """Return a pool with the default calendar, which has no effect within a test."""
    return Pool(PoolId(name), size, floor, max_unavailable, spare)


def job(
    name: str,
    pool_name: str = "web",
    size: Resources = SIZE,
    urgent: bool = False,
    run_s: float = 0.0,
    team: TeamId = TEAM,
    version: str = "1",
) -> Job:
    """Return a job without declared tasks."""
    return Job(JobId(name), PoolId(pool_name), team, 0, size, urgent, run_s, version)


def organisation(
    pools: Iterable[Pool],
    jobs: Iterable[Job] = (),
    teams: Iterable[Team] = (Team(TEAM, 10_000, 100_000.0),),
    weights: Weights | None = None,
) -> Declaration:
    """Return a declaration with one service for each pool."""
    pools = tuple(pools)
    return Declaration(
        OrganisationId("example"),
        tuple(Service(ServiceId(p.id), p.id, True, 2, rank) for rank, p in enumerate(pools)),
        pools,
        tuple(teams),
        tuple(jobs),
        weights or Weights(),
    )


def add_workers(
    fleet: VirtualFleet, pool_name: str, count: int, capacity: Resources = WORKER
) -> list[VmId]:
    """Add workers to a pool, 4 per rack, with racks spread over 3 data centres."""
    vms: list[VmId] = []
    for number in range(count):
        rack = number // RACK_SIZE
        data_centre = DataCentreId(f"dc-{rack % DATA_CENTRES}")
        vm = VmId(f"{pool_name}-{number}")
        fleet.add(
            RegisterVm(
                vm,
                data_centre,
                RackId(f"{pool_name}-rack-{rack}"),
                f"{vm}:9000",
                capacity,
                8,
                PoolId(pool_name),
            )
        )
        vms.append(vm)
    return vms


def submit(
    fleet: VirtualFleet, job_name: str, count: int, behaviour: JobBehaviour, first: int = 0
) -> list[TaskId]:
    """Submit tasks of a job with the given behaviour."""
    fleet.behaviours[JobId(job_name)] = behaviour
    tasks = [TaskId(f"{job_name}/{number}") for number in range(first, first + count)]
    for task in tasks:
        fleet.state.apply(SubmitTask(task, JobId(job_name)), fleet.now_s)
    return tasks
