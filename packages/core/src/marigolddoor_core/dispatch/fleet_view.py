"""The leader's view of the executors: what they report, and which runs they hold.

A leadership starts with the replicated table only. Executors report by heartbeat; each is asked for
its runs, and from then on the view follows from committed changes and the executors' answers.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from marigolddoor_core.dispatch.awaited_starts import AwaitedStarts
from marigolddoor_core.dispatch.durations import DurationEstimates
from marigolddoor_core.dispatch.executors import (
    Executor,
    Heartbeat,
    PlacedRun,
)
from marigolddoor_core.dispatch.hold_reports import FinishedRun, HoldReport
from marigolddoor_core.dispatch.incarnations import Incarnations
from marigolddoor_core.dispatch.leases import ExecutorLease, LeaseTiming
from marigolddoor_core.dispatch.near_places import slowdown
from marigolddoor_core.dispatch.orders import Order, PaceOrder, StartOrder, StopOrder
from marigolddoor_core.dispatch.pacing import plan_pace
from marigolddoor_core.dispatch.planner import has_destination
from marigolddoor_core.dispatch.quotas import QuotaPolicy, TeamLimits, TeamQuotas
from marigolddoor_core.dispatch.run_evidence import ReportEvidence, RunningList
from marigolddoor_core.dispatch.stragglers import is_slow, straggling_runs
from marigolddoor_core.dispatch.team_usage import RunKey, TeamUsage
from marigolddoor_core.dispatch.uncertain_ends import UncertainEnds
from marigolddoor_core.dispatch.unconfirmed_starts import MAX_START_DELAY_S, UnconfirmedStarts
from marigolddoor_core.dispatch.value_order import ValueOrder
from marigolddoor_core.ids import (
    ExecutorIncarnation,
    JobId,
    RunNumber,
    ServiceId,
    TaskName,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    DropExecutor,
    EndRun,
    EnrolExecutor,
    JobChange,
    JobPhase,
    JobRecord,
    JobTable,
    QueueSettings,
    RunEnd,
    TaskPhase,
    TaskRecord,
    parse_incarnation,
)

__all__ = ["FleetView", "ReportOutcome"]

# An executor that rejected or ignored a call gets no new task for this long. The time doubles with
# each failure up to the limit, and is reset when one of its tasks succeeds.
INITIAL_BLOCK_S = 0.5
MAX_BLOCK_S = 8.0
# A slow executor gets no new task for this long after each detection.
SLOW_BLOCK_S = 2.0
# When tasks of this many jobs fail without a success in between, the cause is taken to be the
# executor rather than the jobs.
FAILED_JOBS_LIMIT = 2

OUTCOMES = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}


@dataclass(frozen=True, slots=True)
class ReportOutcome:
    """What follows from a report: once the changes are committed, ends up to `seen` may go.

    `missing` are the runs that count as lost because the report lists them in neither list.
    """

    seen: int
    missing: tuple[PlacedRun, ...] = ()


class FleetView:
    """The state of the executors during one leadership, with the resulting changes and orders.

    Args:
      table: the replicated table.
      lease_timing: the maximum lease of executors.
      now: when the leadership begins.
      quotas: limits what teams have running; by default their quotas in the configuration do.
      remote_factor: the factor by which a task takes longer away from its data.
    """

    def __init__(
        self,
        table: JobTable,
        lease_timing: LeaseTiming,
        now: Instant,
        quotas: QuotaPolicy | None = None,
        remote_factor: float = 1.0,
    ) -> None:
        self.table = table
        self.remote_factor = remote_factor
        self.lease_timing = lease_timing
        self.now = now
        self.began_at = now
        self.durations = DurationEstimates()
        self.value_order = ValueOrder(self.queue_of, self.durations)
        self.usage = TeamUsage()
        self.limits = TeamLimits(table.configuration)
        self.quotas: QuotaPolicy = quotas or TeamQuotas(self.usage, self.limits)
        self.uncertain_ends = UncertainEnds(self.usage, lease_timing.certain_expiry_s)
        self.incarnations = Incarnations(self._is_configured)
        self.executors = self.incarnations.executors
        self.current = self.incarnations.current
        self.by_machine = self.incarnations.by_machine
        # Runs on executors that have not reported to this leader yet.
        self.unreported: dict[ExecutorIncarnation, dict[TaskName, TaskRecord]] = {}
        self.unconfirmed = UnconfirmedStarts()
        self.awaited = AwaitedStarts(self.usage)
        # Jobs of which an executor has confirmed a run to this leader.
        self.begun: set[JobId] = set()
        self.changes: list[JobChange] = []
        self.orders: list[Order] = []
        self.is_planning_due = True

    def take_over_runs(self) -> None:
        """Take over the runs and executors in the table."""
        for job in self.table.jobs.values():
            for task in job.placed_tasks():
                assert task.incarnation is not None
                self.unreported.setdefault(task.incarnation, {})[task.name] = task
                self.usage.add(task.step, task.name, task.run, self._last_service(task))
            if job.team and self._may_have_runs(job):
                self.uncertain_ends.take_over(job, self.now)
        for enrolled in sorted(self.table.executors.values(), key=lambda known: known.born_ms):
            self.receive_heartbeat(Heartbeat.of_enrolment(enrolled), self.now)
        # These are committed already.
        self.changes = [change for change in self.changes if not isinstance(change, EnrolExecutor)]

    def _last_service(self, task: TaskRecord) -> ServiceId:
        """Return the service of the executor that a placed task of the table was placed on."""
        assert task.incarnation is not None
        enrolled = self.table.executors.get(task.incarnation)
        return self.service_of(task.step.job) if enrolled is None else enrolled.service

    def _may_have_runs(self, job: JobRecord) -> bool:
        """Return whether a run of a job may go on that the table does not place anywhere.

        The table's time may be behind, and the clocks of leaders differ, so the lease counts twice.
        """
        is_active = job.phase is JobPhase.ACTIVE
        limit_s = 2 * self.lease_timing.certain_expiry_s
        return is_active or self.table.time_s - job.ended_s <= limit_s

    def queue_of(self, job: JobRecord) -> QueueSettings | None:
        """Return the settings of a job's queue, unless the queue was removed."""
        configuration = self.table.configuration
        return None if configuration is None else configuration.by_name.get(job.queue)

    def service_of(self, job: JobRecord) -> ServiceId:
        """Return the service that runs a job now."""
        queue = self.queue_of(job)
        return job.service if queue is None else queue.service

    def has_begun(self, job: JobRecord) -> bool:
        """Return whether a task of a job is known to have started.

        A placement alone does not count: its executor may have rejected the start, or be out of
        reach.
        """
        return job.has_started or job.job in self.begun

    def executors_of(self, service: ServiceId) -> list[Executor]:
        """Return the executors of a service."""
        return [
            executor
            for executor in self.executors.values()
            if executor.heartbeat.service == service
        ]

    def receive_heartbeat(self, heartbeat: Heartbeat, now: Instant) -> Executor | None:
        """Handle a heartbeat; return the executor if its incarnation was not in use.

        A heartbeat of another writer does not displace a known executor: one that contradicts what
        its incarnation reported before, or one of a service that is not configured. The caller
        checks with the sender that it exists if `displaced_by` returns any executor, since the runs
        of those count as lost.
        """
        known = self.executors.get(heartbeat.incarnation)
        if known is not None:
            if not known.heartbeat.is_same_executor(heartbeat):
                return None
            if heartbeat.sequence > known.heartbeat.sequence:
                if known.heartbeat.state != heartbeat.state:
                    self.is_planning_due = True
                    self.changes.append(EnrolExecutor(heartbeat.enrolment()))
                known.heartbeat = heartbeat
            known.last_heartbeat_at = now
            return None
        displaced = self.incarnations.displaced_by(heartbeat)
        if displaced is None:
            return None
        unconfirmed = self.unconfirmed.starts_of(heartbeat.executor, now)
        inherited = self._unconfirmed_runs(self.current.get(heartbeat.executor), unconfirmed)
        inherited += self.awaited.take(heartbeat.executor)
        for previous in displaced:
            self.end_incarnation(previous, now)
        # A start that was sent to the previous incarnation may have extended the lease of this one.
        lease = ExecutorLease(self.lease_timing, now if unconfirmed else self.began_at)
        executor = Executor(heartbeat, lease, now, self.usage)
        self.changes.append(EnrolExecutor(heartbeat.enrolment()))
        self.incarnations.add(executor)
        for task in self.unreported.pop(heartbeat.incarnation, {}).values():
            # An order of the previous leader is not carried out after the first call of this one,
            # so the first answer shows whether the run is there. A later incarnation may carry it
            # out.
            executor.reserve(task, now).confirmed_at = now
            self.unconfirmed.sent(heartbeat.executor, task.name, task.run, self.began_at)
            if task.step.job.phase is not JobPhase.ACTIVE:
                self._order_stop(executor, task)
        unreported = self._take_unreported(heartbeat, now)
        for task in inherited + unreported:
            executor.reserve(task, now).is_stopping = True
        unconfirmed += [(task.name, task.run) for task in unreported]
        self.orders += [StopOrder(executor, name, run) for name, run in unconfirmed]
        return executor

    def displaced_by(self, heartbeat: Heartbeat) -> list[Executor]:
        """Return the executors that `receive_heartbeat` would end because of a heartbeat."""
        if heartbeat.incarnation in self.executors:
            return []
        return self.incarnations.displaced_by(heartbeat) or []

    def candidate(self, heartbeat: Heartbeat, now: Instant) -> Executor:
        """Return the executor that a heartbeat tells of, without using it.

        Calls to it must not fence off those to the incarnation in use.
        """
        candidate = Executor(heartbeat, ExecutorLease(self.lease_timing, now), now)
        candidate.predecessors = max(0, self.incarnations.counts.get(heartbeat.executor, 0) - 1)
        return candidate

    def _unconfirmed_runs(
        self, previous: Executor | None, unconfirmed: Iterable[tuple[TaskName, RunNumber]]
    ) -> list[TaskRecord]:
        """Release and return the runs of an incarnation that the next one may carry out.

        They count as placed on the next incarnation until it has rejected or stopped them.
        """
        if previous is None or previous.has_ended:
            return []
        tasks = [
            previous.runs[name].task
            for name, run in unconfirmed
            if name in previous.runs and previous.runs[name].run == run
        ]
        for task in tasks:
            previous.release(task)
        return tasks

    def holder_of(self, task: TaskRecord) -> Executor | None:
        """Return the executor that holds a placed run, perhaps in its next incarnation."""
        if task.incarnation is None:
            return None
        executor = self.executors.get(task.incarnation)
        if executor is None:
            executor = self.current.get(parse_incarnation(task.incarnation)[0])
            if executor is not None and task.name not in executor.runs:
                return None
        return executor

    def _take_unreported(self, heartbeat: Heartbeat, now: Instant) -> list[TaskRecord]:
        """Return the runs of earlier incarnations that this one may carry out; others are lost.

        The previous leader may have sent their starts just before this leadership began.
        """
        runs: list[TaskRecord] = []
        for incarnation in list(self.unreported):
            executor, born_ms = parse_incarnation(incarnation)
            if executor == heartbeat.executor and born_ms < heartbeat.born_ms:
                runs += self.unreported.pop(incarnation).values()
        if now - self.began_at <= MAX_START_DELAY_S:
            return runs
        self._end_unreported(runs)
        return []

    def handle_hold_report(
        self, executor: Executor, sent_at: Instant, report: HoldReport, now: Instant
    ) -> ReportOutcome:
        """Handle an executor's answer to a lease renewal that was sent at `sent_at`."""
        if executor.has_ended:
            return ReportOutcome(executor.seen)
        if executor.contact_at is None or now - executor.contact_at > 1.0:
            self.is_planning_due = True
        executor.contact_at = now
        executor.unresponsive_since = None
        executor.lease.observe(report.clock_ms, now)
        evidence = executor.evidence.evaluate(report, executor.seen, now)
        if executor.has_unlisted_ends and report.has_all_ends:
            self.is_planning_due = True
        executor.has_unlisted_ends = not report.has_all_ends
        listed = self._handle_ends(executor, report, evidence, now)
        listed |= self._handle_running(executor, report, now)
        if evidence.running_list is RunningList.COMPLETE and self.uncertain_ends.reported(
            executor.heartbeat.executor,
            {(running.task, running.run) for running in report.running},
            sent_at,
        ):
            self.is_planning_due = True
        if report.has_all_ends:
            self._adjust_runs(executor, now)
        unlisted = executor.unlisted_runs(listed, sent_at)
        return ReportOutcome(evidence.seen, self._end_missing(executor, unlisted, evidence))

    def _handle_ends(
        self, executor: Executor, report: HoldReport, evidence: ReportEvidence, now: Instant
    ) -> set[TaskName]:
        """Record the new ends of a report; return the tasks whose runs it lists as ended."""
        listed: set[TaskName] = set()
        for finished in report.finished:
            placed = executor.runs.get(finished.task)
            if placed is not None and placed.run == finished.run:
                listed.add(finished.task)
                self.begun.add(placed.task.step.job.job)
                self.unconfirmed.listed(executor.heartbeat.executor, finished.task, finished.run)
        for finished in evidence.new_ends:
            placed = executor.runs.get(finished.task)
            if placed is not None and placed.run == finished.run:
                self._handle_end(executor, placed, finished, now)
            else:
                # The run was abandoned. The executor discards the end once `seen` reaches it, so
                # the end must be committed as well.
                end = OUTCOMES.get(finished.outcome, RunEnd.LOST)
                self.changes.append(EndRun(finished.task, finished.run, end, has_begun=True))
        return listed

    def _handle_running(
        self, executor: Executor, report: HoldReport, now: Instant
    ) -> set[TaskName]:
        """Handle the running tasks of a report; return those whose runs are expected there."""
        listed: set[TaskName] = set()
        for running in report.running:
            placed = executor.runs.get(running.task)
            if placed is None or placed.run != running.run:
                self._stop_unknown(executor, running.task, running.run, now)
                continue
            listed.add(running.task)
            self.unconfirmed.listed(executor.heartbeat.executor, running.task, running.run)
            # A run of an earlier leader counts as confirmed before the executor lists it.
            self.begun.add(placed.task.step.job.job)
            if placed.confirmed_at is None:
                placed.confirmed_at = now
            placed.percent = running.percent
            placed.load = running.load
        return listed

    def _adjust_runs(self, executor: Executor, now: Instant) -> None:
        """Pace the runs of an executor, and evacuate those that are far too slow."""
        for placed, percent in plan_pace(executor, now):
            placed.pace = percent
            self.orders.append(PaceOrder(executor, placed.task.name, placed.run, percent))
        if is_slow(executor, self._expected_s, now):
            self._evacuate_slow(executor, now)

    def _end_missing(
        self, executor: Executor, unlisted: Iterable[PlacedRun], evidence: ReportEvidence
    ) -> tuple[PlacedRun, ...]:
        """End the runs that a report shows to be gone; return those that count as lost."""
        missing: list[PlacedRun] = []
        for placed in unlisted:
            if evidence.running_list is RunningList.GIVEN_UP:
                self._order_stop(executor, placed.task)
            if placed.is_missing or not evidence.shows_end_of((placed.task.name, placed.run)):
                continue
            if placed.task.phase is TaskPhase.PLACED and placed.task.run == placed.run:
                placed.is_missing = True
                self._end_run(placed.task, RunEnd.LOST)
                missing.append(placed)
            else:
                # It was superseded, and its end is committed.
                executor.release(placed.task)
                self.is_planning_due = True
        return tuple(missing)

    def _expected_s(self, task: TaskRecord) -> float:
        """Return the expected duration of a run on its executor."""
        near_s = self.value_order.expected_s(task.step.job, task.step.number)
        executor = self.holder_of(task)
        return near_s if executor is None else near_s * self._slowdown(task, executor)

    def _slowdown(self, task: TaskRecord, executor: Executor) -> float:
        return slowdown(task.step.spec, executor.heartbeat.rack, self.remote_factor)

    def _evacuate_slow(self, executor: Executor, now: Instant) -> None:
        """Stop straggling runs of a slow executor if they can restart on another one."""
        executor.slow_until = Instant(now + SLOW_BLOCK_S)
        others = [
            other
            for other in self.executors_of(executor.heartbeat.service)
            if other is not executor
        ]
        for placed in straggling_runs(executor, self._expected_s, now):
            step = placed.task.step
            # A team above its quota could not start the run again.
            if self.quotas.admits(step, 0) and has_destination(step, others, now):
                self._order_stop(executor, placed.task)

    def unanswered(self, executor: Executor, sent_at: Instant) -> None:
        """Handle a lease renewal that was sent at `sent_at` and got no answer.

        The executor may continue its runs, so only speculative tasks, of which copies may run, are
        placed elsewhere before its lease expires.
        """
        if executor.unresponsive_since is None:
            executor.unresponsive_since = sent_at
        if not self._enforces_capacity(executor.heartbeat.service):
            # The run may continue, and its capacity has to stay reserved.
            return
        for placed in executor.runs.values():
            if placed.task.step.spec.is_speculative:
                placed.is_given_up = True
                self._end_run(placed.task, RunEnd.LOST)

    def _is_configured(self, service: ServiceId) -> bool:
        configuration = self.table.configuration
        return configuration is None or service in configuration.service_by_name

    def _enforces_capacity(self, service: ServiceId) -> bool:
        configuration = self.table.configuration
        settings = None if configuration is None else configuration.service_by_name.get(service)
        return settings is not None and settings.enforces_capacity

    def _stop_unknown(
        self, executor: Executor, name: TaskName, run: RunNumber, now: Instant
    ) -> None:
        """Stop a run that the table does not place on the executor, such as one of an ended job."""
        task = self.table.task(name)
        if task is not None:
            self.uncertain_ends.listed(executor, task, run, now)
        if (
            task is None
            or task.phase is not TaskPhase.PLACED
            or task.incarnation != executor.incarnation
            or task.run != run
        ):
            self.orders.append(StopOrder(executor, name, run))

    def _handle_end(
        self, executor: Executor, placed: PlacedRun, finished: FinishedRun, now: Instant
    ) -> None:
        task = placed.task
        if task.phase is TaskPhase.DONE:
            # It was superseded; its capacity stayed reserved until now.
            executor.release(task)
            return
        end = OUTCOMES.get(finished.outcome, RunEnd.LOST)
        if end is RunEnd.DONE:
            executor.failed_jobs.clear()
            executor.block_s = 0.0
            began = placed.confirmed_at or placed.placed_at
            near_s = (now - began) / self._slowdown(task, executor)
            self.durations.observe(task.step.job.queue, task.step.spec.estimated_s, near_s)
        elif end is RunEnd.FAILED and not task.step.spec.is_long_running:
            executor.failed_jobs.add(task.step.job.job)
            if len(executor.failed_jobs) >= FAILED_JOBS_LIMIT:
                self.block(executor, now)
        change = EndRun(task.name, finished.run, end, finished.checkpoint, has_begun=True)
        self.changes.append(change)

    def block(self, executor: Executor, now: Instant) -> None:
        """Block new tasks on an executor; the time doubles with each call up to the limit."""
        executor.block_s = min(max(executor.block_s * 2, INITIAL_BLOCK_S), MAX_BLOCK_S)
        executor.blocked_at = now
        executor.blocked_until = Instant(now + executor.block_s)

    def start_sent(self, order: StartOrder, now: Instant) -> None:
        """Record that the call for a start is in flight."""
        self.unconfirmed.sent(order.executor.heartbeat.executor, order.task, order.run, now)

    def start_answered(self, order: StartOrder) -> None:
        """Record that a call for a start was answered, by this incarnation or a later one."""
        self.unconfirmed.answered(order.executor.heartbeat.executor, order.task, order.run)

    def started(self, order: StartOrder, now: Instant) -> None:
        """Handle an executor's confirmation that it has a run."""
        placed = order.executor.runs.get(order.task)
        if placed is not None and placed.run == order.run and placed.confirmed_at is None:
            placed.confirmed_at = now
            self.begun.add(placed.task.step.job.job)

    def rejected(self, order: StartOrder, now: Instant) -> None:
        """Handle an executor's report that it did not start a run and never will."""
        placed = order.executor.runs.get(order.task)
        if placed is not None and placed.run == order.run:
            self.block(order.executor, now)
            self._end_run(placed.task, RunEnd.REJECTED)

    def stop_confirmed(self, executor: Executor, task: TaskName, run: int, now: Instant) -> None:
        """Handle an executor's confirmation that a run is being stopped or never starts."""
        placed = executor.runs.get(task)
        if placed is not None and placed.run == run and placed.confirmed_at is None:
            placed.confirmed_at = now
        key = task, RunNumber(run)
        self.uncertain_ends.stop_confirmed(executor.heartbeat.executor, key, now)

    def later_incarnation_answered(self, executor: Executor, now: Instant) -> bool:
        """Handle an answer of a later incarnation; return whether the earlier one was ended.

        Runs that the later incarnation may carry out wait for its heartbeat.
        """
        unconfirmed = self.unconfirmed.starts_of(executor.heartbeat.executor, now)
        if not any(name in executor.runs for name, _ in unconfirmed):
            self.end_incarnation(executor, now)
            return True
        executor.unresponsive_since = executor.unresponsive_since or now
        waiting = {name for name, _ in unconfirmed}
        self._end_as_lost(
            placed.task for name, placed in executor.runs.items() if name not in waiting
        )
        return False

    def end_incarnation(self, executor: Executor, now: Instant) -> None:
        """Handle the end of an incarnation; none of its runs continues."""
        if executor.has_ended:
            return
        executor.has_ended = True
        self.incarnations.remove(executor)
        self.changes.append(DropExecutor(executor.incarnation))
        self.uncertain_ends.incarnation_ended(executor, self.late_starts(executor, now))
        self._end_as_lost(placed.task for placed in executor.runs.values())
        self.is_planning_due = True

    def expire(self, now: Instant) -> list[Executor]:
        """Give up runs whose leases have certainly expired, and end incarnations out of contact.

        Return the executors whose incarnations were ended.
        """
        ended: list[Executor] = []
        self.unconfirmed.forget_old(now)
        for executor in list(self.executors.values()):
            last_contact_at = max(
                executor.last_heartbeat_at, executor.contact_at or executor.last_heartbeat_at
            )
            if now < executor.lease.over_at:
                continue
            awaited = self.awaited_starts(executor, now)
            if now - last_contact_at > self.lease_timing.certain_expiry_s:
                self.incarnations.given_up(executor)
                for (task, _), sent_at in awaited.items():
                    self.awaited.add(executor, executor.runs[task], sent_at)
                self.end_incarnation(executor, now)
                ended.append(executor)
            else:
                self._lease_expired(executor, awaited, now)
        for start in self.awaited.take_expired(now):
            self.uncertain_ends.given_up(start.executor, start.placed, start.sent_at, now)
            self._end_run(start.placed.task, RunEnd.LOST)
        for name in list(self.uncertain_ends.ends):
            current = self.current.get(name)
            has_lease = current is not None and now < current.lease.over_at
            if not has_lease and self.uncertain_ends.lease_expired(name, now):
                self.is_planning_due = True
        if self.unreported and now - self.began_at >= self.lease_timing.certain_expiry_s:
            for tasks in self.unreported.values():
                self._end_unreported(tasks.values())
            self.unreported.clear()
        return ended

    def _lease_expired(self, executor: Executor, awaited: Collection[RunKey], now: Instant) -> None:
        """Give up the runs of an executor without a lease, except the awaited ones.

        Those that may begin late go on counting for their team.
        """
        late_starts = self.late_starts(executor, now)
        lost: list[TaskRecord] = []
        for placed in executor.runs.values():
            key = placed.task.name, placed.run
            if key in awaited:
                continue
            placed.is_given_up = key in late_starts
            if not placed.is_given_up:
                self.usage.remove(*key)
            lost.append(placed.task)
        self._end_as_lost(lost)

    def awaited_starts(self, executor: Executor, now: Instant) -> dict[RunKey, Instant]:
        """Return when the starts were sent that are awaited although the lease has expired.

        A call that was answered is not carried out again. A long-running task would be without a
        run for too long, so none of its starts is awaited.
        """
        late_starts = self.late_starts(executor, now)
        name = executor.heartbeat.executor
        return {
            (task, placed.run): late_starts[task, placed.run]
            for task, placed in executor.runs.items()
            if (task, placed.run) in late_starts
            and self.unconfirmed.has_unanswered_call(name, task, placed.run)
            and not placed.task.step.spec.is_long_running
        }

    def late_starts(
        self, executor: Executor, now: Instant
    ) -> dict[tuple[TaskName, RunNumber], Instant]:
        """Return when the starts were sent that a later incarnation may carry out.

        Every run of an earlier leader may be such a start. These are left out once the lease of
        their executor has expired: after the loss of a data centre with its leader, the teams whose
        runs were lost there would otherwise wait for another 13 s.
        """
        sent = self.unconfirmed.sent_times_of(executor.heartbeat.executor, now)
        if now < executor.lease.over_at:
            return sent
        return {key: sent_at for key, sent_at in sent.items() if sent_at > self.began_at}

    def _end_unreported(self, tasks: Iterable[TaskRecord]) -> None:
        """Give up runs on incarnations that ended before they reported to this leader."""
        for task in tasks:
            self.usage.remove(task.name, task.run)
            self._end_run(task, RunEnd.LOST)

    def _end_as_lost(self, tasks: Iterable[TaskRecord]) -> None:
        for task in list(tasks):
            self._end_run(task, RunEnd.LOST)

    def _end_run(self, task: TaskRecord, end: RunEnd) -> None:
        has_begun = self.has_begun(task.step.job)
        self.changes.append(EndRun(task.name, task.run, end, has_begun=has_begun))

    def _order_stop(self, executor: Executor, task: TaskRecord) -> None:
        placed = executor.runs.get(task.name)
        if placed is not None and not placed.is_stopping:
            placed.is_stopping = True
            self.orders.append(StopOrder(executor, task.name, task.run))
