"""Checks that the fields of a command match their type annotations and can be stored.

A command arrives over the network and is applied on every replica. A field of the wrong type would
raise halfway through a change, so such a command is refused before anything changes.
"""

import dataclasses
import math
import types
import typing
from collections.abc import Callable
from enum import Enum
from typing import Any, get_args, get_origin, get_type_hints

__all__ = ["is_well_formed"]

# Thrift stores every integer in 64 bits.
INTEGER_LIMIT = 2**63

Check = Callable[[Any], bool]


def is_well_formed(value: Any) -> bool:
    """Return whether every field of the dataclass `value` matches its annotation."""
    return _check_for_dataclass(type(value))(value)


_checks: dict[type[Any], Check] = {}


def _check_for_dataclass(message_type: type[Any]) -> Check:
    check = _checks.get(message_type)
    if check is None:
        check = _build_dataclass_check(message_type)
        _checks[message_type] = check
    return check


def _build_dataclass_check(message_type: type[Any]) -> Check:
    hints = get_type_hints(message_type)
    checks = [
        (field.name, _check_for(hints[field.name])) for field in dataclasses.fields(message_type)
    ]

    def check(value: Any) -> bool:
        return type(value) is message_type and all(
            matches(getattr(value, name)) for name, matches in checks
        )

    return check


def _check_for(hint: Any) -> Check:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if hint is int:
        return _is_integer
    if hint is float:
        return _is_finite_number
    if get_origin(hint) in (types.UnionType, typing.Union):
        options = [_check_for(option) for option in get_args(hint)]
        return lambda value: any(option(value) for option in options)
    if get_origin(hint) is tuple:
        item = _check_for(get_args(hint)[0])
        return lambda value: isinstance(value, tuple) and all(item(part) for part in value)
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return _check_for_dataclass(hint)
    if hint is str:
        return _is_encodable_text
    if isinstance(hint, type) and (issubclass(hint, Enum) or hint in (bytes, bool)):
        return lambda value: isinstance(value, hint)
    if hint is type(None):
        return lambda value: value is None
    raise TypeError(f"no check for a field of type {hint}")


def _is_integer(value: Any) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and -INTEGER_LIMIT <= value < INTEGER_LIMIT
    )


def _is_finite_number(value: Any) -> bool:
    return _is_integer(value) or (isinstance(value, float) and math.isfinite(value))


def _is_encodable_text(value: Any) -> bool:
    """Return whether `value` is a string that can be stored, so without lone surrogates."""
    if type(value) is not str:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
