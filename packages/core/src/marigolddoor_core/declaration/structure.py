"""Validation of ids, references and ranges within a declaration.

Both the file reader and the state machine run it, so that a declaration that does not come from
files is validated too.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from marigolddoor_core.declaration.organisation import Declaration, Job, Pool, Service, Team

__all__ = ["PartProblem", "structure_problems"]

RETRY_WINDOW_LIMIT_S = 86_400.0
# A declaration creates and cancels the tasks of its jobs in one command, which blocks the event
# loop of every replica. Creating and cancelling this many takes 0.25 s; elections start after
# 0.5 s.
TASKS_LIMIT = 20_000


@dataclass(frozen=True, slots=True)
class PartProblem:
    """A problem with one key of a part, such as `pools`, `web`, `floor`.

    `depends_on` names the other keys that `allowed` is derived from.
    """

    section: str
    name: str
    key: str
    value: object
    allowed: str
    depends_on: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the problem as one clause."""
        path = ".".join(part for part in (self.section, self.name, self.key) if part)
        return f"{path} is {self.value!r}; allowed: {self.allowed}"


def structure_problems(declaration: Declaration) -> tuple[PartProblem, ...]:
    """Return every violated rule that makes the declaration unusable."""
    return tuple(_problems(declaration))


def _problems(declaration: Declaration) -> Iterator[PartProblem]:
    if not declaration.organisation:
        yield PartProblem("organisation", "", "", "", "a name")
    yield from _id_problems("services", declaration.services)
    yield from _id_problems("pools", declaration.pools)
    yield from _id_problems("teams", declaration.teams)
    yield from _id_problems("jobs", declaration.jobs)
    pools = {str(pool.id) for pool in declaration.pools}
    teams = {str(team.id) for team in declaration.teams}
    for service in declaration.services:
        yield from _service_problems(service, pools)
    for pool in declaration.pools:
        yield from _pool_problems(pool)
    for team in declaration.teams:
        yield from _team_problems(team)
    for job in declaration.jobs:
        yield from _job_problems(job, pools, teams)
    tasks = [job.tasks for job in declaration.jobs]
    if sum(tasks) > TASKS_LIMIT >= max(tasks):
        yield PartProblem("jobs", "", "", sum(tasks), f"at most {TASKS_LIMIT} tasks in all jobs")
    weights = declaration.weights
    for key in ("buffer", "flood", "rollout", "moves"):
        value = getattr(weights, key)
        if value < 0.0:
            yield PartProblem("weights", "", key, value, "at least 0")


def _id_problems(
    section: str, parts: Sequence[Service | Pool | Team | Job]
) -> Iterator[PartProblem]:
    for name, count in Counter(str(part.id) for part in parts).items():
        # The ids of tasks and outcomes use `/` as their separator.
        if not name or "/" in name:
            yield PartProblem(section, name, "id", name, "a name without `/`")
        if count > 1:
            yield PartProblem(section, name, "id", name, f"one of {section} with this name")


def _service_problems(service: Service, pools: set[str]) -> Iterator[PartProblem]:
    def problem(key: str, value: object, allowed: str) -> PartProblem:
        return PartProblem("services", service.id, key, value, allowed)

    if service.pool not in pools:
        yield problem("pool", service.pool, _one_of(pools))
    if service.floor_slots < 0:
        yield problem("floor_slots", service.floor_slots, "at least 0")
    if service.rank < 0:
        yield problem("rank", service.rank, "at least 0")
    if service.default_deadline_s <= 0.0:
        yield problem("default_deadline_s", service.default_deadline_s, "more than 0 s")
    if not 0.0 <= service.retry_window_s <= RETRY_WINDOW_LIMIT_S:
        yield problem("retry_window_s", service.retry_window_s, "0 to 86400 s")


def _pool_problems(pool: Pool) -> Iterator[PartProblem]:
    def problem(key: str, value: object, allowed: str, *depends_on: str) -> PartProblem:
        return PartProblem("pools", pool.id, key, value, allowed, depends_on)

    if pool.maintenance_interval_s <= 0.0:
        yield problem("maintenance_interval_s", pool.maintenance_interval_s, "more than 0 s")
    if pool.size < 1:
        yield problem("size", pool.size, "at least 1 VM")
        return
    if not 0 <= pool.floor <= pool.size:
        yield problem("floor", pool.floor, f"0 to the size of the pool, {pool.size} VMs", "size")
    if not 0 <= pool.max_unavailable < pool.size:
        yield problem(
            "max_unavailable",
            pool.max_unavailable,
            f"0 to {pool.size - 1} VMs, below the size of the pool",
            "size",
        )


def _team_problems(team: Team) -> Iterator[PartProblem]:
    if team.slots < 0:
        yield PartProblem("teams", team.id, "slots", team.slots, "at least 0")
    if team.cores < 0.0:
        yield PartProblem("teams", team.id, "cores", team.cores, "at least 0")


def _job_problems(job: Job, pools: set[str], teams: set[str]) -> Iterator[PartProblem]:
    def problem(key: str, value: object, allowed: str) -> PartProblem:
        return PartProblem("jobs", job.id, key, value, allowed)

    if job.pool not in pools:
        yield problem("pool", job.pool, _one_of(pools))
    if job.team not in teams:
        yield problem("team", job.team, _one_of(teams))
    if not 0 <= job.tasks <= TASKS_LIMIT:
        yield problem("tasks", job.tasks, f"0 to {TASKS_LIMIT}")
    if job.size.cores < 0.0:
        yield problem("cores", job.size.cores, "at least 0")
    if job.size.memory_mb < 0:
        yield problem("memory_mb", job.size.memory_mb, "at least 0 MB")
    if job.size.accelerators < 0:
        yield problem("accelerators", job.size.accelerators, "at least 0")
    if job.run_s < 0.0:
        yield problem("run_s", job.run_s, "at least 0 s")
    if not job.version:
        yield problem("version", job.version, "a text that is not empty")


def _one_of(names: Iterable[str]) -> str:
    return "one of " + ", ".join(sorted(names)) if names else "none is declared"
