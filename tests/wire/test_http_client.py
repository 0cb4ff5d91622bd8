"""Guards against calls that are carried out long after the caller has given up."""

import socket
import struct
from typing import Any

import anyio
import testscenarios
import testtools
from anyio.abc import TaskGroup
from marigolddoor_wire.http_client import (
    HttpAnswer,
    HttpNoAnswerError,
    HttpPool,
    HttpUnreachableError,
)
from marigolddoor_wire.peers import Address

LOOPS = [
    ("asyncio", {"options": {"use_uvloop": False}}),
    ("uvloop", {"options": {"use_uvloop": True}}),
]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


async def receive_request(connection: socket.socket) -> bytes:
    connection.setblocking(False)
    data = b""
    while b"\r\n\r\n" not in data:
        await anyio.wait_readable(connection)
        data += connection.recv(65536)
    return data


class TimedOutCallTest(testtools.TestCase):
    """A call that times out resets its connection, so that undelivered data is discarded.

    Found on tmpa-jellyworks (trouble-2, seed 1098310954633): a deposed leader's order for a machine
    was delayed by a partition and arrived 1 s after an order of the next leader (ONE).
    """

    scenarios = LOOPS

    def test_reset(self) -> None:
        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
                pool = HttpPool(8)
                try:
                    await pool.call(address, "/order", b"{}", 0.1)
                except HttpNoAnswerError:
                    connection, _ = listener.accept()
                    # The loop closes the connection in its next iteration.
                    await anyio.sleep(0.05)
                    with connection:
                        connection.settimeout(1.0)
                        # Linux still returns the data that arrived before the reset.
                        connection.recv(65536)
                        self.assertRaises(ConnectionResetError, connection.recv, 65536)
                    return
            self.fail("the call was answered")

        anyio.run(run, backend_options=self.options)


class ResetByServerTest(testtools.TestCase):
    """A connection reset by the server must fail the call, not end the process.

    Found in the incident inc-4350 on tmpa-jellyworks: three control processes ended with a bad file
    descriptor, because the linger option was set on a socket that was already closed.
    """

    scenarios = testscenarios.multiply_scenarios(
        [
            ("reset", {"linger": struct.pack("ii", 1, 0)}),
            ("closed", {"linger": struct.pack("ii", 0, 0)}),
        ],
        LOOPS,
    )

    def test_reset(self) -> None:
        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
                errors: list[str] = []

                async def call() -> None:
                    try:
                        await HttpPool(8).call(address, "/x", b"{}", 1.0)
                    except HttpNoAnswerError as error:
                        errors.append(type(error).__name__)

                async with anyio.create_task_group() as group:
                    group.start_soon(call)
                    await anyio.wait_readable(listener)
                    connection, _ = listener.accept()
                    await receive_request(connection)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, self.linger)
                    connection.close()
                self.assertEqual(["HttpNoAnswerError"], errors)

        anyio.run(run, backend_options=self.options)


class ClosedBeforeCallTest(testtools.TestCase):
    """A connection that is lost before the call is written fails the call at once, as not sent.

    asyncio drops what is written to a lost connection, so the call would time out; uvloop raises
    an error that nothing expects.
    """

    scenarios = LOOPS

    def test_not_sent(self) -> None:
        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
                pool = HttpPool(8)
                connection = await pool._connection(address, 1.0)
                connection.reset()
                await anyio.sleep(0.05)
                connection.reset()
                pool._keep(connection)
                with testtools.ExpectedException(HttpUnreachableError):
                    await pool.call(address, "/x", b"{}", 0.5)
                self.assertEqual(0, pool.idle_count)

        anyio.run(run, backend_options=self.options)


