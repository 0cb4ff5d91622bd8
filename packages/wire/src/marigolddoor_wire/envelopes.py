"""Envelopes: the content of one frame, with the message and its correlation id."""

from typing import Any, NamedTuple

from marigolddoor_wire.codec import decode_as, encode_body, read_struct, type_name, write_struct
from marigolddoor_wire.errors import FrameError
from marigolddoor_wire.gen.messages import ttypes

__all__ = ["ONE_WAY", "Envelope", "decode_envelope", "encode_envelope"]

# The correlation id of a message that expects no reply.
ONE_WAY = 0


class Envelope(NamedTuple):
    """A message with an encoded body, so that a malformed body fails one call, not the link."""

    correlation: int
    reply: bool
    kind: str
    body: bytes

    def message(self) -> Any:
        """Return the message.

        Raises:
          DecodeError: the type is unknown or the body is malformed.
        """
        return decode_as(self.kind, self.body)


def encode_envelope(message: Any, correlation: int, reply: bool) -> bytes:
    """Return the frame body that carries `message`."""
    return write_struct(
        ttypes.Envelope(
            correlation=correlation, reply=reply, kind=type_name(message), body=encode_body(message)
        )
    )


def decode_envelope(body: bytes) -> Envelope:
    """Return the envelope in a frame body.

    Raises:
      FrameError: the frame body is not an envelope.
    """
    struct = read_struct(ttypes.Envelope, body)
    if struct.correlation is None or struct.kind is None or struct.body is None:
        raise FrameError("a frame without correlation, kind or body")
    return Envelope(struct.correlation, bool(struct.reply), struct.kind, struct.body)
