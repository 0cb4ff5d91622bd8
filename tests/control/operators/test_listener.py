"""Guards against a listener that fails, hangs or truncates responses when its process stops."""

import contextlib
import time
from typing import Any

import anyio
import httpx
import testtools
from marigolddoor_control.operators import listener, serve_operators
from marigolddoor_control.operators.listener import SHUTDOWN_S
from marigolddoor_wire.peers import Address, parse_address

from tests.operator_fakes import ANN_TOKEN, FakeSystem, fake_application

HEADERS = {"Authorization": f"Bearer {ANN_TOKEN}"}


class StopTest(testtools.TestCase):
    """With open, closed and no connections, the listener stops in time and without an error."""

    scenarios = [
        (f"{way}, {connections}", {"way": way, "connections": connections})
        for way in ("shutdown", "cancelled", "shutdown, then cancelled")
        for connections in ("none", "idle", "closed")
    ]

    def test_stop(self) -> None:
        anyio.run(self.stop)

    async def stop(self) -> None:
        stopping = anyio.Event()
        async with httpx.AsyncClient(headers=HEADERS) as client:
            async with anyio.create_task_group() as group:
                arguments: Any = (fake_application(FakeSystem()), Address("127.0.0.1:0"))
                address = await group.start(serve_operators, *arguments, stopping.wait)
                if self.connections != "none":
                    response = await client.get(f"http://{address}/v1/status")
                    self.assertEqual(200, response.status_code)
                if self.connections == "closed":
                    await client.aclose()
                if "shutdown" in self.way:
                    stopping.set()
                if self.way == "shutdown, then cancelled":
                    await anyio.lowlevel.checkpoint()
                started_s = time.monotonic()
                if "cancelled" in self.way:
                    group.cancel_scope.cancel()
            self.assertLess(time.monotonic() - started_s, SHUTDOWN_S)


class IdleClientTest(testtools.TestCase):
    """A connection whose request is not completed is closed after the timeout."""

    scenarios = [
        ("nothing", {"sent": b""}),
        ("half a header", {"sent": b"GET /v1/status HTTP/1.1\r\nHost"}),
        (
            "half a body",
            {"sent": b"POST /v1/apply HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n{"},
        ),
    ]

    def test_closed(self) -> None:
        # Hypercorn waits for both timeouts, one after the other.
        self.patch(listener, "READ_TIMEOUT_S", 0.1)
        self.patch(listener, "KEEP_ALIVE_S", 0.1)
        anyio.run(self.connect)

    async def connect(self) -> None:
        stopping = anyio.Event()
        async with anyio.create_task_group() as group:
            arguments: Any = (fake_application(FakeSystem()), Address("127.0.0.1:0"))
            address = await group.start(serve_operators, *arguments, stopping.wait)
            async with await anyio.connect_tcp(*parse_address(address)) as stream:
                await stream.send(self.sent)
                with anyio.fail_after(5.0), contextlib.suppress(anyio.EndOfStream):
                    while True:
                        await stream.receive()
            stopping.set()


class AddressTest(testtools.TestCase):
    """An address in use is an error at the start, not an unreachable listener."""

    def test_address_in_use(self) -> None:
        anyio.run(self.bind_twice)

    async def bind_twice(self) -> None:
        stopping = anyio.Event()
        application = fake_application(FakeSystem())
        async with anyio.create_task_group() as group:
            address = await group.start(
                serve_operators, application, Address("127.0.0.1:0"), stopping.wait
            )
            try:
                await serve_operators(application, address, stopping.wait)
                self.fail("the address was used twice")
            except OSError:
                pass
            stopping.set()
