"""A minimal HTTP/1.1 client for many short calls to many addresses.

An httpx call takes 1.2 ms of processor time, and a leader makes hundreds of calls a second. This
client reuses connections and request heads, sends a call in one write, and leaves answers to
httptools, a parser in C. Connections are protocols of the event loop, without a task of their own.
"""

import asyncio
import re
import socket
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import cast

import anyio
import httptools
from loguru import logger
from marigolddoor_core.errors import MarigolddoorError, UnavailableError
from marigolddoor_core.input_limits import shorten

from marigolddoor_wire.closings import PeerClosings
from marigolddoor_wire.peers import Address, parse_address

__all__ = ["HttpAnswer", "HttpNoAnswerError", "HttpPool", "HttpUnreachableError"]

CONNECT_TIMEOUT_S = 0.7
# Answers have up to a few hundred kB. Without a limit a server could fill the memory before the
# call times out.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
# A few paths for each of the executors that a leader calls.
CACHED_HEADS = 4096
# SO_LINGER enabled with a timeout of 0, so that closing sends a reset.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

_TOKEN = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+")
_TARGET = re.compile(r"[\x21-\x7e]+")
_FIELD_VALUE = re.compile(r"([\x21-\x7e]([\t \x21-\x7e]*[\x21-\x7e])?)?")
# With one of these fields an answer has a known end; without them it ends with the connection.
_LENGTH_FIELDS = (b"content-length", b"transfer-encoding")


class HttpUnreachableError(UnavailableError):
    """There is no connection; the call was not sent."""


class _AnswerError(MarigolddoorError):
    """The connection ended before a complete answer, or the answer is unreadable or too large."""


