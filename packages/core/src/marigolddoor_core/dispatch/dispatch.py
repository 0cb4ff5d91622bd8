"""Decides on which executor each task runs, and follows the committed changes."""

from collections.abc import Iterable

from marigolddoor_core.dispatch.advice import Advice, AdviceRequest, Tickets
from marigolddoor_core.dispatch.executors import (
    Executor,
    ExecutorState,
    free_size,
    teamless_size,
)
from marigolddoor_core.dispatch.leases import LeaseTiming
from marigolddoor_core.dispatch.machine_needs import JobNeeds, WaitingSteps
from marigolddoor_core.dispatch.machine_planning import MachinePlanning
from marigolddoor_core.dispatch.near_places import EndComparison, NeverWait, PlaceWait, RunTimes
from marigolddoor_core.dispatch.orders import StartOrder
from marigolddoor_core.dispatch.planner import (
    Placer,
    StepOrder,
    fitting_steps,
    has_room,
    is_suitable,
)
from marigolddoor_core.dispatch.quotas import QuotaPolicy
from marigolddoor_core.dispatch.ready import ReadySteps
from marigolddoor_core.dispatch.team_rates import TeamRates
from marigolddoor_core.dispatch.team_shares import SharedOrder
from marigolddoor_core.ids import ServiceId, TeamId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    JobChange,
    JobPhase,
    JobRecord,
    JobTable,
    PlaceRun,
    RunEnd,
    StepRecord,
    TaskRecord,
    TaskSize,
)
from marigolddoor_core.metrics import CounterKind, Counters, Labels

__all__ = ["Dispatch"]

# A long-running task that no executor could take for this long may be placed on a machine that is
# being emptied. That machine may wait for the same task: its own long-running tasks move only while
# the others of their step work.
LAST_RESORT_AFTER_S = 1.0


