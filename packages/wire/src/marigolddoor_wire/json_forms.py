"""JSON forms of the dataclasses that targets and operators see.

A dataclass becomes an object with its field names, an `Enum` member its value, a tuple a list.
"""

import dataclasses
import types
import typing
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

from marigolddoor_core.errors import InvalidInputError

__all__ = ["JsonFormError", "from_json", "to_json"]

T = TypeVar("T")


class JsonFormError(InvalidInputError):
    """The JSON is not a form of the expected dataclass; the message names the field."""


def to_json(value: Any) -> Any:
    """Return `value` in types that `json.dumps` accepts; bytes become hexadecimal text."""
    if dataclasses.is_dataclass(value):
        return {
            field.name: to_json(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Mapping):
        return {str(key): to_json(part) for key, part in value.items()}
    if isinstance(value, (tuple, list, frozenset)):
        return [to_json(part) for part in value]
    return value


def from_json(message_type: type[T], form: Any, path: str = "") -> T:
    """Return the dataclass in `form`. Unknown fields are ignored, so that versions can mix.

    Raises:
      JsonFormError: a field is missing or has the wrong type.
    """
    if not isinstance(form, Mapping):
        raise JsonFormError(f"{path or 'the body'} must be an object")
    parts: dict[str, Any] = {}
    for field, hint in _fields(message_type):
        name = f"{path}.{field.name}" if path else field.name
        if field.name in form:
            parts[field.name] = _value(hint, form[field.name], name)
        elif field.default is dataclasses.MISSING:
            raise JsonFormError(f"{name} is missing")
    return message_type(**parts)


_known_fields: dict[Any, tuple[tuple["dataclasses.Field[Any]", Any], ...]] = {}


def _fields(message_type: Any) -> tuple[tuple["dataclasses.Field[Any]", Any], ...]:
    # Resolving annotations takes far longer than reading a form.
    fields = _known_fields.get(message_type)
    if fields is None:
        hints = get_type_hints(message_type)
        fields = tuple((part, hints[part.name]) for part in dataclasses.fields(message_type))
        _known_fields[message_type] = fields
    return fields


def _value(hint: Any, form: Any, path: str) -> Any:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if get_origin(hint) in (types.UnionType, typing.Union):
        if form is None:
            return None
        hint = next(choice for choice in get_args(hint) if choice is not type(None))
        return _value(hint, form, path)
    if get_origin(hint) is tuple:
        if not isinstance(form, list):
            raise JsonFormError(f"{path} must be a list")
        item = get_args(hint)[0]
        return tuple(_value(item, part, f"{path}[{i}]") for i, part in enumerate(form))
    if dataclasses.is_dataclass(hint):
        return from_json(typing.cast(type[Any], hint), form, path)
    if issubclass(hint, Enum):
        return _member(hint, form, path)
    return _scalar(hint, form, path)


def _member(enum_type: type[Enum], form: Any, path: str) -> Enum:
    try:
        return enum_type(form)
    except ValueError as error:
        allowed = ", ".join(str(member.value) for member in enum_type)
        raise JsonFormError(f"{path} must be one of {allowed}") from error


def _scalar(hint: type[Any], form: Any, path: str) -> Any:
    if hint is float and isinstance(form, int) and not isinstance(form, bool):
        return float(form)
    if not isinstance(form, hint) or (hint is int and isinstance(form, bool)):
        raise JsonFormError(f"{path} must be of type {hint.__name__}")
    return form
