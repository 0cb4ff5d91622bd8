"""Snapshots of the state machine in parts.

Encoding a large state in one go would hold up the loop for longer than the leader lease. A part
is a snapshot of the same type with a share of the items of each tuple field.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

__all__ = ["PART_ITEMS", "join", "split"]

# Encoding an object takes some 20 us, so a part takes about 5 ms.
PART_ITEMS = 250


def split(snapshot: Any, part_items: int = PART_ITEMS) -> Iterator[Any]:
    """Return the parts of a snapshot; the other fields are the same in all of them."""
    items = _tuples(snapshot)
    longest = max((len(values) for values in items.values()), default=0)
    for first in range(0, max(longest, 1), part_items):
        share = {name: values[first : first + part_items] for name, values in items.items()}
        yield dataclasses.replace(snapshot, **share)


def join(parts: Iterable[Any]) -> Any:
    """Return the snapshot that `split` took apart."""
    known = list(parts)
    items = {
        name: tuple(value for part in known for value in getattr(part, name))
        for name in _tuples(known[0])
    }
    return dataclasses.replace(known[0], **items)


def _tuples(snapshot: Any) -> dict[str, tuple[Any, ...]]:
    return {
        field.name: getattr(snapshot, field.name)
        for field in dataclasses.fields(snapshot)
        if isinstance(getattr(snapshot, field.name), tuple)
    }
