"""The leadership of the fleet in virtual time: real decisions and order senders, simulated rest.

Leaders are deposed, killed or lose their lease; executors die, come back under the same id, or
drain; calls are lost, answered to nobody, or carried out seconds later. The checks see only what
executors, machines and callers see, and what the group has committed.
"""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_control.fleet.fleet_leadership import FleetLeadership, NotRecordedError
from marigolddoor_control.fleet.ports import Advice, FleetPorts
from marigolddoor_control.fleet.service import FleetService, NotLeadingError, WaveOrder
from marigolddoor_core.dispatch import AdviceRequest, LeaseTiming, MachineState
from marigolddoor_core.ids import (
    ExecutorId,
    FencingToken,
    JobId,
    MachineId,
    QueueName,
    ServiceId,
    TaskName,
    WaveId,
)
from marigolddoor_core.jobs import (
    FleetConfiguration,
    JobPhase,
    JobSpec,
    QueueSettings,
    ServiceSettings,
    StepSpec,
    TaskSize,
    parse_task_name,
)
from marigolddoor_core.metrics import Counters
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.queue_calls import QueueCall, QueueMethod, QueueOutcome

from bench.faults.consensus_checkers import Violation
from bench.faults.fleet_checks import FleetChecks, SubmittedJob
from bench.faults.fleet_executors import Faults, VirtualCalls, VirtualExecutor
from bench.faults.fleet_group import VirtualAgreement, VirtualGroup
from bench.faults.fleet_machines import MACHINE_LEASE_S, VirtualMachine, VirtualMachines
from bench.faults.virtual_loop import run_in_virtual_time

__all__ = ["FleetOptions", "FleetSimulation"]

HOST = "a.example"
LEASE_S = 6.0
HEARTBEAT_S = 0.5
# The longest lease, and a backlog of late jobs on one machine, for which none are added; then every
# job has to have ended.
QUIET_S = 90.0
ATTEMPTS = 3
SERVICES = ("desk", "shop")
SPARE = ServiceId("spare")
# The service `shop` leaves the limits of its executors to the system.
UNGUARDED = ("shop",)
# Executors start again after this long.
DOWN_S = (0.0, 2.0)
CPU = 8_000


@dataclass(frozen=True)
class FleetOptions:
    """How rough a simulation is."""

    duration_s: float = 20.0
    fault_interval_s: float = 0.8
    job_interval_s: float = 0.35
    lost: float = 0.02
    late: float = 0.02
    unanswered: float = 0.02
    failing: float = 0.05
    checks_tokens: bool = True


class _Documents:
    """Documents name entries of tables instead of describing them."""

    def __init__(self) -> None:
        self.jobs: dict[bytes, JobSpec] = {}

    def read_job(self, document: bytes) -> JobSpec:
        """Return a job."""
        return self.jobs[document]

    def read_configuration(self, document: bytes) -> FleetConfiguration:
        """Return the configuration with the version that the document consists of."""
        return FleetConfiguration(
            int(document),
            tuple(
                QueueSettings(
                    QueueName(f"q-{service}"),
                    HOST,
                    f"/{service}/",
                    ServiceId(service),
                    max_attempts=ATTEMPTS,
                    slack_factor=2.0,
                    timeout_s=3.0,
                )
                for service in SERVICES
            ),
            (
                *(
                    ServiceSettings(ServiceId(service), service not in UNGUARDED)
                    for service in SERVICES
                ),
                ServiceSettings(SPARE, standby=True),
            ),
        )


class _NoAdviser:
    async def advise(self, request: AdviceRequest) -> Advice:
        """Never asked: no queue needs advice."""
        raise NotImplementedError


