"""Guards against entry processes that keep using a failed leader or miss a partition."""

import testtools
from marigolddoor_core.routing.leader_search import LeaderSearch

A, B, C = "10.0.0.1:7060", "10.0.0.2:7060", "10.0.0.3:7060"


def search() -> LeaderSearch:
    leader_search = LeaderSearch([A, B], 9.0)
    leader_search.record_answer(A, [A, B, C], 10.0)
    return leader_search


class RedirectTest(testtools.TestCase):
    """Guards against accepting a leader again right after it failed to answer at 11 s."""

    scenarios = [
        ("failed leader named before an election", (A, 11.2, None)),
        ("same leader named later", (A, 11.6, A)),
        ("other leader named", (C, 11.2, C)),
        ("no leader named", ("", 11.2, None)),
        ("follower names itself", (B, 11.2, None)),
    ]
    scenarios = [
        (name, {"named": named, "at": at, "expected": expected})
        for name, (named, at, expected) in scenarios
    ]

    def test_redirect(self) -> None:
        leader_search = search()
        self.assertTrue(leader_search.record_no_answer(A, 11.0))
        leader_search.record_redirect(B, self.named, [A, B, C], self.at)
        self.assertEqual(self.expected, leader_search.leader)


class PartitionTest(testtools.TestCase):
    """Guards against a partition that is missed, or mistaken for an election."""

    scenarios = [
        ("none responds", {"responsive": 0, "unresponsive": 3, "at": 10.5, "expected": True}),
        ("all in an election", {"responsive": 3, "unresponsive": 0, "at": 12.0, "expected": False}),
        (
            "one failed, others elect",
            {"responsive": 2, "unresponsive": 1, "at": 11.4, "expected": False},
        ),
        ("minority for long", {"responsive": 1, "unresponsive": 2, "at": 11.6, "expected": True}),
    ]

    def test_search(self) -> None:
        leader_search = search()
        leader_search.record_no_answer(A, 10.4)
        leader_search.record_failed_search(self.responsive, self.unresponsive, self.at)
        self.assertEqual(self.expected, leader_search.is_partitioned)
        self.assertEqual(not self.expected and self.at < 12.5, leader_search.is_connected(self.at))

    def test_answer(self) -> None:
        """Only an answer of a leader ends a partition, not a redirect of a follower."""
        leader_search = search()
        leader_search.record_failed_search(0, 3, 12.0)
        leader_search.record_redirect(B, "", [A, B, C], 12.1)
        self.assertTrue(leader_search.is_partitioned)
        leader_search.record_answer(B, [A, B, C], 12.2)
        self.assertFalse(leader_search.is_partitioned)

    def test_start(self) -> None:
        """A process that has just started waits for control processes that start more slowly."""
        leader_search = LeaderSearch([A, B], 9.0)
        leader_search.record_failed_search(1, 1, 10.0)
        self.assertFalse(leader_search.is_partitioned)


class ConnectedTest(testtools.TestCase):
    """Guards against an entry process that stays connected without answers of a leader."""

    scenarios = [
        ("recent answer", {"at": 12.4, "expected": True}),
        ("outdated answer", {"at": 12.6, "expected": False}),
    ]

    def test_connected(self) -> None:
        self.assertEqual(self.expected, search().is_connected(self.at))

    def test_members(self) -> None:
        """The configured addresses stay known when all members were replaced."""
        leader_search = search()
        leader_search.update_members(["10.0.0.9:7060"])
        self.assertEqual(["10.0.0.9:7060", A, B], leader_search.known)
