"""The leader's view of the fleet, and the changes and orders that follow from what it hears.

A leadership begins with the replicated table only. Executors report themselves; each is asked for
what it runs, and from then on the view follows from recorded changes and the executors' answers.
"""

import math
from collections.abc import Iterable, Mapping

from marigolddoor_core.dispatch.advice import AdviceRequest, Tickets
from marigolddoor_core.dispatch.durations import DurationEstimates
from marigolddoor_core.dispatch.evacuation import doomed_runs, movable_runs
from marigolddoor_core.dispatch.executors import (
    Executor,
    ExecutorState,
    FinishedRun,
    Heartbeat,
    HoldReport,
    PlacedRun,
)
from marigolddoor_core.dispatch.forecast import DemandForecast
from marigolddoor_core.dispatch.leases import ExecutorLease, LeaseTiming
from marigolddoor_core.dispatch.orders import MoveOrder, Order, PaceOrder, StartOrder, StopOrder
from marigolddoor_core.dispatch.outstanding import OutstandingWork
from marigolddoor_core.dispatch.pacing import plan_pace
from marigolddoor_core.dispatch.planner import Placer, StepOrder, has_destination
from marigolddoor_core.dispatch.ready import ReadySteps
from marigolddoor_core.dispatch.room import Move, PoolFloor, RoomPlanner
from marigolddoor_core.dispatch.stragglers import is_slow, straggling_runs
from marigolddoor_core.dispatch.upkeep import Upkeep
from marigolddoor_core.dispatch.worth_order import WorthOrder
from marigolddoor_core.ids import (
    ExecutorId,
    ExecutorLife,
    MachineId,
    RunNumber,
    ServiceId,
    TaskName,
    WaveId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    DropExecutor,
    EndRun,
    EnrolExecutor,
    FleetConfiguration,
    JobChange,
    JobPhase,
    JobRecord,
    JobTable,
    QueueSettings,
    RunEnd,
    StepRecord,
    TaskPhase,
    TaskRecord,
    WaveRecord,
)
from marigolddoor_core.metrics import CounterKind, Counters, Labels

__all__ = ["Dispatch"]

# An executor that rejected or ignored a call gets no new task for this long. The time is doubled
# each time up to the limit, until one of its tasks ends well.
FIRST_BLOCK_S = 0.5
LONGEST_BLOCK_S = 8.0
# Moves are looked at this often; demand that rises is seen within this time.
ROOM_INTERVAL_S = 0.2
# Machines that are ordered now are there after some 1.8 s, so this part of the future counts.
FORESEEN_FROM_S = 0.5
FORESEEN_UNTIL_S = 2.5
# The share of an even division of the machines that every service keeps.
LEAST_SHARE = 0.6
# A slow executor gets no new task for this long after each sign of it.
SLOW_BLOCK_S = 2.0
# Failed tasks of this many jobs in a row point to the executor rather than to the jobs.
SUSPICIOUS_JOBS = 2

OUTCOMES = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}


