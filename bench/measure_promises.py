"""Counts violations of guarantees in fault runs; the baseline is the same run without the guard."""

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
from bench.faults.revoked_keys import KeyGuards, KeyRun
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

__all__ = [
    "GUARANTEES",
    "Comparison",
    "Guarantee",
    "UndetectedViolationError",
    "ViolationCount",
    "rows",
]


class UndetectedViolationError(MarigolddoorError):
    """A run without its guard reported no violation, so its check proves nothing."""


@dataclass(frozen=True, slots=True)
class ViolationCount:
    """The number of violations, and of the operations of the runs."""

    violations: int
    operations: int


CountRun = Callable[[Iterable[int]], ViolationCount]


@dataclass(frozen=True, slots=True)
class Comparison:
    """A run, the same run without the guard that prevents violations, and the seeds of both.

    `few_seeds` are enough to show that the missing guard is reported.
    """

    run: CountRun
    run_without_guard: CountRun
    seeds: Sequence[int]
    few_seeds: Sequence[int]
    operation: str


@dataclass(frozen=True, slots=True)
class Guarantee:
    """A guarantee and the runs in which its violations are counted."""

    name: str
    comparisons: Sequence[Comparison]

    def row(self) -> Row:
        """Count the violations of the guarantee.

        Raises:
          UndetectedViolationError: a run without its guard reported no violation.
        """
        violations = violations_without_guard = 0
        for comparison in self.comparisons:
            baseline = comparison.run_without_guard(comparison.seeds)
            if baseline.violations == 0:
                raise UndetectedViolationError(f"{self.name} is 0 without its guard")
            count = comparison.run(comparison.seeds)
            print(
                f"# {self.name}: {count.violations} over {count.operations} {comparison.operation},"
            )
            print(f"#   without its guard {baseline.violations} over {baseline.operations}")
            violations += count.violations
            violations_without_guard += baseline.violations
        goal = Goal(GoalKind.AT_MOST, 0)
        return Row(self.name, violations, "count", violations_without_guard, goal)


MACHINE_STEPS = 700
REQUESTS = 2_000


def machine_without(
    guard: Callable[[StateMachine], None], make: Callable[[], StateMachine] = new_machine
) -> Callable[[], StateMachine]:
    """Return a factory of machines with one guard removed."""

    def make_without() -> StateMachine:
        machine = make()
        guard(machine)
        return machine

    return make_without


def machine_faults(
    new_checker: Callable[[], Checker], make: Callable[[], StateMachine] = new_machine
) -> CountRun:
    """Return a run that counts the faults that a checker of the state machine reports.

    A state that stays wrong is reported in every later step and counts once.
    """

    def run(seeds: Iterable[int]) -> ViolationCount:
        violations = operations = 0
        for seed in seeds:
            found = faults(seed, MACHINE_STEPS, [new_checker()], make)
            violations += len({fault.text for fault in found})
            operations += MACHINE_STEPS
        return ViolationCount(violations, operations)

    return run


def answers(count: Callable[[AnswerRun], ViolationCount], **unguarded: Any) -> CountRun:
    """Return a run of requests with faulty answers; `unguarded` holds the unguarded parts."""

    def run(seeds: Iterable[int]) -> ViolationCount:
        violations = operations = 0
        for seed in seeds:
            requests = AnswerRun(seed, **unguarded)
            requests.run(REQUESTS)
            counted = count(requests)
            violations += counted.violations
            operations += counted.operations
        return ViolationCount(violations, operations)

    return run


def false_not_run(run: AnswerRun) -> ViolationCount:
    """Count the refusals of requests that ran."""
    return ViolationCount(run.false_not_run, run.refused)


def foreign_answers(run: AnswerRun) -> ViolationCount:
    """Count the answers to other requests."""
    return ViolationCount(run.foreign_answers, run.delivered)


def partial_answers(run: AnswerRun) -> ViolationCount:
    """Count the truncated answers."""
    return ViolationCount(run.partial_answers, run.delivered)


def double_runs(run: AnswerRun) -> ViolationCount:
    """Count the repeated runs of claimed requests."""
    return ViolationCount(run.double_runs, run.requests)


def lost_changes(seeds: Iterable[int]) -> ViolationCount:
    """Count the groups in which a leader or the applied entries lack a committed change.

    A violation of any other invariant may lose changes too, so it counts as well.
    """
    violations = operations = 0
    for seed in seeds:
        simulation = Simulation(seed)
        try:
            simulation.run()
        except Violation:
            violations += 1
        operations += simulation.acknowledged
    return ViolationCount(violations, operations)


