"""Guards against changes that a decision misses or sees in an order that differs between runs."""

import testtools
from marigolddoor_core.changes import Tracker

A, B, C = object(), object(), object()


class TestTracker(testtools.TestCase):
    scenarios = [
        ("nothing", {"after": {"a": A, "b": B}, "keys": None, "changed": []}),
        ("added", {"after": {"a": A, "b": B, "c": C}, "keys": None, "changed": ["c"]}),
        ("removed", {"after": {"b": B}, "keys": None, "changed": ["a"]}),
        ("swapped", {"after": {"c": C, "b": B}, "keys": None, "changed": ["c", "a"]}),
        ("replaced", {"after": {"a": C, "b": A}, "keys": None, "changed": ["a", "b"]}),
        ("by delta", {"after": {"c": C, "b": A}, "keys": "cba", "changed": ["a", "b", "c"]}),
    ]

    def test_changes(self) -> None:
        tracker: Tracker[str, object] = Tracker()
        list(tracker.changes({"a": A, "b": B}, None))
        keys = None if self.keys is None else frozenset(self.keys)
        changes = list(tracker.changes(self.after, keys))
        self.assertEqual(self.changed, [change.key for change in changes])
        self.assertEqual([], list(tracker.changes(self.after, None)))
