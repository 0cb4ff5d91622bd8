"""A minimal HTTP/1.1 client for many short calls to many addresses.

An httpx call takes 1.2 ms of processor time, and a leader makes hundreds of calls a second. This
client reuses connections, sends a call in one write, and leaves the protocol to h11, the library
that httpx is built on.
"""

import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute
from loguru import logger
from marigolddoor_core.errors import MarigolddoorError, UnavailableError
from marigolddoor_core.input_limits import shorten

from marigolddoor_wire.peers import Address, parse_address

__all__ = ["HttpAnswer", "HttpNoAnswerError", "HttpPool", "HttpUnreachableError"]

CONNECT_TIMEOUT_S = 0.7
READ_BYTES = 65536
# Answers have up to a few hundred kB. Without a limit a server could fill the memory before the
# call times out.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# SO_LINGER enabled with a timeout of 0, so that closing sends a reset.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)

_BROKEN = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class HttpUnreachableError(UnavailableError):
    """There is no connection; the call was not sent."""


class _AnswerTooLargeError(MarigolddoorError):
    """The body of an answer exceeds `MAX_ANSWER_BYTES`."""


class HttpNoAnswerError(MarigolddoorError):
    """The call was sent but no complete answer arrived; it may have been carried out."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


@dataclass(slots=True)
class _Connection:
    stream: ByteStream
    protocol: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))

    async def exchange(self, request: h11.Request, body: bytes) -> HttpAnswer:
        protocol = self.protocol
        data = protocol.send(request) or b""
        if body:
            data += protocol.send(h11.Data(body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        await self.stream.send(data)
        status, size, parts = 0, 0, []
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                try:
                    protocol.receive_data(await self.stream.receive(READ_BYTES))
                except anyio.EndOfStream:
                    protocol.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > MAX_ANSWER_BYTES:
                    raise _AnswerTooLargeError(f"a body of more than {MAX_ANSWER_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return HttpAnswer(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def reset(self) -> None:
        """Close the connection and discard undelivered data.

        Data delayed by a partition would otherwise arrive when the partition heals, such as an
        order of a leader that has been deposed in the meantime.
        """
        raw = self.stream.extra(SocketAttribute.raw_socket)
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        except OSError as error:
            # The peer closed the connection, so no undelivered data is left on it.
            logger.debug("http: connection is already closed: {}", error)
        await anyio.aclose_forcefully(self.stream)

    def can_be_reused(self) -> bool:
        protocol = self.protocol
        if protocol.trailing_data[0]:
            # It would be taken for the answer to the next call.
            return False
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
            return True
        return False


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

    async def call(
        self,
        address: Address,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: Sequence[tuple[str, str]] = (),
        method: str = "POST",
    ) -> HttpAnswer:
        """Return the answer of the process at `address`.

        Raises:
          HttpUnreachableError: the call was not sent, or can't be sent to this address.
          HttpNoAnswerError: no complete answer to it arrived within `timeout_s` seconds.
        """
        request = _request(address, path, body, headers, method)
        try:
            with anyio.fail_after(timeout_s):
                await self.unused.acquire()
        except TimeoutError as error:
            raise HttpUnreachableError(f"no connection to {address}: all are in use") from error
        try:
            return await self._exchange(address, path, request, body, timeout_s)
        finally:
            self.unused.release()

    async def _exchange(
        self, address: Address, path: str, request: h11.Request, body: bytes, timeout_s: float
    ) -> HttpAnswer:
        connection = await self._connection(address, timeout_s)
        is_reusable = False
        try:
            with anyio.fail_after(timeout_s):
                answer = await connection.exchange(request, body)
            is_reusable = connection.can_be_reused()
        except (*_BROKEN, TimeoutError, _AnswerTooLargeError, h11.RemoteProtocolError) as error:
            detail = str(error) or type(error).__name__
            raise HttpNoAnswerError(f"{address}{path}: {detail}") from error
        finally:
            if is_reusable:
                self._keep(address, connection)
            else:
                await connection.reset()
        return answer

    async def forget(self, address: Address) -> None:
        """Close the idle connections to an address that is no longer used."""
        connections = self.idle.pop(address, [])
        self.idle_count -= len(connections)
        for connection in connections:
            await anyio.aclose_forcefully(connection.stream)

    def _keep(self, address: Address, connection: _Connection) -> None:
        connections = self.idle.pop(address, [])
        connections.append(connection)
        self.idle[address] = connections
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
            oldest = self._take_idle(next(iter(self.idle)), 0)
            await anyio.aclose_forcefully(oldest.stream)
        try:
            host, port = parse_address(address)
        except ValueError as error:
            raise HttpUnreachableError(str(error)) from error
        try:
            with anyio.fail_after(min(CONNECT_TIMEOUT_S, timeout_s)):
                return _Connection(await anyio.connect_tcp(host, port))
        except (OSError, TimeoutError) as error:
            raise HttpUnreachableError(f"no connection to {address}: {error}") from error


def _request(
    address: Address, path: str, body: bytes, headers: Sequence[tuple[str, str]], method: str
) -> h11.Request:
    """Return the head of a request.

    Raises:
      HttpUnreachableError: the address, the path or a header contains characters that HTTP forbids.
    """
    try:
        return h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", address),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        raise HttpUnreachableError(f"{shorten(address)}: {shorten(str(error))}") from error
