"""Parses JSON that other writers send, with one outcome for a document on every stack."""

import json
from typing import Any, NoReturn

from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.input_limits import MAX_NESTING, shorten

__all__ = ["InvalidJsonError", "read_json"]


class InvalidJsonError(InvalidInputError):
    """The bytes are not JSON, or are nested too deeply."""


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not JSON")


_decoder = json.JSONDecoder(parse_constant=_refuse_constant)


def read_json(document: bytes) -> Any:
    """Return the value that a UTF-8 document encodes.

    Numbers and texts still have to be checked: JSON can express a number beyond any limit and a
    text that can't be encoded.

    Raises:
      InvalidJsonError: it is not JSON, or has more than `MAX_NESTING` levels.

    Example:
      >>> read_json(b'{"a": [1]}')
      {'a': [1]}
    """
    try:
        value = _decoder.decode(document.decode())
    except (ValueError, RecursionError) as error:
        raise InvalidJsonError(f"not JSON: {shorten(str(error))}") from error
    # Without as many brackets there can't be as many levels, so most documents are not traversed.
    if document.count(b"[") + document.count(b"{") > MAX_NESTING and _is_too_deep(value):
        raise InvalidJsonError(f"more than {MAX_NESTING} levels of arrays and objects")
    return value


def _is_too_deep(value: Any) -> bool:
    level = [value] if isinstance(value, list | dict) else []
    for _ in range(MAX_NESTING):
        level = [
            part
            for parent in level
            for part in (parent.values() if isinstance(parent, dict) else parent)
            if isinstance(part, list | dict)
        ]
        if not level:
            return False
    return bool(level)
