"""A replay of 20 teams on the real `Dispatch`, one of which may send 6 times its usual load.

Peaks rotate among 5 queues: each in turn requests five times its mean, which is 1.25 times the
capacity of its pool, and then a twentieth. The executors only end each run after its time.
"""

import heapq
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from marigolddoor_core.dispatch import (
    ArrivalOrder,
    Dispatch,
    Executor,
    ExecutorState,
    FinishedRun,
    Heartbeat,
    HoldReport,
    LeaseTiming,
)
from marigolddoor_core.ids import (
    DataCentreId,
    ExecutorId,
    JobId,
    LogIndex,
    MachineId,
    QueueName,
    RackId,
    RunNumber,
    ServiceId,
    TaskName,
    TeamId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    AcceptJob,
    FleetConfiguration,
    JobChange,
    JobSpec,
    JobTable,
    PlaceRun,
    QueueSettings,
    RecordChanges,
    ServiceSettings,
    StepSpec,
    StoreConfiguration,
    TaskSize,
    TeamSettings,
)

__all__ = ["FLOODING", "SMALLEST", "TEAMS", "Arrival", "Policy", "Table", "arrivals", "on_time"]

QUEUES = ("renewals", "planning", "intake", "settlements", "support")
FLOODING = TeamId("team-06")
# The smallest tenth of the teams.
SMALLEST = (TeamId("team-00"), TeamId("team-04"))
FLOOD_FACTOR = 6
EXECUTORS_PER_SERVICE = 4
CORES = 16
TASKS_PER_JOB = 2
MEAN_TASK_S = 0.4
# Jobs a second that fill a pool.
POOL_RATE = EXECUTORS_PER_SERVICE * CORES / (TASKS_PER_JOB * MEAN_TASK_S)
MEAN_LOAD = 0.25
PEAK_FACTOR = 5.0
QUIET_FACTOR = 1 / 20
PEAK_S = 4.0
# All queues together: one at its peak, one quiet and the others at their means.
USUAL_RATE = MEAN_LOAD * POOL_RATE * (PEAK_FACTOR + QUIET_FACTOR + len(QUEUES) - 2)
# The weight of a team is the rate that it agreed on, which is its usual one in jobs a second.
TEAMS = {TeamId(f"team-{number:02d}"): USUAL_RATE * (1 + number % 4) / 50 for number in range(20)}
DURATION_S = 40.0
# Jobs that have not ended this long after the last arrival are late.
DRAIN_S = 5.0
TICK_S = 0.05
SLACK_FACTOR = 1.6
LATENCY_TARGET_S = 0.6


@dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """A job of a team: tasks of one core that run for `task_s` seconds."""

    at_s: float
    job: JobId
    team: TeamId
    queue: QueueName
    task_s: float


@dataclass(frozen=True, slots=True)
class Policy:
    """How steps are sorted: by value or by arrival, and with or without the shares of teams."""

    is_by_value: bool = True
    has_shares: bool = True


def _factor(queue: int, at_s: float) -> float:
    """Return the load of a queue at a time, relative to its mean."""
    peak = int(at_s / PEAK_S) % len(QUEUES)
    if peak == queue:
        return PEAK_FACTOR
    return QUIET_FACTOR if (peak - 1) % len(QUEUES) == queue else 1.0


def _stream(name: str, team: TeamId, seed: int) -> Iterator[Arrival]:
    """Yield the usual load of a team on all queues."""
    peak_rate = MEAN_LOAD * POOL_RATE * PEAK_FACTOR * TEAMS[team] / USUAL_RATE
    for number, queue in enumerate(QUEUES):
        rng = random.Random(f"{seed} {name} {team} {queue}")
        at_s = rng.expovariate(peak_rate)
        while at_s < DURATION_S:
            task_s = rng.uniform(0.5, 1.5) * MEAN_TASK_S
            if rng.random() * PEAK_FACTOR < _factor(number, at_s):
                job = JobId(f"{name}-{team}-{queue}-{at_s:.6f}")
                yield Arrival(at_s, job, team, QueueName(queue), task_s)
            at_s += rng.expovariate(peak_rate)


def arrivals(seed: int, with_flood: bool) -> list[Arrival]:
    """Return the jobs in the order of their arrival; a flood adds to the usual ones."""
    jobs = [arrival for team in TEAMS for arrival in _stream("usual", team, seed)]
    if with_flood:
        for number in range(FLOOD_FACTOR - 1):
            jobs += _stream(f"flood{number}", FLOODING, seed)
    return sorted(jobs)


