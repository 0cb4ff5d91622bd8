"""The sections and keys of template and organisation files.

`structure` and `policy` check ranges and references on the whole declaration.
"""

import math
from dataclasses import dataclass
from enum import Enum

__all__ = ["SECTIONS", "SINGLE_SECTIONS", "Key", "ValueType", "has_type"]

# Integers are stored in 64 bits.
INTEGER_LIMIT = 2**63


class ValueType(Enum):
    """The type of a value. The member value is the type's name in a template."""

    INTEGER = "integer"
    NUMBER = "number"
    TEXT = "text"
    FLAG = "flag"


@dataclass(frozen=True, slots=True)
class Key:
    """A key of a section. A `required` key has no default and must be present."""

    name: str
    type: ValueType
    required: bool = False


def has_type(value: object, value_type: ValueType) -> bool:
    """Return whether `value`, as parsed from TOML, is of `value_type`."""
    if isinstance(value, bool):
        return value_type is ValueType.FLAG
    if isinstance(value, int):
        return value_type in (ValueType.INTEGER, ValueType.NUMBER) and abs(value) < INTEGER_LIMIT
    if isinstance(value, float):
        return value_type is ValueType.NUMBER and math.isfinite(value)
    return isinstance(value, str) and value_type is ValueType.TEXT


INTEGER = ValueType.INTEGER
NUMBER = ValueType.NUMBER
TEXT = ValueType.TEXT
FLAG = ValueType.FLAG

# Sections that contain one table per named part.
SECTIONS: dict[str, tuple[Key, ...]] = {
    "services": (
        Key("pool", TEXT, required=True),
        Key("idempotent", FLAG, required=True),
        Key("floor_slots", INTEGER, required=True),
        Key("rank", INTEGER),
        Key("default_deadline_s", NUMBER),
        Key("retry_window_s", NUMBER),
    ),
    "pools": (
        Key("size", INTEGER, required=True),
        Key("floor", INTEGER, required=True),
        Key("max_unavailable", INTEGER, required=True),
        Key("spare", FLAG),
        Key("maintenance_interval_s", NUMBER),
    ),
    "teams": (
        Key("slots", INTEGER, required=True),
        Key("cores", NUMBER, required=True),
    ),
    "jobs": (
        Key("pool", TEXT, required=True),
        Key("team", TEXT, required=True),
        Key("tasks", INTEGER, required=True),
        Key("cores", NUMBER, required=True),
        Key("memory_mb", INTEGER, required=True),
        Key("accelerators", INTEGER),
        Key("urgent", FLAG),
        Key("run_s", NUMBER),
        Key("version", TEXT),
        Key("command", TEXT),
    ),
}

# Sections that consist of a single table.
SINGLE_SECTIONS: dict[str, tuple[Key, ...]] = {
    "weights": (
        Key("buffer", NUMBER),
        Key("flood", NUMBER),
        Key("rollout", NUMBER),
        Key("moves", NUMBER),
    ),
    "workers": (
        Key("slots", INTEGER),
        Key("cores", NUMBER),
        Key("memory_mb", INTEGER),
        Key("accelerators", INTEGER),
    ),
}
