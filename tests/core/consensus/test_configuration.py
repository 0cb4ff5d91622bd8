"""Guards against quorums that do not overlap, and changes of more than one member."""

from typing import Any

import testtools
from marigolddoor_core.consensus import ChangeRefusedError, Configuration, Member
from marigolddoor_core.ids import ReplicaId


def members(names: str) -> tuple[Member, ...]:
    """Return a member for each letter."""
    return tuple(Member(ReplicaId(name), f"{name}:1") for name in names)


def group(voters: str, learners: str = "") -> Configuration:
    """Return a configuration of members that are named by one letter each."""
    return Configuration(members(voters), members(learners))


class QuorumTest(testtools.TestCase):
    """A quorum is a majority of the voters; learners and non-members don't count."""

    scenarios = [
        ("one", {"voters": "a", "granted": "a", "expected": True}),
        ("none", {"voters": "", "granted": "", "expected": False}),
        ("two of three", {"voters": "abc", "granted": "ac", "expected": True}),
        ("one of three", {"voters": "abc", "granted": "c", "expected": False}),
        ("two of four", {"voters": "abcd", "granted": "ab", "expected": False}),
        ("non-members", {"voters": "abc", "granted": "axyz", "expected": False}),
        ("learners", {"voters": "abc", "granted": "ade", "expected": False}),
    ]

    def test_quorum(self) -> None:
        configuration = group(self.voters, "de")
        self.assertEqual(self.expected, configuration.is_quorum(set(self.granted)))


class QuorumValueTest(testtools.TestCase):
    """The value of a quorum is the highest that a majority has reached, not the highest of all."""

    scenarios = [
        ("one", {"values": {"a": 5}, "expected": 5}),
        ("two", {"values": {"a": 5, "b": 3}, "expected": 3}),
        ("three", {"values": {"a": 9, "b": 4, "c": 1}, "expected": 4}),
        ("four", {"values": {"a": 9, "b": 7, "c": 4, "d": 1}, "expected": 4}),
        ("five", {"values": {"a": 9, "b": 7, "c": 4, "d": 1, "e": 0}, "expected": 4}),
    ]

    def test_value(self) -> None:
        configuration = group("".join(self.values))
        self.assertEqual(self.expected, configuration.quorum_value(self.values.__getitem__))


def change(configuration: Configuration, kind: str, name: str) -> Configuration:
    """Return the configuration after one change."""
    if kind == "learner":
        return configuration.with_learner(members(name)[0])
    if kind == "promote":
        return configuration.with_promoted(ReplicaId(name))
    return configuration.without(ReplicaId(name))


class ChangeTest(testtools.TestCase):
    """A change adds, promotes or removes exactly one member, or is refused."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("add", {"kind": "learner", "name": "d", "expected": group("ab", "cd")}),
        ("add a voter", {"kind": "learner", "name": "a", "expected": None}),
        ("add a learner again", {"kind": "learner", "name": "c", "expected": None}),
        ("promote", {"kind": "promote", "name": "c", "expected": group("abc")}),
        ("promote a voter", {"kind": "promote", "name": "a", "expected": None}),
        ("promote a non-member", {"kind": "promote", "name": "x", "expected": None}),
        ("remove a voter", {"kind": "remove", "name": "a", "expected": group("b", "c")}),
        ("remove a learner", {"kind": "remove", "name": "c", "expected": group("ab")}),
        ("remove a non-member", {"kind": "remove", "name": "x", "expected": None}),
    ]

    def test_change(self) -> None:
        if self.expected is None:
            self.assertRaises(ChangeRefusedError, change, group("ab", "c"), self.kind, self.name)
        else:
            self.assertEqual(self.expected, change(group("ab", "c"), self.kind, self.name))

    def test_last_voter(self) -> None:
        self.assertRaises(ChangeRefusedError, group("a", "b").without, ReplicaId("a"))
