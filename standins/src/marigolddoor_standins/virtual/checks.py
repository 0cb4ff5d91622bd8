"""Checks invariants at every step of a virtual fleet, independently of the decisions' code."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import TaskId, VmId
from marigolddoor_core.state.commands import (
    BeginMove,
    Command,
    FinishMove,
    MaintenanceStep,
    RecordMaintenance,
)
from marigolddoor_core.state.objects import TaskState, VmRecord
from marigolddoor_core.targets import TargetState

from marigolddoor_standins.virtual.fleet import VirtualFleet

__all__ = ["FleetChecker", "Promise", "Violation", "is_changing"]


class Promise(Enum):
    """An invariant that must hold at every step."""

    BUDGETS = "budgets hold"
    ONE_POOL = "one pool a VM"
    NOT_LOST = "no task lost"
    NOT_TWICE = "no task runs twice"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant, with its time."""

    promise: Promise
    time_s: float
    text: str

    def __str__(self) -> str:
        return f"{self.time_s}: {self.text}"


@dataclass
class FleetChecker:
    """Checks every proposal, commit and step of a fleet and collects violations in `problems`.

    `removals` counts the decisions to take a VM out of service, each of which is checked.
    """

    fleet: VirtualFleet
    problems: list[Violation] = field(default_factory=list)
    removals: int = 0

    def __post_init__(self) -> None:
        self.fleet.on_propose = self._check_proposal
        self.fleet.on_commit = self._check_commit

    def check_step(self, submitted: Iterable[TaskId]) -> None:
        """Check that no task runs twice at once and that none of `submitted` is lost."""
        running = Counter(
            run.task for worker in self.fleet.workers.values() for run in worker.running()
        )
        for task, count in running.items():
            if count > 1:
                self._record(Promise.NOT_TWICE, f"{task} runs {count} times at once")
        for task in submitted:
            if task not in self.fleet.state.tasks:
                self._record(Promise.NOT_LOST, f"{task} is lost")

    def count(self, promise: Promise) -> int:
        """Return the number of violations of `promise`."""
        return sum(problem.promise is promise for problem in self.problems)

    def check_finishes(self) -> None:
        """Check that each task recorded as finished was completed by a worker."""
        for task, record in self.fleet.state.tasks.items():
            if record.state is TaskState.FINISHED and task not in self.fleet.completed:
                self._record(Promise.NOT_LOST, f"{task} counts as finished and never completed")

    def _check_proposal(self, command: Command, fleet: Fleet) -> None:
        """Check the budget if `command` takes a VM out of service."""
        vm = _taken_vm(command)
        if vm is not None:
            self.removals += 1
            self._check_budget(vm, fleet)

    def _check_commit(self, command: Command) -> None:
        """Check that no VM changes its pool while it runs tasks."""
        if isinstance(command, FinishMove) and self.fleet.workers[command.vm].running():
            self._record(Promise.ONE_POOL, f"{command.vm} moves while it runs tasks")

    def _check_budget(self, vm: VmId, fleet: Fleet) -> None:
        """Recount unavailable VMs from the committed state and the pending commands."""
        state = self.fleet.state
        record = state.vms[vm]
        pool = next(p for p in state.declaration.pools if p.id == record.pool)
        unavailable = {
            other
            for other, r in state.vms.items()
            if r.pool == record.pool and _is_unavailable(r, fleet)
        }
        pending = (_taken_vm(command) for _, command in self.fleet.pending)
        unavailable.update(
            other for other in pending if other is not None and state.vms[other].pool == record.pool
        )
        pool_size = sum(r.pool == record.pool for r in state.vms.values())
        required = pool.floor if pool.spare else pool.size
        lost = len(unavailable | {vm}) + max(0, required - pool_size)
        if vm not in unavailable and lost > pool.max_unavailable:
            text = f"{vm} is taken and {lost} of {record.pool} are out of service"
            self._record(Promise.BUDGETS, text)

    def _record(self, promise: Promise, text: str) -> None:
        self.problems.append(Violation(promise, self.fleet.now_s, text))


def _is_unavailable(record: VmRecord, fleet: Fleet) -> bool:
    target = fleet.targets.get(record.vm)
    return (
        is_changing(record)
        or record.data_centre in fleet.unresponsive_data_centres
        or target is None
        or target.state is not TargetState.READY
    )


def is_changing(vm: VmRecord) -> bool:
    """Return whether a VM is moving or in maintenance."""
    return vm.next_pool is not None or vm.maintenance not in (None, MaintenanceStep.DONE)


def _taken_vm(command: Command) -> VmId | None:
    """Return the VM that a command takes out of service, if any."""
    if isinstance(command, BeginMove):
        return command.vm
    if isinstance(command, RecordMaintenance) and command.step is MaintenanceStep.DRAINING:
        return command.vm
    return None
