"""Guards against changes that are missed or come in a different order in each run."""

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

    def test_changed_keys_in_order(self) -> None:
        tracker: Tracker[str, object] = Tracker()
        list(tracker.changes({"a": A, "b": B}, None))
        keys = None if self.keys is None else frozenset(self.keys)
        changes = list(tracker.changes(self.after, keys))
        self.assertEqual(self.changed, [change.key for change in changes])
        self.assertEqual([], list(tracker.changes(self.after, None)))
