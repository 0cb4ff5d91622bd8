"""Envelopes: what one frame holds between processes."""

from typing import Any, NamedTuple

from marigolddoor_wire.codec import decode_as, encode_body, kind_of, read_struct, write_struct
from marigolddoor_wire.errors import FrameError
from marigolddoor_wire.gen.messages import ttypes

__all__ = ["ONE_WAY", "Envelope", "open_envelope", "seal"]

# The correlation of a message that expects no reply.
ONE_WAY = 0


class Envelope(NamedTuple):
    """A message whose body is still encoded, so that a damaged body costs one reply only."""

    correlation: int
    reply: bool
    kind: str
    body: bytes

    def message(self) -> Any:
        """Return the message.

        Raises:
          DecodeError: the type is unknown or the body is damaged.
        """
        return decode_as(self.kind, self.body)


def seal(message: Any, correlation: int, reply: bool) -> bytes:
    """Return the body of the frame for `message`."""
    return write_struct(
        ttypes.Envelope(
            correlation=correlation, reply=reply, kind=kind_of(message), body=encode_body(message)
        )
    )


def open_envelope(body: bytes) -> Envelope:
    """Return the envelope in a frame.

    Raises:
      FrameError: the frame does not hold an envelope.
    """
    struct = read_struct(ttypes.Envelope, body)
    if struct.correlation is None or struct.kind is None or struct.body is None:
        raise FrameError("a frame without correlation, kind or body")
    return Envelope(struct.correlation, bool(struct.reply), struct.kind, struct.body)
