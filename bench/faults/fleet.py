"""Fault simulation of the fleet's leader in virtual time.

Decisions and order senders are the production code; consensus, network, executors and machines are
simulated. Leaders are deposed, killed or lose their lease; executors crash, restart under the same
id, or drain; calls are lost, lose their answer, or are delivered seconds late. The checks use only
what executors, machines and callers observe, and what the group has committed.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_control.fleet.fleet_leadership import FleetLeadership, NotRecordedError
from marigolddoor_control.fleet.ports import FleetPorts
from marigolddoor_control.fleet.service import FleetService, NotLeadingError, WaveOrder
from marigolddoor_core.dispatch import Advice, AdviceRequest, LeaseTiming, MachineState
from marigolddoor_core.ids import (
    ExecutorId,
    ExecutorIncarnation,
    FencingToken,
    JobId,
    MachineId,
    QueueName,
    ServiceId,
    TaskName,
    WaveId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    FleetConfiguration,
    JobPhase,
    JobSpec,
    QueueSettings,
    ServiceSettings,
    StepSpec,
    TaskKey,
    TaskSize,
    parse_task_name,
)
from marigolddoor_core.metrics import CounterKind, Counters
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome

from bench.faults.consensus_checkers import Violation
from bench.faults.fleet_checks import FleetChecks, SubmittedJob
from bench.faults.fleet_executors import Faults, VirtualCalls, VirtualExecutor
from bench.faults.fleet_group import VirtualConsensus, VirtualGroup
from bench.faults.fleet_long_running import LongRunningChecks, LongRunningStep
from bench.faults.fleet_machines import MACHINE_LEASE_S, VirtualMachine, VirtualMachines
from bench.faults.virtual_loop import run_in_virtual_time

__all__ = ["FleetOptions", "FleetSimulation"]

HOST = "a.example"
LEASE_S = 6.0
HEARTBEAT_INTERVAL_S = 0.5
# Every job must end within this time after the last fault: it covers the longest lease and a
# backlog of late jobs on one machine, whose pool gets no further machines.
COMPLETION_TIMEOUT_S = 90.0
# After the last fault every executor is in contact with the leader within this time: it covers the
# longest isolation of an executor and an election.
CONTACT_TIMEOUT_S = 12.0
MAX_ATTEMPTS = 3
SERVICES = ("desk", "shop")
SPARE = ServiceId("spare")
# The executors of `shop` don't enforce their limits, so only the leader does.
UNENFORCED_SERVICES = ("shop",)
FAULT_KINDS = ("depose", "kill", "lease", "reborn", "reborn", "replaced", "drain", "cut", "cut")
# The long-running tasks are watched for this long after the last fault.
WATCH_S = 20.0
# The longest of the faults, an isolated executor.
LONGEST_FAULT_S = 8.0
# A restarted executor is down for a time in this range.
RESTART_DELAY_S = (0.0, 2.0)
# Executors whose deregistration is not acknowledged, and how long they go on.
UNACKNOWLEDGED_SHARE = 0.5
UNACKNOWLEDGED_S = (0.5, LONGEST_FAULT_S)
CPU = 8_000


@dataclass(frozen=True)
class FleetOptions:
    """Duration, intervals and fault rates of a simulation.

    `lost`, `late` and `unanswered` are shares of calls, `failing` is a share of runs. With
    `long_running` each service also has a job whose tasks run until it is cancelled.
    """

    duration_s: float = 20.0
    fault_interval_s: float = 0.8
    job_interval_s: float = 0.35
    lost: float = 0.02
    late: float = 0.02
    unanswered: float = 0.02
    failing: float = 0.05
    checks_tokens: bool = True
    fault_kinds: tuple[str, ...] = FAULT_KINDS
    long_running: bool = False
    waves: bool = True


class _DocumentTable:
    """Implements `DocumentReader` with documents that are keys of a table."""

    def __init__(self) -> None:
        self.jobs: dict[bytes, JobSpec] = {}

    def read_job(self, document: bytes) -> JobSpec:
        """Return the job that was stored under the document."""
        return self.jobs[document]

    def read_configuration(self, document: bytes) -> FleetConfiguration:
        """Return the configuration whose version is the text of the document."""
        return FleetConfiguration(
            int(document),
            tuple(
                QueueSettings(
                    QueueName(f"q-{service}"),
                    HOST,
                    f"/{service}/",
                    ServiceId(service),
                    max_attempts=MAX_ATTEMPTS,
                    slack_factor=2.0,
                    timeout_s=3.0,
                )
                for service in SERVICES
            ),
            (
                *(
                    ServiceSettings(ServiceId(service), service not in UNENFORCED_SERVICES)
                    for service in SERVICES
                ),
                ServiceSettings(SPARE, standby=True),
            ),
        )


class _NoAdviser:
    async def advise(self, request: AdviceRequest) -> Advice:
        """Not called, since no queue needs advice."""
        raise NotImplementedError


@dataclass
class FleetSimulation:
    """One simulation, determined by its seed and options."""

    seed: int
    options: FleetOptions = field(default_factory=FleetOptions)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        options = self.options
        self.faults = Faults(
            options.lost, options.late, options.unanswered, options.failing, options.checks_tokens
        )
        self.documents = _DocumentTable()
        self.group = VirtualGroup(self.rng, self.documents)
        self.submitted: dict[JobId, SubmittedJob] = {}
        self.executors: dict[MachineId, VirtualExecutor] = {}
        self.machines: dict[MachineId, VirtualMachine] = {}
        self.incarnation_count = 0
        self.acknowledged_version = 0
        self.waves: list[WaveId] = []
        self.event_counts: Counter[str] = Counter()
        self.checks = FleetChecks(self.group, self.submitted, self.event_counts, MAX_ATTEMPTS)
        self.group.on_commit = self.checks.check_commit
        self.long_running = LongRunningChecks(self._usable_executors, lambda: self.fault_ended_at)
        self.fault_ended_at = math.inf
        # False enables the log of the control process, for traces.
        self.is_quiet = True
        self.service: FleetService | None = None
        self.consensus: VirtualConsensus | None = None
        self.leader_scope: anyio.CancelScope | None = None
        self.counters = Counters()
        self.tasks: TaskGroup
        self.calls: VirtualCalls
        self.platform: VirtualMachines

    def run(self) -> None:
        """Run the simulation to its end.

        Raises:
          Violation: an invariant does not hold.
        """
        if self.is_quiet:
            logger.disable("marigolddoor_control")
        else:
            logger.enable("marigolddoor_control")
        try:
            run_in_virtual_time(self._main)
        except BaseExceptionGroup as failures:
            raise _first_failure(failures) from failures

    async def _main(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            self.calls = VirtualCalls(self.rng, self.faults, self.tasks, self._step_of)
            self.platform = VirtualMachines(
                self.rng,
                self.faults,
                self.tasks,
                self.machines,
                self._end_incarnation,
                self._start_incarnation,
            )
            for number in range(6):
                service = ServiceId(("desk", "desk", "shop", "shop", "spare", "spare")[number])
                machine = VirtualMachine(MachineId(f"m-{number}"), service, CPU)
                self.machines[machine.name] = machine
                self._start_incarnation(machine)
            for task in (
                self._run_leaderships,
                self._submit_jobs,
                self._inject_faults,
                self._run_operator,
            ):
                self.tasks.start_soon(task)
            if self.options.long_running:
                for name in SERVICES:
                    self.tasks.start_soon(self._submit_long_running, name)
                self.tasks.start_soon(self.long_running.watch)
            await anyio.sleep(self.options.duration_s)
            self.faults.lost = self.faults.late = self.faults.unanswered = 0.0
            if self.options.long_running:
                # No fault lasts longer than this.
                await anyio.sleep(LONGEST_FAULT_S)
                self.fault_ended_at = anyio.current_time()
                await anyio.sleep(WATCH_S)
                await self._cancel_long_running()
            await self._wait_for_completion()
            self.tasks.cancel_scope.cancel()

    async def _run_leaderships(self) -> None:
        """Run one leader after the other."""
        while True:
            consensus = self.consensus = self.group.elect()
            leadership = FleetLeadership(
                consensus.table,
                consensus,  # type: ignore[arg-type]
                FleetPorts(self.calls, self.platform, _NoAdviser()),
                LeaseTiming(LEASE_S),
                MACHINE_LEASE_S,
                FencingToken(consensus.replica.term),
                anyio.current_time,
                self.counters,
            )
            service = self.service = FleetService(
                consensus.table, consensus  # type: ignore[arg-type]
            )
            service.leadership = leadership
            with anyio.CancelScope() as scope:
                self.leader_scope = scope
                await leadership.run()
            consensus.depose()
            self.service = None
            self.event_counts["leader replaced"] += 1
            await anyio.sleep(self.rng.uniform(0.2, 2.0))

    def _depose_leader(self) -> None:
        if self.consensus is not None:
            self.consensus.depose()

    def _kill_leader(self) -> None:
        if self.consensus is not None:
            self.consensus.depose()
        if self.leader_scope is not None:
            self.leader_scope.cancel()

    async def _suspend_lease(self) -> None:
        """Isolate the leader from the other replicas for less time than an election takes."""
        consensus = self.consensus
        if consensus is not None:
            consensus.has_lease = False
            await anyio.sleep(self.rng.uniform(0.1, 0.6))
            consensus.has_lease = True

    def _start_incarnation(
        self, machine: VirtualMachine, previous: VirtualExecutor | None = None
    ) -> None:
        """Start an executor on a machine, with the id and address of `previous` if there is one."""
        if machine.service == SPARE or machine.state is not MachineState.UP:
            return
        self.incarnation_count += 1
        number = self.incarnation_count
        executor = VirtualExecutor(
            ExecutorId(f"i-{number}") if previous is None else previous.name,
            f"10.0.0.{machine.name}:80" if previous is None else previous.address,
            machine.name,
            machine.service,
            anyio.current_time(),
            self.rng.uniform(0.98, 1.0),
            machine.cpu,
            machine.service not in UNENFORCED_SERVICES,
            self.checks,
            self.rng,
            self.faults,
        )
        self.executors[machine.name] = executor
        self.calls.executors_by_address[executor.address] = executor
        self.calls.departed.discard(executor.address)
        self.tasks.start_soon(executor.watch_lease)
        self.tasks.start_soon(self._send_heartbeats, executor)

    def _end_incarnation(self, machine: VirtualMachine) -> None:
        executor = self.executors.pop(machine.name, None)
        if executor is not None:
            executor.terminate()

    async def _send_heartbeats(self, executor: VirtualExecutor) -> None:
        while executor.is_up:
            if (
                self.rng.random() >= self.faults.lost
                and executor.address not in self.calls.unreachable
            ):
                delay_s = self.rng.uniform(0.001, 0.005)
                if self.rng.random() < self.faults.late:
                    delay_s = self.rng.uniform(0.5, 3.0)
                self.tasks.start_soon(self._deliver_heartbeat, executor.heartbeat(), delay_s)
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def _deliver_heartbeat(self, heartbeat: Any, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        if self.service is None:
            return
        try:
            await self.service.heartbeat(heartbeat)
        except (NotLeadingError, NoQuorumError, ProposalOutcomeUnknownError):
            self.event_counts["heartbeat without a leader"] += 1

    async def _restart_executor(self, with_same_id: bool) -> None:
        executor = self._choose_executor()
        if executor is None:
            return
        machine = self.machines[executor.machine]
        self._end_incarnation(machine)
        await anyio.sleep(self.rng.uniform(*RESTART_DELAY_S))
        if machine.name not in self.executors and machine.service == executor.service:
            self._start_incarnation(machine, executor if with_same_id else None)

    async def _isolate_executor(self) -> None:
        """Make an executor unreachable for a moment, or for longer than its lease."""
        executor = self._choose_executor()
        if executor is not None:
            self.calls.unreachable.add(executor.address)
            await anyio.sleep(self.rng.choice((0.5, 2.0, LONGEST_FAULT_S)))
            self.calls.unreachable.discard(executor.address)

    async def _drain_executor(self) -> None:
        executor = self._choose_executor()
        if executor is None:
            return
        executor.is_draining = True
        await anyio.sleep(self.rng.uniform(1.0, 3.0))
        if executor.is_up:
            if self.service is not None:
                try:
                    self.service.deregister(executor.name)
                except NotLeadingError:
                    self.event_counts["goodbye without a leader"] += 1
            if self.rng.random() < UNACKNOWLEDGED_SHARE:
                # It is cut off before its deregistration is acknowledged.
                self.calls.unreachable.add(executor.address)
                await anyio.sleep(self.rng.uniform(*UNACKNOWLEDGED_S))
                self.calls.unreachable.discard(executor.address)
                self.event_counts["goodbye not acknowledged"] += 1
            if not executor.is_up:
                return
            self.calls.departed.add(executor.address)
            self._end_incarnation(self.machines[executor.machine])
            await anyio.sleep(1.5)
            self._start_incarnation(self.machines[executor.machine])

    def _choose_executor(self) -> VirtualExecutor | None:
        candidates = list(self.executors.values())
        return self.rng.choice(candidates) if candidates else None

    def _step_of(self, task: TaskName) -> StepSpec:
        key = parse_task_name(task)
        return self.submitted[key.job].spec.steps[key.step]

    def _usable_executors(self) -> list[VirtualExecutor]:
        """Return the executors that can take new tasks and await no maintenance."""
        awaited = {
            machine
            for wave in self.waves
            for machine in self.group.table.waves[wave].machines
            if machine not in self.platform.maintained.get(wave, set())
        }
        return [
            executor
            for executor in self.executors.values()
            if not executor.is_draining
            and executor.address not in self.calls.unreachable
            and executor.machine not in awaited
        ]

    async def _inject_faults(self) -> None:
        end = self.options.duration_s
        while True:
            await anyio.sleep(self.rng.expovariate(1 / self.options.fault_interval_s))
            if anyio.current_time() >= end:
                return
            kind = self.rng.choice(self.options.fault_kinds)
            self.event_counts[kind] += 1
            if kind == "depose":
                self._depose_leader()
            elif kind == "kill":
                self._kill_leader()
            elif kind == "lease":
                self.tasks.start_soon(self._suspend_lease)
            elif kind == "cut":
                self.tasks.start_soon(self._isolate_executor)
            elif kind == "drain":
                self.tasks.start_soon(self._drain_executor)
            else:
                self.tasks.start_soon(self._restart_executor, kind == "reborn")

    async def _run_operator(self) -> None:
        """Replace the configuration regularly and open maintenance waves."""
        version = 0
        while True:
            version += 1
            if await self._record_operation(version):
                self.acknowledged_version = version
            if version % 3 == 2 and self.options.waves:
                await self._open_wave(WaveId(version))
            await anyio.sleep(0.2 if self.acknowledged_version == 0 else 2.0)

    async def _record_operation(self, version: int) -> bool:
        if self.service is None:
            return False
        try:
            await self.service.replace_configuration(str(version).encode())
        except (NotLeadingError, NotRecordedError, ProposalOutcomeUnknownError):
            return False
        if self.group.table.version < version:
            raise Violation("lost", f"configuration {version} was acknowledged")
        return True

    async def _open_wave(self, wave: WaveId) -> None:
        machines = tuple(self.rng.sample(sorted(self.machines), 3))
        if self.service is None or anyio.current_time() > self.options.duration_s:
            return
        self.platform.max_count[wave] = 1
        try:
            await self.service.open_wave(WaveOrder(wave, machines, 20.0, 1))
        except (NotLeadingError, NotRecordedError, ProposalOutcomeUnknownError):
            return
        self.waves.append(wave)
        self.event_counts["wave"] += 1

    async def _submit_jobs(self) -> None:
        number = 0
        while anyio.current_time() < self.options.duration_s:
            await anyio.sleep(self.rng.expovariate(1 / self.options.job_interval_s))
            number += 1
            job = JobId(f"j{number}")
            self.tasks.start_soon(self._submit, job, self.rng.choice(SERVICES))

    def _draw_job(self) -> JobSpec:
        rng = self.rng
        steps = []
        for number in range(rng.choice((1, 1, 2, 3))):
            steps.append(
                StepSpec(
                    rng.randint(1, 4),
                    TaskSize(rng.choice((500, 1_000, 2_500)), 100),
                    rng.uniform(0.2, 1.5),
                    tuple(range(number)) if rng.random() < 0.7 else (),
                )
            )
        return JobSpec("payload", tuple(steps))

    async def _submit(self, job: JobId, service: str) -> None:
        """Submit a job until it is accepted; cancel some of the accepted jobs."""
        await self._submit_until_accepted(job, service, self._draw_job())
        if self.rng.random() < 0.15:
            await anyio.sleep(self.rng.uniform(0.0, 2.0))
            await self._cancel(job, service)

    async def _submit_until_accepted(self, job: JobId, service: str, spec: JobSpec) -> None:
        document = f"{job}".encode()
        self.documents.jobs[document] = spec
        submitted = self.submitted[job] = SubmittedJob(spec)
        path = f"/{service}/{job}"
        while not submitted.is_accepted:
            submitted.is_accepted = await self._call_queue(QueueMethod.SUBMIT, path, document)
            if not submitted.is_accepted:
                await anyio.sleep(0.2)
        if job not in self.group.table.jobs:
            raise Violation("lost", f"{job} was acknowledged")
        self.event_counts["accepted"] += 1

    async def _cancel(self, job: JobId, service: str) -> None:
        while not await self._call_queue(QueueMethod.CANCEL, f"/{service}/{job}"):
            await anyio.sleep(0.2)
        self.submitted[job].cancelled_at = anyio.current_time()
        self.event_counts["cancelled"] += 1

    async def _submit_long_running(self, service: str) -> None:
        job = JobId(f"long-{service}")
        step = StepSpec(
            2, TaskSize(1_000, 100), is_long_running=True, spread_limit=1, allowed_misses=1
        )
        await self._submit_until_accepted(job, service, JobSpec("payload", (step,)))
        tasks = tuple(TaskKey(job, 0, 0, index).name for index in range(step.count))
        self.long_running.steps.append(LongRunningStep(ServiceId(service), step, tasks))

    async def _cancel_long_running(self) -> None:
        self.long_running.steps.clear()
        for service in SERVICES:
            await self._cancel(JobId(f"long-{service}"), service)

    async def _call_queue(self, method: QueueMethod, path: str, document: bytes = b"") -> bool:
        service = self.service
        if service is None:
            return False
        try:
            reply = await service.call_queue(QueueCall(method, HOST, path, document))
        except NotLeadingError:
            return False
        return reply.outcome is QueueOutcome.ANSWERED

    async def _wait_for_completion(self) -> None:
        """Wait until all jobs and waves have ended.

        Raises:
          Violation: one did not end, or its reported state is wrong.
        """
        deadline = anyio.current_time() + COMPLETION_TIMEOUT_S
        while True:
            table = self.group.table
            open_jobs = [
                job
                for job, submitted in self.submitted.items()
                if submitted.is_accepted and table.jobs[job].phase is JobPhase.ACTIVE
            ]
            open_waves = [wave for wave in self.waves if not table.waves[wave].is_finished]
            if not open_jobs and not open_waves:
                break
            if anyio.current_time() > deadline:
                raise Violation("progress", f"{open_jobs} and {open_waves} never end")
            await anyio.sleep(0.5)
        self._check_free_capacity()
        self._check_unexpected_errors()
        await self._wait_for_contact()
        self.checks.check_reported_states()
        for wave in self.waves:
            ordered = set(self.group.table.waves[wave].machines)
            if ordered - self.platform.maintained.get(wave, set()):
                raise Violation("wave", f"{wave} is finished without its machines")

    async def _wait_for_contact(self) -> None:
        """Wait until the leader is in contact with every executor.

        Raises:
          Violation: the leader does not use an executor that is up.
        """
        deadline = anyio.current_time() + CONTACT_TIMEOUT_S
        while unused := self._executors_without_contact():
            if anyio.current_time() > deadline:
                raise Violation("unused", f"the leader is not in contact with {unused}")
            await anyio.sleep(0.1)

    def _executors_without_contact(self) -> list[ExecutorIncarnation]:
        leadership = None if self.service is None else self.service.leadership
        known = {} if leadership is None else leadership.dispatch.executors
        now = Instant(anyio.current_time())
        incarnations = [
            ExecutorIncarnation(f"{executor.name}/{executor.born_ms}")
            for executor in self.executors.values()
            if executor.is_up
        ]
        return [
            incarnation
            for incarnation in incarnations
            if incarnation not in known or not known[incarnation].is_in_contact(now)
        ]

    def _check_unexpected_errors(self) -> None:
        """Check that no fault of the program was contained, which would hide it from this run."""
        for key, count in self.counters.values.items():
            if key[0] is CounterKind.UNEXPECTED_ERRORS:
                raise Violation("unexpected error", f"{count} in {key[1].reason}")

    def _check_free_capacity(self) -> None:
        """Check that the leader has no capacity allocated on executors without runs."""
        leadership = None if self.service is None else self.service.leadership
        for executor in [] if leadership is None else leadership.dispatch.executors.values():
            free, capacity = executor.free_cpu, executor.heartbeat.capacity.cpu_milli
            if not executor.runs and free != capacity:
                raise Violation(
                    "room", f"{free} of {capacity} are free on idle {executor.incarnation}"
                )


def _first_failure(failure: BaseException) -> BaseException:
    while isinstance(failure, BaseExceptionGroup):
        failure = failure.exceptions[0]
    return failure
