"""Guards against broken promises on pools, tasks and maintenance, and wrong parser errors."""

import testtools
from marigolddoor_standins.scenarios import ScenarioError, parse, run

from tests.core.decisions.test_faults import (
    EarlyRuns,
    ForgetfulRuns,
    UndrainedCapacity,
    UnlimitedWave,
    leader_with,
)
from tests.scenarios.files import FILES, FOLDER, golden_file


class TestScenarios(testtools.TestCase):
    """Guards against a broken promise and an unintended change of a timeline."""

    scenarios = [(file.stem, {"file": file}) for file in FILES]

    def test_expectations_hold_and_the_timeline_matches_its_golden_file(self) -> None:
        outcome = run(parse(self.file.read_text()))
        self.assertEqual((), outcome.problems)
        self.assertEqual(golden_file(self.file).read_text(), "\n".join(outcome.timeline) + "\n")


class TestUnguardedLeaders(testtools.TestCase):
    """Guards against a check that passes without the guard in the decisions."""

    scenarios = [
        (file, {"file": file, "leader": leader, "problem": problem})
        for file, leader, problem in [
            ("wave", lambda: leader_with(wave=UnlimitedWave()), "are out of service"),
            (
                "move-under-faults",
                lambda: leader_with(capacity=UndrainedCapacity),
                "moves while it runs tasks",
            ),
            ("late-reports", lambda: leader_with(EarlyRuns), "times at once"),
            ("second-loss", lambda: leader_with(ForgetfulRuns), "never completed"),
        ]
    ]

    def test_an_expectation_fails_without_the_guard(self) -> None:
        scenario = parse((FOLDER / f"{self.file}.scenario").read_text())
        problems = run(scenario, self.leader).problems
        self.assertTrue(any(self.problem in problem for problem in problems), problems)


POOL = "pool web of 6 workers floor 2 budget 1\n"


class TestInvalidScenarios(testtools.TestCase):
    """Guards against an invalid scenario that runs, or an error with the wrong position."""

    scenarios = [
        (name, {"text": text, "line": line, "column": column, "expected": expected})
        for name, text, line, column, expected in [
            ("unknown statement", "frobnicate web\n", 1, 1, "`pool`"),
            ("missing word", "pool web 6 workers\n", 1, 10, "`of`"),
            ("name for a number", "pool web of six workers\n", 1, 13, "a whole number"),
            ("unfinished line", POOL + "at 5 s drain\n", 2, 13, "a name"),
            ("unit is missing", POOL + "at 5 drain web\n", 2, 6, "`s`"),
            ("unknown pool", POOL + "at 5 s drain wed\n", 2, 14, "a pool declared above"),
            ("unknown VM", POOL + "at 5 s lose VM web-9\n", 2, 16, "a VM declared above"),
            ("pool declared twice", POOL + POOL, 2, 6, "a new name"),
            ("unknown promise", POOL + "always web holds\n", 2, 8, "`budgets`"),
            ("foreign character", POOL + "at 5 s drain web!\n", 2, 17, "the end of the line"),
        ]
    ]

    def test_the_error_contains_the_line_the_column_and_the_expected_text(self) -> None:
        error = self.assertRaises(ScenarioError, parse, self.text)
        self.assertEqual((self.line, self.column), (error.line, error.column), error)
        self.assertIn(self.expected, str(error))
