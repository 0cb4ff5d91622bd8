"""Finds the changes of a mapping between two calls, at a cost that grows with the changes."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Changed", "Tracker", "is_same"]

Key = TypeVar("Key")
Value = TypeVar("Value")


def is_same(old: object, new: object) -> bool:
    """Return whether both are the same object. Records are frozen, so identity means no change."""
    return old is new


@dataclass(frozen=True, slots=True)
class Changed(Generic[Key, Value]):
    """A key whose value changed; `old` or `new` is None if it was added or removed."""

    key: Key
    old: Value | None
    new: Value | None


class Tracker(Generic[Key, Value]):
    """Stores the last values of a mapping and yields those that changed since."""

    def __init__(self, same: Callable[[Value, Value], bool] = is_same) -> None:
        self.seen: dict[Key, Value] = {}
        self.same = same

    def changes(
        self, current: Mapping[Key, Value], keys: frozenset[Key] | None
    ) -> Iterator[Changed[Key, Value]]:
        """Yield the changes among `keys`, or among all keys if `keys` is None.

        The order does not depend on the hashes of the keys, so that runs are reproducible.
        """
        if keys is not None:
            candidates = sorted(keys, key=str)
        else:
            candidates = [key for key, value in current.items() if self.seen.get(key) is not value]
            if len(self.seen) + len(candidates) > len(current):
                candidates.extend(key for key in self.seen if key not in current)
        for key in candidates:
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
