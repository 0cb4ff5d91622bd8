"""Finds what changed between two calls of a decision, at a cost that grows with the changes."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Changed", "Tracker", "is_same"]

Key = TypeVar("Key")
Value = TypeVar("Value")


def is_same(old: object, new: object) -> bool:
    """Return whether both are the same object; records are frozen, so then nothing changed."""
    return old is new


@dataclass(frozen=True, slots=True)
class Changed(Generic[Key, Value]):
    """A key whose value changed; `old` or `new` is None if it was added or removed."""

    key: Key
    old: Value | None
    new: Value | None


class Tracker(Generic[Key, Value]):
    """Remembers the values of a mapping and yields those that differ at the next look."""

    def __init__(self, same: Callable[[Value, Value], bool] = is_same) -> None:
        self.seen: dict[Key, Value] = {}
        self.same = same

    def changes(
        self, current: Mapping[Key, Value], keys: frozenset[Key] | None
    ) -> Iterator[Changed[Key, Value]]:
        """Yield the changes among `keys`, or among all keys if `keys` is None.

        The order does not depend on the hashes of the keys, so that a run can be repeated.
        """
        if keys is not None:
            looked_at = sorted(keys, key=str)
        else:
            looked_at = [key for key, value in current.items() if self.seen.get(key) is not value]
            if len(self.seen) + len(looked_at) > len(current):
                looked_at.extend(key for key in self.seen if key not in current)
        for key in looked_at:
            old = self.seen.get(key)
            new = current.get(key)
            if new is None:
                if old is None:
                    continue
                del self.seen[key]
            else:
                self.seen[key] = new
                if old is not None and self.same(old, new):
                    continue
            yield Changed(key, old, new)
