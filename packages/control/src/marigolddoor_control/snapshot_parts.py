"""Splitting of state machine snapshots into parts.

Encoding a large state at once would block the loop for longer than the leader lease. A part is a
snapshot of the same type with a slice of each tuple field.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

__all__ = ["PART_ITEMS", "join", "split"]

# Encoding an object takes about 20 us, so a part takes about 5 ms.
PART_ITEMS = 250


def split(snapshot: Any, part_items: int = PART_ITEMS) -> Iterator[Any]:
    """Yield the parts of a snapshot; each has the same values in the fields that are not tuples."""
    items = _tuples(snapshot)
    longest = max((len(values) for values in items.values()), default=0)
    for first in range(0, max(longest, 1), part_items):
        slices = {name: values[first : first + part_items] for name, values in items.items()}
        yield dataclasses.replace(snapshot, **slices)


def join(parts: Iterable[Any]) -> Any:
    """Return the snapshot that `split` divided into `parts`."""
    all_parts = list(parts)
    items = {
        name: tuple(value for part in all_parts for value in getattr(part, name))
        for name in _tuples(all_parts[0])
    }
    return dataclasses.replace(all_parts[0], **items)


def _tuples(snapshot: Any) -> dict[str, tuple[Any, ...]]:
    return {
        field.name: getattr(snapshot, field.name)
        for field in dataclasses.fields(snapshot)
        if isinstance(getattr(snapshot, field.name), tuple)
    }
