"""Connections between the processes of the system: a server and a pool of client links."""

import itertools
import math
import socket
import ssl
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any, NewType

import anyio
from anyio.abc import ByteStream, TaskGroup, TaskStatus
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from anyio.streams.tls import TLSStream
from marigolddoor_core.errors import MarigolddoorError

from marigolddoor_wire.codec import DecodeError
from marigolddoor_wire.envelopes import ONE_WAY, Envelope, open_envelope, seal
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

# HOST:PORT with an IP number as host.
Address = NewType("Address", str)
# Answers a request; the result of a one-way message is dropped.
Handler = Callable[[Any], Awaitable[Any]]

CONNECT_TIMEOUT_S = 1.0
# A link with more frames than this waiting is not read by its peer; one-way frames are dropped.
MAX_WAITING_FRAMES = 1024
# After a failed connection, calls fail at once for this long instead of waiting for a timeout.
RECONNECT_PAUSE_S = 0.2
# Round trips take some ms, so a peer that acknowledges nothing for this long is cut off.
SILENCE_MS = 1500
# An idle connection is probed this often, in whole seconds, and given up after so many probes.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2

_CLOSED = (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError, OSError)


def parse_address(address: Address) -> tuple[str, int]:
    """Return host and port.

    Raises:
      ValueError: `address` is not HOST:PORT.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{address!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def set_timeouts(stream: ByteStream) -> None:
    """Let a connection fail whose peer acknowledges nothing, as behind a partition."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class PeerServer:
    """Serves requests of other processes on one address."""

    def __init__(self, key: SharedKey, handler: Handler, tls: ssl.SSLContext | None = None) -> None:
        self.key = key
        self.handler = handler
        self.tls = tls

    async def run(
        self, address: Address, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on `address` until cancelled; report the address with the port in use.

        Raises:
          OSError: the address can't be used.
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
                with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
                    stream = await self._wrap(raw)
                    reader = FrameReader(stream)
                    await accept(stream, reader, self.key)
                await self._serve_frames(stream, reader)
        except (*_CLOSED, TimeoutError, FrameError, HandshakeError, DecodeError, ssl.SSLError):
            return

    async def _wrap(self, raw: ByteStream) -> ByteStream:
        if self.tls is None:
            return raw
        return await TLSStream.wrap(raw, server_side=True, ssl_context=self.tls)

    async def _serve_frames(self, stream: ByteStream, reader: FrameReader) -> None:
        lock = anyio.Lock()
        async with anyio.create_task_group() as group:
            try:
                while True:
                    envelope = open_envelope(await reader.read())
                    group.start_soon(self._answer, stream, lock, envelope)
            except (*_CLOSED, FrameError, DecodeError):
                group.cancel_scope.cancel()

    async def _answer(self, stream: ByteStream, lock: anyio.Lock, envelope: Envelope) -> None:
        reply = await self._reply(envelope)
        if envelope.correlation == ONE_WAY:
            return
        async with lock:
            try:
                await stream.send(frame(seal(reply, envelope.correlation, reply=True)))
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


class _Link:
    """One connection to a peer, with the calls that wait for replies on it."""

    def __init__(self, stream: ByteStream, reader: FrameReader) -> None:
        self.stream = stream
        self.reader = reader
        self.waiting: dict[int, _Call] = {}
        self.closed = False
        streams = anyio.create_memory_object_stream[bytes](MAX_WAITING_FRAMES)
        self.outbox: MemoryObjectSendStream[bytes] = streams[0]
        self.to_send: MemoryObjectReceiveStream[bytes] = streams[1]

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
            for call in self.waiting.values():
                call.fail()

    async def _write(self) -> None:
        async with self.to_send:
            async for data in self.to_send:
                await self.stream.send(data)

    async def _read(self) -> None:
        while True:
            envelope = open_envelope(await self.reader.read())
            call = self.waiting.pop(envelope.correlation, None)
            if call is not None:
                call.finish(envelope)


class _Call:
    """A request that waits for its reply."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.envelope: Envelope | None = None

    def finish(self, envelope: Envelope) -> None:
        self.envelope = envelope
        self.done.set()

    def fail(self) -> None:
        self.done.set()


class PeerPool:
    """Links to other processes, opened when they are first needed.

    Use it as an asynchronous context manager: its task group reads and writes the links.
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
        # When an address is tried again, and how it failed.
        self.paused: dict[Address, tuple[float, type[PeerUnreachableError]]] = {}
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
          PeerTimeoutError: it was sent, and no reply came within `timeout_s` seconds.
          RemoteError: the peer refused.
        """
        try:
            with anyio.fail_after(timeout_s):
                link = await self._link(address)
        except TimeoutError as error:
            raise PeerUnreachableError(f"no connection to {address} in time") from error
        correlation = next(self.correlations)
        call = _Call()
        link.waiting[correlation] = call
        try:
            self._queue(link, address, seal(message, correlation, reply=False))
            with anyio.move_on_after(timeout_s):
                await call.done.wait()
        finally:
            link.waiting.pop(correlation, None)
        return _reply_of(call, address)

    async def post(self, address: Address, message: Any) -> bool:
        """Send a one-way message; return whether it was queued. It may be lost on the way."""
        try:
            link = await self._link(address)
            self._queue(link, address, seal(message, ONE_WAY, reply=False))
        except PeerUnreachableError:
            return False
        return True

    def _queue(self, link: _Link, address: Address, body: bytes) -> None:
        try:
            link.outbox.send_nowait(frame(body))
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
        paused_until, failure = self.paused.get(address, (-math.inf, PeerUnreachableError))
        if self.clock() < paused_until:
            raise failure(f"{address} did not answer just now")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                link = await self._connect(address)
        except (*_CLOSED, TimeoutError, FrameError, HandshakeError, ssl.SSLError) as error:
            # anyio names the reason as the cause.
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            failure = PeerRefusedError if is_refused else PeerUnreachableError
            self.paused[address] = (self.clock() + RECONNECT_PAUSE_S, failure)
            raise failure(f"no connection to {address}: {error}") from error
        assert self.group is not None
        self.links[address] = link
        self.group.start_soon(link.run)
        return link

    async def _connect(self, address: Address) -> _Link:
        host, port = parse_address(address)
        raw: ByteStream = await anyio.connect_tcp(host, port)
        set_timeouts(raw)
        try:
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


def _reply_of(call: _Call, address: Address) -> Any:
    if call.envelope is None:
        raise PeerTimeoutError(f"no reply from {address}")
    reply = call.envelope.message()
    if isinstance(reply, ErrorReply):
        raise RemoteError(reply.kind, reply.detail)
    return reply
