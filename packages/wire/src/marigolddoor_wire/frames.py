"""Framing on a byte stream: a length prefix of 4 bytes (big-endian), then the body."""

from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from marigolddoor_wire.errors import FrameError

__all__ = ["MAX_FRAME_BYTES", "FrameReader", "frame"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
LENGTH_BYTES = 4


def frame(body: bytes) -> bytes:
    """Return `body` with its length prefix.

    Raises:
      FrameError: the body is larger than `MAX_FRAME_BYTES`.
    """
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f"a frame of {len(body)} bytes; at most {MAX_FRAME_BYTES} are allowed")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameReader:
    """Reads frames from a stream."""

    def __init__(self, stream: ByteStream) -> None:
        self.stream = BufferedByteReceiveStream(stream)

    async def read(self) -> bytes:
        """Return the body of the next frame.

        Raises:
          FrameError: the length exceeds `MAX_FRAME_BYTES`.
          anyio.EndOfStream, anyio.IncompleteRead: the stream ended.
        """
        length = int.from_bytes(await self.stream.receive_exactly(LENGTH_BYTES), "big")
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"a frame of {length} bytes; at most {MAX_FRAME_BYTES} are allowed")
        if length == 0:
            return b""
        return await self.stream.receive_exactly(length)

    async def read_exactly(self, count: int) -> bytes:
        """Return the next `count` bytes."""
        return await self.stream.receive_exactly(count)
