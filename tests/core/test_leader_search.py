"""Guards against entry processes that stay with a leader that is gone or believe in it again."""

import testtools
from marigolddoor_core.routing.leader_search import LeaderSearch

A, B, C = "10.0.0.1:7060", "10.0.0.2:7060", "10.0.0.3:7060"


def search() -> LeaderSearch:
    found = LeaderSearch([A, B], 9.0)
    found.answered(A, [A, B, C], 10.0)
    return found


class RedirectTest(testtools.TestCase):
    """Whom an entry process takes for the leader after it lost one at 11 s."""

    scenarios = [
        ("named at once, as followers do before their election", (A, 11.2, None)),
        ("named again later", (A, 11.6, A)),
        ("another one", (C, 11.2, C)),
        ("none", ("", 11.2, None)),
        ("itself, though it does not lead", (B, 11.2, None)),
    ]
    scenarios = [
        (name, {"named": named, "at": at, "expected": expected})
        for name, (named, at, expected) in scenarios
    ]

    def test_redirect(self) -> None:
        found = search()
        self.assertTrue(found.lost(A, 11.0))
        found.redirected(B, self.named, [A, B, C], self.at)
        self.assertEqual(self.expected, found.leader)


class CutOffTest(testtools.TestCase):
    """What a search without a leader shows; the last answer was at 10 s."""

    scenarios = [
        ("no one reacts", {"reacting": 0, "silent": 3, "at": 10.5, "expected": True}),
        ("all are in an election", {"reacting": 3, "silent": 0, "at": 12.0, "expected": False}),
        ("one is lost, others elect", {"reacting": 2, "silent": 1, "at": 11.4, "expected": False}),
        ("a minority for long", {"reacting": 1, "silent": 2, "at": 11.6, "expected": True}),
    ]

    def test_search(self) -> None:
        found = search()
        found.lost(A, 10.4)
        found.searched(self.reacting, self.silent, self.at)
        self.assertEqual(self.expected, found.is_cut_off)
        self.assertEqual(not self.expected and self.at < 12.5, found.is_connected(self.at))

    def test_answer(self) -> None:
        """An answer of a leader ends it; the word of a follower does not."""
        found = search()
        found.searched(0, 3, 12.0)
        found.redirected(B, "", [A, B, C], 12.1)
        self.assertTrue(found.is_cut_off)
        found.answered(B, [A, B, C], 12.2)
        self.assertFalse(found.is_cut_off)

    def test_start(self) -> None:
        """A process that has just started is not cut off by others that start more slowly."""
        found = LeaderSearch([A, B], 9.0)
        found.searched(1, 1, 10.0)
        self.assertFalse(found.is_cut_off)


class ConnectedTest(testtools.TestCase):
    """When an entry process counts as connected."""

    scenarios = [
        ("after an answer", {"at": 12.4, "expected": True}),
        ("without one for long", {"at": 12.6, "expected": False}),
    ]

    def test_connected(self) -> None:
        self.assertEqual(self.expected, search().is_connected(self.at))

    def test_members(self) -> None:
        """The addresses of the settings stay known when all members were replaced."""
        found = search()
        found.learn(["10.0.0.9:7060"])
        self.assertEqual(["10.0.0.9:7060", A, B], found.known)
