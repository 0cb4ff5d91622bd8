"""Guards against lost, mixed or unbounded requests of executors and operators."""

import contextlib
from collections.abc import AsyncIterator

import anyio
import testscenarios
import testtools
from anyio.abc import SocketStream
from loguru import logger
from marigolddoor_wire import http_server
from marigolddoor_wire.http_listener import bound_address, listen
from marigolddoor_wire.http_server import HttpRequest, HttpResponse, HttpServer
from marigolddoor_wire.peers import Address, parse_address

logger.disable("marigolddoor_wire")

LOOPS = [
    ("asyncio", {"options": {"use_uvloop": False}}),
    ("uvloop", {"options": {"use_uvloop": True}}),
]
POST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
GET = b"GET /y HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE = http_server.MAX_BODY_BYTES + 1


async def respond(request: HttpRequest) -> HttpResponse:
    """Describe the request; some paths fail or take a while."""
    if request.path == "/faulty":
        raise AttributeError("a fault of the handler")
    if request.path == "/slow":
        await anyio.sleep(0.2)
    text = f"{request.method} {request.path} {len(request.body)}"
    return HttpResponse(200, text.encode(), [("x-host", request.headers.get("host", ""))])


@contextlib.asynccontextmanager
async def connected(idle_timeout_s: float = 5.0) -> AsyncIterator[SocketStream]:
    """Run a server and connect to it."""
    listener = listen(Address("127.0.0.1:0"))
    host, port = parse_address(bound_address(listener))
    async with anyio.create_task_group() as group:
        group.start_soon(HttpServer(respond, idle_timeout_s).run, listener)
        async with await anyio.connect_tcp(host, port) as stream:
            yield stream
        group.cancel_scope.cancel()


async def receive_all(stream: SocketStream, quiet_s: float = 0.4) -> tuple[bytes, bool]:
    """Return what arrives until nothing does for `quiet_s`, and whether the server closed."""
    data = b""
    while True:
        try:
            with anyio.fail_after(quiet_s):
                data += await stream.receive()
        except TimeoutError:
            return data, False
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return data, True


class RequestTest(testtools.TestCase):
    """Each request gets its own response, in the order of the requests."""

    scenarios = testscenarios.multiply_scenarios(
        [
            (name, {"parts": parts, "bodies": bodies, "is_closed": is_closed})
            for name, parts, bodies, is_closed in (
                ("one", [POST], [b"POST /x 2"], False),
                ("one after the other", [POST, GET], [b"POST /x 2", b"GET /y 0"], False),
                ("pipelined", [POST + GET], [b"POST /x 2", b"GET /y 0"], False),
                (
                    "pipelined after a slow one",
                    [GET.replace(b"/y", b"/slow") + POST],
                    [b"GET /slow 0", b"POST /x 2"],
                    False,
                ),
                (
                    "byte by byte",
                    [POST[n : n + 1] for n in range(len(POST))],
                    [b"POST /x 2"],
                    False,
                ),
                (
                    "chunked",
                    [
                        b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                    ],
                    [b"POST /x 5"],
                    False,
                ),
                (
                    "closed after it",
                    [POST.replace(b"Host: a", b"Host: a\r\nConnection: close")],
                    [b"POST /x 2"],
                    True,
                ),
                ("HTTP/1.0", [b"GET /z HTTP/1.0\r\n\r\n"], [b"GET /z 0"], True),
                (
                    "a fault of the handler",
                    [GET.replace(b"/y", b"/faulty"), POST],
                    [b"500 Internal", b"POST /x 2"],
                    False,
                ),
                (
                    "waits for a go-ahead",
                    [POST.replace(b"\r\n\r\n{}", b"\r\nExpect: 100-continue\r\n\r\n"), b"{}"],
                    [b"100 Continue", b"POST /x 2"],
                    False,
                ),
            )
        ],
        LOOPS,
    )

    def test_responses(self) -> None:
        async def run() -> None:
            async with connected() as stream:
                for part in self.parts:
                    await stream.send(part)
                    await anyio.sleep(0.002)
                data, is_closed = await receive_all(stream)
            position = -1
            for body in self.bodies:
                found = data.find(body, position + 1)
                self.assertTrue(found > position, f"{body!r} after {position} in {data!r}")
                position = found
            self.assertEqual(self.is_closed, is_closed)

        anyio.run(run, backend_options=self.options)