class ConnectionReuseTest(testtools.TestCase):
    """A connection is reused only after a complete answer."""

    scenarios = [
        ("complete answer", {"answer": OK, "status": 200, "is_reused": True}),
        ("truncated answer", {"answer": OK[:-1], "status": None, "is_reused": False}),
        ("not HTTP", {"answer": b"what?\r\n\r\n", "status": None, "is_reused": False}),
        (
            "answer with Connection: close",
            {
                "answer": OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
                "status": 200,
                "is_reused": False,
            },
        ),
    ]

    def test_answer(self) -> None:
        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
                pool = HttpPool(8)
                got: list[HttpAnswer] = []

                async def call() -> None:
                    try:
                        got.append(await pool.call(address, "/x", b"{}", 1.0))
                    except HttpNoAnswerError:
                        return

                async with anyio.create_task_group() as group:
                    group.start_soon(call)
                    await anyio.wait_readable(listener)
                    connection, _ = listener.accept()
                    self.assertIn(b"POST /x", await receive_request(connection))
                    connection.sendall(self.answer)
                    if not self.is_reused:
                        connection.close()
                self.assertEqual(
                    [] if self.status is None else [self.status], [one.status for one in got]
                )
                self.assertEqual(self.is_reused, bool(pool.idle.get(address)))
                await pool.forget(address)
                connection.close()

        anyio.run(run)

    def test_no_listener(self) -> None:
        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
            try:
                await HttpPool(8).call(address, "/x", b"", 0.5)
            except HttpUnreachableError:
                return
            self.fail("the call was answered")

        anyio.run(run)


class IdleConnectionTest(testtools.TestCase):
    """A call must not be sent on a connection that the server closed or wrote to while it was idle.

    Such a call got no answer, so the leader took an executor that closes idle connections for
    unresponsive.
    """

    scenarios = [
        ("closed by the server", {"data": b"", "is_closed": True, "accepted": 2}),
        ("unexpected answer", {"data": OK, "is_closed": False, "accepted": 2}),
        ("idle", {"data": b"", "is_closed": False, "accepted": 1}),
    ]

    def test_next_call(self) -> None:
        async def run() -> int:
            pool = HttpPool(8)
            accepted: list[socket.socket] = []
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = Address(f"127.0.0.1:{listener.getsockname()[1]}")

                async def serve() -> None:
                    connection = await self.request(listener, accepted)
                    connection.sendall(OK)
                    await anyio.sleep(0.05)
                    if self.data:
                        connection.sendall(self.data)
                    if self.is_closed:
                        connection.close()
                    (await self.request(listener, accepted)).sendall(OK)

                async with anyio.create_task_group() as group:
                    group.start_soon(serve)
                    await pool.call(address, "/x", b"", 2.0)
                    await anyio.sleep(0.2)
                    answer = await pool.call(address, "/x", b"", 2.0)
                    self.assertEqual(b"{}", answer.body)
                await pool.forget(address)
            for connection in accepted:
                connection.close()
            return len(accepted)

        self.assertEqual(self.accepted, anyio.run(run))

    async def request(
        self, listener: socket.socket, accepted: list[socket.socket]
    ) -> socket.socket:
        """Wait for a request on the expected connection, which is the first or a new one."""
        if len(accepted) < (1 if self.accepted == 1 else 2):
            await anyio.wait_readable(listener)
            accepted.append(listener.accept()[0])
        await receive_request(accepted[-1])
        return accepted[-1]


class EventLoopTest(testtools.TestCase):
    """The client works on the loop of the platform's processes, whose transports are of own types.

    A check of the type failed there in each call and ended one leader after the other.
    """

    scenarios = LOOPS

    def test_calls(self) -> None:
        async def run() -> None:
            pool = HttpPool(8)
            servers = EchoServers(1, delay_s=0.05)
            async with anyio.create_task_group() as group:
                group.start_soon(servers.run)
                for _ in range(2):
                    answer = await pool.call(servers.address(0), "/x", b"{}", 2.0)
                    self.assertEqual(HttpAnswer(200, b"{}"), answer)
                try:
                    await pool.call(servers.address(0), "/x", b"{}", 0.01)
                    self.fail("the call was answered")
                except HttpNoAnswerError:
                    group.cancel_scope.cancel()
            self.assertEqual([1], servers.accepted)

        anyio.run(run, backend_options=self.options)


