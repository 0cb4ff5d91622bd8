"""Guards against lost voters that are not replaced, and against needless changes."""

from typing import Any

import testtools
from marigolddoor_core.consensus import Configuration, Member
from marigolddoor_core.consensus.membership_plan import next_change, required_voters
from marigolddoor_core.ids import ReplicaId


def member(name: str) -> Member:
    """Return the incarnation `name`: the letter of its process and a number."""
    return Member(ReplicaId(name), f"{name[0]}:1")


def group(voters: list[str], learners: list[str]) -> Configuration:
    """Return a configuration of incarnations."""
    return Configuration(tuple(map(member, voters)), tuple(map(member, learners)))


ABC = ["a1", "b1", "c1"]


class PlanTest(testtools.TestCase):
    """The next change; by default 3 voters are required and learners have caught up."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("nothing", {"voters": ABC, "expected": None}),
        ("join", {"voters": ["a1"], "joining": ["b1"], "expected": ("add learner", "b1")}),
        ("already a member", {"voters": ABC, "joining": ["b1"], "expected": None}),
        ("promote", {"voters": ["a1"], "learners": ["b1"], "expected": ("promote", "b1")}),
        ("behind", {"voters": ["a1"], "learners": ["b1"], "behind": ["b1"], "expected": None}),
        (
            "more voters required",
            {"voters": ABC, "learners": ["d1"], "required": 5, "expected": ("promote", "d1")},
        ),
        (
            "two lost of five, one spare",
            {
                "voters": [*ABC, "d1", "e1"],
                "learners": ["f1"],
                "lost": ["b1", "c1"],
                "required": 5,
                "expected": ("promote", "f1"),
            },
        ),
        (
            "two lost of five, the spare promoted",
            {
                "voters": [*ABC, "d1", "e1", "f1"],
                "lost": ["b1", "c1"],
                "required": 5,
                "expected": ("remove", "b1"),
            },
        ),
        ("spare", {"voters": ABC, "learners": ["d1"], "expected": None}),
        ("wiped", {"voters": ABC, "learners": ["c2"], "expected": ("remove", "c1")}),
        (
            "wiped, behind",
            {"voters": ABC, "learners": ["c2"], "behind": ["c2"], "expected": ("remove", "c1")},
        ),
        (
            "wiped, removed",
            {"voters": ["a1", "b1"], "learners": ["c2"], "expected": ("promote", "c2")},
        ),
        (
            "wiped twice",
            {"voters": ABC, "learners": ["c2", "c3"], "expected": ("remove", "c2")},
        ),
        (
            "lost",
            {"voters": ABC, "learners": ["d1"], "lost": ["b1"], "expected": ("promote", "d1")},
        ),
        (
            "lost, spare promoted",
            {"voters": [*ABC, "d1"], "lost": ["b1"], "expected": ("remove", "b1")},
        ),
        ("lost, then returned", {"voters": [*ABC, "d1"], "expected": ("remove", "d1")}),
        # Otherwise the new leader removes the replacement and keeps the lost voter.
        (
            "being replaced when the leader changed",
            {"voters": [*ABC, "d1"], "unheard": ["b1"], "expected": None},
        ),
        (
            "returned, its replacement leads",
            {"voters": [*ABC, "d1"], "leader": "d1", "expected": ("remove", "c1")},
        ),
        ("lost without a spare", {"voters": ABC, "lost": ["b1"], "expected": None}),
        (
            "lost, spare behind",
            {"voters": ABC, "learners": ["d1"], "lost": ["b1"], "behind": ["d1"], "expected": None},
        ),
    ]
    required = 3
    learners: list[str] = []
    joining: list[str] = []
    behind: list[str] = []
    lost: list[str] = []
    unheard: list[str] = []
    leader = "a1"

    def test_next(self) -> None:
        planned = next_change(
            group(self.voters, self.learners),
            tuple(map(member, self.joining)),
            self.required,
            ReplicaId(self.leader),
            lambda replica: replica not in self.behind,
            lambda replica: replica in self.lost,
            lambda replica: replica not in self.unheard,
        )
        found = None if planned is None else (planned.kind.value, planned.member.replica)
        self.assertEqual(self.expected, found)


class RequiredVotersTest(testtools.TestCase):
    """The smallest group in which a majority survives the given number of failures."""

    scenarios = [
        (f"{failures} failures", {"failures": failures, "voters": voters})
        for failures, voters in [(0, 3), (1, 3), (2, 5), (3, 7)]
    ]

    def test_voters(self) -> None:
        self.assertEqual(self.voters, required_voters(self.failures))
