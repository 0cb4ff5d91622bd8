"""Mutual authentication with the shared key when a connection opens.

Each side sends a random challenge and answers the peer's challenge with an HMAC. The two HMACs use
different labels, which prevents a reflection attack.
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
    """The key shared by all processes of one system. It never appears in logs or errors."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def __repr__(self) -> str:
        """Return a text without the key."""
        return "SharedKey(...)"

    def proof(self, label: bytes, first: bytes, second: bytes) -> bytes:
        """Return the HMAC of `label` and both challenges."""
        return hmac.digest(self._secret, label + first + second, "sha256")

    def check(self, proof: bytes, label: bytes, first: bytes, second: bytes) -> None:
        """Verify `proof` in constant time.

        Raises:
          HandshakeError: the peer used another key.
        """
        if not hmac.compare_digest(proof, self.proof(label, first, second)):
            raise HandshakeError("the peer does not know the shared key")


async def initiate(stream: ByteStream, reader: FrameReader, key: SharedKey) -> None:
    """Authenticate as the side that opened the connection.

    Raises:
      HandshakeError: the peer does not have the key.
    """
    peer_challenge = await reader.read_exactly(CHALLENGE_BYTES)
    own_challenge = secrets.token_bytes(CHALLENGE_BYTES)
    await stream.send(own_challenge + key.proof(b"initiator", peer_challenge, own_challenge))
    key.check(await reader.read_exactly(PROOF_BYTES), b"acceptor", own_challenge, peer_challenge)


async def accept(stream: ByteStream, reader: FrameReader, key: SharedKey) -> None:
    """Authenticate as the side that accepted the connection.

    Raises:
      HandshakeError: the peer does not have the key.
    """
    own_challenge = secrets.token_bytes(CHALLENGE_BYTES)
    await stream.send(own_challenge)
    peer_challenge = await reader.read_exactly(CHALLENGE_BYTES)
    key.check(await reader.read_exactly(PROOF_BYTES), b"initiator", own_challenge, peer_challenge)
    await stream.send(key.proof(b"acceptor", peer_challenge, own_challenge))
