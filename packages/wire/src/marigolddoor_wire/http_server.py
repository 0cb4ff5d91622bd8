"""A minimal HTTP/1.1 server for many short requests on connections that stay open.

Executors send heartbeats to the leader every 1.5 s. With hypercorn and an ASGI application a
request takes 0.45 ms of its processor time, here 0.07 ms: the parser is httptools, and connections
are protocols of the event loop; only a request in progress has a task.
"""

import asyncio
import contextlib
import functools
import socket
from collections import Counter
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_core.connections import (
    Account,
    BudgetPart,
    ByteBudget,
    ConnectionLimits,
    LeastProgressFirst,
)
from marigolddoor_core.input_limits import shorten

from marigolddoor_wire.http_connection import HttpConnection
from marigolddoor_wire.http_messages import (
    HttpRequest,
    HttpResponse,
    RespondToRequest,
    encode_response,
)

__all__ = ["HttpRequest", "HttpResponse", "HttpServer", "RespondToRequest"]

LIMITS = ConnectionLimits()
# The longest document that an operator sends has 262,144 bytes; the rest is left for its envelope.
MAX_BODY_BYTES = LIMITS.body_bytes
# Without settings of its own a process has the usual soft limit of 1024 descriptors.
UNLIMITED = BudgetPart(None, 1024)
# Requests in progress get this long to end when the server is cancelled.
CANCEL_GRACE_S = 0.5
# Bytes that are read from a connection at once.
READ_BYTES = 16_384
# Interval at which overdue connections are ended and refusals are logged.
SWEEP_S = 1.0
# Delay after a connection could not be accepted, for example for lack of descriptors.
ACCEPT_RETRY_S = 0.1
NO_ROOM = encode_response(HttpResponse(503, headers=[("retry-after", "1")]), "", False)


class HttpServer:
    """Serves requests on one listening socket, within a part of the byte budget of the process.

    Example:
      >>> async def respond(request):
      ...     return HttpResponse(200)
      >>> server = HttpServer(respond)  # then: await server.run(listener)
    """

    def __init__(
        self,
        respond: RespondToRequest,
        idle_timeout_s: float = LIMITS.idle_s,
        part: BudgetPart = UNLIMITED,
        limits: ConnectionLimits = LIMITS,
    ) -> None:
        self.respond = respond
        self.limits = replace(limits, idle_s=idle_timeout_s)
        self.budget = ByteBudget(part, LeastProgressFirst(self.limits))
        self.connections: set[HttpConnection] = set()
        self.group: TaskGroup | None = None
        self.buffer = bytearray(READ_BYTES)
        self.is_stopping = False
        self.refusals: Counter[str] = Counter()
        self.grace = anyio.CancelScope()

    async def run(
        self,
        listener: socket.socket,
        stop: anyio.Event | None = None,
        graceful_s: float = CANCEL_GRACE_S,
    ) -> None:
        """Serve until `stop` is set; requests in progress may then end within `graceful_s`.

        After a cancellation they may end within `CANCEL_GRACE_S`.
        """
        stop = stop or anyio.Event()
        ended = anyio.Event()
        async with anyio.create_task_group() as outer:
            outer.start_soon(self._watch, stop, ended)
            with anyio.CancelScope(shield=True):
                await self._serve(listener, ended, graceful_s)
            outer.cancel_scope.cancel()

    async def _watch(self, stop: anyio.Event, ended: anyio.Event) -> None:
        try:
            await stop.wait()
            ended.set()
            await anyio.sleep_forever()
        finally:
            # Cancelled, by the end of `_serve` or from outside.
            ended.set()
            self.grace.deadline = min(self.grace.deadline, anyio.current_time() + CANCEL_GRACE_S)

    async def _serve(self, listener: socket.socket, ended: anyio.Event, graceful_s: float) -> None:
        async with anyio.create_task_group() as self.group:
            async with anyio.create_task_group() as accepting:
                accepting.start_soon(self._accept, listener)
                self.group.start_soon(self._sweep)
                await ended.wait()
                accepting.cancel_scope.cancel()
            listener.close()
            self.is_stopping = True
            for connection in list(self.connections):
                if not connection.is_busy:
                    connection.close()
            self.grace.deadline = min(self.grace.deadline, anyio.current_time() + graceful_s)
            with self.grace:
                for connection in list(self.connections):
                    await connection.wait_until_idle()
            for connection in list(self.connections):
                connection.close()
            self.group.cancel_scope.cancel()

    async def _accept(self, listener: socket.socket) -> None:
        """Accept connections one at a time, so that the budget holds at each moment."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(listener)
            except OSError as error:
                logger.warning("http: a connection can't be accepted: {}", error)
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            account, shed = self.budget.open(loop.time())
            self.end(shed)
            if account is None:
                self.count_refusal("no connection left")
                with contextlib.suppress(OSError):
                    accepted.send(NO_ROOM)
                accepted.close()
                continue
            connect = functools.partial(HttpConnection, self, account)
            try:
                await loop.connect_accepted_socket(connect, accepted)
            except OSError:
                self.budget.close(account)
                accepted.close()

    async def _sweep(self) -> None:
        """End overdue connections, and log what was refused, in one line each second."""
        while True:
            slept_at = anyio.current_time()
            await anyio.sleep(SWEEP_S)
            now = anyio.current_time()
            if now - slept_at > 2 * SWEEP_S:
                # This process was frozen, and what clients sent meanwhile is not read yet.
                continue
            for connection in list(self.connections):
                if self.limits.is_overdue(connection.account, now):
                    connection.end_overdue()
            if self.refusals:
                counts = ", ".join(f"{count} {name}" for name, count in self.refusals.items())
                logger.info(
                    "http: refused {}; {} connections hold {} bytes",
                    counts,
                    len(self.connections),
                    self.budget.held_bytes,
                )
                self.refusals.clear()

    def end(self, accounts: tuple[Account, ...]) -> None:
        """End the connections that the budget chose."""
        for connection in list(self.connections) if accounts else ():
            if connection.account in accounts:
                connection.shed()
        for account in accounts:
            self.count_refusal("behind")
            self.budget.close(account)

    def count_refusal(self, reason: str) -> None:
        """Count a refused request or connection."""
        self.refusals[reason] += 1

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request; an unexpected error affects this request only."""
        try:
            return await self.respond(request)
        except Exception as error:
            logger.exception("http: {} {} failed: {}", request.method, shorten(request.path), error)
            return HttpResponse(500)
