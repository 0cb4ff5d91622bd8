"""Measures what a flood leaves to the other teams, and the cost of shares in a planning round."""

import time
from collections import Counter
from collections.abc import Iterable

from marigolddoor_core.dispatch import Dispatch, HoldReport, LeaseTiming
from marigolddoor_core.ids import JobId, QueueName, ServiceId, TeamId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    AcceptJob,
    EndRun,
    FleetConfiguration,
    JobChange,
    QueueSettings,
    RunEnd,
    ServiceSettings,
    TeamSettings,
)

from bench.rows import Goal, GoalKind, Row
from bench.team_load import (
    FLOODING,
    SMALLEST,
    TEAMS,
    Policy,
    Table,
    arrivals,
    heartbeat,
    on_time,
)

__all__ = ["kept_shares", "rows"]

# In one run 1% of the goodput of the smallest tenth is two jobs, which is less than its variation.
SEEDS = range(1, 13)

# The target size. Each worker runs or waits for this many jobs, of two tasks of one core each.
WORKERS = 16_000
POOLS = 182
TARGET_TEAMS = 340
WORKER_CORES = 4
JOBS_PER_WORKER = 3
ROUNDS = 10


def kept_shares(policy: Policy, seeds: Iterable[int]) -> tuple[float, float]:
    """Return the share of goodput that a flood leaves to the other teams, and to the smallest."""
    usual: Counter[TeamId] = Counter()
    flooded: Counter[TeamId] = Counter()
    for seed in seeds:
        usual += on_time(arrivals(seed, False), policy)
        flooded += on_time(arrivals(seed, True), policy)
    others = [team for team in TEAMS if team != FLOODING]
    kept, of_smallest = (
        sum(flooded[team] for team in teams) / sum(usual[team] for team in teams)
        for teams in (others, SMALLEST)
    )
    return kept, of_smallest


def _configuration(teams: int) -> FleetConfiguration:
    services = tuple(ServiceSettings(ServiceId(f"s{number}")) for number in range(POOLS))
    queues = tuple(
        QueueSettings(
            QueueName(f"q{number}"), "a.example", f"/q{number}/", service.name, timeout_s=60.0
        )
        for number, service in enumerate(services)
    )
    settings = tuple(TeamSettings(TeamId(f"t{number}")) for number in range(teams))
    return FleetConfiguration(1, queues, services, settings if teams else None)


def _full_dispatch(teams: int) -> tuple[Table, Dispatch]:
    """Return a dispatch whose workers are full, with half as much work waiting.

    All teams submit to each pool in turn.
    """
    log = Table(_configuration(teams))
    dispatch = Dispatch(log.table, LeaseTiming(6.0), Instant(0.0))
    log.table.observer = dispatch
    for number in range(WORKERS):
        beat = heartbeat(number, ServiceId(f"s{number % POOLS}"), WORKER_CORES)
        executor = dispatch.receive_heartbeat(beat, Instant(0.0))
        assert executor is not None
        dispatch.handle_hold_report(executor, Instant(0.0), HoldReport(5000, (), ()), Instant(0.0))
    log.apply(dispatch.take_changes(Instant(0.0), 0.0), 0.0)
    jobs: list[JobChange] = [
        AcceptJob(
            JobId(f"j{number}"),
            QueueName(f"q{number % POOLS}"),
            ServiceId(f"s{number % POOLS}"),
            1,
            b"0.4",
            TeamId(f"t{number // POOLS % max(1, teams)}"),
        )
        for number in range(WORKERS * JOBS_PER_WORKER)
    ]
    log.apply(jobs, 0.0)
    log.apply(dispatch.take_changes(Instant(0.0), 0.0), 0.0)
    return log, dispatch


def round_s(teams: int) -> float:
    """Return the processor time of a round after a run has ended in each pool; no teams if 0.

    The shortest of several rounds counts, since other load on the machine only adds to it.
    """
    log, dispatch = _full_dispatch(teams)
    executors = list(dispatch.executors.values())
    times: list[float] = []
    for number in range(ROUNDS):
        ends: list[JobChange] = []
        for executor in executors[number * POOLS : (number + 1) * POOLS]:
            placed = next(iter(executor.runs.values()))
            ends.append(EndRun(placed.task.name, placed.run, RunEnd.DONE))
        log.apply(ends, 0.0)
        started_s = time.process_time()
        changes = dispatch.take_changes(Instant(0.0), 0.0)
        times.append(time.process_time() - started_s)
        assert len(changes) == POOLS
        log.apply(changes, 0.0)
    return min(times)


def rows() -> list[Row]:
    """Measure the flood, with first-in-first-out as the baseline, and the cost of a round."""
    kept, of_smallest = kept_shares(Policy(), SEEDS)
    fifo = Policy(is_by_value=False, has_shares=False)
    fifo_kept, fifo_of_smallest = kept_shares(fifo, SEEDS)
    no_teams_s, one_team_s, all_teams_s = (round_s(teams) for teams in (0, 1, TARGET_TEAMS))
    goal = Goal(GoalKind.AT_LEAST, 0.99)
    return [
        Row("team_share_kept", kept, "share", fifo_kept, goal),
        Row("team_share_kept_smallest", of_smallest, "share", fifo_of_smallest, goal),
        Row(
            "teams_round_ratio",
            all_teams_s / one_team_s,
            "ratio of processor time",
            no_teams_s / one_team_s,
            Goal(GoalKind.AT_MOST, 1.1),
        ),
    ]
