"""Converts dataclasses to and from the mappings, lists and scalars of JSON and TOML.

Example:
  >>> from marigolddoor_core.targets import Resources
  >>> to_plain(Resources(2.0, 512))
  {'cores': 2.0, 'memory_mb': 512, 'accelerators': 0}
  >>> from_plain(Resources, {"cores": 2, "memory_mb": 512})
  Resources(cores=2.0, memory_mb=512, accelerators=0)
"""

import dataclasses
import types
import typing
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

from marigolddoor_core.errors import InvalidInputError

__all__ = ["PlainValueError", "from_plain", "to_plain"]

T = TypeVar("T")

_NAMES = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
_MISSING = object()


class PlainValueError(InvalidInputError):
    """The value does not match the expected type. `problems` has one text for each field."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


def to_plain(value: Any) -> Any:
    """Return `value` with dataclasses as mappings, enum members as values, tuples as lists."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: to_plain(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, Mapping):
        return {str(to_plain(key)): to_plain(part) for key, part in value.items()}
    if isinstance(value, tuple | list):
        return [to_plain(part) for part in value]
    if isinstance(value, set | frozenset):
        return sorted(to_plain(part) for part in value)
    return value


def from_plain(expected: type[T], value: object, *, strict: bool = True) -> T:
    """Convert `value` to the dataclass `expected`.

    Args:
      expected: the dataclass.
      value: a mapping with a key for each field; fields with a default may be absent.
      strict: reject unknown fields. Replies are read without it, so that newer versions may add
          fields.

    Raises:
      PlainValueError: fields are missing, unknown or of another type; it lists all of them.
    """
    reader = _Reader(strict)
    result = reader.read(expected, value, "")
    if reader.problems:
        raise PlainValueError(tuple(reader.problems))
    return typing.cast(T, result)


class _Reader:
    """Collects the problems of one value."""

    def __init__(self, strict: bool) -> None:
        self.strict = strict
        self.problems: list[str] = []

    def read(self, hint: Any, value: Any, path: str) -> Any:
        while hasattr(hint, "__supertype__"):
            hint = hint.__supertype__
        if get_origin(hint) in (types.UnionType, typing.Union):
            return self._read_optional(hint, value, path)
        if get_origin(hint) is tuple:
            return self._read_list(get_args(hint)[0], value, path)
        if hint is Any or hint is object:
            return value
        origin = get_origin(hint)
        if isinstance(origin, type) and issubclass(origin, Mapping):
            return value if isinstance(value, Mapping) else self._wrong(path, "a table", value)
        if isinstance(hint, type) and issubclass(hint, Enum):
            return self._read_member(hint, value, path)
        if dataclasses.is_dataclass(hint):
            return self._read_fields(hint, value, path)
        return self._read_scalar(hint, value, path)

    def _read_optional(self, hint: Any, value: Any, path: str) -> Any:
        choices = [choice for choice in get_args(hint) if choice is not type(None)]
        if len(choices) != 1:
            raise TypeError(f"no plain form for {hint}")
        return None if value is None else self.read(choices[0], value, path)

    def _read_list(self, item: Any, value: Any, path: str) -> Any:
        if not isinstance(value, list | tuple):
            return self._wrong(path, "a list", value)
        return tuple(self.read(item, part, f"{path}[{i}]") for i, part in enumerate(value))

    def _read_member(self, hint: type[Enum], value: Any, path: str) -> Any:
        for member in hint:
            if member.value == value:
                return member
        allowed = ", ".join(repr(member.value) for member in hint)
        return self._wrong(path, f"one of {allowed}", value)

    def _read_fields(self, hint: Any, value: Any, path: str) -> Any:
        if not isinstance(value, Mapping):
            return self._wrong(path, "a table", value)
        hints = get_type_hints(hint)
        prefix = f"{path}." if path else ""
        before = len(self.problems)
        parts: dict[str, Any] = {}
        for field in dataclasses.fields(hint):
            part = value.get(field.name, _MISSING)
            if part is not _MISSING:
                parts[field.name] = self.read(hints[field.name], part, prefix + field.name)
            elif (
                field.default is dataclasses.MISSING
                and field.default_factory is dataclasses.MISSING
            ):
                self.problems.append(f"{prefix}{field.name} is missing")
        if self.strict:
            known = {field.name for field in dataclasses.fields(hint)}
            for name in value.keys() - known:
                self.problems.append(f"{prefix}{name} is not known")
        return hint(**parts) if len(self.problems) == before else None

    def _read_scalar(self, hint: Any, value: Any, path: str) -> Any:
        if hint is float and isinstance(value, int) and not isinstance(value, bool):
            return float(value)
        if isinstance(value, hint) and (hint is bool or not isinstance(value, bool)):
            return value
        return self._wrong(path, _NAMES.get(hint, str(hint)), value)

    def _wrong(self, path: str, expected: str, value: Any) -> None:
        text = repr(value)
        shown = text if len(text) <= 60 else text[:57] + "..."
        self.problems.append(f"{path or 'the value'} is {shown}; expected {expected}")