def lost_changes_without_guard(seeds: Iterable[int]) -> ViolationCount:
    """Count the losses if a voter does not compare the candidate's log with its own.

    Only violations of the invariant of committed entries count, which is the guarantee itself.
    """
    violations = operations = 0
    with mock.patch.object(Election, "is_log_current", lambda *_: True):
        for seed in seeds:
            simulation = Simulation(seed)
            try:
                simulation.run()
            except Violation as violation:
                violations += violation.checker == "committed entries"
            operations += simulation.acknowledged
    return ViolationCount(violations, operations)


def budget_violations(leader: DecisionFactory) -> CountRun:
    """Return a run that counts the VMs that are taken out of service beyond their pool's budget.

    The first seeds run each fault alone, the others a random pair of faults each.
    """
    names = list(FAULTS)

    def run(seeds: Iterable[int]) -> ViolationCount:
        violations = operations = 0
        for seed in seeds:
            pair = random.Random(seed).sample(names, 2)
            world = run_world(names[seed : seed + 1] or pair, seed, leader)
            violations += world.checks.count(virtual_checks.Promise.BUDGETS)
            operations += world.checks.removals
        return ViolationCount(violations, operations)

    return run


def revoked_runs(guards: KeyGuards) -> CountRun:
    """Return a run that counts the calls that succeed with a key withdrawn for over 5 s."""

    def run(seeds: Iterable[int]) -> ViolationCount:
        violations = operations = 0
        for seed in seeds:
            keys = KeyRun(seed, guards)
            keys.run()
            violations += keys.revoked_runs
            operations += keys.answered + keys.refused
        return ViolationCount(violations, operations)

    return run


# The numbers of seeds keep the total time of all runs within 60 s.
GUARANTEES = [
    Guarantee(
        "double_runs",
        [
            Comparison(
                machine_faults(ClaimChecker),
                machine_faults(ClaimChecker, machine_without(grant_without_claim)),
                range(40),
                range(2),
                "commands",
            ),
            Comparison(
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
    Guarantee(
        "false_not_run",
        [
            Comparison(
                answers(false_not_run),
                answers(false_not_run, new_tracker=ReleaseAfterDispatch),
                range(25),
                range(1),
                "refusals as not run",
            ),
        ],
    ),
    Guarantee(
        "foreign_answers",
        [
            Comparison(
                answers(foreign_answers),
                answers(foreign_answers, checks=WithoutEchoCheck()),
                range(25),
                range(1),
                "answers",
            ),
        ],
    ),
    Guarantee(
        "partial_answers",
        [
            Comparison(
                answers(partial_answers),
                answers(partial_answers, checks=WithoutLengthCheck()),
                range(25),
                range(1),
                "answers",
            ),
        ],
    ),
    Guarantee(
        "lost_accepted_changes",
        [
            Comparison(
                lost_changes,
                lost_changes_without_guard,
                range(400),
                range(100),
                "acknowledged changes",
            ),
        ],
    ),
    Guarantee(
        "pool_overlaps",
        [
            Comparison(
                machine_faults(PoolChecker),
                machine_faults(PoolChecker, machine_without(keep_epoch)),
                range(40),
                range(2),
                "commands",
            ),
        ],
    ),
    Guarantee(
        "revoked_runs",
        [
            Comparison(
                revoked_runs(KeyGuards()),
                revoked_runs(unguarded),
                range(seeds),
                few_seeds,
                operation,
            )
            for unguarded, seeds, few_seeds, operation in (
                (KeyGuards(checks_keys=False), 5, range(1), "calls, unguarded without keys"),
                (KeyGuards(checks_lease=False), 10, range(1), "calls, unguarded without leases"),
                # An answer that is read late is rare: it takes a freeze between its two ends.
                (KeyGuards(checks_age=False), 30, range(8, 9), "calls, unguarded without ages"),
            )
        ],
    ),
    Guarantee(
        "budget_breaks",
        [
            Comparison(
                budget_violations(production_decisions),
                budget_violations(lambda: production_decisions(UnlimitedWave())),
                range(30),
                range(4),
                "VMs taken",
            ),
        ],
    ),
]


def rows() -> list[Row]:
    """Count the violations of each guarantee, with and without its guard."""
    return [guarantee.row() for guarantee in GUARANTEES]