class Dispatch(MachinePlanning):
    """Decides on which executor each task runs, during one leadership.

    The owner passes in the reports that it receives, gets changes from `take_changes`, has them
    committed and carries out the orders that the table's notifications leave in `orders`.
    """

    def __init__(
        self,
        table: JobTable,
        lease_timing: LeaseTiming,
        now: Instant,
        machine_lease_s: float = 0.0,
        counters: Counters | None = None,
        order: StepOrder | None = None,
        quotas: QuotaPolicy | None = None,
        remote_factor: float = 1.0,
        waits: PlaceWait | None = None,
    ) -> None:
        super().__init__(
            table, lease_timing, now, machine_lease_s, counters or Counters(), quotas, remote_factor
        )
        # The order of the steps before the shares of teams are applied.
        self.order: StepOrder = order or self.value_order
        self.team_rates = TeamRates(self._rate_of)
        self.team_rates.take_over(table.jobs.values())
        self.waits = waits or self._default_waits()
        self.placer = Placer(self.quotas, self.waits)
        self.tickets = Tickets()
        # Since when no task of a long-running step that has waiting tasks could be placed.
        self.unplaceable_since: dict[StepRecord, Instant] = {}
        self.ready = ReadySteps(self.service_of)
        for job in table.jobs.values():
            self.ready.add_job(job, table.time_s)
        self.rebalancer.needs = JobNeeds(
            self.requirements, WaitingSteps(self._admitted_steps, self._is_allowed)
        )
        self.take_over_runs()
        self.take_over_machines()

    def _admitted_steps(self, service: ServiceId) -> list[StepRecord]:
        return self.placer.admitted_steps(self.ready.of_service(service))

    def take_changes(self, now: Instant, time_s: float) -> list[JobChange]:
        """Return the changes to commit: reported events first, then new placements."""
        self.now = now
        self.ready.add_due(time_s)
        changes, self.changes = self.changes, []
        changes += self.plan_machines(now, time_s)
        if not changes or self.is_planning_due or self.tickets.asked_at:
            # Ends release capacity only once they are committed, so placements follow in the next
            # batch.
            changes += self._plan(now, time_s)
        return changes

    def _plan(self, now: Instant, time_s: float) -> list[PlaceRun]:
        self.is_planning_due = False
        placements: list[PlaceRun] = []
        for service in list(self.ready.steps):
            steps = self._admitted_steps(service)
            if not steps:
                continue
            executors = self.executors_of(service)
            usable = [executor for executor in executors if executor.accepts_long_running(now)]
            order = self._shared_order(service, executors, usable)
            advised = [step for step in steps if self._needs_advice(step)]
            if advised:
                self._ask_for_advice(order.sort(advised, time_s), executors, now)
            fitting = fitting_steps(steps, usable) if usable else []
            self.waits.begin_round(
                (executor for executor in usable if executor.accepts_work(now)), now, time_s
            )
            if fitting:
                is_allowed = self._is_allowed if advised else None
                ordered = order.sort(fitting, time_s)
                placements += self.placer.place(ordered, usable, now, is_allowed)
            placements += self._place_as_last_resort(steps, executors, placements, now, time_s)
        self.unplaceable_since = {
            step: since
            for step, since in self.unplaceable_since.items()
            if step.waiting and step.job.phase is JobPhase.ACTIVE
        }
        return placements

    def _shared_order(
        self, service: ServiceId, executors: Iterable[Executor], usable: Iterable[Executor]
    ) -> StepOrder:
        """Return the order of a service's steps, in which teams have their shares.

        Args:
          service: the service.
          executors: all its executors.
          usable: those that accept work.
        """
        configuration = self.table.configuration
        if configuration is None or configuration.teams is None:
            return self.order

        def held(team: TeamId) -> TaskSize:
            return self.usage.of_service(service, team) if team else teamless_size(executors)

        return SharedOrder(
            self.order,
            configuration.team_by_name,
            held,
            free_size(usable),
            self.team_rates.is_beyond,
        )

    def _rate_of(self, team: TeamId) -> float | None:
        """Return the jobs a second that a team agreed on."""
        configuration = self.table.configuration
        settings = None if configuration is None else configuration.team_by_name.get(team)
        return None if settings is None else settings.weight

    def _place_as_last_resort(
        self,
        steps: Iterable[StepRecord],
        executors: list[Executor],
        placements: Iterable[PlaceRun],
        now: Instant,
        time_s: float,
    ) -> list[PlaceRun]:
        """Return placements of long-running tasks on machines that are being emptied.

        Args:
          placements: what this batch places elsewhere.
        """
        placed = {placement.task for placement in placements}
        overdue = []
        for step in steps:
            if not step.spec.is_long_running:
                continue
            if any(task.name in placed for task in step.tasks):
                self.unplaceable_since.pop(step, None)
            elif now - self.unplaceable_since.setdefault(step, now) >= LAST_RESORT_AFTER_S:
                overdue.append(step)
        return self.placer.place(
            self.order.sort(overdue, time_s),
            executors,
            now,
            self._is_allowed,
            Executor.accepts_as_last_resort,
        )

    def _default_waits(self) -> PlaceWait:
        """Return the policy for tasks with data on a rack."""
        if self.remote_factor <= 1.0:
            return NeverWait()
        times = RunTimes(
            lambda task: self.value_order.expected_s(task.step.job, task.step.number),
            lambda task: self.durations.deviation_s(
                task.step.job.queue, task.step.spec.estimated_s
            ),
            lambda task, time_s: self.value_order.remaining_work(task.step.job, time_s).slack_s,
        )
        return EndComparison(times, self.remote_factor)

    def _needs_advice(self, step: StepRecord) -> bool:
        queue = self.queue_of(step.job)
        return queue is not None and queue.needs_advice

    def _is_allowed(self, step: StepRecord, executor: Executor) -> bool:
        if not self._needs_advice(step):
            return True
        return self.tickets.ticket(step, executor, self.now) is not None

    def _ask_for_advice(
        self, steps: Iterable[StepRecord], executors: list[Executor], now: Instant
    ) -> None:
        """Order requests to the adviser, about steps that could start now before the others."""
        if not self.tickets.accepts_request(now):
            return
        ready = [e for e in executors if e.heartbeat.state is ExecutorState.READY]

        def waits_for_room(step: StepRecord) -> bool:
            return not any(is_suitable(e, step) and has_room(e, step, now) for e in ready)

        for step in sorted(steps, key=waits_for_room):
            if not self.tickets.accepts_request(now):
                break
            suitable = [e for e in ready if is_suitable(e, step) and e.could_hold(step)]
            room_on = {e.incarnation for e in suitable if has_room(e, step, now)}
            request = self.tickets.request(step, suitable, now, room_on)
            if request is not None:
                self.orders.append(request)

    def advised(
        self, request: AdviceRequest, advice: Advice, asked_at: Instant, now: Instant
    ) -> None:
        """Handle the adviser's answer to a request that was sent at `asked_at`."""
        self.tickets.answered(request, advice, asked_at, now)
        self.is_planning_due = True

    def advice_failed(self, request: AdviceRequest, now: Instant) -> None:
        """Handle that a request to the adviser got no usable answer."""
        self.tickets.failed(request, now)
        self.is_planning_due = True

    def _count(self, kind: CounterKind, job: JobRecord, outcome: str) -> None:
        self.counters.add(kind, Labels(service=self.service_of(job), outcome=outcome))

    def job_accepted(self, job: JobRecord) -> None:
        """Index the steps of a new job."""
        self._count(CounterKind.JOBS, job, "accepted")
        self.ready.add_job(job, self.table.time_s)
        self.value_order.learn(job)
        self.team_rates.accepted(job)
        self.record_job(job)
        self.is_planning_due = True

    def run_placed(self, task: TaskRecord) -> None:
        """Order the start of a committed placement."""
        executor = None if task.incarnation is None else self.executors.get(task.incarnation)
        if executor is None:
            self._end_run(task, RunEnd.LOST)
            return
        if task.name not in executor.runs:
            executor.reserve(task, self.now)
        step = task.step
        ticket = self.tickets.ticket(step, executor, self.now) or ""
        payload = step.job.spec.payload
        self.orders.append(
            StartOrder(executor, task.name, task.run, payload, task.checkpoint, ticket)
        )

    def run_not_placed(self, placement: PlaceRun) -> None:
        """Release the capacity of a placement that was decided before its job ended."""
        executor = self.executors.get(placement.life)
        placed = None if executor is None else executor.runs.get(placement.task)
        if executor is not None and placed is not None and placed.run == placement.run:
            executor.release(placed.task)
            self.is_planning_due = True

    def run_ended(self, task: TaskRecord, end: RunEnd) -> None:
        """Release the capacity of a run, and index the steps that may start now."""
        executor = self.holder_of(task)
        placed = None if executor is None else executor.runs.get(task.name)
        if executor is not None and placed is not None:
            executor.release(task)
            if placed.is_given_up and end is RunEnd.LOST:
                sent_at = self.late_starts(executor, self.now).get((task.name, placed.run))
                self.uncertain_ends.given_up(executor, placed, sent_at, self.now)
        step = task.step
        self._count(CounterKind.RUNS, step.job, end.value)
        if step.is_done:
            self.ready.add_dependents(step, self.table.time_s)
        else:
            self.ready.add(step, self.table.time_s)
        self.is_planning_due = True

    def run_superseded(self, task: TaskRecord) -> None:
        """Stop the latest run of a task that an earlier run has completed."""
        executor = self.holder_of(task)
        if executor is not None:
            self._order_stop(executor, task)

    def task_done(self, task: TaskRecord) -> None:
        """Index the steps that may start because an earlier run completed its task late."""
        if task.step.is_done:
            self.ready.add_dependents(task.step, self.table.time_s)
        self.is_planning_due = True

    def job_ended(self, job: JobRecord) -> None:
        """Stop the remaining runs of a cancelled or failed job."""
        self._count(CounterKind.JOBS, job, job.phase.value)
        self.work.ended(job.job)
        self.requirements.ended(job.job)
        self.begun.discard(job.job)
        self.team_rates.ended(job.job)
        self.tickets.forget(job.steps.values())
        for task in job.placed_tasks():
            executor = self.holder_of(task)
            if executor is not None:
                self._order_stop(executor, task)

    def configuration_changed(self) -> None:
        """Regroup the ready steps by the services of the new configuration."""
        self.limits.apply(self.table.configuration)
        self.work.limits_changed()
        self.ready.regroup()
        self.requirements.regroup()
        if self.table.configuration is not None:
            self.team_rates.keep(self.table.configuration.team_by_name)
        self.is_planning_due = True
