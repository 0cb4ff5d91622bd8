"""Runs a scenario in virtual time with the leader's decisions."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from marigolddoor_core.actions import Decision
from marigolddoor_core.capacity import Capacity
from marigolddoor_core.declaration import Team
from marigolddoor_core.ids import JobId, OperatorId, PoolId, RequestId, ServiceId, TaskId, VmId
from marigolddoor_core.maintenance import BudgetLedger, Maintenance, Rollout
from marigolddoor_core.placement import Placement
from marigolddoor_core.questions.detection import Detection
from marigolddoor_core.state.commands import (
    BeginMove,
    CancelTask,
    CloseQuestion,
    Command,
    FinishMove,
    OpenQuestion,
    RecordMaintenance,
    RegisterVm,
    RequestDrain,
    SetAsideTask,
)
from marigolddoor_core.state.objects import TaskState
from marigolddoor_core.targets import Resources

from marigolddoor_standins.scenarios import steps
from marigolddoor_standins.virtual import JobBehaviour, VirtualFleet, VirtualState, VirtualWorker
from marigolddoor_standins.virtual.checks import FleetChecker
from marigolddoor_standins.virtual.demand import FluidQueue
from marigolddoor_standins.virtual.samples import (
    SIZE,
    TEAM,
    WORKER,
    job,
    organisation,
    pool,
    submit,
)

__all__ = ["Leader", "Outcome", "real_leader", "run"]

STEP_S = 2.0
# Time after the last fault in which its effects show in a scenario without `by`.
SETTLING_S = 120.0
SLOTS = 8
TASK_QUOTA = 10_000
ENDED_STATES = (TaskState.FINISHED, TaskState.CANCELLED)

Leader = Callable[[], Sequence[Decision]]


def real_leader() -> Sequence[Decision]:
    """Return the decisions in the order in which the control process runs them."""
    ledger = BudgetLedger()
    return [Placement(), Maintenance(ledger), Rollout(ledger), Capacity(ledger), Detection(ledger)]


@dataclass(frozen=True, slots=True)
class Outcome:
    """The timeline of a run, one event per line, and the expectations that failed."""

    timeline: tuple[str, ...]
    problems: tuple[str, ...]


def run(scenario: steps.Scenario, leader: Leader = real_leader) -> Outcome:
    """Run a scenario until its last deadline and until its last fault has settled."""
    return _Run(scenario, leader).run()


class _ObservedState(VirtualState):
    """Passes each accepted command to `on_applied`."""

    on_applied: Callable[[Command], None] = staticmethod(lambda command: None)

    def apply(self, command: Command, now_s: float) -> bool:
        is_accepted = super().apply(command, now_s)
        if is_accepted:
            self.on_applied(command)
        return is_accepted


@dataclass
class _Run:
    scenario: steps.Scenario
    leader: Leader
    timeline: list[str] = field(default_factory=list)
    submitted: list[TaskId] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    question_subjects: set[str] = field(default_factory=set)
    finished_jobs: set[JobId] = field(default_factory=set)
    drained_s: dict[PoolId, float] = field(default_factory=dict)
    moved_to: set[PoolId] = field(default_factory=set)
    down_until_s: dict[VmId, float] = field(default_factory=dict)
    offered: dict[PoolId, int] = field(default_factory=dict)
    queues: dict[PoolId, FluidQueue] = field(default_factory=dict)

    def __post_init__(self) -> None:
        workers = sum(rack.workers for rack in self.scenario.racks)
        declared = organisation(
            [pool(p.pool, p.size, p.floor, p.budget, p.spare) for p in self.scenario.pools],
            [job(j.job, j.pool, _task_size(j), j.urgent) for j in self.scenario.jobs],
            [Team(TEAM, TASK_QUOTA, workers * WORKER.cores)],
        )
        state = _ObservedState(declared)
        self.fleet = VirtualFleet(state, self.leader, STEP_S, STEP_S)
        self.start_s = self.fleet.now_s
        self.checks = FleetChecker(self.fleet)
        counts = dict.fromkeys((p.pool for p in self.scenario.pools), 0)
        for rack in self.scenario.racks:
            for _ in range(rack.workers):
                self._add_worker(rack, counts[rack.pool])
                counts[rack.pool] += 1
        for step in self.scenario.jobs:
            self._submit(step.job, step.tasks)
        state.on_applied = self._log_command

    def run(self) -> Outcome:
        open_expectations = [
            e for e in self.scenario.expectations if not isinstance(e, steps.Always)
        ]
        faults = sorted(self.scenario.faults, key=lambda fault: fault.at_s)
        ends_s = max(
            [
                0.0,
                *(e.by_s for e in open_expectations),
                *(fault.at_s + SETTLING_S for fault in faults),
            ]
        )
        for fault in faults:
            self.fleet.at(self.start_s + fault.at_s, lambda fault=fault: self._inject(fault))  # type: ignore[misc]
        while self._now_s < ends_s:
            self._report_demand()
            self.fleet.step()
            self._keep_lost_down()
            self.checks.check_step(self.submitted)
            self._log_finished_jobs()
            for expectation in tuple(open_expectations):
                if self._is_met(expectation):
                    open_expectations.remove(expectation)
                elif self._now_s >= expectation.by_s:
                    open_expectations.remove(expectation)
                    self.problems.append(f"not met: {expectation}")
        self.checks.check_finishes()
        promises = {e.promise for e in self.scenario.expectations if isinstance(e, steps.Always)}
        self.problems += [str(p) for p in self.checks.problems if p.promise in promises]
        return Outcome(tuple(self.timeline), tuple(self.problems))

    @property
    def _now_s(self) -> float:
        return self.fleet.now_s - self.start_s

    def _log(self, text: str) -> None:
        self.timeline.append(f"{self._now_s:g} s: {text}")

    def _add_worker(self, rack: steps.RackStep, number: int) -> None:
        vm = f"{rack.pool}-{number}"
        self.fleet.add(
            RegisterVm(
                vm, rack.data_centre, rack.rack, f"{vm}:9000", WORKER, SLOTS, rack.pool  # type: ignore[arg-type]
            )
        )  # fmt: skip

    def _submit(self, name: JobId, count: int) -> None:
        step = next(step for step in self.scenario.jobs if step.job == name)
        size = _task_size(step)
        usage = Resources(size.cores * step.usage_factor, round(size.memory_mb * step.usage_factor))
        behaviour = JobBehaviour(float("inf") if step.run_s is None else step.run_s, usage)
        first = sum(task.startswith(f"{name}/") for task in self.submitted)
        self.submitted += submit(self.fleet, name, count, behaviour, first)
        self.finished_jobs.discard(name)

    def _inject(self, fault: steps.Fault) -> None:
        self._log(fault.text.split(" s ", 1)[1])
        fleet, event = self.fleet, fault.event
        match event:
            case steps.Lose():
                for worker in self._workers(event.scope, event.name):
                    down_s = float("inf") if event.down_s is None else event.down_s
                    self.down_until_s[worker.vm] = fleet.now_s + down_s
                    worker.go_down(fleet.now_s, down_s)
            case steps.Return():
                for worker in self._workers(event.scope, event.name):
                    self.down_until_s.pop(worker.vm, None)
                    worker.up_at_s = min(worker.up_at_s, fleet.now_s)
            case steps.CutOff():
                fleet.unreachable_data_centres.add(event.data_centre)
                self._schedule(
                    event.for_s, lambda: fleet.unreachable_data_centres.discard(event.data_centre)
                )
            case steps.ChangeLeader():
                fleet.is_leaderless = True
                self._schedule(event.after_s, self._install_leader)
            case steps.DelayReports():
                fleet.report_delay_s = event.by_s
                self._schedule(event.for_s, lambda: setattr(fleet, "report_delay_s", 0.0))
            case steps.FailWorker():
                worker = fleet.workers[event.vm]
                worker.fails_all = True
                self._schedule(event.for_s, lambda: setattr(worker, "fails_all", False))
            case steps.Submit():
                self._submit(event.job, event.tasks)
            case steps.Cancel():
                self._cancel(event)
            case steps.Drain():
                self.drained_s[event.pool] = fleet.now_s
                request = RequestId(f"drain-{event.pool}-{self._now_s:g}")
                drain = RequestDrain(event.pool, None, OperatorId("ada"), request)
                fleet.state.apply(drain, fleet.now_s)
            case steps.Demand():
                self.offered[event.pool] = event.slots
                self.queues.setdefault(event.pool, FluidQueue())

    def _report_demand(self) -> None:
        """Report the demand of each service for which a `Demand` event set one."""
        for name, queue in self.queues.items():
            slots = SLOTS * sum(vm.pool == name for vm in self.fleet.state.vms.values())
            demand = queue.step(self.fleet.now_s, self.offered[name], slots)
            self.fleet.demand[ServiceId(name)] = demand

    def _keep_lost_down(self) -> None:
        """Keep lost VMs down after a reboot, which does not bring back a rack without power."""
        for vm, until_s in self.down_until_s.items():
            worker = self.fleet.workers[vm]
            worker.up_at_s = max(worker.up_at_s, until_s)

    def _schedule(self, after_s: float | None, event: Callable[[], None]) -> None:
        if after_s is not None:
            self.fleet.at(self.fleet.now_s + after_s, event)

    def _install_leader(self) -> None:
        self.fleet.is_leaderless = False
        self.fleet.change_leader()

    def _cancel(self, event: steps.Cancel) -> None:
        tasks = self.fleet.state.tasks
        job_tasks = [task for task in self.submitted if tasks[task].job == event.job]
        for task in [task for task in job_tasks if tasks[task].state not in ENDED_STATES][
            : event.tasks
        ]:
            self.fleet.state.apply(CancelTask(task), self.fleet.now_s)

    def _workers(self, scope: steps.Scope, name: str) -> list[VirtualWorker]:
        return [
            worker
            for worker in self.fleet.workers.values()
            if name
            == {
                steps.Scope.VM: worker.vm,
                steps.Scope.RACK: worker.rack,
                steps.Scope.DATA_CENTRE: worker.data_centre,
            }[scope]
        ]

    def _log_command(self, command: Command) -> None:
        match command:
            case RecordMaintenance():
                self._log(f"{command.vm} maintenance: {command.step.value}")
            case BeginMove():
                self._log(f"{command.vm} begins to move to {command.pool}")
            case FinishMove():
                pool_name = self.fleet.state.vms[command.vm].pool
                self.moved_to.add(pool_name)
                self._log(f"{command.vm} has moved to {pool_name}")
            case SetAsideTask():
                self._log(f"{command.task} is set aside: {command.reason}")
            case OpenQuestion():
                self.question_subjects.add(command.subject)
                self._log(f"question {command.subject}: {command.sentence}")
            case CloseQuestion():
                subject = self.fleet.state.questions[command.question].subject
                self._log(f"question {subject} is closed: {command.reason}")

    def _log_finished_jobs(self) -> None:
        for step in self.scenario.jobs:
            if step.job not in self.finished_jobs and self._is_job_finished(step.job):
                self.finished_jobs.add(step.job)
                self._log(f"job {step.job} is done")

    def _is_job_finished(self, name: JobId) -> bool:
        tasks = [task for task in self.fleet.state.tasks.values() if task.job == name]
        return bool(tasks) and all(task.state in ENDED_STATES for task in tasks)

    def _is_met(self, expectation: steps.Expectation) -> bool:
        match expectation:
            case steps.WaveDone():
                since_s = self.drained_s.get(expectation.pool, float("inf"))
                vms = [vm for vm in self.fleet.state.vms.values() if vm.pool == expectation.pool]
                is_last = not any(
                    isinstance(e, steps.Drain) and e.pool == expectation.pool
                    for e in self._remaining_events()
                )
                return is_last and bool(vms) and all(vm.maintained_s > since_s for vm in vms)
            case steps.JobDone():
                is_last = not any(
                    isinstance(e, steps.Submit) and e.job == expectation.job
                    for e in self._remaining_events()
                )
                return is_last and self._is_job_finished(expectation.job)
            case steps.Moved():
                return expectation.pool in self.moved_to
            case steps.Question():
                return expectation.subject in self.question_subjects
        return True

    def _remaining_events(self) -> list[steps.Event]:
        return [fault.event for fault in self.scenario.faults if fault.at_s > self._now_s]


def _task_size(step: steps.JobStep) -> Resources:
    """Return the declared size of a job's tasks."""
    return SIZE if step.cores is None else Resources(float(step.cores), SIZE.memory_mb)
