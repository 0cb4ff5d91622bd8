"""The plan of a new declaration: its effects, shown to operators before they apply it."""

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Protocol, TypeVar

from marigolddoor_core.declaration.organisation import (
    Declaration,
    Job,
    Pool,
    Service,
    Team,
    Weights,
)
from marigolddoor_core.ids import OrganisationId, PoolId, VmId
from marigolddoor_core.targets import Resources

__all__ = ["AssignedVm", "Effect", "PartKind", "Plan", "PlanItem", "plan"]

Part = Service | Pool | Team | Job
K = TypeVar("K")


class PartKind(Enum):
    """The kind of object that a change affects."""

    ORGANISATION = "organisation"
    SERVICE = "service"
    POOL = "pool"
    TEAM = "team"
    JOB = "job"
    WEIGHTS = "weights"
    VM = "vm"
    TASK = "task"


class AssignedVm(Protocol):
    """The assignment of a VM. `next_pool` is set while the VM drains before a move."""

    @property
    def pool(self) -> PoolId:
        """The pool of the VM."""
        ...

    @property
    def next_pool(self) -> PoolId | None:
        """The pool that the VM moves to."""
        ...


class Effect(Enum):
    """The kind of effect that a change has."""

    ADD = "add"
    REMOVE = "remove"
    CHANGE = "change"
    RESIZE = "resize"
    MOVE = "move"
    DRAIN = "drain"
    START = "start"
    STOP = "stop"
    ROLL_OUT = "roll out"
    BLOCKED = "blocked"


@dataclass(frozen=True, slots=True)
class PlanItem:
    """One effect of a change on the object `key`.

    `count` is the number of affected VMs or tasks, 0 if there are none.
    """

    effect: Effect
    kind: PartKind
    key: str
    count: int
    sentence: str


@dataclass(frozen=True, slots=True)
class Plan:
    """The effects of a change. Applying a change with a blocked item is refused."""

    items: tuple[PlanItem, ...]

    @property
    def blocked(self) -> bool:
        """Return whether the state machine would refuse the change."""
        return any(item.effect is Effect.BLOCKED for item in self.items)


# Keys whose changes are reported as separate items.
ITEM_KEYS: dict[PartKind, frozenset[str]] = {
    PartKind.SERVICE: frozenset({"pool"}),
    PartKind.POOL: frozenset({"size"}),
    PartKind.JOB: frozenset({"pool", "tasks", "version"}),
}

EMPTY = Declaration(OrganisationId(""), (), (), ())


def plan(
    current: Declaration | None, proposed: Declaration, vms: Mapping[VmId, AssignedVm]
) -> Plan:
    """Return the effects of replacing `current` by `proposed` on objects, VMs and tasks.

    VMs and tasks change after the declaration is in force, in waves within the budgets. VM counts
    are based on the assignments in `vms`; a VM that is being moved counts for its next pool.
    """
    current = current or EMPTY
    items: list[PlanItem] = []
    if current.organisation and current.organisation != proposed.organisation:
        items.append(
            PlanItem(
                Effect.BLOCKED,
                PartKind.ORGANISATION,
                str(proposed.organisation),
                0,
                f"The organisation is {current.organisation} and cannot become"
                f" {proposed.organisation}.",
            )
        )
    items.extend(_service_items(current, proposed))
    items.extend(_pool_items(current, proposed, vms))
    items.extend(_team_items(current, proposed))
    items.extend(_job_items(current, proposed))
    items.extend(_changes(PartKind.WEIGHTS, "weights", current.weights, proposed.weights))
    return Plan(tuple(items))


def _service_items(current: Declaration, proposed: Declaration) -> Iterator[PlanItem]:
    kind = PartKind.SERVICE
    before = {service.id: service for service in current.services}
    after = {service.id: service for service in proposed.services}
    for key, service in after.items():
        old = before.get(key)
        if old is None:
            sentence = f"Service {key} is added and uses the executors of pool {service.pool}."
            yield PlanItem(Effect.ADD, kind, key, 0, sentence)
            continue
        yield from _changes(kind, key, old, service)
        if old.pool != service.pool:
            sentence = (
                f"Requests of service {key} go to the executors of pool {service.pool} instead of"
                f" pool {old.pool}."
            )
            yield PlanItem(Effect.MOVE, kind, key, 0, sentence)
    for key in _removed_keys(before, after):
        sentence = f"Service {key} is removed and its requests are refused."
        yield PlanItem(Effect.REMOVE, kind, key, 0, sentence)


def _pool_items(
    current: Declaration, proposed: Declaration, vms: Mapping[VmId, AssignedVm]
) -> Iterator[PlanItem]:
    kind = PartKind.POOL
    before = {pool.id: pool for pool in current.pools}
    after = {pool.id: pool for pool in proposed.pools}
    spare = next((pool for pool in proposed.pools if pool.spare), None)
    vm_counts = Counter(vm.pool if vm.next_pool is None else vm.next_pool for vm in vms.values())
    lendable = 0 if spare is None else max(vm_counts[spare.id] - spare.floor, 0)
    for key, pool in after.items():
        old = before.get(key)
        if old is None:
            sentence = f"Pool {key} is added with a size of {_count(pool.size, 'VM')}."
            yield PlanItem(Effect.ADD, kind, key, 0, sentence)
        else:
            yield from _changes(kind, key, old, pool)
            if old.size == pool.size:
                continue
            sentence = f"Pool {key} goes from {old.size} to {_count(pool.size, 'VM')}."
            yield PlanItem(Effect.RESIZE, kind, key, abs(pool.size - old.size), sentence)
        shortfall = pool.size - vm_counts[key]
        if spare is not None and pool is not spare:
            moved = min(max(shortfall, 0), lendable)
            lendable -= moved
            shortfall -= moved
            yield from _move_items(pool, spare, moved, -shortfall)
        if shortfall > 0:
            sentence = f"Pool {key} lacks {_count(shortfall, 'VM')} that have to be provided."
            yield PlanItem(Effect.ADD, PartKind.VM, key, shortfall, sentence)
    for key in _removed_keys(before, after):
        in_use = sum(key in (vm.pool, vm.next_pool) for vm in vms.values())
        if in_use:
            sentence = (
                f"Pool {key} cannot be removed while {_count(in_use, 'VM')} belong to it or move to"
                " it; move or retire them first."
            )
            yield PlanItem(Effect.BLOCKED, kind, key, in_use, sentence)
        else:
            yield PlanItem(Effect.REMOVE, kind, key, 0, f"Pool {key} is removed.")


