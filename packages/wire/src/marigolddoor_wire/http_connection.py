"""One connection of the HTTP/1.1 server: parsing, back-pressure and what is held for it."""

import asyncio
from collections import deque
from http import HTTPStatus
from typing import Protocol, cast

import anyio
import httptools
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_core.connections import Account, ByteBudget, ConnectionLimits, ConnectionPhase

from marigolddoor_wire.http_messages import HttpRequest, HttpResponse, encode_response, is_last

__all__ = ["ConnectionHost", "HttpConnection"]

# Bytes that are parsed between two checks of the limits. The smallest request has 18 bytes, so a
# piece contains at most 227 of them.
PIECE_BYTES = 4096
# Counted for each connection: its transport, parser, timer and buffers.
CONNECTION_BYTES = 8192
# Counted for each request and each header besides their text: objects of Python.
REQUEST_BYTES = 600
HEADER_BYTES = 200
# A body is counted twice: it is copied when it is complete, and when it is sent on.
BODY_COPIES = 2
# Bytes around each byte of a body that is sent in chunks of one byte are 5.
MAX_FRAMING_RATIO = 8
# Sent as Retry-After with a refusal for lack of memory: a connection that does not keep up is ended
# after about a second.
RETRY_AFTER_S = 1


class ConnectionHost(Protocol):
    """What a connection needs of its server."""

    budget: ByteBudget
    limits: ConnectionLimits
    connections: "set[HttpConnection]"
    group: TaskGroup | None
    buffer: bytearray
    is_stopping: bool

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        ...

    def end(self, accounts: tuple[Account, ...]) -> None:
        """End the connections that the budget chose."""
        ...

    def count_refusal(self, reason: str) -> None:
        """Count a refused request or connection."""
        ...


