"""The runs of tasks on workers: leases, start orders, reports, ends and cancellations."""

from collections.abc import Iterable
from dataclasses import dataclass

from marigolddoor_core.actions import Action, OrderTask, ProposeCommand
from marigolddoor_core.changes import Changed
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import FencingToken, JobId, TaskId, VmId
from marigolddoor_core.placement.index import PlacementIndex, Worker
from marigolddoor_core.placement.leases import LEASE_S, LeaseRenewal, LeaseTable, regrant_after_s
from marigolddoor_core.placement.orders import OrderTracker, Termination, start_order
from marigolddoor_core.placement.pressure import Pressure, Relief, Stage
from marigolddoor_core.questions.question_tracker import PROPOSAL_RETRY_S
from marigolddoor_core.state.commands import FinishTask
from marigolddoor_core.state.objects import TaskRecord, TaskState
from marigolddoor_core.targets import (
    Announcement,
    TaskOrder,
    TaskOrderKind,
    TaskPhase,
    TaskReport,
)

__all__ = ["NEVER_S", "Runs"]

# An order in flight is abandoned after this time.
ORDER_TIMEOUT_S = 2.0
# A start order is received within this time or not at all. Its lease counts from receipt, so the
# leader shortens it by as much, and it ends no later than the leader assumes.
ORDER_DELIVERY_S = ORDER_TIMEOUT_S + 1.0
# By then a start order has reached its worker. Its report may take another 20 s.
START_DELIVERY_S = 0.4
# By then a new leader has the reports of all holders, and starts only tasks missing from them.
FIRST_REPORTS_S = 5.0
NEVER_S = float("inf")
ENDED = (TaskPhase.FINISHED, TaskPhase.FAILED, TaskPhase.STOPPED, TaskPhase.CHECKPOINTED)


@dataclass(frozen=True, slots=True)
class _CancelledRun:
    """A cancelled run. Announcements after `since_s` show whether it is still running."""

    vm: VmId
    job: JobId
    token: FencingToken
    since_s: float
    until_s: float