class HttpNoAnswerError(MarigolddoorError):
    """The call was sent but no complete answer arrived; it may have been carried out."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """A connection, which carries one call at a time.

    `on_...` are the callbacks of the parser. `is_open` is false once the connection can't carry
    another call, `is_aborted` is true once this side has closed it, and `has_answered` is true once
    a call was answered on it.
    """

    def __init__(self, pool: "HttpPool", address: Address) -> None:
        self.pool = pool
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[HttpAnswer] | None = None
        self.is_open = True
        self.is_aborted = False
        self.has_answered = False
        self.is_reading_head = True
        self.has_length = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.parts: list[bytes] = []

    async def exchange(self, data: bytes, timeout_s: float) -> HttpAnswer:
        """Send a request and return the answer.

        Raises:
          _AnswerError: no complete answer arrived.
          TimeoutError: none arrived within `timeout_s` seconds.
        """
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[HttpAnswer] = loop.create_future()
        self.answer = answer
        timer = loop.call_later(timeout_s, _expire, answer)
        try:
            self.transport.write(data)
            return await answer
        finally:
            timer.cancel()
            self.answer = None

    def reset(self) -> None:
        """Close the connection and discard undelivered data.

        Data delayed by a partition would otherwise arrive when the partition heals, such as an
        order of a leader that has been deposed in the meantime.
        """
        self.is_open = False
        self.is_aborted = True
        assert self.transport is not None
        raw = self.transport.get_extra_info("socket")
        try:
            # Once the connection is closed, uvloop returns no socket, or one without a descriptor,
            # which raises `ValueError`.
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        except (OSError, ValueError) as error:
            # The peer closed the connection, so no undelivered data is left on it.
            logger.debug("http: connection is already closed: {}", error)
        self.transport.abort()

    def close(self) -> None:
        """Close the connection, on which no call waits for an answer."""
        self.is_open = False
        self.is_aborted = True
        assert self.transport is not None
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The transports of uvloop are not instances of `asyncio.Transport`.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer. Data without a call could be taken for the next answer."""
        if self.answer is None or self.answer.done():
            self.pool.discard(self)
            return
        self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"unreadable: {shorten(str(error))}")
            return
        if self.is_reading_head and self.head_bytes > MAX_HEAD_BYTES:
            self._fail(f"a head of more than {MAX_HEAD_BYTES} bytes")
        elif self.body_bytes > MAX_ANSWER_BYTES:
            self._fail(f"a body of more than {MAX_ANSWER_BYTES} bytes")

    def eof_received(self) -> None:
        """Finish an answer whose end is that of the connection."""
        if not self.is_reading_head and not self.has_length:
            self.is_open = False
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress."""
        if exc is None and not self.is_aborted:
            self.pool.closed_by_peer(self)
        self._fail(str(exc) if exc else "the connection was closed")
        self.pool.discard(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the answer has a known end."""
        self.has_length = self.has_length or name.lower() in _LENGTH_FIELDS

    def on_headers_complete(self) -> None:
        """Note that the body follows."""
        self.is_reading_head = False

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self.parts.append(body)
        self.body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Finish an answer, unless it is one of the hints that precede the answer."""
        if self.parser.get_status_code() >= 200:
            self.is_open = self.is_open and self.parser.should_keep_alive()
            self._finish()
        self.is_reading_head, self.has_length = True, False
        self.head_bytes = self.body_bytes = 0
        self.parts = []

    def _finish(self) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(HttpAnswer(self.parser.get_status_code(), b"".join(self.parts)))
        else:
            # An answer to no call, in the same data as the one before.
            self.is_open = False

    def _fail(self, reason: str) -> None:
        self.is_open = False
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(_AnswerError(reason))


def _expire(answer: asyncio.Future[HttpAnswer]) -> None:
    if not answer.done():
        answer.set_exception(TimeoutError("no answer in time"))


class HttpPool:
    """A connection pool for many addresses; a connection carries one call at a time.

    At most `max_connections` are open. The idle connection whose address was not called for the
    longest time is closed for a new one, and calls wait while all connections are in use. A process
    without free file descriptors could neither accept connections nor open files.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.unused = anyio.Semaphore(max_connections, fast_acquire=True)
        # The address that was called last is last.
        self.idle: dict[Address, list[_Connection]] = {}
        self.idle_count = 0
        # The connection of the last call to each address.
        self.latest: dict[Address, _Connection] = {}
        self.closings = PeerClosings()

    async def call(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Sequence[tuple[str, str]] = (),
        method: str = "POST",
        may_send: Callable[[], bool] | None = None,
    ) -> HttpAnswer:
        """Return the answer of the process at `address`.

        `may_send` returns whether the call is still permitted. It is asked right before the call is
        written, since a permission may expire while the call waits for a connection.

        Raises:
          HttpUnreachableError: the call was not sent, or can't be sent to this address.
          HttpNoAnswerError: no complete answer to it arrived within `timeout_s` seconds.
        """
        head = _head(method, path, (("Host", address), *headers))
        request = b"%b%d\r\n\r\n%b" % (head, len(body), body)
        try:
            self.unused.acquire_nowait()
        except anyio.WouldBlock:
            await self._wait_for_unused(address, timeout_s)
        try:
            return await self._exchange(address, path, request, timeout_s, may_send)
        finally:
            self.unused.release()

    async def _wait_for_unused(self, address: Address, timeout_s: float) -> None:
        try:
            with anyio.fail_after(timeout_s):
                await self.unused.acquire()
        except TimeoutError as error:
            raise HttpUnreachableError(f"no connection to {address}: all are in use") from error

    async def _exchange(
        self,
        address: Address,
        path: str,
        request: bytes,
        timeout_s: float,
        may_send: Callable[[], bool] | None,
    ) -> HttpAnswer:
        connection = await self._connection(address, timeout_s)
        self.latest[address] = connection
        if not connection.is_open:
            raise HttpUnreachableError(f"no connection to {address}: it was closed at once")
        if may_send is not None and not may_send():
            self._keep(connection)
            raise HttpUnreachableError(f"{address}{path}: no longer permitted")
        is_answered = False
        try:
            answer = await connection.exchange(request, timeout_s)
            is_answered = connection.has_answered = True
            self.closings.forget(address)
        except (_AnswerError, TimeoutError) as error:
            if isinstance(error, TimeoutError):
                # The peer holds the connection open.
                self.closings.forget(address)
            raise HttpNoAnswerError(f"{address}{path}: {error}") from error
        finally:
            if is_answered and connection.is_open:
                self._keep(connection)
            else:
                connection.reset()
        return answer

    async def forget(self, address: Address) -> None:
        """Close the idle connections to an address that is no longer used."""
        self.latest.pop(address, None)
        self.closings.forget(address)
        connections = self.idle.pop(address, [])
        self.idle_count -= len(connections)
        for connection in connections:
            connection.close()

    def discard(self, connection: _Connection) -> None:
        """Close a connection that its server closed, or used for data without a call."""
        connection.close()
        connections = self.idle.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)
            self.idle_count -= 1
            if not connections:
                del self.idle[connection.address]

    def has_ended(self, address: Address) -> bool:
        """Return whether a peer closed its connection, and none can be opened since."""
        return self.closings.has_ended(address)

    def closed_by_peer(self, connection: _Connection) -> None:
        """Take note that a peer closed a connection in an orderly way.

        A connection that was not used last may only have been idle for too long.
        """
        if self.latest.get(connection.address) is connection:
            self.closings.closed(connection.address, connection.has_answered)

    def _keep(self, connection: _Connection) -> None:
        connections = self.idle.pop(connection.address, [])
        connections.append(connection)
        self.idle[connection.address] = connections
        self.idle_count += 1

    def _take_idle(self, address: Address, position: int = -1) -> _Connection:
        connections = self.idle[address]
        connection = connections.pop(position)
        self.idle_count -= 1
        if not connections:
            del self.idle[address]
        return connection

    async def _connection(self, address: Address, timeout_s: float) -> _Connection:
        if address in self.idle:
            return self._take_idle(address)
        # `unused` counts idle connections too, since no call uses them.
        while self.idle_count > self.unused.value:
            self._take_idle(next(iter(self.idle)), 0).close()
        try:
            host, port = parse_address(address)
        except ValueError as error:
            raise HttpUnreachableError(str(error)) from error
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(min(CONNECT_TIMEOUT_S, timeout_s)):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self, address), host, port
                )
        except (OSError, TimeoutError, UnicodeError) as error:
            self.closings.unreachable(address)
            raise HttpUnreachableError(f"no connection to {address}: {error}") from error
        return connection


@lru_cache(maxsize=CACHED_HEADS)
def _head(method: str, path: str, fields: tuple[tuple[str, str], ...]) -> bytes:
    """Return the head of a request up to the value of its Content-Length.

    Raises:
      HttpUnreachableError: the path or a header contains characters that HTTP forbids.
    """
    if not _TOKEN.fullmatch(method) or not _TARGET.fullmatch(path):
        raise HttpUnreachableError(f"{shorten(method)} {shorten(path)!r} is not a request")
    for name, value in fields:
        if not _TOKEN.fullmatch(name) or not _FIELD_VALUE.fullmatch(value):
            raise HttpUnreachableError(f"{shorten(name)}: {shorten(value)!r} is not a header")
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields)]
    lines += ["Content-Type: application/json", "Content-Length: "]
    return "\r\n".join(lines).encode("ascii")
