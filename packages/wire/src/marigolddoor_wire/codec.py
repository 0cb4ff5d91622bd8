"""Encoding of dataclasses as thrift structs.

Callers use the dataclasses; the thrift structs, generated from `packages/wire/idl`, are only their
encoding. Both have the same names and fields, so a codec is derived from the annotations of a
dataclass. It is built once for each dataclass.

Example:
  >>> from marigolddoor_core.state.commands import CancelTask
  >>> from marigolddoor_core.ids import TaskId
  >>> decode(encode(CancelTask(TaskId("settle-1"))))
  CancelTask(task='settle-1', time_s=0.0)
"""

import dataclasses
import types
import typing
from collections.abc import Callable
from enum import Enum
from typing import Any, get_args, get_origin, get_type_hints

from marigolddoor_core.errors import InvalidInputError
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from marigolddoor_wire.gen.consensus import ttypes as consensus_types
from marigolddoor_wire.gen.jobs import ttypes as job_types
from marigolddoor_wire.gen.messages import ttypes as message_types
from marigolddoor_wire.gen.state import ttypes as state_types
from marigolddoor_wire.gen.timeline import ttypes as timeline_types
from marigolddoor_wire.schema import MODULES

__all__ = [
    "DecodeError",
    "decode",
    "decode_as",
    "encode",
    "encode_body",
    "read_struct",
    "type_name",
    "write_struct",
]

# These field names are reserved words in Thrift, so the IDL uses other names.
RENAMED_FIELDS = {"service": "service_id"}

# Generated modules that are searched for the struct of a dataclass, by its name.
THRIFT_MODULES = (message_types, state_types, consensus_types, timeline_types, job_types)

Convert = Callable[[Any], Any]

# A snapshot is encoded as one string, with up to 24 MB of claims besides the objects of a region.
# Thrift's default limit of 16 MB would make a stored snapshot unreadable. The size of frames is
# limited separately.
MESSAGE_LIMIT_BYTES = 256 * 1024 * 1024

_factory = TCompactProtocolAcceleratedFactory(string_length_limit=MESSAGE_LIMIT_BYTES)


class DecodeError(InvalidInputError):
    """The bytes are not an encoding of the expected message."""


class Absence(Enum):
    """How the decoder treats an unset field."""

    NONE = "none"
    DEFAULT = "default"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldCodec:
    """Encoding of one field. The converters are None if the value needs no conversion."""

    name: str
    thrift_name: str
    to_thrift: Convert | None
    from_thrift: Convert | None
    absence: Absence


@dataclasses.dataclass(frozen=True, slots=True)
class StructCodec:
    """Encoding of one dataclass."""

    message_type: type[Any]
    thrift_type: type[Any]
    fields: tuple[FieldCodec, ...]

    def to_thrift(self, value: Any) -> Any:
        """Return the thrift struct of `value`."""
        struct = self.thrift_type()
        for field in self.fields:
            part = getattr(value, field.name)
            if part is not None and field.to_thrift is not None:
                part = field.to_thrift(part)
            setattr(struct, field.thrift_name, part)
        return struct

    def from_thrift(self, struct: Any) -> Any:
        """Return the dataclass of `struct`; an unset field gets its default."""
        parts: dict[str, Any] = {}
        for field in self.fields:
            part = getattr(struct, field.thrift_name)
            if part is None:
                if field.absence is Absence.ERROR:
                    raise DecodeError(f"{self.message_type.__name__} without {field.name}")
                if field.absence is Absence.NONE:
                    parts[field.name] = None
                continue
            parts[field.name] = part if field.from_thrift is None else field.from_thrift(part)
        return self.message_type(**parts)


def encode(message: Any) -> bytes:
    """Return `message` encoded together with the name of its type."""
    return write_struct(_tag(message))


def decode(data: bytes) -> Any:
    """Return the message that `encode` wrote.

    Raises:
      DecodeError: `data` is malformed, or its type is unknown to this version.
    """
    return _untag(read_struct(state_types.Tagged, data))


def encode_body(message: Any) -> bytes:
    """Return the encoded fields of `message`, without its type."""
    return write_struct(_codec(type(message)).to_thrift(message))