class Dispatch:
    """Decides what runs where, during one leadership.

    The owner passes in what it hears, takes changes with `take_changes`, has them recorded and
    carries out the orders that the table's notifications leave in `orders`.
    """

    def __init__(
        self,
        table: JobTable,
        lease_timing: LeaseTiming,
        now: Instant,
        machine_lease_s: float = 0.0,
        counters: Counters | None = None,
        order: StepOrder | None = None,
    ) -> None:
        self.table = table
        self.lease_timing = lease_timing
        self.now = now
        self.counters = counters or Counters()
        self.began_at = now
        self.machine_orders_from = Instant(now + machine_lease_s)
        self.durations = DurationEstimates()
        self.worth = WorthOrder(self.queue_of, self.durations)
        self.order: StepOrder = order or self.worth
        self.placer = Placer()
        self.tickets = Tickets()
        self.executors: dict[ExecutorLife, Executor] = {}
        self.current: dict[ExecutorId, Executor] = {}
        self.by_address: dict[str, Executor] = {}
        self.by_machine: dict[MachineId, Executor] = {}
        self.newest_life: dict[ExecutorId, int] = {}
        # Runs on executors that have not reported to this leader yet.
        self.unclaimed: dict[ExecutorLife, dict[TaskName, TaskRecord]] = {}
        self.ready = ReadySteps(self.service_of)
        self.work = OutstandingWork(self.worth.expected_s)
        self.forecast = DemandForecast()
        self.room = RoomPlanner(self.work, self._is_in_upkeep)
        self.room_planned_at = now
        self.upkeeps: dict[WaveId, Upkeep] = {}
        self.changes: list[JobChange] = []
        self.orders: list[Order] = []
        self.is_planning_due = True
        self._take_over()

    def _take_over(self) -> None:
        for job in self.table.jobs.values():
            self._note_arrival(job)
            for task in job.placed_tasks():
                assert task.life is not None
                self.unclaimed.setdefault(task.life, {})[task.name] = task
            if job.phase is JobPhase.ACTIVE:
                self.ready.add_job(job, self.table.time_s)
                self.work.accepted(job, self.service_of(job), self.worth.first_deadline_s(job))
        for enrolled in sorted(self.table.executors.values(), key=lambda known: known.born_ms):
            self.heard(Heartbeat.of_enrolment(enrolled), self.now)
        # These are recorded already.
        self.changes = [change for change in self.changes if not isinstance(change, EnrolExecutor)]
        for wave in self.table.waves.values():
            if not wave.is_finished:
                self.wave_opened(wave)

    # What the configuration says.

    def queue_of(self, job: JobRecord) -> QueueSettings | None:
        """Return the settings of a job's queue, unless the queue was removed."""
        configuration = self.table.configuration
        return None if configuration is None else configuration.by_name.get(job.queue)

    def service_of(self, job: JobRecord) -> ServiceId:
        """Return the service that runs a job now."""
        queue = self.queue_of(job)
        return job.service if queue is None else queue.service

    def executors_of(self, service: ServiceId) -> list[Executor]:
        """Return the executors of a service."""
        return [
            executor
            for executor in self.executors.values()
            if executor.heartbeat.service == service
        ]

    # What executors say.

    def heard(self, heartbeat: Heartbeat, now: Instant) -> Executor | None:
        """Take a heartbeat; return the executor if this is a life that was not known before."""
        newest = self.newest_life.get(heartbeat.executor, 0)
        known = self.executors.get(heartbeat.life)
        if known is not None:
            if heartbeat.sequence > known.heartbeat.sequence:
                if known.heartbeat.state != heartbeat.state:
                    self.is_planning_due = True
                    self.changes.append(EnrolExecutor(heartbeat.enrolment()))
                known.heartbeat = heartbeat
            known.heard_at = now
            return None
        if heartbeat.born_ms <= newest:
            # A late heartbeat of a life that has ended.
            return None
        at_address = self.by_address.get(heartbeat.address)
        if at_address is not None and at_address.heartbeat.born_ms > heartbeat.born_ms:
            return None
        self.newest_life[heartbeat.executor] = heartbeat.born_ms
        for former in (
            self.current.get(heartbeat.executor),
            at_address,
            self.by_machine.get(heartbeat.machine) if heartbeat.machine else None,
        ):
            if former is not None:
                self.life_over(former, now)
        executor = Executor(heartbeat, ExecutorLease(self.lease_timing, self.began_at), now)
        self.changes.append(EnrolExecutor(heartbeat.enrolment()))
        self.executors[heartbeat.life] = executor
        self.current[heartbeat.executor] = executor
        self.by_address[heartbeat.address] = executor
        if heartbeat.machine:
            self.by_machine[heartbeat.machine] = executor
        for task in self.unclaimed.pop(heartbeat.life, {}).values():
            # The former leader's order is not carried out after the first call of this one, so the
            # first answer tells whether the run is there.
            executor.take(task, now).confirmed_at = now
            if task.step.job.phase is not JobPhase.ACTIVE:
                self._order_stop(executor, task)
        self._end_former_lives(heartbeat)
        return executor

    def _end_former_lives(self, heartbeat: Heartbeat) -> None:
        prefix = f"{heartbeat.executor}/"
        for life in [life for life in self.unclaimed if life.startswith(prefix)]:
            if int(life.removeprefix(prefix)) < heartbeat.born_ms:
                self._lose(self.unclaimed.pop(life).values())

    def held(self, executor: Executor, sent_at: Instant, report: HoldReport, now: Instant) -> None:
        """Take an executor's answer to a renewal that was sent at `sent_at`."""
        if executor.is_over:
            return
        if executor.contact_at is None or now - executor.contact_at > 1.0:
            self.is_planning_due = True
        executor.contact_at = now
        executor.silent_since = None
        executor.lease.observe(report.clock_ms, now)
        listed: set[TaskName] = set()
        for finished in report.finished:
            placed = executor.runs.get(finished.task)
            if placed is not None and placed.run == finished.run:
                listed.add(finished.task)
                if finished.number > executor.seen:
                    self._finished(executor, placed, finished, now)
            elif finished.number > executor.seen:
                # The run was given up. Whoever notes its end must also record it.
                end = OUTCOMES.get(finished.outcome, RunEnd.LOST)
                self.changes.append(EndRun(finished.task, finished.run, end))
        for running in report.running:
            placed = executor.runs.get(running.task)
            if placed is None or placed.run != running.run:
                self._stop_unknown(executor, running.task, running.run)
                continue
            listed.add(running.task)
            if placed.confirmed_at is None:
                placed.confirmed_at = now
            placed.percent = running.percent
            placed.load = running.load
        for placed, percent in plan_pace(executor, now):
            placed.pace = percent
            self.orders.append(PaceOrder(executor, placed.task.name, placed.run, percent))
        if is_slow(executor, self._expected_s, now):
            self._leave_slow(executor, now)
        for name, placed in list(executor.runs.items()):
            # The answer was made after the run was known there, and does not name it.
            is_missing = placed.confirmed_at is not None and placed.confirmed_at < sent_at
            if is_missing and name not in listed:
                self._end(placed.task, RunEnd.LOST)

    def _expected_s(self, task: TaskRecord) -> float:
        return self.worth.expected_s(task.step.job, task.step.number)

    def _leave_slow(self, executor: Executor, now: Instant) -> None:
        """Let runs of a slow executor begin again where there is room."""
        executor.blocked_until = max(executor.blocked_until, Instant(now + SLOW_BLOCK_S))
        others = [
            other
            for other in self.executors_of(executor.heartbeat.service)
            if other is not executor
        ]
        for placed in straggling_runs(executor, self._expected_s, now):
            if has_destination(placed.task.step, others, now):
                self._order_stop(executor, placed.task)

    def unanswered(self, executor: Executor, sent_at: Instant) -> None:
        """Take note that a renewal that was sent at `sent_at` got no answer.

        The executor may go on with what it runs, so only tasks of which copies may run are placed
        elsewhere before its lease is over.
        """
        if executor.silent_since is None:
            executor.silent_since = sent_at
        if not self._enforces_capacity(executor.heartbeat.service):
            # The run may go on, and its room must count.
            return
        self._lose(
            placed.task for placed in executor.runs.values() if placed.task.step.spec.is_speculative
        )

    def _enforces_capacity(self, service: ServiceId) -> bool:
        configuration = self.table.configuration
        settings = None if configuration is None else configuration.service_by_name.get(service)
        return settings is not None and settings.enforces_capacity

    def _stop_unknown(self, executor: Executor, name: TaskName, run: RunNumber) -> None:
        """Stop a run that the table does not place there, such as one of an ended job."""
        task = self.table.task(name)
        if task is None or task.life != executor.life or task.run != run:
            self.orders.append(StopOrder(executor, name, run))

    def _finished(
        self, executor: Executor, placed: PlacedRun, finished: FinishedRun, now: Instant
    ) -> None:
        task = placed.task
        if task.phase is TaskPhase.DONE:
            # It was superseded; its room was kept until now.
            executor.release(task)
            return
        end = OUTCOMES.get(finished.outcome, RunEnd.LOST)
        if end is RunEnd.DONE:
            executor.failed_jobs.clear()
            executor.block_s = 0.0
            began = placed.confirmed_at or placed.placed_at
            self.durations.observe(task.step.job.queue, task.step.spec.estimated_s, now - began)
        elif end is RunEnd.FAILED and not task.step.spec.is_long_running:
            executor.failed_jobs.add(task.step.job.job)
            if len(executor.failed_jobs) >= SUSPICIOUS_JOBS:
                self.block(executor, now)
        self.changes.append(EndRun(task.name, finished.run, end, finished.checkpoint))

    def block(self, executor: Executor, now: Instant) -> None:
        """Give an executor no new task for a while, which grows each time."""
        executor.block_s = min(max(executor.block_s * 2, FIRST_BLOCK_S), LONGEST_BLOCK_S)
        executor.blocked_until = Instant(now + executor.block_s)

    def started(self, order: StartOrder, now: Instant) -> None:
        """Take an executor's word that it knows a run."""
        placed = order.executor.runs.get(order.task)
        if placed is not None and placed.run == order.run and placed.confirmed_at is None:
            placed.confirmed_at = now

    def rejected(self, order: StartOrder, now: Instant) -> None:
        """Take an executor's word that it did not start a run and never will."""
        placed = order.executor.runs.get(order.task)
        if placed is not None and placed.run == order.run:
            self.block(order.executor, now)
            self._end(placed.task, RunEnd.REJECTED)

    def stop_confirmed(self, executor: Executor, task: TaskName, run: int, now: Instant) -> None:
        """Take an executor's word that a run is being stopped or never starts."""
        placed = executor.runs.get(task)
        if placed is not None and placed.run == run and placed.confirmed_at is None:
            placed.confirmed_at = now

    def life_over(self, executor: Executor, now: Instant) -> None:
        """Take note that a life of an executor ended; nothing of it runs any more."""
        if executor.is_over:
            return
        executor.is_over = True
        heartbeat = executor.heartbeat
        del self.executors[executor.life]
        self.changes.append(DropExecutor(executor.life))
        if self.current.get(heartbeat.executor) is executor:
            del self.current[heartbeat.executor]
        if self.by_address.get(heartbeat.address) is executor:
            del self.by_address[heartbeat.address]
        if self.by_machine.get(heartbeat.machine) is executor:
            del self.by_machine[heartbeat.machine]
        self._lose(placed.task for placed in executor.runs.values())
        self.is_planning_due = True

    def expire(self, now: Instant) -> None:
        """End the lives whose leases are surely over and that do not answer."""
        for executor in list(self.executors.values()):
            heard_at = max(executor.heard_at, executor.contact_at or executor.heard_at)
            is_silent = now - heard_at > self.lease_timing.surely_over_s
            if now >= executor.lease.over_at and is_silent:
                self.life_over(executor, now)
            elif now >= executor.lease.over_at:
                self._lose(placed.task for placed in list(executor.runs.values()))
        if self.unclaimed and now - self.began_at >= self.lease_timing.surely_over_s:
            for tasks in self.unclaimed.values():
                self._lose(tasks.values())
            self.unclaimed.clear()

    def _lose(self, tasks: Iterable[TaskRecord]) -> None:
        for task in list(tasks):
            self._end(task, RunEnd.LOST)

    def _end(self, task: TaskRecord, end: RunEnd) -> None:
        self.changes.append(EndRun(task.name, task.run, end))

    # Decisions.

    def take_changes(self, now: Instant, time_s: float) -> list[JobChange]:
        """Return what is to be recorded: what happened, and then new placements."""
        self.now = now
        self.ready.add_due(time_s)
        changes, self.changes = self.changes, []
        changes += self._plan_upkeep(now)
        self._empty_draining(now)
        self._plan_room(now, time_s)
        for machine, executor in self.by_machine.items():
            executor.is_cordoned = self.room.is_leaving(machine) or self._is_emptying(machine)
        if not changes or self.is_planning_due or self.tickets.asked_at:
            # Ends free room only once they are recorded, so placements follow in the next batch.
            changes += self._plan(now, time_s)
        return changes

    def _plan_upkeep(self, now: Instant) -> list[JobChange]:
        changes: list[JobChange] = []
        for wave, upkeep in list(self.upkeeps.items()):
            planned, leaving = upkeep.plan(
                self.by_machine, self.executors.values(), self.room.standby, now
            )
            changes += planned
            for executor in leaving:
                for placed in movable_runs(executor, self.executors, now):
                    self._order_stop(executor, placed.task)
            if upkeep.wave.is_finished:
                del self.upkeeps[wave]
        return changes

    def handed_over(
        self, wave: WaveId, machine: MachineId, executor: Executor | None, now: Instant
    ) -> None:
        """Take the platform's word that it has a machine for its upkeep.

        `executor` is the one that surely ended with it, None if that is not known.
        """
        upkeep = self.upkeeps.get(wave)
        if upkeep is not None:
            upkeep.handed_over(machine, now)
        if executor is not None:
            self.life_over(executor, now)

    def _is_in_upkeep(self, machine: MachineId) -> bool:
        return any(upkeep.is_in_upkeep(machine) for upkeep in self.upkeeps.values())

    def _is_emptying(self, machine: MachineId) -> bool:
        return any(upkeep.is_emptying(machine) for upkeep in self.upkeeps.values())

    def _plan_room(self, now: Instant, time_s: float) -> None:
        configuration = self.table.configuration
        is_due = now - self.room_planned_at >= ROOM_INTERVAL_S
        # The former leader's orders for machines must not alternate with those of this one.
        if configuration is None or not is_due or now < self.machine_orders_from:
            return
        self.room_planned_at = now
        self.work.drop_hopeless(time_s)
        self.forecast.update(time_s)
        expected = {
            service.name: self.forecast.expected_cores(
                service.name, time_s + FORESEEN_FROM_S, time_s + FORESEEN_UNTIL_S
            )
            for service in configuration.services
        }
        floors = self._floors(configuration)
        moves = self.room.plan(self.by_machine, configuration, floors, expected, now)
        self.orders += [MoveOrder(move) for move in moves]

    def _floors(self, configuration: FleetConfiguration) -> dict[ServiceId, PoolFloor]:
        """Return the least numbers of machines of each service.

        It keeps a share of an even division, since no machine moves while there is no leader, and
        as many machines as its long-running steps have to be spread over.
        """
        machines = len(self.by_machine) + len(self.room.standby)
        least = math.ceil(LEAST_SHARE * machines / max(1, len(configuration.services)))
        spread: dict[ServiceId, int] = {}
        for executor in self.executors.values():
            service = executor.heartbeat.service
            for placed in executor.runs.values():
                spec = placed.task.step.spec
                if spec.is_long_running and spec.spread_limit:
                    needed = -(-spec.count // spec.spread_limit)
                    # A task that leaves a machine before its upkeep needs another one to go to.
                    needed += 1 if self.upkeeps else 0
                    spread[service] = max(spread.get(service, 0), needed)
        return {
            service.name: PoolFloor(
                spread.get(service.name, 0), max(least, spread.get(service.name, 0))
            )
            for service in configuration.services
            if not service.standby
        }

    def _note_arrival(self, job: JobRecord) -> None:
        if not job.spec.is_long_running and not job.spec.is_timed:
            work = self.worth.total_work(job)
            self.forecast.arrived(self.service_of(job), work, job.accepted_s)

    def _count(self, kind: CounterKind, job: JobRecord, outcome: str) -> None:
        self.counters.add(kind, Labels(service=self.service_of(job), outcome=outcome))

    def moved(self, move: Move, now: Instant) -> None:
        """Take the platform's word that a machine moves; nothing runs there any more."""
        self.room.confirmed(move, now)
        self.counters.add(CounterKind.MOVES, Labels(pool=move.target))
        executor = self.by_machine.get(move.machine)
        if executor is not None and executor.heartbeat.service == move.source:
            self.life_over(executor, now)

    def _empty_draining(self, now: Instant) -> None:
        for executor in self.executors.values():
            if executor.heartbeat.state is not ExecutorState.DRAINING or not executor.runs:
                continue
            expected_s = {
                name: self.durations.expected_s(
                    placed.task.step.job.queue, placed.task.step.spec.estimated_s
                )
                for name, placed in executor.runs.items()
            }
            doomed = doomed_runs(executor, expected_s, now)
            for placed in doomed + movable_runs(executor, self.executors, now):
                self._order_stop(executor, placed.task)

    def _plan(self, now: Instant, time_s: float) -> list[JobChange]:
        self.is_planning_due = False
        placements: list[JobChange] = []
        for service in list(self.ready.steps):
            steps = self.ready.of_service(service)
            if steps:
                ordered = self.order.sort(steps, time_s)
                executors = self.executors_of(service)
                self._ask_for_advice(ordered, executors, now)
                placements += self.placer.place(ordered, executors, now, self._is_allowed)
        return placements

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
        for step in steps:
            if self._needs_advice(step):
                request = self.tickets.request(step, executors, now)
                if request is not None:
                    self.orders.append(request)

    def advised(
        self,
        request: AdviceRequest,
        tickets: Mapping[ExecutorId, str],
        validity_s: float,
        asked_at: Instant,
    ) -> None:
        """Take the adviser's answer to a request that was sent at `asked_at`."""
        if request.step.job.phase is JobPhase.ACTIVE:
            self.tickets.approved(request, tickets, validity_s, asked_at)
            self.is_planning_due = True

    # Notifications of the table.

    def job_accepted(self, job: JobRecord) -> None:
        """Index the steps of a new job."""
        self._count(CounterKind.JOBS, job, "accepted")
        self.ready.add_job(job, self.table.time_s)
        self.worth.learn(job)
        self._note_arrival(job)
        self.work.accepted(job, self.service_of(job), self.worth.first_deadline_s(job))
        self.is_planning_due = True

    def run_placed(self, task: TaskRecord) -> None:
        """Order the start of a recorded placement."""
        executor = None if task.life is None else self.executors.get(task.life)
        if executor is None:
            self._end(task, RunEnd.LOST)
            return
        if task.name not in executor.runs:
            executor.take(task, self.now)
        step = task.step
        ticket = self.tickets.ticket(step, executor, self.now) or ""
        payload = step.job.spec.payload
        self.orders.append(
            StartOrder(executor, task.name, task.run, payload, task.checkpoint, ticket)
        )

    def run_ended(self, task: TaskRecord, end: RunEnd) -> None:
        """Give the room of a run back, and index what may start now."""
        executor = None if task.life is None else self.executors.get(task.life)
        if executor is not None:
            executor.release(task)
        step = task.step
        self._count(CounterKind.RUNS, step.job, end.value)
        if step.is_done:
            self.ready.add_followers(step, self.table.time_s)
        else:
            self.ready.add(step, self.table.time_s)
        self.is_planning_due = True

    def run_superseded(self, task: TaskRecord) -> None:
        """Stop a copy of a task that is done."""
        executor = None if task.life is None else self.executors.get(task.life)
        if executor is not None:
            self._order_stop(executor, task)

    def task_done(self, task: TaskRecord) -> None:
        """Index what may start after a task that a given-up run did."""
        if task.step.is_done:
            self.ready.add_followers(task.step, self.table.time_s)
        self.is_planning_due = True

    def job_ended(self, job: JobRecord) -> None:
        """Stop what still runs of a cancelled or failed job."""
        self._count(CounterKind.JOBS, job, job.phase.value)
        self.work.ended(job.job)
        self.tickets.forget(job.steps.values())
        for task in job.placed_tasks():
            executor = None if task.life is None else self.executors.get(task.life)
            if executor is not None:
                self._order_stop(executor, task)

    def _order_stop(self, executor: Executor, task: TaskRecord) -> None:
        placed = executor.runs.get(task.name)
        if placed is not None and not placed.is_stopping:
            placed.is_stopping = True
            self.orders.append(StopOrder(executor, task.name, task.run))

    def wave_opened(self, wave: WaveRecord) -> None:
        """Begin a wave, or go on with one that an earlier leader began."""
        upkeep = self.upkeeps[wave.wave] = Upkeep(wave, self.now)
        for machine in wave.begun:
            self.orders.append(upkeep.begun(machine, self.now, is_repeated=True))

    def upkeep_begun(self, wave: WaveRecord, machine: MachineId) -> None:
        """Order the upkeep that was recorded."""
        self.orders.append(self.upkeeps[wave.wave].begun(machine, self.now))

    def configuration_changed(self) -> None:
        """Serve the queues as the new configuration says."""
        self.ready.regroup()
        self.is_planning_due = True