@dataclass
class FleetSimulation:
    """The world of one seed."""

    seed: int
    options: FleetOptions = field(default_factory=FleetOptions)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        options = self.options
        self.faults = Faults(
            options.lost, options.late, options.unanswered, options.failing, options.checks_tokens
        )
        self.documents = _Documents()
        self.group = VirtualGroup(self.rng, self.documents)
        self.submitted: dict[JobId, SubmittedJob] = {}
        self.executors: dict[MachineId, VirtualExecutor] = {}
        self.machines: dict[MachineId, VirtualMachine] = {}
        self.births = 0
        self.acknowledged_version = 0
        self.waves: list[WaveId] = []
        self.seen: Counter[str] = Counter()
        self.checks = FleetChecks(self.group, self.submitted, self.seen, ATTEMPTS)
        self.group.committed = self.checks.committed
        # A run that is looked at lets the leadership write its log.
        self.is_quiet = True
        self.service: FleetService | None = None
        self.agreement: VirtualAgreement | None = None
        self.leader_scope: anyio.CancelScope | None = None
        self.tasks: TaskGroup
        self.calls: VirtualCalls
        self.platform: VirtualMachines

    def run(self) -> None:
        """Run to the end.

        Raises:
          Violation: a promise was broken.
        """
        if self.is_quiet:
            logger.disable("marigolddoor_control")
        else:
            logger.enable("marigolddoor_control")
        try:
            run_in_virtual_time(self._main)
        except BaseExceptionGroup as failures:
            raise _first(failures) from failures

    async def _main(self) -> None:
        async with anyio.create_task_group() as self.tasks:
            self.calls = VirtualCalls(self.rng, self.faults, self.tasks, self._cpu_of)
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
            for task in (self._lead, self._submit_jobs, self._disturb, self._operate):
                self.tasks.start_soon(task)
            await anyio.sleep(self.options.duration_s)
            self.faults.lost = self.faults.late = self.faults.unanswered = 0.0
            await self._wait_for_ends()
            self.tasks.cancel_scope.cancel()

    # Leaders.

    async def _lead(self) -> None:
        """Run one leadership after the other."""
        while True:
            agreement = self.agreement = self.group.elect()
            leadership = FleetLeadership(
                agreement.table,
                agreement,  # type: ignore[arg-type]
                FleetPorts(self.calls, self.platform, _NoAdviser()),
                LeaseTiming(LEASE_S),
                MACHINE_LEASE_S,
                FencingToken(agreement.replica.term),
                anyio.current_time,
                Counters(),
            )
            service = self.service = FleetService(
                agreement.table, agreement  # type: ignore[arg-type]
            )
            service.leadership = leadership
            with anyio.CancelScope() as scope:
                self.leader_scope = scope
                await leadership.run()
            agreement.depose()
            self.service = None
            self.seen["leader replaced"] += 1
            await anyio.sleep(self.rng.uniform(0.2, 2.0))

    def _depose_leader(self) -> None:
        if self.agreement is not None:
            self.agreement.depose()

    def _kill_leader(self) -> None:
        if self.agreement is not None:
            self.agreement.depose()
        if self.leader_scope is not None:
            self.leader_scope.cancel()

    async def _suspend_lease(self) -> None:
        """Cut a leader off from the others for less time than they need to elect another one."""
        agreement = self.agreement
        if agreement is not None:
            agreement.has_lease = False
            await anyio.sleep(self.rng.uniform(0.1, 0.6))
            agreement.has_lease = True

    # Executors.

    def _start_incarnation(
        self, machine: VirtualMachine, former: VirtualExecutor | None = None
    ) -> None:
        """Start an executor on a machine, under the id and address of its former life if any."""
        if machine.service == SPARE or machine.state is not MachineState.UP:
            return
        self.births += 1
        number = self.births
        executor = VirtualExecutor(
            ExecutorId(f"i-{number}") if former is None else former.name,
            f"10.0.0.{machine.name}:80" if former is None else former.address,
            machine.name,
            machine.service,
            anyio.current_time(),
            self.rng.uniform(0.98, 1.0),
            machine.cpu,
            machine.service not in UNGUARDED,
            self.checks,
            self.rng,
            self.faults,
        )
        self.executors[machine.name] = executor
        self.calls.at_address[executor.address] = executor
        self.tasks.start_soon(executor.watch_lease)
        self.tasks.start_soon(self._report, executor)

    def _end_incarnation(self, machine: VirtualMachine) -> None:
        executor = self.executors.pop(machine.name, None)
        if executor is not None:
            executor.die()

    async def _report(self, executor: VirtualExecutor) -> None:
        while executor.is_up:
            if self.rng.random() >= self.faults.lost and executor.address not in self.calls.cut_off:
                delay_s = self.rng.uniform(0.001, 0.005)
                if self.rng.random() < self.faults.late:
                    delay_s = self.rng.uniform(0.5, 3.0)
                self.tasks.start_soon(self._deliver_heartbeat, executor.heartbeat(), delay_s)
            await anyio.sleep(HEARTBEAT_S)

    async def _deliver_heartbeat(self, heartbeat: Any, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        if self.service is None:
            return
        try:
            await self.service.heartbeat(heartbeat)
        except (NotLeadingError, NoQuorumError, ProposalOutcomeUnknownError):
            self.seen["heartbeat without a leader"] += 1

    async def _restart_executor(self, with_same_id: bool) -> None:
        executor = self._any_executor()
        if executor is None:
            return
        machine = self.machines[executor.machine]
        self._end_incarnation(machine)
        await anyio.sleep(self.rng.uniform(*DOWN_S))
        if machine.name not in self.executors and machine.service == executor.service:
            self._start_incarnation(machine, executor if with_same_id else None)

    async def _cut_executor_off(self) -> None:
        """Cut an executor off for a moment, or for longer than its lease."""
        executor = self._any_executor()
        if executor is not None:
            self.calls.cut_off.add(executor.address)
            await anyio.sleep(self.rng.choice((0.5, 2.0, 8.0)))
            self.calls.cut_off.discard(executor.address)

    async def _drain_executor(self) -> None:
        executor = self._any_executor()
        if executor is None:
            return
        executor.is_draining = True
        await anyio.sleep(self.rng.uniform(1.0, 3.0))
        if executor.is_up:
            if self.service is not None:
                try:
                    self.service.deregister(executor.name)
                except NotLeadingError:
                    self.seen["goodbye without a leader"] += 1
            self._end_incarnation(self.machines[executor.machine])
            await anyio.sleep(1.5)
            self._start_incarnation(self.machines[executor.machine])

    def _any_executor(self) -> VirtualExecutor | None:
        known = list(self.executors.values())
        return self.rng.choice(known) if known else None

    def _cpu_of(self, task: TaskName) -> int:
        key = parse_task_name(task)
        return self.submitted[key.job].spec.steps[key.step].size.cpu_milli

    # Faults and planned work.

    async def _disturb(self) -> None:
        end = self.options.duration_s
        while True:
            await anyio.sleep(self.rng.expovariate(1 / self.options.fault_interval_s))
            if anyio.current_time() >= end:
                return
            kind = self.rng.choice(
                ("depose", "kill", "lease", "reborn", "reborn", "replaced", "drain", "cut", "cut")
            )
            self.seen[kind] += 1
            if kind == "depose":
                self._depose_leader()
            elif kind == "kill":
                self._kill_leader()
            elif kind == "lease":
                self.tasks.start_soon(self._suspend_lease)
            elif kind == "cut":
                self.tasks.start_soon(self._cut_executor_off)
            elif kind == "drain":
                self.tasks.start_soon(self._drain_executor)
            else:
                self.tasks.start_soon(self._restart_executor, kind == "reborn")

    async def _operate(self) -> None:
        """Replace the configuration and order waves of upkeep."""
        version = 0
        while True:
            version += 1
            if await self._record_operation(version):
                self.acknowledged_version = version
            if version % 3 == 2:
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
        self.seen["wave"] += 1

    # Callers.

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
        """Hand a job in until it is accepted, and cancel some."""
        spec = self._draw_job()
        document = f"{job}".encode()
        self.documents.jobs[document] = spec
        known = self.submitted[job] = SubmittedJob(spec)
        path = f"/{service}/{job}"
        while not known.is_accepted:
            known.is_accepted = await self._ask(QueueMethod.SUBMIT, path, document)
            if not known.is_accepted:
                await anyio.sleep(0.2)
        if job not in self.group.table.jobs:
            raise Violation("lost", f"{job} was acknowledged")
        self.seen["accepted"] += 1
        if self.rng.random() < 0.15:
            await anyio.sleep(self.rng.uniform(0.0, 2.0))
            while not await self._ask(QueueMethod.CANCEL, path):
                await anyio.sleep(0.2)
            known.cancelled_at = anyio.current_time()
            self.seen["cancelled"] += 1

    async def _ask(self, method: QueueMethod, path: str, document: bytes = b"") -> bool:
        service = self.service
        if service is None:
            return False
        try:
            reply = await service.call_queue(QueueCall(method, HOST, path, document))
        except NotLeadingError:
            return False
        return reply.outcome is QueueOutcome.ANSWERED

    async def _wait_for_ends(self) -> None:
        """Wait until all jobs and waves have ended.

        Raises:
          Violation: one did not, or is shown in a state that it is not in.
        """
        deadline = anyio.current_time() + QUIET_S
        while True:
            table = self.group.table
            open_jobs = [
                job
                for job, known in self.submitted.items()
                if known.is_accepted and table.jobs[job].phase is JobPhase.ACTIVE
            ]
            open_waves = [wave for wave in self.waves if not table.waves[wave].is_finished]
            if not open_jobs and not open_waves:
                break
            if anyio.current_time() > deadline:
                raise Violation("progress", f"{open_jobs} and {open_waves} never end")
            await anyio.sleep(0.5)
        self._check_room()
        self.checks.check_shown_states()
        for wave in self.waves:
            ordered = set(self.group.table.waves[wave].machines)
            if ordered - self.platform.done.get(wave, set()):
                raise Violation("wave", f"{wave} is finished without its machines")

    def _check_room(self) -> None:
        """Check that the leader counts no room as taken on executors that run nothing."""
        leadership = None if self.service is None else self.service.leadership
        for executor in [] if leadership is None else leadership.dispatch.executors.values():
            free, capacity = executor.free_cpu, executor.heartbeat.capacity.cpu_milli
            if not executor.runs and free != capacity:
                raise Violation(
                    "room", f"{free} of {capacity} are free on idle {executor.incarnation}"
                )


def _first(failure: BaseException) -> BaseException:
    while isinstance(failure, BaseExceptionGroup):
        failure = failure.exceptions[0]
    return failure
