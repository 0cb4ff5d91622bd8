"""The leader's records of executors: their heartbeats, runs and free capacity."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.dispatch.departures import Departure
from marigolddoor_core.dispatch.fencing import executor_token
from marigolddoor_core.dispatch.leases import ExecutorLease
from marigolddoor_core.dispatch.run_evidence import RunEvidence
from marigolddoor_core.dispatch.team_usage import TeamUsage
from marigolddoor_core.ids import (
    DataCentreId,
    ExecutorId,
    ExecutorIncarnation,
    FencingToken,
    MachineId,
    RackId,
    RunNumber,
    ServiceId,
    TaskName,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import EnrolledExecutor, StepRecord, TaskRecord, TaskSize

__all__ = [
    "Executor",
    "ExecutorState",
    "Heartbeat",
    "PlacedRun",
    "free_size",
    "teamless_size",
]

# An executor that has answered no call for this long gets no new task. A hold call waits up to
# 1.5 s for its answer.
CONTACT_TIMEOUT_S = 2.0
# A blocked executor gets long-running tasks again after this long if no other executor has capacity
# for them. The platform expects such a task to run again within 6 s.
LONG_RUNNING_BLOCK_S = 2.0


class ExecutorState(Enum):
    """The state that an executor reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an executor reports about itself.

    `born_ms` is the time of its start, which distinguishes its incarnations. `remaining_s` is the
    minimum time that a draining executor keeps running.
    """

    executor: ExecutorId
    born_ms: int
    sequence: int
    service: ServiceId
    address: str
    data_centre: DataCentreId
    machine: MachineId
    state: ExecutorState
    capacity: TaskSize
    labels: tuple[str, ...]
    rack: RackId
    clock_ms: int
    remaining_s: float = 0.0
    cold_s: float = 0.0

    @property
    def incarnation(self) -> ExecutorIncarnation:
        """Return the incarnation of the executor that sent this heartbeat."""
        return ExecutorIncarnation(f"{self.executor}/{self.born_ms}")

    def is_same_executor(self, other: "Heartbeat") -> bool:
        """Return whether `other` has the properties that an incarnation keeps for its life."""
        return (self.address, self.service, self.machine) == (
            other.address,
            other.service,
            other.machine,
        )

    def enrolment(self) -> EnrolledExecutor:
        """Return the record of this incarnation that is replicated."""
        return EnrolledExecutor(
            self.executor,
            self.born_ms,
            self.service,
            self.address,
            self.data_centre,
            self.machine,
            self.rack,
            self.labels,
            self.capacity.cpu_milli,
            self.capacity.memory_mb,
            self.capacity.accelerators,
            self.state is ExecutorState.DRAINING,
        )

    @classmethod
    def of_enrolment(cls, enrolled: EnrolledExecutor) -> "Heartbeat":
        """Return a heartbeat with a lower sequence number than any that the executor sent."""
        return cls(
            enrolled.executor,
            enrolled.born_ms,
            -1,
            enrolled.service,
            enrolled.address,
            enrolled.data_centre,
            enrolled.machine,
            ExecutorState.DRAINING if enrolled.is_draining else ExecutorState.READY,
            TaskSize(enrolled.cpu_milli, enrolled.memory_mb, enrolled.accelerators),
            enrolled.labels,
            enrolled.rack,
            0,
        )


class PlacedRun:
    """A run that was placed on an executor.

    `confirmed_at` is when the executor first confirmed that it has the run. `is_stopping` is set
    once a stop was ordered, `is_given_up` once it counts as lost while it may go on, `is_missing`
    once it counts as lost because a report does not list it. `pace` is the share of its full speed
    at which it runs, in percent.
    """

    __slots__ = (
        "confirmed_at",
        "is_given_up",
        "is_missing",
        "is_stopping",
        "load",
        "pace",
        "percent",
        "placed_at",
        "run",
        "task",
    )

    def __init__(self, task: TaskRecord, run: RunNumber, now: Instant) -> None:
        self.task = task
        self.run = run
        self.placed_at = now
        self.confirmed_at: Instant | None = None
        self.is_stopping = False
        self.is_given_up = False
        self.is_missing = False
        self.percent = 0
        self.load: float | None = None
        self.pace = 100


class Executor:
    """One incarnation of an executor, with its free capacity.

    `seen` is the number up to which all ends are committed, so that the executor may discard them.
    The runs that it holds are counted in `usage`. `predecessors` is the number of its earlier
    incarnations that this leadership has used.
    """

    def __init__(
        self,
        heartbeat: Heartbeat,
        lease: ExecutorLease,
        now: Instant,
        usage: TeamUsage | None = None,
    ) -> None:
        self.heartbeat = heartbeat
        self.predecessors = 0
        self.lease = lease
        self.usage = TeamUsage() if usage is None else usage
        self.last_heartbeat_at = now
        self.contact_at: Instant | None = None
        # When the first unanswered call since the last contact was sent.
        self.unresponsive_since: Instant | None = None
        # Calls fail or tasks of several jobs fail: see `FleetView.block`.
        self.blocked_at = Instant(0.0)
        self.blocked_until = Instant(0.0)
        self.block_s = 0.0
        # Its batch tasks make far less progress than expected.
        self.slow_until = Instant(0.0)
        self.paced_at = now
        self.is_cordoned = False
        # Set once an order that ends the executor may be on its way.
        self.is_leaving = False
        self.departure = Departure()
        self.has_ended = False
        self.runs: dict[TaskName, PlacedRun] = {}
        self.seen = 0
        self.evidence = RunEvidence()
        # Set while ends of its runs may be left out of its reports.
        self.has_unlisted_ends = False
        self.free_cpu = heartbeat.capacity.cpu_milli
        self.free_memory = heartbeat.capacity.memory_mb
        self.free_accelerators = heartbeat.capacity.accelerators
        # Jobs whose tasks failed here since the last task that succeeded.
        self.failed_jobs: set[str] = set()

    @property
    def incarnation(self) -> ExecutorIncarnation:
        """Return the incarnation that this is."""
        return self.heartbeat.incarnation

    def fencing_token(self, leadership: FencingToken) -> FencingToken:
        """Return the token of this leadership's calls to this incarnation."""
        return executor_token(leadership, self.predecessors)

    def extend_lease(self, now: Instant) -> int:
        """Return the lease deadline to send with a call at `now`; 0 if its clock is not known.

        An unresponsive executor gets the last deadline again. Otherwise the repeated calls would
        keep renewing its lease, and its tasks could never be started elsewhere.
        """
        if not self.lease.is_known:
            return 0
        return (
            self.lease.deadline_ms
            if self.unresponsive_since is not None
            else self.lease.extend(now)
        )

    @property
    def load(self) -> float:
        """Return the share of the cores that is reserved."""
        capacity = self.heartbeat.capacity.cpu_milli
        return 1.0 - self.free_cpu / capacity if capacity else 1.0

    @property
    def is_shared(self) -> bool:
        """Return whether best-effort tasks run next to tasks that serve users."""
        specs = [placed.task.step.spec for placed in self.runs.values()]
        return any(spec.is_best_effort for spec in specs) and any(
            spec.latency_target_ms for spec in specs
        )

    def is_in_contact(self, now: Instant) -> bool:
        """Return whether the executor answered its last call, and did so recently."""
        return (
            self.contact_at is not None
            and self.unresponsive_since is None
            and now - self.contact_at <= CONTACT_TIMEOUT_S
        )

    def accepts_work(self, now: Instant) -> bool:
        """Return whether new tasks may be placed here."""
        return not self.is_cordoned and self.is_available(now) and not self.is_blocked(now)

    def accepts_long_running(self, now: Instant) -> bool:
        """Return whether new long-running tasks may be placed here.

        They can't wait for the end of a long block, nor for slow batch tasks of other jobs.
        """
        return not self.is_cordoned and self._is_available_to_long_running(now)

    def accepts_as_last_resort(self, now: Instant) -> bool:
        """Return whether a long-running task that fits nowhere else may be placed despite a cordon.

        A machine that has become empty may be ordered away in the same batch.
        """
        is_emptying = self.is_cordoned and bool(self.runs) and not self.is_leaving
        return is_emptying and self._is_available_to_long_running(now)

    def is_blocked(self, now: Instant) -> bool:
        """Return whether tasks failed here or made no progress a short while ago."""
        return now < self.blocked_until or now < self.slow_until

    def _is_available_to_long_running(self, now: Instant) -> bool:
        return self.is_available(now) and (
            now >= self.blocked_until or now - self.blocked_at >= LONG_RUNNING_BLOCK_S
        )

    def is_available(self, now: Instant) -> bool:
        """Return whether the executor answers, has no ends left to list and is not about to end.

        A task that seems to wait may be one of which it has still to list the end `done`.
        """
        return (
            not self.has_ended
            and not self.has_unlisted_ends
            and not self.departure.is_announced
            and self.heartbeat.state is ExecutorState.READY
            and self.is_in_contact(now)
        )

    def has_capacity(self, step: StepRecord) -> bool:
        """Return whether one more task of `step` fits."""
        size = step.spec.size
        return (
            (step.spec.is_best_effort or size.cpu_milli <= self.free_cpu)
            and size.memory_mb <= self.free_memory
            and size.accelerators <= self.free_accelerators
        )

    def could_hold(self, step: StepRecord) -> bool:
        """Return whether a task of `step` would fit on the executor if it were empty."""
        size, capacity = step.spec.size, self.heartbeat.capacity
        return (
            (step.spec.is_best_effort or size.cpu_milli <= capacity.cpu_milli)
            and size.memory_mb <= capacity.memory_mb
            and size.accelerators <= capacity.accelerators
        )

    def unlisted_runs(self, listed: Collection[TaskName], sent_at: Instant) -> list[PlacedRun]:
        """Return the runs that a report should list but doesn't.

        Args:
          listed: the tasks whose runs the report lists as running or as ended.
          sent_at: when the report was requested; runs that were confirmed later may be missing.
        """
        return [
            placed
            for name, placed in self.runs.items()
            if placed.confirmed_at is not None
            and placed.confirmed_at < sent_at
            and name not in listed
        ]

    def count_of(self, step: StepRecord) -> int:
        """Return the number of tasks of `step` that are placed here."""
        return sum(1 for placed in self.runs.values() if placed.task.step is step)

    def reserve(self, task: TaskRecord, now: Instant, run: RunNumber | None = None) -> PlacedRun:
        """Add a run, by default the latest one of its task, and reserve its capacity."""
        number = task.run if run is None else run
        placed = self.runs[task.name] = PlacedRun(task, number, now)
        self._adjust_free_capacity(task.step, -1)
        self.usage.add(task.step, task.name, number, self.heartbeat.service)
        return placed

    def release(self, task: TaskRecord) -> None:
        """Remove a run and release its capacity."""
        placed = self.runs.pop(task.name, None)
        if placed is not None:
            self._adjust_free_capacity(task.step, 1)
            self.usage.remove(task.name, placed.run)

    def _adjust_free_capacity(self, step: StepRecord, sign: int) -> None:
        size = step.spec.size
        if not step.spec.is_best_effort:
            self.free_cpu += sign * size.cpu_milli
        self.free_memory += sign * size.memory_mb
        self.free_accelerators += sign * size.accelerators


def free_size(executors: Iterable[Executor]) -> TaskSize:
    """Return what the executors have free in total."""
    cpu = memory = accelerators = 0
    for executor in executors:
        cpu += max(0, executor.free_cpu)
        memory += max(0, executor.free_memory)
        accelerators += max(0, executor.free_accelerators)
    return TaskSize(cpu, memory, accelerators)


def teamless_size(executors: Iterable[Executor]) -> TaskSize:
    """Return what the runs of jobs without a team hold on the executors."""
    sizes = [
        placed.task.step.spec.size
        for executor in executors
        for placed in executor.runs.values()
        if not placed.task.step.job.team
    ]
    return TaskSize(
        sum(size.cpu_milli for size in sizes),
        sum(size.memory_mb for size in sizes),
        sum(size.accelerators for size in sizes),
    )