class EchoServers:
    """Servers that answer every request after `delay_s`, and count their connections."""

    def __init__(self, count: int, delay_s: float) -> None:
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
        self.delay_s = delay_s
        self.accepted = [0] * count
        self.open = 0
        self.most_open = 0

    def address(self, number: int) -> Address:
        return Address(f"127.0.0.1:{self.listeners[number].getsockname()[1]}")

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            for number, listener in enumerate(self.listeners):
                group.start_soon(self._accept, number, listener, group)

    async def _accept(self, number: int, listener: socket.socket, group: TaskGroup) -> None:
        with listener:
            while True:
                await anyio.wait_readable(listener)
                connection, _ = listener.accept()
                self.accepted[number] += 1
                self.open += 1
                self.most_open = max(self.most_open, self.open)
                group.start_soon(self._answer, connection)

    async def _answer(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        with connection:
            while True:
                await anyio.wait_readable(connection)
                if not connection.recv(65536):
                    break
                await anyio.sleep(self.delay_s)
                connection.sendall(OK)
        self.open -= 1


class ManyAddressesTest(testtools.TestCase):
    """Calls to many addresses must not use up the file descriptors of the process.

    Connections stayed open as long as their address was in use, one for each call that had been
    concurrent, so a leader of 350 executors held 2,334 descriptors of 4,096.
    """

    scenarios = [
        ("one after the other", {"calls": [[0], [1], [2], [3]], "accepted": [1, 1, 1, 1]}),
        ("reuse of the latest", {"calls": [[0], [1], [2], [1], [2]], "accepted": [1, 1, 1, 0]}),
        ("the oldest is closed", {"calls": [[0], [1], [0], [2], [0]], "accepted": [1, 1, 1, 0]}),
        ("concurrent", {"calls": [[0, 1, 2, 3]], "accepted": [1, 1, 1, 1]}),
    ]

    def test_open_connections(self) -> None:
        async def run() -> None:
            pool = HttpPool(max_connections=2)
            servers = EchoServers(4, delay_s=0.01)
            async with anyio.create_task_group() as group:
                group.start_soon(servers.run)
                for numbers in self.calls:
                    async with anyio.create_task_group() as calls:
                        for number in numbers:
                            calls.start_soon(pool.call, servers.address(number), "/x", b"", 2.0)
                    # The servers notice closed connections.
                    await anyio.sleep(0.02)
                    self.assertTrue(servers.open <= 2, f"{servers.open} are open")
                self.assertEqual(self.accepted, servers.accepted)
                for number in range(4):
                    await pool.forget(servers.address(number))
                group.cancel_scope.cancel()
            self.assertEqual((0, 2), (pool.idle_count, pool.unused.value))

        anyio.run(run)


class ExpiredPermissionTest(testtools.TestCase):
    """A call must not be sent whose permission expired while it waited for a connection.

    The leader checked its lease before the call; the call then waited up to 0.8 s for a free
    connection and 0.7 s for a new one, while the next leader could send orders already.
    """

    scenarios = [
        ("valid", {"valid_s": 5.0, "statuses": [200, 200]}),
        ("expired while all connections were in use", {"valid_s": 0.1, "statuses": [200, None]}),
        ("expired before", {"valid_s": -1.0, "statuses": [200, None]}),
    ]

    def test_sent(self) -> None:
        async def run() -> None:
            pool = HttpPool(max_connections=1)
            servers = EchoServers(2, delay_s=0.3)
            statuses: list[int | None] = []
            async with anyio.create_task_group() as group:
                group.start_soon(servers.run)
                expires_at = anyio.current_time() + self.valid_s

                async def call(number: int, may_send: Any) -> None:
                    try:
                        address = servers.address(number)
                        answer = await pool.call(address, "/x", b"", 2.0, may_send=may_send)
                        statuses.append(answer.status)
                    except HttpUnreachableError:
                        statuses.append(None)

                async with anyio.create_task_group() as calls:
                    calls.start_soon(call, 0, None)
                    await anyio.sleep(0.02)
                    calls.start_soon(call, 1, lambda: anyio.current_time() < expires_at)
                group.cancel_scope.cancel()
            self.assertEqual(self.statuses, statuses)
            self.assertEqual(1, pool.unused.value)

        anyio.run(run)


class AllInUseTest(testtools.TestCase):
    """A call that gets no connection in time is not sent, and counts as such."""

    def test_not_sent(self) -> None:
        async def run() -> None:
            pool = HttpPool(max_connections=1)
            servers = EchoServers(2, delay_s=0.3)
            async with anyio.create_task_group() as group:
                group.start_soon(servers.run)
                group.start_soon(pool.call, servers.address(0), "/x", b"", 2.0)
                await anyio.sleep(0.05)
                try:
                    await pool.call(servers.address(1), "/x", b"", 0.1)
                except HttpUnreachableError:
                    group.cancel_scope.cancel()
                    return
            self.fail("the call was answered")

        anyio.run(run)
