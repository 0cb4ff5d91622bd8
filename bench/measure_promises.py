"""Counts of broken promises over whole fault runs, each beside the same run without its guard."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any
from unittest import mock

from marigolddoor_core.consensus.election import Election
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_standins.virtual import checks as virtual_checks

from bench.faults.answers import (
    AnswerRun,
    ReleaseAfterDispatch,
    WithoutEchoCheck,
    WithoutLengthCheck,
)
from bench.faults.consensus import Simulation
from bench.faults.consensus_checkers import Violation
from bench.faults.state import Checker, faults, new_machine
from bench.faults.state_checkers import ClaimChecker, PoolChecker
from bench.faults.state_guards import grant_without_claim, keep_epoch
from bench.faults.worlds import (
    FAULTS,
    DecisionFactory,
    UnlimitedWave,
    production_decisions,
    run_world,
)
from bench.rows import Goal, GoalKind, Row

__all__ = ["PROMISES", "Count", "Part", "Promise", "UnseenBreakError", "rows"]


class UnseenBreakError(MarigolddoorError):
    """A run without its guard broke no promise, so its check shows nothing."""


@dataclass(frozen=True, slots=True)
class Count:
    """How often a promise was broken, and the operations that it is counted over."""

    breaks: int
    operations: int


Run = Callable[[Iterable[int]], Count]


@dataclass(frozen=True, slots=True)
class Part:
    """A run, the same run without the guard that prevents breaks, and the seeds of both.

    `few_seeds` are enough to show that the missing guard is reported.
    """

    run: Run
    run_without_guard: Run
    seeds: Sequence[int]
    few_seeds: Sequence[int]
    operation: str


@dataclass(frozen=True, slots=True)
class Promise:
    """A promise and the runs that it is counted over."""

    name: str
    parts: Sequence[Part]

    def row(self) -> Row:
        """Measure the promise.

        Raises:
          UnseenBreakError: nothing was counted in a part without its guard.
        """
        breaks = breaks_without_guard = 0
        for part in self.parts:
            baseline = part.run_without_guard(part.seeds)
            if baseline.breaks == 0:
                raise UnseenBreakError(f"{self.name} is 0 without its guard")
            count = part.run(part.seeds)
            print(f"# {self.name}: {count.breaks} over {count.operations} {part.operation},")
            print(f"#   without its guard {baseline.breaks} over {baseline.operations}")
            breaks += count.breaks
            breaks_without_guard += baseline.breaks
        goal = Goal(GoalKind.AT_MOST, 0)
        return Row(self.name, breaks, "count", breaks_without_guard, goal)


MACHINE_STEPS = 700
REQUESTS = 2_000


def machine_without(
    guard: Callable[[StateMachine], None], make: Callable[[], StateMachine] = new_machine
) -> Callable[[], StateMachine]:
    """Return a maker of machines from which a guard is taken out."""

    def make_without() -> StateMachine:
        machine = make()
        guard(machine)
        return machine

    return make_without


def machine_faults(
    new_checker: Callable[[], Checker], make: Callable[[], StateMachine] = new_machine
) -> Run:
    """Return a run that counts what a checker of the state machine finds.

    A state that stays wrong is found in every later step and counts once.
    """

    def run(seeds: Iterable[int]) -> Count:
        breaks = operations = 0
        for seed in seeds:
            found = faults(seed, MACHINE_STEPS, [new_checker()], make)
            breaks += len({fault.text for fault in found})
            operations += MACHINE_STEPS
        return Count(breaks, operations)

    return run


def answers(count: Callable[[AnswerRun], Count], **parts: Any) -> Run:
    """Return a run of requests whose answers are disturbed; `parts` are those without a guard."""

    def run(seeds: Iterable[int]) -> Count:
        breaks = operations = 0
        for seed in seeds:
            requests = AnswerRun(seed, **parts)
            requests.run(REQUESTS)
            counted = count(requests)
            breaks += counted.breaks
            operations += counted.operations
        return Count(breaks, operations)

    return run


def false_not_run(run: AnswerRun) -> Count:
    """Count the refusals of requests that ran."""
    return Count(run.false_not_run, run.refused)


def foreign_answers(run: AnswerRun) -> Count:
    """Count the answers to other requests."""
    return Count(run.foreign_answers, run.delivered)


def partial_answers(run: AnswerRun) -> Count:
    """Count the answers that are not whole."""
    return Count(run.partial_answers, run.delivered)


def double_runs(run: AnswerRun) -> Count:
    """Count the second runs of claimed requests."""
    return Count(run.double_runs, run.requests)


def lost_changes(seeds: Iterable[int]) -> Count:
    """Count the groups in which a replica leads or delivers without an accepted change.

    Any other broken invariant may lose changes too, so it counts as well.
    """
    breaks = operations = 0
    for seed in seeds:
        simulation = Simulation(seed)
        try:
            simulation.run()
        except Violation:
            breaks += 1
        operations += simulation.acknowledged
    return Count(breaks, operations)


def lost_changes_without_guard(seeds: Iterable[int]) -> Count:
    """Count the losses if a voter does not compare the candidate's log with its own.

    Only the invariant of committed entries counts here, which is the promise itself.
    """
    breaks = operations = 0
    with mock.patch.object(Election, "is_log_current", lambda *_: True):
        for seed in seeds:
            simulation = Simulation(seed)
            try:
                simulation.run()
            except Violation as violation:
                breaks += violation.checker == "committed entries"
            operations += simulation.acknowledged
    return Count(breaks, operations)


def budget_breaks(leader: DecisionFactory) -> Run:
    """Return a run that counts the VMs that are taken beyond the budget of their pool.

    The first seeds run each fault alone, the others a drawn pair of faults each.
    """
    names = list(FAULTS)

    def run(seeds: Iterable[int]) -> Count:
        breaks = operations = 0
        for seed in seeds:
            pair = random.Random(seed).sample(names, 2)
            world = run_world(names[seed : seed + 1] or pair, seed, leader)
            breaks += world.checks.count(virtual_checks.Promise.BUDGETS)
            operations += world.checks.takes
        return Count(breaks, operations)

    return run


# The numbers of seeds keep all runs together within 60 s.
PROMISES = [
    Promise(
        "double_runs",
        [
            Part(
                machine_faults(ClaimChecker),
                machine_faults(ClaimChecker, machine_without(grant_without_claim)),
                range(40),
                range(2),
                "commands",
            ),
            Part(
                answers(double_runs),
                answers(
                    double_runs,
                    new_machine=machine_without(grant_without_claim, StateMachine),
                ),
                range(25),
                range(4),
                "requests",
            ),
        ],
    ),
    Promise(
        "false_not_run",
        [
            Part(
                answers(false_not_run),
                answers(false_not_run, new_tracker=ReleaseAfterDispatch),
                range(25),
                range(1),
                "refusals as not run",
            ),
        ],
    ),
    Promise(
        "foreign_answers",
        [
            Part(
                answers(foreign_answers),
                answers(foreign_answers, checks=WithoutEchoCheck()),
                range(25),
                range(1),
                "answers",
            ),
        ],
    ),
    Promise(
        "partial_answers",
        [
            Part(
                answers(partial_answers),
                answers(partial_answers, checks=WithoutLengthCheck()),
                range(25),
                range(1),
                "answers",
            ),
        ],
    ),
    Promise(
        "lost_accepted_changes",
        [
            Part(
                lost_changes,
                lost_changes_without_guard,
                range(400),
                range(100),
                "acknowledged changes",
            ),
        ],
    ),
    Promise(
        "pool_overlaps",
        [
            Part(
                machine_faults(PoolChecker),
                machine_faults(PoolChecker, machine_without(keep_epoch)),
                range(40),
                range(2),
                "commands",
            ),
        ],
    ),
    Promise(
        "budget_breaks",
        [
            Part(
                budget_breaks(production_decisions),
                budget_breaks(lambda: production_decisions(UnlimitedWave())),
                range(30),
                range(4),
                "VMs taken",
            ),
        ],
    ),
]


def rows() -> list[Row]:
    """Count each promise with and without its guard."""
    return [promise.row() for promise in PROMISES]