class OddRequestTest(testtools.TestCase):
    """A request that can't be read, or is too large, costs its connection only."""

    scenarios = [
        (name, {"data": data, "status": status})
        for name, data, status in (
            ("not HTTP", b"\x16\x03\x01\x00\xff" * 9, b"400"),
            ("negative length", b"POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", b"400"),
            ("two lengths", POST.replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\n"), b"400"),
            ("after a request", GET + b"\x00\x01\r\n\r\n", b"400"),
            ("large head", b"GET /x HTTP/1.1\r\n" + b"A: b\r\n" * 20_000, b"431"),
            (
                "large body",
                b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % LARGE + b"x" * LARGE,
                b"413",
            ),
        )
    ]

    def test_refused(self) -> None:
        async def run() -> None:
            async with connected() as stream:
                with contextlib.suppress(anyio.BrokenResourceError):
                    await stream.send(self.data)
                data, is_closed = await receive_all(stream)
                self.assertTrue(is_closed)
                self.assertIn(b"HTTP/1.1 " + self.status, data)

        anyio.run(run)


class IdleTest(testtools.TestCase):
    """A client that sends nothing, or never completes a request, does not keep its connection."""

    scenarios = [
        ("nothing", {"data": b"", "is_closed": True}),
        ("part of a head", {"data": POST[:20], "is_closed": True}),
        ("part of a body", {"data": POST[:-1], "is_closed": True}),
        ("slow response", {"data": GET.replace(b"/y", b"/slow"), "is_closed": False}),
    ]

    def test_closed(self) -> None:
        async def run() -> None:
            async with connected(idle_timeout_s=0.1) as stream:
                if self.data:
                    await stream.send(self.data)
                data, is_closed = await receive_all(stream, quiet_s=0.25)
                self.assertEqual(self.is_closed, is_closed and not data)

        anyio.run(run)


class ManyRequestsTest(testtools.TestCase):
    """A client that sends many requests at once gets all responses, in order.

    The server stops reading while more than a few of them wait.
    """

    scenarios = [("some", {"count": 20}), ("many", {"count": 400}), ("thousands", {"count": 3000})]

    def test_all_answered(self) -> None:
        async def run() -> None:
            async with connected() as stream:
                requests = b"".join(
                    GET.replace(b"/y", b"/%d" % number) for number in range(self.count)
                )
                async with anyio.create_task_group() as group:
                    group.start_soon(stream.send, requests)
                    data, is_closed = await receive_all(stream)
                numbers = [int(part.split()[0]) for part in data.split(b"GET /")[1:]]
                self.assertEqual(list(range(self.count)), numbers)
                self.assertFalse(is_closed)

        anyio.run(run)


class CancelledServerTest(testtools.TestCase):
    """Requests in progress are answered when the server is cancelled."""

    scenarios = LOOPS

    def test_answered(self) -> None:
        async def run() -> None:
            listener = listen(Address("127.0.0.1:0"))
            host, port = parse_address(bound_address(listener))
            async with anyio.create_task_group() as group:
                group.start_soon(HttpServer(respond).run, listener)
                stream = await anyio.connect_tcp(host, port)
                await stream.send(GET.replace(b"/y", b"/slow"))
                await anyio.sleep(0.05)
                group.cancel_scope.cancel()
            data, is_closed = await receive_all(stream)
            self.assertIn(b"GET /slow 0", data)
            self.assertTrue(is_closed)
            await stream.aclose()

        anyio.run(run, backend_options=self.options)
