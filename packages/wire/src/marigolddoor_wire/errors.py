"""Errors of the connections between processes."""

from marigolddoor_core.errors import InvalidInputError, MarigolddoorError, UnavailableError

from marigolddoor_wire.messages import ErrorKind

__all__ = [
    "FrameError",
    "HandshakeError",
    "PeerRefusedError",
    "PeerTimeoutError",
    "PeerUnreachableError",
    "RemoteError",
]


class PeerUnreachableError(UnavailableError):
    """No connection to the peer; the message was not sent."""


class PeerRefusedError(PeerUnreachableError):
    """The peer's VM answers, and no process listens there."""


class PeerTimeoutError(MarigolddoorError):
    """The message was sent and no reply came; the peer may have acted on it."""


class FrameError(InvalidInputError):
    """The bytes on a connection are not frames of this protocol."""


class HandshakeError(InvalidInputError):
    """The other side does not know the shared key."""


class RemoteError(MarigolddoorError):
    """The peer answered that it could not do what was asked."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