class Table:
    """A job table to which changes are applied at once.

    The document of a job is the number of seconds that its tasks run.
    """

    def __init__(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        self.index = 0
        self.table = JobTable(self)
        self.apply([StoreConfiguration(configuration.version, b"")], 0.0)

    def read_job(self, document: bytes) -> JobSpec:
        """Return the job in a document."""
        return JobSpec("", (StepSpec(TASKS_PER_JOB, TaskSize(1000, 100), float(document)),))

    def read_configuration(self, document: bytes) -> FleetConfiguration:
        """Return the configuration of the replay."""
        return self.configuration

    def apply(self, changes: list[JobChange], time_s: float) -> None:
        """Apply changes at a time of day."""
        self.index += 1
        self.table.apply(LogIndex(self.index), RecordChanges(tuple(changes), time_s))


def _configuration(policy: Policy) -> FleetConfiguration:
    queues = tuple(
        QueueSettings(
            QueueName(name),
            "a.example",
            f"/{name}/",
            ServiceId(name),
            slack_factor=SLACK_FACTOR,
            latency_target_s=LATENCY_TARGET_S,
            timeout_s=DURATION_S,
        )
        for name in QUEUES
    )
    teams = tuple(TeamSettings(team, weight=weight) for team, weight in TEAMS.items())
    services = tuple(ServiceSettings(ServiceId(name)) for name in QUEUES)
    return FleetConfiguration(1, queues, services, teams if policy.has_shares else None)


def heartbeat(number: int, service: ServiceId, cores: int = CORES) -> Heartbeat:
    """Return the first heartbeat of an executor."""
    return Heartbeat(
        ExecutorId(f"i-{number}"),
        100,
        1,
        service,
        f"i-{number}:80",
        DataCentreId("east"),
        MachineId(""),
        ExecutorState.READY,
        TaskSize(cores * 1000, 64_000),
        (),
        RackId("r"),
        5000,
    )


def on_time(jobs: list[Arrival], policy: Policy) -> Counter[TeamId]:
    """Return how many jobs of each team end by their deadlines."""
    log = Table(_configuration(policy))
    order = None if policy.is_by_value else ArrivalOrder()
    dispatch = Dispatch(log.table, LeaseTiming(6.0), Instant(0.0), order=order)
    log.table.observer = dispatch
    executors: dict[Executor, list[tuple[float, TaskName, RunNumber]]] = {}
    for number in range(EXECUTORS_PER_SERVICE * len(QUEUES)):
        service = ServiceId(QUEUES[number % len(QUEUES)])
        executor = dispatch.receive_heartbeat(heartbeat(number, service), Instant(0.0))
        assert executor is not None
        executors[executor] = []
    by_incarnation = {executor.incarnation: executor for executor in executors}
    position = 0
    for tick in range(int((DURATION_S + DRAIN_S) / TICK_S)):
        now_s = tick * TICK_S
        while position < len(jobs) and jobs[position].at_s <= now_s:
            job = jobs[position]
            service = ServiceId(job.queue)
            document = str(job.task_s).encode()
            log.apply([AcceptJob(job.job, job.queue, service, 1, document, job.team)], now_s)
            position += 1
        for executor, ends in executors.items():
            _report(dispatch, executor, ends, now_s)
        while changes := dispatch.take_changes(Instant(now_s), now_s):
            log.apply(changes, now_s)
            for change in changes:
                if isinstance(change, PlaceRun):
                    task = log.table.task(change.task)
                    assert task is not None
                    ends_s = now_s + task.step.spec.estimated_s
                    run = (ends_s, change.task, change.run)
                    heapq.heappush(executors[by_incarnation[change.life]], run)
        dispatch.orders.clear()
    return Counter(job.team for job in jobs if _is_on_time(log, job))


def _report(
    dispatch: Dispatch,
    executor: Executor,
    ends: list[tuple[float, TaskName, RunNumber]],
    now_s: float,
) -> None:
    """Report the runs of an executor that have ended."""
    finished: list[FinishedRun] = []
    while ends and ends[0][0] <= now_s:
        _, task, run = heapq.heappop(ends)
        number = executor.seen + len(finished) + 1
        finished.append(FinishedRun(number, task, run, "done", ""))
    now = Instant(now_s)
    report = HoldReport(5000 + int(now_s * 1000), (), tuple(finished))
    dispatch.handle_hold_report(executor, now, report, now)
    executor.seen += len(finished)


def _is_on_time(log: Table, job: Arrival) -> bool:
    ended_s = log.table.jobs[job.job].ended_s
    deadline_s = job.at_s + SLACK_FACTOR * job.task_s + LATENCY_TARGET_S
    return 0 < ended_s <= deadline_s
