"""Measures the wait of urgent tasks in a full pool, and the cost of a placement round."""

import random
import time
from dataclasses import dataclass, replace

from marigolddoor_core.actions import Decision
from marigolddoor_core.capacity import Capacity
from marigolddoor_core.fleet import Fleet, FleetDelta
from marigolddoor_core.ids import TaskId, VmId
from marigolddoor_core.maintenance import BudgetLedger, Maintenance, Rollout
from marigolddoor_core.placement import CheckpointPreemption, NoPreemption, Placement, Preemption
from marigolddoor_core.placement.estimates import quantile
from marigolddoor_core.questions.detection import Detection
from marigolddoor_core.targets import Resources
from marigolddoor_standins.virtual import JobBehaviour, VirtualFleet, VirtualState
from marigolddoor_standins.virtual.samples import (
    SIZE,
    add_workers,
    job,
    organisation,
    pool,
    submit,
)

from bench.rows import Goal, GoalKind, Row

__all__ = ["rows"]

SEED = 20_261_204
# Each hop takes one step: an order, a commit, a report and the round that an event triggers. The
# minimum time between two rounds is 50 ms.
STEP_S = 0.05
CONTROL_CPU_SHARE = 0.014
WORKERS = 16
BATCH_TASKS = 200
BATCH_RUN_S = 120.0
URGENT_RUN_S = 4.0
URGENT_INTERVAL_S = 0.5
DURATION_S = 180.0

SMALL = Resources(1.0, 2_000)
TASKS_PER_WORKER = 10
TARGET_WORKERS = 2_286
REGION_POOLS = 26
ROUNDS = 5


def urgent_waits_s(preemption: Preemption) -> list[float]:
    """Return the waits of urgent tasks, from their acceptance to their start on a worker.

    A task that has not started by the end counts with its wait so far.
    """
    declared = organisation([pool("web", WORKERS)], [job("batch"), job("urgent", urgent=True)])
    fleet = VirtualFleet(
        VirtualState(declared), lambda: [Placement(preemption)], STEP_S, interval_s=1.0
    )
    add_workers(fleet, "web", WORKERS)
    submit(fleet, "batch", BATCH_TASKS, JobBehaviour(BATCH_RUN_S, SIZE))
    fleet.run(10.0)
    rng = random.Random(SEED)
    behaviour = JobBehaviour(URGENT_RUN_S, SIZE)
    accepted_s: dict[TaskId, float] = {}
    started_s: dict[TaskId, float] = {}
    next_s = fleet.now_s
    ends_s = fleet.now_s + DURATION_S
    while fleet.now_s < ends_s:
        if fleet.now_s >= next_s and fleet.now_s < ends_s - 10.0:
            (task,) = submit(fleet, "urgent", 1, behaviour, first=len(accepted_s))
            accepted_s[task] = fleet.now_s
            next_s += rng.expovariate(1.0 / URGENT_INTERVAL_S)
        fleet.step()
        for worker in fleet.workers.values():
            for task in worker.runs:
                if task in accepted_s:
                    started_s.setdefault(task, fleet.now_s)
    return [started_s.get(task, fleet.now_s) - at_s for task, at_s in accepted_s.items()]


@dataclass(frozen=True, slots=True)
class RoundCost:
    """The processor time of one round, in seconds."""

    quiet_s: float
    quiet_with_delta_s: float
    placing_s: float


def round_cost(workers: int, waiting: int) -> RoundCost:
    """Return the cost of rounds without changes, and of one that places tasks."""
    declared = organisation(
        [pool("web", workers)], [job("run", size=SMALL), job("wait", size=SMALL)]
    )
    placement = Placement()
    fleet = VirtualFleet(VirtualState(declared), lambda: [placement])
    add_workers(fleet, "web", workers)
    submit(fleet, "run", workers * TASKS_PER_WORKER, JobBehaviour(1e9, SMALL))
    fleet.run(3.0)
    now = fleet.current_fleet()
    quiet_s = _processor_s(placement, [now] * ROUNDS)
    none: frozenset[VmId] = frozenset()
    with_delta = [
        replace(now, delta=FleetDelta(number, none, frozenset(), none))
        for number in range(ROUNDS + 1)
    ]
    placement.decide(with_delta[0])
    quiet_with_delta_s = _processor_s(placement, with_delta[1:])
    submit(fleet, "wait", waiting, JobBehaviour(1e9, SMALL))
    placing_s = _processor_s(placement, [fleet.current_fleet()])
    return RoundCost(quiet_s, quiet_with_delta_s, placing_s)


def region_round_s() -> float:
    """Return the processor time of a round of all decisions without changes in a region."""
    size = TARGET_WORKERS // REGION_POOLS
    pools = [pool(f"p{number}", size, 2, 2) for number in range(REGION_POOLS)]
    declared = organisation(pools, [job(f"j{p.id}", p.id, SMALL) for p in pools])
    ledger = BudgetLedger()
    decisions: list[Decision] = [
        Placement(),
        Maintenance(ledger),
        Rollout(ledger),
        Capacity(ledger),
        Detection(ledger),
    ]
    fleet = VirtualFleet(VirtualState(declared), lambda: decisions)
    for each in pools:
        add_workers(fleet, each.id, size)
        submit(fleet, f"j{each.id}", size * TASKS_PER_WORKER, JobBehaviour(1e9, SMALL))
    fleet.run(3.0)
    times: list[float] = []
    for _ in range(ROUNDS):
        now = fleet.current_fleet()
        started_s = time.process_time()
        for decision in decisions:
            decision.decide(now)
        times.append(time.process_time() - started_s)
    return min(times)


def _processor_s(placement: Placement, fleets: list[Fleet]) -> float:
    """Return the shortest time of the rounds: other load on the machine only adds to it."""
    times: list[float] = []
    for fleet in fleets:
        started_s = time.process_time()
        placement.decide(fleet)
        times.append(time.process_time() - started_s)
    return min(times)


def rows() -> list[Row]:
    """Measure urgent starts and the cost of rounds."""
    waits_s = urgent_waits_s(CheckpointPreemption())
    baseline_s = urgent_waits_s(NoPreemption())
    small, large = round_cost(250, 250), round_cost(1_000, 250)
    more = round_cost(1_000, 4_000)
    workers = 1_000 - 250
    quiet_us = (large.quiet_s - small.quiet_s) / workers * 1e6
    delta_us = (large.quiet_with_delta_s - small.quiet_with_delta_s) / workers * 1e6
    waiting_us = (more.placing_s - large.placing_s) / (4_000 - 250) * 1e6
    region_ms = region_round_s() * 1e3
    # A node may spend 1.4% of a core on control, and a round is due every second.
    return [
        Row(
            "leader_round_ms_region",
            region_ms,
            "ms of processor time",
            region_ms,
            Goal(GoalKind.AT_MOST, CONTROL_CPU_SHARE * 1e3),
        ),
        Row(
            "urgent_start_seconds_p99",
            quantile(waits_s, 0.99),
            "s",
            quantile(baseline_s, 0.99),
            Goal(GoalKind.AT_MOST, 1.0),
        ),
        Row(
            "placement_round_us_per_worker",
            delta_us,
            "us of processor time",
            quiet_us,
            Goal(GoalKind.AT_MOST, CONTROL_CPU_SHARE * 1e6 / TARGET_WORKERS),
        ),
        Row(
            "placement_round_us_per_waiting_task",
            waiting_us,
            "us of processor time",
            waiting_us,
            Goal(GoalKind.AT_MOST, 1e6 / (TARGET_WORKERS * TASKS_PER_WORKER)),
        ),
    ]