def _move_items(pool: Pool, spare: Pool, gained: int, surplus: int) -> Iterator[PlanItem]:
    kind = PartKind.POOL
    if gained > 0:
        vms = _count(gained, "VM")
        sentence = f"Spare pool {spare.id} drains {vms} for pool {pool.id}."
        yield PlanItem(Effect.DRAIN, kind, spare.id, gained, sentence)
        sentence = f"Pool {pool.id} gets {vms} from spare pool {spare.id}."
        yield PlanItem(Effect.MOVE, kind, pool.id, gained, sentence)
    if surplus > 0:
        vms = _count(surplus, "VM")
        sentence = f"Pool {pool.id} drains {vms} within its budget."
        yield PlanItem(Effect.DRAIN, kind, pool.id, surplus, sentence)
        sentence = f"Spare pool {spare.id} gets {vms} from pool {pool.id}."
        yield PlanItem(Effect.MOVE, kind, pool.id, surplus, sentence)


def _team_items(current: Declaration, proposed: Declaration) -> Iterator[PlanItem]:
    kind = PartKind.TEAM
    before = {team.id: team for team in current.teams}
    after = {team.id: team for team in proposed.teams}
    for key, team in after.items():
        old = before.get(key)
        if old is None:
            sentence = (
                f"Team {key} is added with a quota of {_count(team.slots, 'slot')} and"
                f" {team.cores:g} cores."
            )
            yield PlanItem(Effect.ADD, kind, key, 0, sentence)
        else:
            yield from _changes(kind, key, old, team)
    for key in _removed_keys(before, after):
        sentence = f"Team {key} is removed and its requests are refused."
        yield PlanItem(Effect.REMOVE, kind, key, 0, sentence)


def _job_items(current: Declaration, proposed: Declaration) -> Iterator[PlanItem]:
    kind = PartKind.JOB
    before = {job.id: job for job in current.jobs}
    after = {job.id: job for job in proposed.jobs}
    for key, job in after.items():
        old = before.get(key)
        if old is None:
            yield PlanItem(Effect.ADD, kind, key, 0, f"Job {key} is added on pool {job.pool}.")
        else:
            yield from _changes(kind, key, old, job)
        yield from _task_items(job, 0 if old is None else old.tasks, job.tasks)
        if old is not None and old.pool != job.pool:
            sentence = f"Runs of job {key} start on pool {job.pool}; those on {old.pool} end there."
            yield PlanItem(Effect.MOVE, kind, key, min(old.tasks, job.tasks), sentence)
        if old is not None and old.version != job.version:
            sentence = (
                f"Job {key} goes from version {old.version} to {job.version} in a wave over"
                f" {_count(min(old.tasks, job.tasks), 'task')}."
            )
            yield PlanItem(Effect.ROLL_OUT, kind, key, min(old.tasks, job.tasks), sentence)
    for key in _removed_keys(before, after):
        yield PlanItem(Effect.REMOVE, kind, key, 0, f"Job {key} is removed.")
        yield from _task_items(before[key], before[key].tasks, 0)


def _task_items(job: Job, before: int, after: int) -> Iterator[PlanItem]:
    kind = PartKind.TASK
    if after > before:
        sentence = f"Job {job.id} starts {_count(after - before, 'task')}."
        yield PlanItem(Effect.START, kind, job.id, after - before, sentence)
    elif after < before:
        sentence = f"Job {job.id} stops {_count(before - after, 'task')}, which are cancelled."
        yield PlanItem(Effect.STOP, kind, job.id, before - after, sentence)


def _changes(
    kind: PartKind, key: str, before: Part | Weights, after: Part | Weights
) -> Iterator[PlanItem]:
    changes = [
        f"{field.name} {_text(getattr(before, field.name))} to {_text(getattr(after, field.name))}"
        for field in fields(after)
        if field.name not in ITEM_KEYS.get(kind, frozenset())
        and getattr(before, field.name) != getattr(after, field.name)
    ]
    if not changes:
        return
    start = "Weights change" if kind is PartKind.WEIGHTS else f"{kind.value.title()} {key} changes"
    yield PlanItem(Effect.CHANGE, kind, key, 0, f"{start}: {', '.join(changes)}.")


def _removed_keys(before: Mapping[K, object], after: Mapping[K, object]) -> list[K]:
    return [key for key in before if key not in after]


def _count(count: int, noun: str) -> str:
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"


def _text(value: object) -> str:
    if isinstance(value, Resources):
        return f"({value.cores:g} cores, {value.memory_mb} MB, {value.accelerators} accelerators)"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
