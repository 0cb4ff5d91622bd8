"""A minimal HTTP/1.1 server for many short requests on connections that stay open.

Executors send heartbeats to the leader every 1.5 s. With hypercorn and an ASGI application a
request takes 0.45 ms of its processor time, here 0.07 ms: the parser is httptools, and connections
are protocols of the event loop; only a request in progress has a task.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import anyio
import httptools
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_core.input_limits import shorten

__all__ = ["HttpRequest", "HttpResponse", "HttpServer", "RespondToRequest"]

# The longest document that an operator sends has 262,144 bytes; the rest is left for its envelope.
MAX_BODY_BYTES = 300_000
MAX_HEAD_BYTES = 64 * 1024
# A connection without a complete request for this long is closed.
IDLE_TIMEOUT_S = 75.0
# Requests in progress get this long to end when the server is cancelled.
CANCEL_GRACE_S = 0.5
# Reading pauses while this many requests of a connection wait for their responses.
MAX_WAITING_REQUESTS = 16


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response. Its body is JSON unless `headers` name another type."""

    status: int
    body: bytes = b"{}"
    headers: Sequence[tuple[str, str]] = ()


RespondToRequest = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServer:
    """Serves requests on one listening socket.

    Example:
      >>> async def respond(request):
      ...     return HttpResponse(200)
      >>> server = HttpServer(respond)  # then: await server.run(listener)
    """

    def __init__(self, respond: RespondToRequest, idle_timeout_s: float = IDLE_TIMEOUT_S) -> None:
        self.respond = respond
        self.idle_timeout_s = idle_timeout_s
        self.connections: set[_Connection] = set()
        self.group: TaskGroup | None = None

    async def run(self, listener: socket.socket) -> None:
        """Serve until cancelled; requests in progress may then end within `CANCEL_GRACE_S`."""
        stop = anyio.Event()
        async with anyio.create_task_group() as outer:
            outer.start_soon(_set_when_cancelled, stop)
            with anyio.CancelScope(shield=True):
                await self._serve(listener, stop)
            outer.cancel_scope.cancel()

    async def _serve(self, listener: socket.socket, stop: anyio.Event) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: _Connection(self), sock=listener)
        async with anyio.create_task_group() as self.group:
            await stop.wait()
            server.close()
            with anyio.move_on_after(CANCEL_GRACE_S):
                for connection in list(self.connections):
                    await connection.wait_until_idle()
            for connection in list(self.connections):
                connection.close()
            self.group.cancel_scope.cancel()

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request; an unexpected error affects this request only."""
        try:
            return await self.respond(request)
        except Exception as error:
            logger.exception("http: {} {} failed: {}", request.method, shorten(request.path), error)
            return HttpResponse(500)


async def _set_when_cancelled(stop: anyio.Event) -> None:
    try:
        await anyio.sleep_forever()
    finally:
        stop.set()


class _Connection(asyncio.Protocol):
    """A connection of a client. `on_...` are the callbacks of the parser."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.idle_timer: asyncio.TimerHandle | None = None
        self.waiting: deque[tuple[HttpRequest, bool]] = deque()
        self.is_answering = False
        self.is_paused = False
        self.is_write_paused = False
        self.idle = anyio.Event()
        # The status with which the connection ends after the requests before it are answered.
        self.refusal: HTTPStatus | None = None
        self._begin_request()

    def _begin_request(self) -> None:
        self.is_reading_head = True
        self.head_bytes = self.body_bytes = 0
        self.path = b""
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.is_answering:
            await self.idle.wait()

    def close(self) -> None:
        """Close the connection once the data written has been sent."""
        assert self.transport is not None
        self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        # The transports of uvloop are not instances of `asyncio.Transport`.
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; a request in progress continues without a reader."""
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def _restart_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self.idle_timer = loop.call_later(self.server.idle_timeout_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.is_answering:
            self._restart_idle_timer()
        else:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        if self.refusal is not None:
            return
        self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            logger.debug("http: unreadable request: {}", error)
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        if self.is_reading_head and self.head_bytes > MAX_HEAD_BYTES:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_url(self, url: bytes) -> None:
        """Add a part of the target of the request."""
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Ask for the body if the client waits for that."""
        self.is_reading_head = False
        if self.headers.get("expect", "").lower() == "100-continue":
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """Answer the request, after the ones before it."""
        if self.refusal is None:
            request = HttpRequest(
                self.parser.get_method().decode("ascii", "replace"),
                self.path.decode("ascii", "replace"),
                self.headers,
                b"".join(self.parts),
            )
            self.waiting.append((request, self.parser.should_keep_alive()))
            self._restart_idle_timer()
            self._answer_next()
        self._begin_request()

    def pause_writing(self) -> None:
        """Stop reading requests while the client does not read the responses."""
        self.is_write_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Read requests again."""
        self.is_write_paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Read only while the client reads its responses and few of its requests wait."""
        assert self.transport is not None
        should_pause = self.is_write_paused or len(self.waiting) > MAX_WAITING_REQUESTS
        if should_pause != self.is_paused and not self.transport.is_closing():
            self.is_paused = should_pause
            if should_pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def _answer_next(self) -> None:
        assert self.server.group is not None
        self._update_reading()
        if self.waiting and not self.is_answering:
            self.is_answering = True
            self.server.group.start_soon(self._answer_waiting)

    async def _answer_waiting(self) -> None:
        try:
            while self.waiting:
                request, is_kept_open = self.waiting.popleft()
                response = await self.server.answer(request)
                self._write(response, request.method, is_kept_open)
                self._update_reading()
        finally:
            self.is_answering = False
            self.idle.set()
            self.idle = anyio.Event()
        if self.refusal is not None:
            self._write(HttpResponse(self.refusal), "", False)

    def _refuse(self, status: HTTPStatus) -> None:
        """End the connection with an error response, after the requests in progress."""
        if self.refusal is None:
            self.refusal = status
            if not self.is_answering:
                self._write(HttpResponse(status), "", False)

    def _write(self, response: HttpResponse, method: str, is_kept_open: bool) -> None:
        assert self.transport is not None
        if self.transport.is_closing():
            return
        fields = {
            "content-type": "application/json",
            "content-length": str(len(response.body)),
        }
        if not is_kept_open:
            fields["connection"] = "close"
        fields.update(response.headers)
        lines = [f"HTTP/1.1 {response.status} {_reason(response.status)}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        self.transport.write(head if method == "HEAD" else head + response.body)
        if not is_kept_open:
            self.transport.close()


_REASONS = {status.value: status.phrase for status in HTTPStatus}


def _reason(status: int) -> str:
    return _REASONS.get(status, "")
