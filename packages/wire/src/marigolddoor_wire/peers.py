"""Connections between processes: a server, and a pool of client links."""

import itertools
import math
import re
import socket
import ssl
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, NewType

import anyio
from anyio.abc import ByteStream, TaskGroup, TaskStatus
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from anyio.streams.tls import TLSStream
from loguru import logger
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.input_limits import MAX_PORT, shorten

from marigolddoor_wire.codec import DecodeError
from marigolddoor_wire.envelopes import ONE_WAY, Envelope, decode_envelope, encode_envelope
from marigolddoor_wire.errors import (
    FrameError,
    HandshakeError,
    PeerRefusedError,
    PeerTimeoutError,
    PeerUnreachableError,
    RemoteError,
)
from marigolddoor_wire.frames import FrameReader, frame
from marigolddoor_wire.handshake import HANDSHAKE_TIMEOUT_S, SharedKey, accept, initiate
from marigolddoor_wire.messages import ErrorKind, ErrorReply

__all__ = ["Address", "Handler", "PeerPool", "PeerServer", "parse_address"]

# HOST:PORT with an IP address as host.
Address = NewType("Address", str)
# Returns the reply to a request; the reply to a one-way message is discarded.
Handler = Callable[[Any], Awaitable[Any]]

CONNECT_TIMEOUT_S = 1.0
# Handshakes in progress at a server; a peer takes a few ms for one. After a power loss up to 48
# processes of the current size connect at once.
MAX_HANDSHAKES = 128
# A full queue means that the peer does not read: calls fail, and one-way frames are dropped.
MAX_QUEUED_FRAMES = 1024
# For this long after a failed connection, calls fail at once instead of connecting again.
RECONNECT_BACKOFF_S = 0.2
# Round trips take a few ms, so a peer that acknowledges nothing for this long is unreachable.
ACKNOWLEDGEMENT_TIMEOUT_MS = 1500
# Interval of the probes on an idle connection, in whole seconds, and the number that may fail.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2

