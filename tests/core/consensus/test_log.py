"""Guards against a log that loses a configuration or returns the wrong entry."""

import testtools
from marigolddoor_core.consensus import Configuration, Entry, SnapshotMeta
from marigolddoor_core.consensus.log import ENTRY_OVERHEAD_BYTES, Log
from marigolddoor_core.ids import LogIndex, Term

from tests.core.consensus.test_configuration import group


def new_log() -> Log:
    """Return a log with entries 4 to 9 in terms 1, 1, 2, 2, 3, 3; 5 and 8 are configurations."""
    configured = {5: group("ab"), 8: group("abc")}
    entries = [
        Entry(LogIndex(i), Term(term), b"x" * 6, configured.get(i))
        for i, term in zip(range(4, 10), (1, 1, 2, 2, 3, 3), strict=True)
    ]
    return Log(LogIndex(3), Term(1), group("a"), LogIndex(3), entries)


class TermTest(testtools.TestCase):
    """The term is known for the indexes from the base to the last entry only."""

    scenarios = [
        ("before the base", {"index": 2, "expected": None}),
        ("base", {"index": 3, "expected": 1}),
        ("first", {"index": 4, "expected": 1}),
        ("last", {"index": 9, "expected": 3}),
        ("after the end", {"index": 10, "expected": None}),
    ]

    def test_term(self) -> None:
        self.assertEqual(self.expected, new_log().term_at(LogIndex(self.index)))


class ConfigurationTest(testtools.TestCase):
    """Appending, truncating and compacting entries keep the configuration up to date."""

    scenarios = [
        ("whole", {"truncate": None, "compact": None, "expected": group("abc"), "at": 8}),
        ("second truncated", {"truncate": 8, "compact": None, "expected": group("ab"), "at": 5}),
        ("both truncated", {"truncate": 4, "compact": None, "expected": group("a"), "at": 3}),
        ("compacted", {"truncate": None, "compact": 9, "expected": group("abc"), "at": 8}),
        ("compacted, truncated", {"truncate": 8, "compact": 6, "expected": group("ab"), "at": 5}),
    ]

    def test_configuration(self) -> None:
        log = new_log()
        if self.compact is not None:
            log.compact(LogIndex(self.compact))
        if self.truncate is not None:
            log.truncate(LogIndex(self.truncate))
        self.assertEqual((self.expected, self.at), (log.configuration, log.configured_at))

    def test_at_index(self) -> None:
        found = [new_log().configuration_at(LogIndex(index)) for index in (4, 5, 7, 8, 9)]
        self.assertEqual([group(v) for v in ("a", "ab", "ab", "abc", "abc")], found)


class SliceTest(testtools.TestCase):
    """A message gets at least one entry, and no more than its size limit allows."""

    scenarios = [
        ("one too large", {"first": 4, "size": 1, "expected": [4]}),
        ("two", {"first": 5, "size": 2 * (6 + ENTRY_OVERHEAD_BYTES), "expected": [5, 6]}),
        ("all", {"first": 7, "size": 10_000, "expected": [7, 8, 9]}),
        ("none", {"first": 10, "size": 10_000, "expected": []}),
    ]

    def test_slice(self) -> None:
        entries = new_log().slice(LogIndex(self.first), self.size)
        self.assertEqual(self.expected, [entry.index for entry in entries])


class IndexBeforeTest(testtools.TestCase):
    """Compaction keeps the entries before the snapshot that fit into the limit."""

    scenarios = [
        ("nothing", {"size": 0, "expected": 8}),
        ("two", {"size": 2 * (6 + ENTRY_OVERHEAD_BYTES), "expected": 6}),
        ("all", {"size": 10_000, "expected": 3}),
    ]

    def test_index(self) -> None:
        self.assertEqual(self.expected, new_log().index_before(LogIndex(8), self.size))


class ResetTest(testtools.TestCase):
    """A received snapshot replaces the log."""

    def test_reset(self) -> None:
        log = new_log()
        log.reset(SnapshotMeta(LogIndex(20), Term(5), Configuration(), 0, 0))
        self.assertEqual(
            (20, 5, Configuration()), (log.last_index, log.last_term, log.configuration)
        )