class HttpConnection(asyncio.BufferedProtocol):
    """A connection of a client. `on_...` are the callbacks of the parser."""

    def __init__(self, host: ConnectionHost, account: Account) -> None:
        self.host = host
        self.account = account
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.idle_timer: asyncio.TimerHandle | None = None
        # Received while too many requests wait, and not parsed yet.
        self.unparsed = bytearray()
        self.waiting: deque[tuple[HttpRequest, bool, int]] = deque()
        self.waiting_bytes = self.answering_bytes = 0
        self.is_answering = False
        self.is_paused = False
        self.is_write_paused = False
        self.is_lost = False
        # Nothing more is read: the last request was received, or the connection was refused.
        self.is_discarding = False
        self.idle = anyio.Event()
        self.writable = anyio.Event()
        # The response with which the connection ends after the request in progress is answered.
        self.refusal: HttpResponse | None = None
        self.has_requested = False
        self._begin_request()

    def _begin_request(self) -> None:
        self.is_reading_head = True
        self.is_receiving = False
        self.head_bytes = self.framing_bytes = self.held_head_bytes = self.announced_bytes = 0
        self.path = b""
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in progress or partly received."""
        return self.is_answering or (self.is_receiving and self.refusal is None)

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress or partly received."""
        while self.is_busy and not self.is_lost:
            await self.idle.wait()

    def close(self) -> None:
        """Close the connection once the data written has been sent."""
        assert self.transport is not None
        self.is_discarding = True
        self.transport.close()
        self._update()

    def abort(self) -> None:
        """Close the connection at once."""
        assert self.transport is not None
        self.is_discarding = True
        self.transport.abort()

    def shed(self) -> None:
        """End the connection to make room; a request that is partly received gets 408."""
        assert self.transport is not None
        if self.transport.get_write_buffer_size():
            self.abort()
        else:
            if self.is_receiving and self.refusal is None:
                self._write(HttpResponse(HTTPStatus.REQUEST_TIMEOUT), "", False)
            self.close()
        self._drop()

    def end_overdue(self) -> None:
        """End a connection that has reached a limit of time."""
        phase = self.account.phase
        if phase in (ConnectionPhase.SENDING, ConnectionPhase.CLOSING):
            self.abort()
        elif self.is_receiving:
            self.refuse(HTTPStatus.REQUEST_TIMEOUT, "too slow")
        else:
            self.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        # The transports of uvloop are not instances of `asyncio.Transport`.
        self.transport = cast(asyncio.Transport, transport)
        self.host.connections.add(self)
        self._restart_idle_timer()
        self._update()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; a request in progress continues without a reader."""
        self.is_lost = True
        self.host.connections.discard(self)
        self._drop()
        self.writable.set()
        self._notify_idle()
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if not self.is_answering:
            self.host.budget.close(self.account)

    def _drop(self) -> None:
        """Forget the requests that were not handed on."""
        self.unparsed.clear()
        self.waiting.clear()
        self.waiting_bytes = 0
        self._begin_request()

    def _notify_idle(self) -> None:
        self.idle.set()
        self.idle = anyio.Event()

    def _restart_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self.idle_timer = loop.call_later(self.host.limits.idle_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.is_answering:
            self._restart_idle_timer()
        else:
            self.close()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that all connections share: it is read before the next call."""
        return self.host.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse a part of a request."""
        if self.is_discarding:
            return
        self.unparsed += memoryview(self.host.buffer)[:nbytes]
        self.account.record_progress(nbytes, _now())
        self._parse()

    def _parse(self) -> None:
        while self.unparsed and not self.is_discarding and not self._is_full():
            piece = bytes(memoryview(self.unparsed)[:PIECE_BYTES])
            del self.unparsed[:PIECE_BYTES]
            self._parse_piece(piece)
            self._claim()
        self._update()

    def _parse_piece(self, piece: bytes) -> None:
        if self.is_reading_head:
            self.head_bytes += len(piece)
        else:
            self.framing_bytes += len(piece)
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # The request itself is served; what follows would be in another protocol.
            self.is_discarding = True
        except httptools.HttpParserError as error:
            logger.debug("http: unreadable request: {}", error)
            self.refuse(HTTPStatus.BAD_REQUEST, "unreadable")
        limits = self.host.limits
        if self.is_reading_head and self.head_bytes > limits.head_bytes:
            self.refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "large head")
        elif self.framing_bytes > limits.head_bytes + MAX_FRAMING_RATIO * len(self.body):
            self.refuse(HTTPStatus.BAD_REQUEST, "unreadable")

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the target of the request."""
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are left out."""
        if self.is_reading_head:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")
            self.held_head_bytes += HEADER_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Refuse a body that is too large, or ask for it if the client waits for that."""
        self.is_reading_head = False
        length = self.headers.get("content-length", "")
        self.announced_bytes = int(length) if length.isdecimal() else 0
        if self.announced_bytes > self.host.limits.body_bytes:
            self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "large body")
        self._claim()
        if self.refusal is None and self.headers.get("expect", "").lower() == "100-continue":
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        if self.refusal is not None:
            return
        self.framing_bytes = max(0, self.framing_bytes - len(body))
        if len(self.body) + len(body) > self.host.limits.body_bytes:
            self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "large body")
        else:
            self.body += body

    def on_message_complete(self) -> None:
        """Answer the request, after the ones before it."""
        if self.refusal is None:
            request = HttpRequest(
                self.parser.get_method().decode("ascii", "replace"),
                self.path.decode("ascii", "replace"),
                self.headers,
                bytes(self.body),
            )
            is_kept_open = self.parser.should_keep_alive() and not self.parser.should_upgrade()
            size = self._receiving_bytes()
            self.waiting.append((request, is_kept_open, size))
            self.waiting_bytes += size
            self.has_requested = True
            self._restart_idle_timer()
        self._begin_request()

    def pause_writing(self) -> None:
        """Stop reading and answering requests while the client does not read the responses."""
        self.is_write_paused = True
        self._update()

    def resume_writing(self) -> None:
        """Read and answer requests again."""
        self.is_write_paused = False
        self.writable.set()
        self.writable = anyio.Event()
        self._parse()

    def _is_full(self) -> bool:
        return self.is_write_paused or len(self.waiting) > self.host.limits.waiting_requests

    def _receiving_bytes(self) -> int:
        body_bytes = max(len(self.body), self.announced_bytes)
        head_bytes = max(self.held_head_bytes, self.head_bytes) + len(self.path)
        return REQUEST_BYTES + head_bytes + BODY_COPIES * body_bytes

    def _held_bytes(self) -> int:
        assert self.transport is not None
        held = CONNECTION_BYTES + len(self.unparsed) + self.waiting_bytes + self.answering_bytes
        if self.is_receiving:
            held += self._receiving_bytes()
        return held + self.transport.get_write_buffer_size()

    def _claim(self) -> None:
        """Account for what was received, or refuse it if there is no room."""
        if self.refusal is not None:
            return
        decision = self.host.budget.hold(self.account, self._held_bytes(), _now())
        self.host.end(decision.shed)
        if not decision.is_granted:
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, "no memory")

    def _update(self) -> None:
        """Bring reading, the account and the answers in line with the state."""
        assert self.transport is not None
        self.account.enter(self._phase(), _now())
        if self.transport.is_closing() or self.is_lost:
            return
        should_pause = self._is_full() and not self.is_discarding
        if should_pause != self.is_paused:
            self.is_paused = should_pause
            if should_pause:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
        self.host.budget.release(self.account, self._held_bytes())
        if self.waiting and not self.is_answering:
            assert self.host.group is not None
            self.is_answering = True
            self.host.group.start_soon(self._answer_waiting)

    def _phase(self) -> ConnectionPhase:
        assert self.transport is not None
        if self.is_write_paused or self.transport.is_closing():
            return ConnectionPhase.SENDING
        if self.is_answering or self.waiting:
            return ConnectionPhase.WORKING
        if self.refusal is not None:
            return ConnectionPhase.CLOSING
        if self.is_receiving:
            return ConnectionPhase.HEAD if self.is_reading_head else ConnectionPhase.BODY
        return ConnectionPhase.IDLE if self.has_requested else ConnectionPhase.NEW

    async def _answer_waiting(self) -> None:
        try:
            while self.waiting:
                if self.is_write_paused:
                    await self.writable.wait()
                    continue
                request, is_kept_open, size = self.waiting.popleft()
                self.waiting_bytes -= size
                self.answering_bytes = size
                response = await self.host.answer(request)
                self.answering_bytes = 0
                if self.host.is_stopping or is_last(response):
                    is_kept_open = False
                self._write(response, request.method, is_kept_open)
                if not is_kept_open:
                    self._drop()
                    self.close()
                self._parse()
        finally:
            self.is_answering = False
            self._notify_idle()
            if self.is_lost:
                self.host.budget.close(self.account)
        if self.refusal is not None:
            self._send_refusal()
        self._update()

    def refuse(self, status: HTTPStatus, reason: str) -> None:
        """End the connection with an error response, after the request in progress.

        No request that is received partly, or waits, was handed on, so none of them runs.
        """
        if self.refusal is not None:
            return
        self.host.count_refusal(reason)
        is_busy = status is HTTPStatus.SERVICE_UNAVAILABLE
        headers = [("retry-after", str(RETRY_AFTER_S))] if is_busy else []
        self.refusal = HttpResponse(status, headers=headers)
        self.is_discarding = True
        if is_busy:
            self._drop()
        if not self.is_answering and not self.waiting:
            self._send_refusal()

    def _send_refusal(self) -> None:
        """Send the refusal; the client may then read it and close the connection.

        Closing at once would discard the refusal while the client still sends.
        """
        assert self.transport is not None and self.refusal is not None
        if self.transport.is_closing():
            return
        self._drop()
        self._write(self.refusal, "", False)
        self.transport.write_eof()
        self._update()
        self._notify_idle()

    def _write(self, response: HttpResponse, method: str, is_kept_open: bool) -> None:
        assert self.transport is not None
        if not self.transport.is_closing():
            self.transport.write(encode_response(response, method, is_kept_open))


def _now() -> float:
    return asyncio.get_running_loop().time()