def decode_as(kind: str, body: bytes) -> Any:
    """Return the message of type `kind` with the fields in `body`.

    Raises:
      DecodeError: `body` is malformed, or there is no type of that name.
    """
    message_type = _message_types().get(kind)
    if message_type is None:
        raise DecodeError(f"unknown message type {kind!r}")
    codec = _codec(message_type)
    return codec.from_thrift(read_struct(codec.thrift_type, body))


def type_name(message: Any) -> str:
    """Return the name that identifies the type of `message` on the wire."""
    return type(message).__name__


def write_struct(struct: Any) -> bytes:
    """Return the bytes of a generated thrift struct."""
    buffer = TMemoryBuffer()
    struct.write(_factory.getProtocol(buffer))
    data: bytes = buffer.getvalue()
    return data


def read_struct(thrift_type: type[Any], data: bytes) -> Any:
    """Return the generated thrift struct in `data`.

    Raises:
      DecodeError: `data` is malformed.
    """
    struct = thrift_type()
    try:
        struct.read(_factory.getProtocol(TMemoryBuffer(data)))
    except Exception as error:  # thrift raises several unrelated types for malformed input
        raise DecodeError(f"damaged {thrift_type.__name__}: {error}") from error
    return struct


def _tag(message: Any) -> Any:
    return state_types.Tagged(kind=type_name(message), body=encode_body(message))


def _untag(tagged: Any) -> Any:
    if tagged.kind is None or tagged.body is None:
        raise DecodeError("a message without its type or its body")
    return decode_as(tagged.kind, tagged.body)


_types: dict[str, type[Any]] = {}
_codecs: dict[type[Any], StructCodec] = {}


def _message_types() -> dict[str, type[Any]]:
    if not _types:
        for module in MODULES:
            for value in vars(module).values():
                if isinstance(value, type) and dataclasses.is_dataclass(value):
                    _types[value.__name__] = value
    return _types


def _codec(message_type: type[Any]) -> StructCodec:
    codec = _codecs.get(message_type)
    if codec is None:
        codec = _build_codec(message_type)
        _codecs[message_type] = codec
    return codec


def _build_codec(message_type: type[Any]) -> StructCodec:
    name = message_type.__name__
    thrift_type = next(
        (getattr(module, name) for module in THRIFT_MODULES if hasattr(module, name)), None
    )
    if thrift_type is None:
        raise DecodeError(f"no thrift struct for {name}")
    hints = get_type_hints(message_type)
    fields = tuple(
        _field_codec(field, hints[field.name]) for field in dataclasses.fields(message_type)
    )
    return StructCodec(message_type, thrift_type, fields)


def _field_codec(field: "dataclasses.Field[Any]", hint: Any) -> FieldCodec:
    to_thrift, from_thrift = _converters(hint)
    return FieldCodec(
        field.name,
        RENAMED_FIELDS.get(field.name, field.name),
        to_thrift,
        from_thrift,
        _absence(field, hint),
    )


def _absence(field: "dataclasses.Field[Any]", hint: Any) -> Absence:
    if type(None) in get_args(hint):
        return Absence.NONE
    if field.default is not dataclasses.MISSING:
        return Absence.DEFAULT
    return Absence.ERROR


def _converters(hint: Any) -> tuple[Convert | None, Convert | None]:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    if hint in (int, float, str, bytes, bool):
        return None, None
    if isinstance(hint, type) and issubclass(hint, Enum):
        return (lambda member: member.value), _enum_decoder(hint)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return (lambda part: _codec(hint).to_thrift(part)), (
            lambda struct: _codec(hint).from_thrift(struct)
        )
    if get_origin(hint) in (types.UnionType, typing.Union):
        choices = [choice for choice in get_args(hint) if choice is not type(None)]
        if len(choices) == 1:
            return _converters(choices[0])
        return _tag, _untag
    if get_origin(hint) is tuple:
        return _sequence_converters(get_args(hint)[0])
    raise TypeError(f"no encoding for a field of type {hint}")


def _sequence_converters(item: Any) -> tuple[Convert, Convert]:
    to_thrift, from_thrift = _converters(item)
    if to_thrift is None or from_thrift is None:
        return list, tuple
    return (
        lambda parts: [to_thrift(part) for part in parts],
        lambda parts: tuple(from_thrift(part) for part in parts),
    )


def _enum_decoder(enum_type: type[Enum]) -> Convert:
    def decode_member(value: Any) -> Enum:
        try:
            return enum_type(value)
        except ValueError as error:
            raise DecodeError(str(error)) from error

    return decode_member
