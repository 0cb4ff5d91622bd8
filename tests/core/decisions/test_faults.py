"""Tests of all decisions together under each fault, all pairs and a random sample of triples."""

import random
from dataclasses import replace
from itertools import combinations

import testtools
from marigolddoor_core.actions import Decision
from marigolddoor_core.capacity import Capacity
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.maintenance import BudgetLedger, Maintenance
from marigolddoor_core.placement import Placement
from marigolddoor_core.placement.runs import Runs
from marigolddoor_core.state.objects import VmRecord
from marigolddoor_core.targets import TaskPhase

from bench.faults.worlds import FAULTS, UnlimitedWave, run_faults

TRIPLE_SEED = 20_261_204
TRIPLES = 16


# Regressions: combinations that once failed a check, with their seeds.
FOUND = [
    # With a rack lost, a set-aside worker was taken out of service while it answered requests.
    (("rack lost during a wave", "worker fails everything", "endless job"), 1),
    # A task was placed on a worker that left in the same round, and waited for its lease to expire.
    (("rotating demand", "late reports", "restart after changes"), 2),
]


def sampled_triples() -> list[tuple[str, ...]]:
    triples = list(combinations(FAULTS, 3))
    return random.Random(TRIPLE_SEED).sample(triples, TRIPLES)


def scenarios_of(combined: list[tuple[tuple[str, ...], int]]) -> list[tuple[str, dict]]:
    return [
        (f"{' and '.join(names)}, seed {seed}", {"names": names, "seed": seed})
        for names, seed in combined
    ]


class TestFaults(testtools.TestCase):
    """Guards against exceeded budgets, VMs in two pools, lost tasks and duplicate runs."""

    scenarios = scenarios_of(
        [
            *(((name,), 1) for name in FAULTS),
            *((pair, 1) for pair in combinations(FAULTS, 2)),
            *((triple, 1) for triple in sampled_triples()),
            *FOUND,
        ]
    )

    def test_no_check_fails(self) -> None:
        self.assertEqual([], run_faults(self.names, self.seed))


class UndrainedCapacity(Capacity):
    """Moves VMs without the guard that waits for the drain."""

    def _is_drained(self, fleet: Fleet, record: VmRecord) -> bool:
        return True

    def _finish_moves(self, fleet: Fleet) -> list:
        tasks = {task: r for task, r in fleet.tasks.items() if r.lease_until_s > fleet.now_s}
        return super()._finish_moves(replace(fleet, tasks=tasks))


class EarlyRuns(Runs):
    """Ends runs without the guard that waits until the lease has certainly expired."""

    def expire(self, now_s: float) -> list:
        return super().expire(now_s + 40.0)


class ForgetfulRuns(Runs):
    """Treats a run whose lease expired as finished, so that its task is not placed again."""

    def _finish(self, record, phase, reason, now_s) -> list:  # type: ignore[no-untyped-def]
        if reason == "the lease ended":
            phase = TaskPhase.FINISHED
        return super()._finish(record, phase, reason, now_s)


def placement_with(runs: type[Runs]) -> Placement:
    placement = Placement()
    placement.runs = runs(placement.index)
    placement.placer.runs = placement.faults.runs = placement.runs
    return placement


def leader_with(
    runs: type[Runs] = Runs,
    capacity: type[Capacity] = Capacity,
    wave: object = None,
) -> list[Decision]:
    ledger = BudgetLedger()
    return [placement_with(runs), Maintenance(ledger, wave), capacity(ledger)]  # type: ignore[arg-type]


class TestGuards(testtools.TestCase):
    """Guards against checks that pass even if a guard is missing from the decisions."""

    scenarios = [
        (
            "budget",
            {
                "leader": lambda: leader_with(wave=UnlimitedWave()),
                "names": ("rack lost during a wave",),
                "problem": "are out of service",
            },
        ),
        (
            "one pool",
            {
                "leader": lambda: leader_with(capacity=UndrainedCapacity),
                "names": ("rotating demand", "flood of the least urgent"),
                "problem": "moves while it runs tasks",
            },
        ),
        (
            "one run at once",
            {
                "leader": lambda: leader_with(EarlyRuns),
                "names": ("data centre cut off",),
                "problem": "times at once",
            },
        ),
        (
            "no lost task",
            {
                "leader": lambda: leader_with(ForgetfulRuns),
                "names": ("rack lost during a wave",),
                "problem": "never completed",
            },
        ),
    ]

    def test_the_check_reports_a_missing_guard(self) -> None:
        problems = run_faults(self.names, 1, self.leader)
        self.assertTrue(any(self.problem in problem for problem in problems), problems[:3])

    def test_the_check_passes_with_the_guard(self) -> None:
        self.assertEqual([], run_faults(self.names, 1, leader_with))
