"""Errors of connections between processes."""

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
    """There is no connection to the peer; the message was not sent."""


class PeerRefusedError(PeerUnreachableError):
    """The peer's host refused the connection: no process listens on the address."""


class PeerTimeoutError(MarigolddoorError):
    """The message was sent but no reply arrived; the peer may have processed it."""


class FrameError(InvalidInputError):
    """The bytes received are not a valid frame of this protocol."""


class HandshakeError(InvalidInputError):
    """The peer did not prove that it has the shared key."""


class RemoteError(MarigolddoorError):
    """The peer replied that the request failed."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
