"""Guards against clients that make an HTTP server hold more than its part of the memory."""

import contextlib
from collections.abc import AsyncIterator

import anyio
import testscenarios
import testtools
from anyio.abc import SocketStream
from loguru import logger
from marigolddoor_core.connections import BudgetPart, ConnectionLimits
from marigolddoor_wire.http_listener import bound_address, listen
from marigolddoor_wire.http_server import MAX_BODY_BYTES, HttpRequest, HttpResponse, HttpServer
from marigolddoor_wire.peers import Address, parse_address

from tests.wire.test_http_server import LOOPS, receive_all

logger.disable("marigolddoor_wire")

PART = BudgetPart(100_000, 10)
# A body of this size fits once into the part.
LARGE = 30_000
ANSWER = b"y" * 200_000
REQUESTS = 60
# Longer than the interval at which overdue connections are ended.
QUIET_S = 2.0


class Server:
    """A server that counts the requests that it was handed."""

    def __init__(self, part: BudgetPart = PART, limits: ConnectionLimits | None = None) -> None:
        self.handed_on = 0
        self.server = HttpServer(self.respond, 75.0, part, limits or ConnectionLimits())
        self.address = ("", 0)

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Answer with a large body or the length of the request."""
        self.handed_on += 1
        if request.path == "/large-answer":
            return HttpResponse(200, ANSWER)
        return HttpResponse(200, f"length {len(request.body)}".encode())

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Serve on a loopback address."""
        listener = listen(Address("127.0.0.1:0"))
        self.address = parse_address(bound_address(listener))
        async with anyio.create_task_group() as group:
            group.start_soon(self.server.run, listener)
            yield
            group.cancel_scope.cancel()

    async def connect(self) -> SocketStream:
        """Return a connection to the server."""
        return await anyio.connect_tcp(*self.address)


def head(*fields: str) -> bytes:
    return "\r\n".join(("POST /x HTTP/1.1", "Host: a", *fields, "", "")).encode()


def chunks(size: int, count: int) -> bytes:
    return (b"%x\r\n" % size + b"x" * size + b"\r\n") * count


class LimitTest(testtools.TestCase):
    """A request beyond a limit is refused, closed and not handed on; others are served."""

    scenarios = testscenarios.multiply_scenarios(
        [
            (name, {"data": data, "status": status, "retry": retry, "handed_on": handed_on})
            for name, data, status, retry, handed_on in (
                ("within", head(f"Content-Length: {LARGE}") + b"x" * LARGE, 200, False, 1),
                (
                    "small chunks",
                    head("Transfer-Encoding: chunked") + chunks(1, 9000) + b"0\r\n\r\n",
                    200,
                    False,
                    1,
                ),
                ("announced, no room", head("Content-Length: 200000"), 503, True, 0),
                (
                    "chunked, no room",
                    head("Transfer-Encoding: chunked") + chunks(9000, 10),
                    503,
                    True,
                    0,
                ),
                (
                    "asks for a go-ahead, no room",
                    head("Content-Length: 200000", "Expect: 100-continue"),
                    503,
                    True,
                    0,
                ),
                (
                    "announced, too large",
                    head(f"Content-Length: {MAX_BODY_BYTES + 1}"),
                    413,
                    False,
                    0,
                ),
                (
                    "endless trailers",
                    head("Transfer-Encoding: chunked") + b"0\r\n" + b"a: b\r\n" * 10_000,
                    400,
                    False,
                    0,
                ),
                (
                    "many small headers",
                    head()[:-2] + b"".join(b"h%d:\r\n" % n for n in range(600)),
                    503,
                    True,
                    0,
                ),
                ("stops within a head", head()[:-2], 408, False, 0),
                ("stops within a body", head("Content-Length: 9") + b"x", 408, False, 0),
                ("another protocol", head("Connection: upgrade", "Upgrade: h2c"), 200, False, 1),
            )
        ],
        LOOPS,
    )

    def test_status(self) -> None:
        async def run() -> None:
            server = Server(limits=ConnectionLimits(head_s=0.5, body_s=0.5))
            async with server.running(), await server.connect() as stream:
                with contextlib.suppress(anyio.BrokenResourceError):
                    await stream.send(self.data)
                data, is_closed = await receive_all(stream, QUIET_S)
                self.assertTrue(data.startswith(b"HTTP/1.1 %d " % self.status), data[:80])
                self.assertEqual(self.retry, b"retry-after: 1" in data)
                self.assertEqual(self.handed_on, server.handed_on)
                is_refused = self.status != 200
                self.assertTrue(is_closed or not is_refused)

        anyio.run(run, backend_options=self.options)


class UnreadTest(testtools.TestCase):
    """Requests are not handed on while the answers before them are not read."""

    scenarios = LOOPS

    def test_answers(self) -> None:
        async def run() -> None:
            server = Server()
            request = b"GET /large-answer HTTP/1.1\r\nHost: a\r\n\r\n"
            async with server.running(), await server.connect() as stream:
                await stream.send(request * REQUESTS)
                await anyio.sleep(0.5)
                self.assertTrue(server.handed_on < REQUESTS, f"{server.handed_on}")
                self.assertTrue(server.server.budget.held_bytes < 2 * len(ANSWER))
                data, _ = await receive_all(stream)
                self.assertEqual(REQUESTS, data.count(b"HTTP/1.1 200 "))

        anyio.run(run, backend_options=self.options)


class ShedTest(testtools.TestCase):
    """A request that stopped makes room for another one, or for another connection."""

    scenarios = testscenarios.multiply_scenarios(
        [
            ("bytes", {"part": PART, "stopped_for_s": 1.5}),
            ("connections", {"part": BudgetPart(None, 1), "stopped_for_s": 1.5}),
        ],
        LOOPS,
    )

    def test_room(self) -> None:
        async def run() -> None:
            server = Server(self.part)
            data = head(f"Content-Length: {LARGE}") + b"x" * LARGE
            async with server.running(), await server.connect() as stopped:
                await stopped.send(data[:-10])
                await anyio.sleep(self.stopped_for_s)
                async with await server.connect() as stream:
                    await stream.send(data)
                    answer, _ = await receive_all(stream)
                self.assertIn(b"200 OK", answer)
                answer, is_closed = await receive_all(stopped)
                self.assertIn(b"408 ", answer)
                self.assertTrue(is_closed)
                self.assertEqual(1, server.handed_on)

        anyio.run(run, backend_options=self.options)


class KeptTest(testtools.TestCase):
    """A connection that keeps up is not ended for others; these are refused."""

    scenarios = [
        ("bytes", {"part": PART}),
        ("connections", {"part": BudgetPart(None, 1)}),
    ]

    def test_kept(self) -> None:
        async def run() -> None:
            server = Server(self.part)
            data = head(f"Content-Length: {LARGE}") + b"x" * LARGE
            async with server.running(), await server.connect() as kept:
                await kept.send(data[:-10])
                await anyio.sleep(0.1)
                async with await server.connect() as stream:
                    await stream.send(data[:100])
                    answer, is_closed = await receive_all(stream)
                self.assertIn(b"503 ", answer)
                self.assertTrue(is_closed)
                await kept.send(data[-10:])
                answer, _ = await receive_all(kept)
                self.assertIn(b"200 OK", answer)

        anyio.run(run)