class Runs:
    """Starts tasks with committed leases, tracks their reports and ends runs.

    `starting` holds the time of the first start order of each run that was not reported yet.
    `stopping` holds cancelled runs that may still be running. `is_initialised` is false until the
    first round has passed, in which a new leader inherits the leases of the previous one.
    """

    def __init__(self, index: PlacementIndex, lease_s: float = LEASE_S) -> None:
        self.index = index
        self.lease_s = lease_s
        self.leases = LeaseTable(lease_s)
        self.orders = OrderTracker()
        self.pressure = Pressure()
        self.is_initialised = False
        self.finishing: dict[TaskId, tuple[FencingToken, float]] = {}
        self.starting: dict[TaskId, float] = {}
        self.stopping: dict[TaskId, _CancelledRun] = {}
        self.runaway: dict[TaskId, float] = {}

    def apply(self, change: Changed[TaskId, TaskRecord], now_s: float) -> None:
        """Apply the change of a task."""
        task, old, new = change.key, change.old, change.new
        if new is None:
            self.forget(task)
            return
        if new.state is TaskState.CANCELLED:
            self._track_cancelled(old, new, now_s)
        self.leases.apply(new, now_s, inherited=not self.is_initialised)
        if new.state is TaskState.LEASED and old is not None and old.token == new.token:
            return
        self.forget(task)
        if new.state is TaskState.LEASED:
            self.starting[task] = NEVER_S
            if not self.is_initialised:
                # The previous leader may have sent the order.
                self.starting[task] = now_s
                self.orders.postpone(task, TaskOrderKind.START, now_s + FIRST_REPORTS_S)
        elif new.state is TaskState.CANCELLED and task not in self.stopping:
            self.index.release(task)

    def forget(self, task: TaskId) -> None:
        """Drop the state of a run that has ended."""
        self.orders.forget(task)
        self.starting.pop(task, None)
        self.finishing.pop(task, None)
        self.runaway.pop(task, None)

    def _track_cancelled(self, old: TaskRecord | None, new: TaskRecord, now_s: float) -> None:
        holder = old if new.vm is None and old is not None else new
        if holder.vm is None:
            return
        # A start order in flight takes effect after the next announcement.
        delay_s = ORDER_DELIVERY_S if new.task in self.starting else 0.0
        until_s = max(self.leases.until_s(new.task), holder.lease_until_s)
        self.stopping[new.task] = _CancelledRun(
            holder.vm, new.job, holder.token, now_s + delay_s, until_s
        )

    def renewals(self, reports: Iterable[Announcement], now_s: float) -> tuple[LeaseRenewal, ...]:
        """Renew the leases of the tasks that run on the workers of a holder's report."""
        renewed: list[LeaseRenewal] = []
        for announcement in reports:
            for report in announcement.tasks:
                if self._may_renew(announcement.vm, report) and self.leases.renew(
                    report.task, report.token, now_s
                ):
                    renewed.append(
                        LeaseRenewal(announcement.vm, report.task, report.token, self.lease_s)
                    )
        return tuple(renewed)

    def _may_renew(self, vm: VmId, report: TaskReport) -> bool:
        record = self.index.tasks.seen.get(report.task)
        return (
            record is not None
            and record.state is TaskState.LEASED
            and record.vm == vm
            and record.token == report.token
            and report.phase is TaskPhase.RUNNING
            and report.task not in self.finishing
        )

    def read_reports(self, target: ObservedTarget, now_s: float) -> list[Action]:
        """Apply a new announcement; return the ends that it reports and stops of orphaned runs."""
        actions: list[Action] = []
        vm = target.announcement.vm
        for report in target.announcement.tasks:
            record = self.index.tasks.seen.get(report.task)
            is_current = (
                record is not None
                and record.state is TaskState.LEASED
                and record.vm == vm
                and record.token == report.token
            )
            if record is None or not is_current:
                if report.phase is TaskPhase.RUNNING:
                    actions.append(_stop_orphan(target.announcement, record, report))
                continue
            self.starting.pop(report.task, None)
            job = self.index.jobs.get(record.job)
            if job is not None and self.index.estimates.add(job, report):
                self.index.update_allocations(job)
            if report.phase in ENDED:
                actions += self._finish(record, report.phase, report.reason, now_s)
            elif job is not None and self.index.estimates.is_runaway(job, report.run_s):
                self.runaway[report.task] = report.run_s
        return actions

    def _finish(
        self, record: TaskRecord, phase: TaskPhase, reason: str, now_s: float
    ) -> list[Action]:
        token, proposed_s = self.finishing.get(record.task, (FencingToken(-1), -NEVER_S))
        if token == record.token and now_s - proposed_s < PROPOSAL_RETRY_S:
            return []
        self.finishing[record.task] = (record.token, now_s)
        return [ProposeCommand(FinishTask(record.task, record.token, phase, reason, now_s))]

    def expire(self, now_s: float) -> list[Action]:
        """End the runs whose leases have certainly expired, so that their tasks wait again."""
        actions: list[Action] = []
        for task, token in self.leases.expired(now_s):
            self.finishing.setdefault(task, (token, -NEVER_S))
        for task, (token, proposed_s) in tuple(self.finishing.items()):
            record = self.index.tasks.seen.get(task)
            if record is None or record.state is not TaskState.LEASED or record.token != token:
                self.finishing.pop(task)
            elif regrant_after_s(self.leases.until_s(task), self.lease_s) <= now_s:
                actions += self._finish(record, TaskPhase.STOPPED, "the lease ended", now_s)
            elif now_s - proposed_s >= PROPOSAL_RETRY_S:
                # The proposal was lost; the next report of the worker triggers it again.
                self.finishing.pop(task)
        return actions

    def checkpoint_leaving(self, now_s: float) -> None:
        """Ask the tasks on draining and moving workers to checkpoint."""
        for vm in self.index.leaving:
            for task in self.index.running_on(vm):
                self.terminate(task, vm, now_s, NEVER_S)

    def terminate(self, task: TaskId, vm: VmId, now_s: float, grace_s: float) -> None:
        """Ask a run to checkpoint; it is stopped if it has not done so within `grace_s`."""
        record = self.index.tasks.seen.get(task)
        worker = self.index.workers.get(vm)
        if record is None or worker is None or record.state is not TaskState.LEASED:
            return
        self.orders.terminate(
            task,
            Termination(vm, worker.record.epoch, record.job, record.token, now_s, now_s + grace_s),
        )

    def relieve(self, vm: VmId, now_s: float) -> list[Action]:
        """Relieve a worker whose new report shows that it is close to overload."""
        worker = self.index.workers.get(vm)
        relief = None if worker is None else self.pressure.evaluate(worker, now_s)
        if worker is None or relief is None:
            return []
        if relief.stage is Stage.THROTTLE:
            return self._throttle(worker, relief, now_s)
        grace_s = NEVER_S if relief.stage is Stage.CHECKPOINT else 0.0
        for task in relief.tasks:
            self.terminate(task, vm, now_s, grace_s)
        return []

    def _throttle(self, worker: Worker, relief: Relief, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for task in relief.tasks:
            record = self.index.tasks.seen.get(task)
            if record is None or record.state is not TaskState.LEASED:
                continue
            if self.orders.is_due(task, TaskOrderKind.THROTTLE, now_s):
                order = TaskOrder(TaskOrderKind.THROTTLE, task, record.job, record.token)
                actions.append(OrderTask(relief.vm, worker.record.epoch, order))
        return actions

    def stop_cancelled(self, now_s: float) -> list[Action]:
        """Stop cancelled runs; release their capacity once the worker no longer reports them."""
        actions: list[Action] = []
        for task, stopping in tuple(self.stopping.items()):
            worker = self.index.workers.get(stopping.vm)
            target = None if worker is None else worker.target
            has_ended = worker is None or regrant_after_s(stopping.until_s, self.lease_s) <= now_s
            if worker is not None and target is not None and worker.announced_s > stopping.since_s:
                has_ended = has_ended or not any(
                    report.task == task and report.phase is TaskPhase.RUNNING
                    for report in target.announcement.tasks
                )
            if has_ended or worker is None:
                del self.stopping[task]
                self.index.release(task)
                self.orders.forget(task)
            elif self.orders.is_due(task, TaskOrderKind.STOP, now_s):
                order = TaskOrder(TaskOrderKind.STOP, task, stopping.job, stopping.token)
                actions.append(OrderTask(stopping.vm, worker.record.epoch, order))
        return actions

    def start(self, now_s: float) -> list[Action]:
        """Send the start orders of committed leases until the worker reports the task."""
        actions: list[Action] = []
        for task in tuple(self.starting):
            record = self.index.tasks.seen.get(task)
            job = None if record is None else self.index.jobs.get(record.job)
            if record is None or record.vm is None or record.state is not TaskState.LEASED:
                del self.starting[task]
                continue
            worker = self.index.workers.get(record.vm)
            lease_s = self.leases.until_s(task) - now_s - ORDER_DELIVERY_S
            if task in self.orders.terminations and self.starting[task] == NEVER_S:
                # The worker never got an order, so the task need not wait for the end of the lease.
                actions += self._finish(record, TaskPhase.STOPPED, "it was not started", now_s)
                continue
            if job is None or worker is None or lease_s <= 0.0 or task in self.orders.terminations:
                continue
            if self.orders.is_due(task, TaskOrderKind.START, now_s):
                self.starting[task] = min(self.starting[task], now_s)
                order = start_order(
                    task, job.id, record.token, lease_s, self.index.size(job), job.command
                )
                send_by_s = now_s + ORDER_DELIVERY_S - ORDER_TIMEOUT_S
                actions.append(OrderTask(record.vm, worker.record.epoch, order, send_by_s))
        return actions

    def has_settled(self, task: TaskId, now_s: float) -> bool:
        """Return whether a run has started and is not being stopped, as far as known."""
        if task in self.stopping:
            return False
        return now_s - self.starting.get(task, -NEVER_S) >= START_DELIVERY_S


def _stop_orphan(
    announcement: Announcement, record: TaskRecord | None, report: TaskReport
) -> OrderTask:
    """Stop a run whose lease has expired. The token keeps a newer run of the task unaffected."""
    job = JobId("") if record is None else record.job
    order = TaskOrder(TaskOrderKind.STOP, report.task, job, report.token)
    return OrderTask(announcement.vm, announcement.epoch, order)