# Labels of host names have up to 63 characters; the resolver raises unrelated errors for others.
_HOST = re.compile(r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*")
_IPV6 = re.compile(r"[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*(%[A-Za-z0-9_.-]+)?")
_PORT = re.compile(r"[0-9]{1,5}")
MAX_HOST_CHARACTERS = 253

_CLOSED = (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, OSError)


def parse_address(address: Address) -> tuple[str, int]:
    """Return host and port.

    Raises:
      ValueError: `address` is not HOST:PORT, or no connection can be opened to such an address.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    if len(host) > MAX_HOST_CHARACTERS or not (_HOST.fullmatch(host) or _IPV6.fullmatch(host)):
        raise ValueError(f"{shorten(address)} is not HOST:PORT")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"{shorten(address)}: the port is not a number up to {MAX_PORT}")
    return host, int(port)


def set_timeouts(stream: ByteStream) -> None:
    """Make the connection fail if the peer stops acknowledging, as during a partition.

    Raises:
      anyio.BrokenResourceError: the connection was closed already.
      OSError: the same.
    """
    try:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    except AttributeError as error:
        # A closed transport of uvloop has no socket, which anyio doesn't expect.
        raise anyio.BrokenResourceError from error
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class PeerServer:
    """Serves requests of other processes on one address."""

    def __init__(self, key: SharedKey, handler: Handler, tls: ssl.SSLContext | None = None) -> None:
        self.key = key
        self.handler = handler
        self.tls = tls
        # Handshakes in progress, the oldest first.
        self.handshakes: list[anyio.CancelScope] = []

    async def run(
        self, address: Address, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on `address` until cancelled; report the address with the assigned port.

        Raises:
          OSError: the address cannot be used.
        """
        host, port = parse_address(address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener:
            bound = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(Address(f"{host}:{bound}"))
            await listener.serve(self._serve)

    async def _serve(self, raw: ByteStream) -> None:
        try:
            async with raw:
                set_timeouts(raw)
                authenticated = await self._authenticate(raw)
                if authenticated is not None:
                    await self._serve_frames(*authenticated)
        except (*_CLOSED, FrameError, HandshakeError, DecodeError, ssl.SSLError):
            return

    async def _authenticate(self, raw: ByteStream) -> tuple[ByteStream, FrameReader] | None:
        """Return the stream of a peer that has the key, None if its handshake took too long.

        The oldest handshake ends early if too many are in progress.
        """
        if len(self.handshakes) >= MAX_HANDSHAKES:
            self.handshakes.pop(0).cancel()
        with anyio.move_on_after(HANDSHAKE_TIMEOUT_S) as scope:
            self.handshakes.append(scope)
            try:
                stream = await self._wrap(raw)
                reader = FrameReader(stream)
                await accept(stream, reader, self.key)
                return stream, reader
            finally:
                if scope in self.handshakes:
                    self.handshakes.remove(scope)
        return None

    async def _wrap(self, raw: ByteStream) -> ByteStream:
        if self.tls is None:
            return raw
        return await TLSStream.wrap(raw, server_side=True, ssl_context=self.tls)

    async def _serve_frames(self, stream: ByteStream, reader: FrameReader) -> None:
        lock = anyio.Lock()
        async with anyio.create_task_group() as group:
            try:
                while True:
                    envelope = decode_envelope(await reader.read())
                    group.start_soon(self._answer, stream, lock, envelope)
            except (*_CLOSED, FrameError, DecodeError):
                group.cancel_scope.cancel()

    async def _answer(self, stream: ByteStream, lock: anyio.Lock, envelope: Envelope) -> None:
        reply = await self._reply(envelope)
        if envelope.correlation == ONE_WAY:
            return
        async with lock:
            try:
                await stream.send(frame(encode_envelope(reply, envelope.correlation, reply=True)))
            except _CLOSED:
                return

    async def _reply(self, envelope: Envelope) -> Any:
        try:
            return await self.handler(envelope.message())
        except DecodeError as error:
            return ErrorReply(ErrorKind.UNKNOWN_MESSAGE, str(error))
        except RemoteError as error:
            return ErrorReply(error.kind, error.detail)
        except MarigolddoorError as error:
            return ErrorReply(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}")
        except Exception as error:
            # One message that meets a fault of the handler must not end the process.
            logger.exception("peers: message {} failed: {}", envelope.kind, error)
            return ErrorReply(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}")


class _Link:
    """One connection to a peer, with its pending calls."""

    def __init__(self, stream: ByteStream, reader: FrameReader) -> None:
        self.stream = stream
        self.reader = reader
        self.pending_calls: dict[int, _Call] = {}
        self.closed = False
        streams = anyio.create_memory_object_stream[bytes](MAX_QUEUED_FRAMES)
        self.outbox: MemoryObjectSendStream[bytes] = streams[0]
        self.outgoing: MemoryObjectReceiveStream[bytes] = streams[1]

    async def run(self) -> None:
        try:
            async with self.stream, anyio.create_task_group() as group:
                group.start_soon(self._write)
                await self._read()
        except* (*_CLOSED, FrameError, DecodeError, ssl.SSLError):
            pass
        finally:
            self.closed = True
            self.outbox.close()
            for call in self.pending_calls.values():
                call.fail()

    async def _write(self) -> None:
        async with self.outgoing:
            async for data in self.outgoing:
                await self.stream.send(data)

    async def _read(self) -> None:
        while True:
            envelope = decode_envelope(await self.reader.read())
            call = self.pending_calls.pop(envelope.correlation, None)
            if call is not None:
                call.finish(envelope)


class _Call:
    """A request without a reply so far."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.envelope: Envelope | None = None

    def finish(self, envelope: Envelope) -> None:
        self.envelope = envelope
        self.done.set()

    def fail(self) -> None:
        self.done.set()


class PeerPool:
    """Links to other processes, each opened on first use.

    It is an asynchronous context manager, whose task group runs the links.
    """

    def __init__(
        self,
        key: SharedKey,
        tls: ssl.SSLContext | None = None,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.key = key
        self.tls = tls
        self.clock = clock
        self.links: dict[Address, _Link] = {}
        self.locks: dict[Address, anyio.Lock] = {}
        # When an address may be tried again, and the error until then.
        self.backoffs: dict[Address, tuple[float, type[PeerUnreachableError]]] = {}
        self.correlations = itertools.count(1)
        self.group: TaskGroup | None = None

    async def __aenter__(self) -> "PeerPool":
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        assert self.group is not None
        self.group.cancel_scope.cancel()
        return await self.group.__aexit__(exc_type, exc, traceback)

    async def call(self, address: Address, message: Any, timeout_s: float) -> Any:
        """Return the reply of the process at `address`.

        Raises:
          PeerRefusedError: no process listens there; the message was not sent.
          PeerUnreachableError: the message was not sent.
          PeerTimeoutError: it was sent, but no reply arrived within `timeout_s` seconds, which
            include the time for the connection.
          RemoteError: the peer replied with an error, or with a message that can't be read.
        """
        deadline = anyio.current_time() + timeout_s
        try:
            with anyio.fail_after(timeout_s):
                link = await self._link(address)
        except TimeoutError as error:
            raise PeerUnreachableError(f"no connection to {address} in time") from error
        correlation = next(self.correlations)
        call = _Call()
        link.pending_calls[correlation] = call
        try:
            self._enqueue(link, address, encode_envelope(message, correlation, reply=False))
            with anyio.CancelScope(deadline=deadline):
                await call.done.wait()
        finally:
            link.pending_calls.pop(correlation, None)
        return _parse_reply(call, address)

    async def post(self, address: Address, message: Any) -> bool:
        """Send a one-way message; return whether it was queued. It may still be lost."""
        try:
            link = await self._link(address)
            self._enqueue(link, address, encode_envelope(message, ONE_WAY, reply=False))
        except PeerUnreachableError:
            return False
        return True

    def _enqueue(self, link: _Link, address: Address, body: bytes) -> None:
        try:
            link.outbox.send_nowait(frame(body))
        except FrameError as error:
            # Another attempt would fail as well, so this is a fault of the sender.
            logger.error("peers: a message to {} was not sent: {}", address, error)
            raise PeerUnreachableError(f"a message to {address} is too large") from error
        except (anyio.WouldBlock, anyio.ClosedResourceError, anyio.BrokenResourceError) as error:
            raise PeerUnreachableError(f"the link to {address} takes no more frames") from error

    async def _link(self, address: Address) -> _Link:
        link = self.links.get(address)
        if link is not None and not link.closed:
            return link
        async with self.locks.setdefault(address, anyio.Lock()):
            link = self.links.get(address)
            if link is not None and not link.closed:
                return link
            return await self._open(address)

    async def _open(self, address: Address) -> _Link:
        retry_at, failure = self.backoffs.get(address, (-math.inf, PeerUnreachableError))
        if self.clock() < retry_at:
            raise failure(f"{address} did not answer just now")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                link = await self._connect(address)
        except (
            *_CLOSED,
            TimeoutError,
            FrameError,
            HandshakeError,
            ssl.SSLError,
            ValueError,
        ) as error:
            # `ValueError`: the address is not usable. anyio sets the original error as the cause.
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            failure = PeerRefusedError if is_refused else PeerUnreachableError
            self.backoffs[address] = (self.clock() + RECONNECT_BACKOFF_S, failure)
            raise failure(f"no connection to {address}: {error}") from error
        assert self.group is not None
        self.links[address] = link
        self.group.start_soon(link.run)
        return link

    async def _connect(self, address: Address) -> _Link:
        host, port = parse_address(address)
        raw: ByteStream = await anyio.connect_tcp(host, port)
        try:
            set_timeouts(raw)
            stream = await self._wrap(raw)
            reader = FrameReader(stream)
            await initiate(stream, reader, self.key)
        except BaseException:
            await anyio.aclose_forcefully(raw)
            raise
        return _Link(stream, reader)

    async def _wrap(self, raw: ByteStream) -> ByteStream:
        if self.tls is None:
            return raw
        return await TLSStream.wrap(raw, server_side=False, ssl_context=self.tls)


def _parse_reply(call: _Call, address: Address) -> Any:
    if call.envelope is None:
        raise PeerTimeoutError(f"no reply from {address}")
    try:
        reply = call.envelope.message()
    except DecodeError as error:
        # The peer has acted on the request, as after any other error that it reports.
        raise RemoteError(ErrorKind.INTERNAL, f"{address}: {error}") from error
    if isinstance(reply, ErrorReply):
        raise RemoteError(reply.kind, reply.detail)
    return reply
