"""Clients that use as much memory of a process as they can, on many connections at once."""

import contextlib
from collections.abc import Callable, Iterator

import anyio
from anyio.abc import SocketStream

__all__ = [
    "HostileCrowd",
    "Shape",
    "endless_head",
    "large_chunks",
    "piece_by_piece",
    "pipelined",
    "short",
    "small_chunks",
    "whole",
]

CONNECTIONS = 120
# Just below the longest body that the contract allows, and how much of it is left out.
BODY_BYTES = 262_000
MISSING_BYTES = 10
PIECE_BYTES = 16_384
# Chunks of one byte in a request, and pipelined requests on a connection.
SMALL_CHUNKS = 20_000
PIPELINED = 200
HEAD_BYTES = 4_000_000
# The server may stop reading or close a connection; the client then goes no further.
STUCK_S = 3.0

Pieces = Iterator[bytes]
Shape = Callable[[str], Pieces]


def _head(path: str, *fields: str) -> bytes:
    return "\r\n".join((f"POST {path} HTTP/1.1", "Host: queues.example", *fields, "", "")).encode()


def whole(path: str) -> Pieces:
    """A whole request at once."""
    yield _head(path, f"Content-Length: {BODY_BYTES}") + b"x" * BODY_BYTES


def piece_by_piece(path: str) -> Pieces:
    """A whole request in pieces."""
    yield _head(path, f"Content-Length: {BODY_BYTES}")
    for start in range(0, BODY_BYTES, PIECE_BYTES):
        yield b"x" * min(PIECE_BYTES, BODY_BYTES - start)


def short(path: str) -> Pieces:
    """A request that stops short of its end."""
    yield _head(path, f"Content-Length: {BODY_BYTES}")
    yield b"x" * (BODY_BYTES - MISSING_BYTES)


def large_chunks(path: str) -> Pieces:
    """A chunked request without its last chunk."""
    yield _head(path, "Transfer-Encoding: chunked")
    for start in range(0, BODY_BYTES, PIECE_BYTES):
        size = min(PIECE_BYTES, BODY_BYTES - start)
        yield b"%x\r\n" % size + b"x" * size + b"\r\n"


def small_chunks(path: str) -> Pieces:
    """A request in chunks of one byte, without its last chunk."""
    yield _head(path, "Transfer-Encoding: chunked")
    for _ in range(SMALL_CHUNKS // 1000):
        yield b"1\r\nx\r\n" * 1000


def endless_head(path: str) -> Pieces:
    """A head that never ends."""
    yield _head(path)[:-2]
    for number in range(HEAD_BYTES // PIECE_BYTES):
        yield b"".join(b"x-%d-%d: %s\r\n" % (number, line, b"y" * 20) for line in range(500))


def pipelined(path: str) -> Pieces:
    """Many requests whose answers the client does not read."""
    request = f"GET {path} HTTP/1.1\r\nHost: queues.example\r\nX-Padding: {'z' * 400}\r\n\r\n"
    yield request.encode() * PIPELINED


class HostileCrowd:
    """Connections that each send one shape of traffic, read nothing, and stay open."""

    def __init__(self, host: str, port: int, connections: int = CONNECTIONS) -> None:
        self.host = host
        self.port = port
        self.connections = connections
        self.streams: list[SocketStream] = []

    async def send(self, shape: Shape, path: str) -> None:
        """Connect and send; return when no connection gets any further."""
        async with anyio.create_task_group() as senders:
            for number in range(self.connections):
                senders.start_soon(self._send_one, shape(f"{path}{number:016x}"))

    async def _send_one(self, pieces: Pieces) -> None:
        with contextlib.suppress(OSError, anyio.BrokenResourceError, TimeoutError):
            with anyio.fail_after(STUCK_S):
                stream = await anyio.connect_tcp(self.host, self.port)
            self.streams.append(stream)
            for piece in pieces:
                with anyio.fail_after(STUCK_S):
                    await stream.send(piece)
                await anyio.sleep(0)

    async def close(self) -> None:
        """Close all connections."""
        for stream in self.streams:
            await anyio.aclose_forcefully(stream)
