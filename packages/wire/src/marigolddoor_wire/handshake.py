"""Mutual proof of the shared key when a connection opens.

Each side sends a random challenge and answers the other's with an HMAC. The two answers use
different labels, so that one side's answer can't be sent back to it as its own.
"""

import hmac
import secrets

from anyio.abc import ByteStream

from marigolddoor_wire.errors import HandshakeError
from marigolddoor_wire.frames import FrameReader

__all__ = ["SharedKey", "accept", "initiate"]

CHALLENGE_BYTES = 32
PROOF_BYTES = 32
HANDSHAKE_TIMEOUT_S = 5.0


class SharedKey:
    """The key that all processes of one system share. It never shows in logs or errors."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def __repr__(self) -> str:
        """Return a text without the key."""
        return "SharedKey(...)"

    def proof(self, label: bytes, first: bytes, second: bytes) -> bytes:
        """Return the HMAC of both challenges under `label`."""
        return hmac.digest(self._secret, label + first + second, "sha256")

    def check(self, proof: bytes, label: bytes, first: bytes, second: bytes) -> None:
        """Compare `proof` in constant time.

        Raises:
          HandshakeError: the other side used another key.
        """
        if not hmac.compare_digest(proof, self.proof(label, first, second)):
            raise HandshakeError("the peer does not know the shared key")


async def initiate(stream: ByteStream, reader: FrameReader, key: SharedKey) -> None:
    """Prove the key as the side that opened the connection.

    Raises:
      HandshakeError: the other side does not know the key.
    """
    theirs = await reader.read_exactly(CHALLENGE_BYTES)
    ours = secrets.token_bytes(CHALLENGE_BYTES)
    await stream.send(ours + key.proof(b"initiator", theirs, ours))
    key.check(await reader.read_exactly(PROOF_BYTES), b"acceptor", ours, theirs)


async def accept(stream: ByteStream, reader: FrameReader, key: SharedKey) -> None:
    """Prove the key as the side that accepted the connection.

    Raises:
      HandshakeError: the other side does not know the key.
    """
    ours = secrets.token_bytes(CHALLENGE_BYTES)
    await stream.send(ours)
    theirs = await reader.read_exactly(CHALLENGE_BYTES)
    key.check(await reader.read_exactly(PROOF_BYTES), b"initiator", ours, theirs)
    await stream.send(key.proof(b"acceptor", theirs, ours))
