"""Validation of names, quotas and sizes in a declaration, against the size of the workers."""

import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from marigolddoor_core.declaration.organisation import Declaration
from marigolddoor_core.declaration.structure import PartProblem
from marigolddoor_core.targets import Resources

__all__ = ["Workers", "policy_problems"]

# Names are used in HTTP headers and URLs.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_ALLOWED = "a name of up to 64 letters, digits, `.`, `_`, `-`, a letter or digit first"


@dataclass(frozen=True, slots=True)
class Workers:
    """The declared capacity of one worker, used for validation only."""

    slots: int = 8
    cores: float = 16.0
    memory_mb: int = 32_000
    accelerators: int = 0


def policy_problems(declaration: Declaration, workers: Workers) -> tuple[PartProblem, ...]:
    """Return every violated rule between parts, and between parts and workers."""
    problems = [
        *_workers_problems(workers),
        *_name_problems(declaration),
        *_spare_problems(declaration),
    ]
    if not any(problem.section == "workers" for problem in problems):
        problems += _floor_problems(declaration, workers)
        problems += _quota_problems(declaration, workers)
        problems += _job_problems(declaration, workers)
    return tuple(problems)


def _workers_problems(workers: Workers) -> Iterator[PartProblem]:
    if workers.slots < 1:
        yield PartProblem("workers", "", "slots", workers.slots, "at least 1")
    if workers.cores <= 0.0:
        yield PartProblem("workers", "", "cores", workers.cores, "more than 0")
    if workers.memory_mb < 1:
        yield PartProblem("workers", "", "memory_mb", workers.memory_mb, "at least 1 MB")
    if workers.accelerators < 0:
        yield PartProblem("workers", "", "accelerators", workers.accelerators, "at least 0")


def _name_problems(declaration: Declaration) -> Iterator[PartProblem]:
    if declaration.organisation and not NAME_PATTERN.fullmatch(declaration.organisation):
        yield PartProblem("organisation", "", "", declaration.organisation, NAME_ALLOWED)
    for section, parts in (
        ("services", declaration.services),
        ("pools", declaration.pools),
        ("teams", declaration.teams),
        ("jobs", declaration.jobs),
    ):
        spellings: dict[str, str] = {}
        for part in parts:
            name = str(part.id)
            if not NAME_PATTERN.fullmatch(name):
                yield PartProblem(section, name, "", name, NAME_ALLOWED)
            other = spellings.setdefault(name.casefold(), name)
            if other != name:
                yield PartProblem(
                    section, name, "", name, f"a name that differs from {other!r} by more than case"
                )


def _spare_problems(declaration: Declaration) -> Iterator[PartProblem]:
    spares = sorted(pool.id for pool in declaration.pools if pool.spare)
    if len(spares) != 1:
        yield PartProblem("pools", "", "", spares, "exactly one pool with spare = true", ("spare",))


def _floor_problems(declaration: Declaration, workers: Workers) -> Iterator[PartProblem]:
    floors: dict[str, int] = defaultdict(int)
    for service in declaration.services:
        floors[service.pool] += service.floor_slots
    for pool in declaration.pools:
        # VMs above the floor may be lent or moved, so only the floor can guarantee slots.
        slots = pool.floor * workers.slots
        if floors[pool.id] > slots:
            yield PartProblem(
                "pools",
                pool.id,
                "floor",
                pool.floor,
                f"enough VMs for the floors of its services, {floors[pool.id]} slots in total;"
                f" {pool.floor} VMs of {workers.slots} slots provide {slots}",
                ("floor_slots", "slots"),
            )


def _quota_problems(declaration: Declaration, workers: Workers) -> Iterator[PartProblem]:
    if any(pool.size < 1 for pool in declaration.pools):
        return
    vms = sum(pool.size for pool in declaration.pools)
    slots = vms * workers.slots
    cores = vms * workers.cores
    for team in declaration.teams:
        if team.slots > slots:
            yield PartProblem(
                "teams",
                team.id,
                "slots",
                team.slots,
                f"at most {slots} slots, the total of all pools",
                ("size",),
            )
        if team.cores > cores:
            yield PartProblem(
                "teams",
                team.id,
                "cores",
                team.cores,
                f"at most {cores:g} cores, the total of all pools",
                ("size",),
            )


def _job_problems(declaration: Declaration, workers: Workers) -> Iterator[PartProblem]:
    available = Resources(workers.cores, workers.memory_mb, workers.accelerators)
    quotas = {team.id: team.cores for team in declaration.teams}
    for job in declaration.jobs:
        for key in ("cores", "memory_mb", "accelerators"):
            needed = getattr(job.size, key)
            offered = getattr(available, key)
            if needed > offered:
                yield PartProblem(
                    "jobs", job.id, key, needed, f"at most {offered:g}, the size of one worker"
                )
        quota = quotas.get(job.team)
        if quota is not None and quota < job.size.cores <= available.cores:
            yield PartProblem(
                "jobs",
                job.id,
                "cores",
                job.size.cores,
                f"at most {quota:g} cores, the quota of team {job.team!r}",
                ("team",),
            )
