"""Guards against an address or an answer of another process that ends the caller."""

from typing import Any

import anyio
import testtools
from anyio.abc import SocketStream
from marigolddoor_wire import http_client
from marigolddoor_wire.codec import encode_body
from marigolddoor_wire.envelopes import decode_envelope, write_struct
from marigolddoor_wire.errors import RemoteError
from marigolddoor_wire.frames import FrameReader, frame
from marigolddoor_wire.gen.messages import ttypes
from marigolddoor_wire.handshake import SharedKey, accept
from marigolddoor_wire.http_client import (
    HttpAnswer,
    HttpNoAnswerError,
    HttpPool,
    HttpUnreachableError,
)
from marigolddoor_wire.messages import Acknowledgement
from marigolddoor_wire.peers import Address, PeerPool, parse_address

from tests.platform.odd_documents import ODD_ADDRESSES

KEY = SharedKey(b"k")
HEAD = b"HTTP/1.1 200 OK\r\n"


class OddAddressTest(testtools.TestCase):
    """A call to an address that can't be used was not sent.

    An address that an earlier version stored in the log is called by each new leader.
    """

    scenarios = [
        (repr(address)[:40], {"address": address})
        for address in ODD_ADDRESSES
        if address != "10.0.0.9:0"
    ]

    def test_unreachable(self) -> None:
        async def call() -> HttpAnswer:
            return await HttpPool(8).call(Address(self.address), "/hold", b"{}", 0.5)

        self.assertRaises(HttpUnreachableError, anyio.run, call)

    def test_not_an_address(self) -> None:
        self.assertRaises(ValueError, parse_address, self.address)


class OddRequestTest(testtools.TestCase):
    """A call whose header or path can't be sent was not sent."""

    scenarios = [
        (repr(value), {"value": value}) for value in ("a\r\nb", "\x00", "\u00e9", "\ud800")
    ]

    def test_unreachable(self) -> None:
        async def header() -> None:
            await HttpPool(8).call(Address("127.0.0.1:9"), "/x", b"", 0.5, [("X-Id", self.value)])

        async def path() -> None:
            await HttpPool(8).call(Address("127.0.0.1:9"), "/x" + self.value, b"", 0.5)

        self.assertRaises(HttpUnreachableError, anyio.run, header)
        self.assertRaises(HttpUnreachableError, anyio.run, path)


class OddAnswerTest(testtools.TestCase):
    """An HTTP answer that can't be read fails its call only."""

    scenarios = [
        (name, {"data": data})
        for name, data in (
            ("not HTTP", b"\x16\x03\x01\x00\xff" * 9),
            ("length with many digits", HEAD + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\nx"),
            ("length with 20 digits", HEAD + b"Content-Length: " + b"9" * 20 + b"\r\n\r\nx"),
            ("negative length", HEAD + b"Content-Length: -1\r\n\r\nx"),
            ("two lengths", HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"),
            ("chunk size", HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            ("large chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 20 + b"\r\nx"),
            ("many headers", HEAD + b"A: b\r\n" * 20_000),
            ("one long header", HEAD + b"A: " + b"b" * 200_000),
            ("upgrade", b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
            ("hints only", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
            ("status", b"HTTP/1.1 99999 OK\r\n\r\n"),
            ("large body", HEAD + b"\r\n" + b"x" * (http_client.MAX_ANSWER_BYTES + 1)),
            ("closed", b""),
        )
    ]

    def test_no_answer(self) -> None:
        self.assertRaises(HttpNoAnswerError, _exchange, [self.data])


class SecondAnswerTest(testtools.TestCase):
    """Bytes after an answer are not taken for the answer to the next call."""

    def test_not_reused(self) -> None:
        first = HEAD + b"Content-Length: 1\r\n\r\n1"
        forged = HEAD + b"Content-Length: 1\r\n\r\n2"
        third = HEAD + b"Content-Length: 1\r\n\r\n3"
        self.assertEqual([b"1", b"3"], _exchange([first + forged, third]))


def _exchange(answers: list[bytes]) -> list[bytes]:
    """Call a server once for each of its answers; return the bodies that were read."""

    async def run() -> list[bytes]:
        left = list(answers)

        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                try:
                    await stream.send(left.pop(0))
                    if left:
                        await stream.receive()
                except (anyio.BrokenResourceError, anyio.EndOfStream):
                    return

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        bodies: list[bytes] = []
        failure: HttpNoAnswerError | None = None
        async with listener, anyio.create_task_group() as group:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            group.start_soon(listener.serve, serve)
            pool = HttpPool(8)
            try:
                for _ in answers:
                    answer = await pool.call(Address(f"127.0.0.1:{port}"), "/x", b"", 5.0)
                    bodies.append(answer.body)
            except HttpNoAnswerError as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return bodies

    return anyio.run(run)


class OddReplyTest(testtools.TestCase):
    """A reply of a peer that can't be read fails its call only, and the link goes on."""

    scenarios = [
        (name, {"kind": kind, "body": body})
        for name, kind, body in (
            ("unknown kind", "NoSuchMessage", b""),
            ("damaged body", "QueueAnswer", b"\xff" * 40),
            ("missing fields", "QueueAnswer", encode_body(Acknowledgement())),
        )
    ]

    def test_fails_the_call(self) -> None:
        async def run() -> Any:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)

            async def serve(stream: SocketStream) -> None:
                reader = FrameReader(stream)
                await accept(stream, reader, KEY)
                replies = [(self.kind, self.body), ("Acknowledgement", b"\0")]
                for kind, body in replies:
                    request = decode_envelope(await reader.read())
                    reply = ttypes.Envelope(
                        correlation=request.correlation, reply=True, kind=kind, body=body
                    )
                    await stream.send(frame(write_struct(reply)))

            async with listener, PeerPool(KEY) as pool, anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                address = Address(f"127.0.0.1:{port}")
                failure: Exception | None = None
                try:
                    await pool.call(address, Acknowledgement(), 2.0)
                except RemoteError as error:
                    failure = error
                second = await pool.call(address, Acknowledgement(), 2.0)
                group.cancel_scope.cancel()
            return failure, second

        failure, second = anyio.run(run)
        self.assertIsInstance(failure, RemoteError)
        self.assertEqual(Acknowledgement(), second)
