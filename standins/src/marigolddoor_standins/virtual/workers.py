"""Simulated workers in virtual time: they run tasks under leases, drain, fail and reboot."""

from dataclasses import dataclass, field

from marigolddoor_core.ids import DataCentreId, Epoch, FencingToken, JobId, RackId, TaskId, VmId
from marigolddoor_core.targets import (
    Announcement,
    Resources,
    TaskOrder,
    TaskOrderKind,
    TaskPhase,
    TaskReport,
)

__all__ = ["JobBehaviour", "Run", "VirtualWorker"]

REPORT_ENDED_S = 60.0


@dataclass(frozen=True, slots=True)
class JobBehaviour:
    """Actual behaviour of the tasks of a job, independent of its declaration."""

    run_s: float
    usage: Resources
    fails: bool = False
    checkpoint_s: float = 0.2


@dataclass(slots=True)
class Run:
    """A run of a task on a worker. `remaining_s` is the work that remains."""

    task: TaskId
    job: JobId
    token: FencingToken
    behaviour: JobBehaviour
    started_s: float
    lease_end_s: float
    remaining_s: float
    throttled: bool = False
    checkpoint_at_s: float = float("inf")
    phase: TaskPhase = TaskPhase.RUNNING
    reason: str = ""
    ended_s: float = 0.0

    def end(self, phase: TaskPhase, now_s: float, reason: str = "") -> None:
        """End the run."""
        self.phase, self.reason, self.ended_s = phase, reason, now_s

    def report(self, now_s: float) -> TaskReport:
        """Return the worker's report on the run."""
        is_running = self.phase is TaskPhase.RUNNING
        usage = self.behaviour.usage if is_running else Resources(0.0, 0)
        if self.throttled:
            usage = Resources(usage.cores / 2, usage.memory_mb, usage.accelerators)
        run_s = (now_s if is_running else self.ended_s) - self.started_s
        return TaskReport(self.task, self.token, self.phase, usage, run_s, self.reason)


@dataclass
class VirtualWorker:
    """A worker. `progress` holds the checkpointed progress, shared by all workers of a fleet."""

    vm: VmId
    data_centre: DataCentreId
    rack: RackId
    capacity: Resources
    slots: int = 8
    epoch: Epoch = Epoch(1)
    drain: bool = False
    unresponsive: bool = False
    fails_all: bool = False
    returns: bool = True
    ignores_starts: bool = False
    ignores_ends: bool = False
    boots: int = 0
    up_at_s: float = 0.0
    busy_slots: int = 0
    runs: dict[TaskId, Run] = field(default_factory=dict)
    progress: dict[TaskId, float] = field(default_factory=dict)

    def is_up(self, now_s: float) -> bool:
        """Return whether the worker is up."""
        return now_s >= self.up_at_s

    def running(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [run for run in self.runs.values() if run.phase is TaskPhase.RUNNING]

    def go_down(self, now_s: float, down_s: float) -> None:
        """Lose every task and return after `down_s` as a new incarnation."""
        self.runs.clear()
        self.epoch = Epoch(0)
        self.drain = False
        self.boots += 1
        self.up_at_s = now_s + (down_s if self.returns else float("inf"))

    def order(self, order: TaskOrder, behaviour: JobBehaviour | None, now_s: float) -> None:
        """Execute an order; an order with a stale fencing token is ignored."""
        run = self.runs.get(order.task)
        if order.kind is TaskOrderKind.START:
            if self.ignores_starts:
                return
            if behaviour is not None and (run is None or run.token < order.token):
                remaining_s = self.progress.get(order.task, behaviour.run_s)
                run = Run(
                    order.task, order.job, order.token, behaviour, now_s,
                    now_s + order.lease_s, remaining_s,
                )  # fmt: skip
                self.runs[order.task] = run
                if behaviour.fails or self.fails_all:
                    run.end(TaskPhase.FAILED, now_s, "exit status 1")
            return
        if run is None or run.token != order.token or run.phase is not TaskPhase.RUNNING:
            return
        if self.ignores_ends:
            return
        if order.kind is TaskOrderKind.STOP:
            run.end(TaskPhase.STOPPED, now_s)
        elif order.kind is TaskOrderKind.CHECKPOINT:
            run.checkpoint_at_s = min(run.checkpoint_at_s, now_s + run.behaviour.checkpoint_s)
        elif order.kind is TaskOrderKind.THROTTLE:
            run.throttled = True

    def advance(self, now_s: float, step_s: float) -> list[TaskId]:
        """Advance the runs by one step; return the tasks that finished."""
        finished: list[TaskId] = []
        for task, run in tuple(self.runs.items()):
            if run.phase is not TaskPhase.RUNNING:
                if now_s - run.ended_s > REPORT_ENDED_S:
                    del self.runs[task]
                continue
            run.remaining_s -= step_s / 2 if run.throttled else step_s
            if now_s >= run.lease_end_s:
                run.end(TaskPhase.STOPPED, now_s, "the lease ran out")
            elif run.remaining_s <= 0.0:
                run.end(TaskPhase.FINISHED, now_s)
                finished.append(task)
            elif now_s >= run.checkpoint_at_s:
                self.progress[task] = run.remaining_s
                run.end(TaskPhase.CHECKPOINTED, now_s)
        return finished

    def renew(self, task: TaskId, token: FencingToken, until_s: float) -> None:
        """Extend the lease of a run."""
        run = self.runs.get(task)
        if run is not None and run.token == token:
            run.lease_end_s = max(run.lease_end_s, until_s)

    def announcement(self, now_s: float) -> Announcement:
        """Return the current announcement."""
        return Announcement(
            self.vm,
            self.data_centre,
            self.rack,
            f"{self.vm}:9000",
            self.slots,
            self.busy_slots,
            self.capacity,
            self.epoch,
            drained=self.drain and not self.running() and not self.busy_slots,
            incarnation=f"boot-{self.boots}",
            tasks=tuple(run.report(now_s) for run in self.runs.values()),
        )
