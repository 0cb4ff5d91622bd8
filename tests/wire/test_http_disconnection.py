"""Guards against taking a partition for the end of the process that was called."""

import asyncio
import socket
import struct

import anyio
import testtools
from marigolddoor_wire.closings import PeerClosings
from marigolddoor_wire.http_client import HttpNoAnswerError, HttpPool, HttpUnreachableError
from marigolddoor_wire.peers import Address

ANSWER = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"


class Peer:
    """Answers calls until it closes its connections."""

    def __init__(self) -> None:
        self.is_answering = True
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return Address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if self.is_answering:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def stop_listening(self) -> None:
        self.server.close()

    async def stop(self) -> None:
        self.stop_listening()
        self.close_connections(is_reset=False)
        await asyncio.sleep(0.01)

    def close_connections(self, is_reset: bool) -> None:
        for writer in self.writers:
            if is_reset:
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
            else:
                writer.close()


class DisconnectionTest(testtools.TestCase):
    """Only an orderly close, after which no connection opens, shows that the peer has ended."""

    scenarios = [
        (
            "closed while a call waits, and refuses",
            {"waits": True, "is_reset": False, "listens": False, "has_ended": True},
        ),
        (
            "closed while idle, and refuses",
            {"waits": False, "is_reset": False, "listens": False, "has_ended": True},
        ),
        (
            "reset while a call waits, and refuses",
            {"waits": True, "is_reset": True, "listens": False, "has_ended": False},
        ),
        (
            "reset while idle, and refuses",
            {"waits": False, "is_reset": True, "listens": False, "has_ended": False},
        ),
        (
            "closed while a call waits, and still answers",
            {"waits": True, "is_reset": False, "listens": True, "has_ended": False},
        ),
        (
            "closed while idle, and still answers",
            {"waits": False, "is_reset": False, "listens": True, "has_ended": False},
        ),
    ]

    def test_next_call(self) -> None:
        anyio.run(self.run_scenario)

    async def run_scenario(self) -> None:
        peer, pool = Peer(), HttpPool(4)
        address = await peer.start()
        await pool.call(address, "/x", b"", 1.0)
        if not self.listens:
            peer.stop_listening()
        if self.waits:
            peer.is_answering = False
            asyncio.get_running_loop().call_later(0.05, peer.close_connections, self.is_reset)
            with testtools.ExpectedException(HttpNoAnswerError):
                await pool.call(address, "/x", b"", 1.0)
            peer.is_answering = True
        else:
            peer.close_connections(self.is_reset)
            await asyncio.sleep(0.05)
        self.assertFalse(pool.has_ended(address))
        is_reached = True
        try:
            await pool.call(address, "/x", b"", 1.0)
        except HttpUnreachableError:
            is_reached = False
        self.assertEqual(self.listens, is_reached)
        self.assertEqual(self.has_ended, pool.has_ended(address))
        await peer.stop()


class SpareConnectionTest(testtools.TestCase):
    """A peer that closes a connection that was idle for long has not ended."""

    def test_spare_connection(self) -> None:
        async def scenario() -> None:
            peer, pool = Peer(), HttpPool(4)
            address = await peer.start()
            async with anyio.create_task_group() as group:
                for _ in range(2):
                    group.start_soon(pool.call, address, "/x", b"", 1.0)
            await pool.call(address, "/x", b"", 1.0)
            spare = pool.idle[address][0]
            port = spare.transport.get_extra_info("sockname")[1]
            for writer in peer.writers:
                if writer.get_extra_info("peername")[1] == port:
                    writer.close()
            await asyncio.sleep(0.05)
            self.assertEqual({}, pool.closings.attempts)
            await peer.stop()

        anyio.run(scenario)


class PeerClosingsTest(testtools.TestCase):
    """Each event is what happened to a connection to the peer, in order."""

    scenarios = [
        ("never called", {"events": "", "has_ended": False}),
        ("not reached, without a close before", {"events": "unreachable", "has_ended": False}),
        ("closed", {"events": "closed", "has_ended": False}),
        ("closed, not reached", {"events": "closed unreachable", "has_ended": True}),
        ("a new connection is closed once", {"events": "closed refused", "has_ended": False}),
        ("closed by a forwarder", {"events": "closed refused refused", "has_ended": True}),
        (
            "closed by a peer that never answered",
            {"events": "refused refused refused unreachable", "has_ended": False},
        ),
        ("reached again", {"events": "closed reached unreachable", "has_ended": False}),
        ("reached after its end", {"events": "closed unreachable reached", "has_ended": False}),
        ("two connections are closed", {"events": "closed closed", "has_ended": False}),
    ]

    def test_evidence(self) -> None:
        closings, address = PeerClosings(), Address("127.0.0.1:1")
        for event in self.events.split():
            if event == "unreachable":
                closings.unreachable(address)
            elif event == "reached":
                closings.forget(address)
            else:
                closings.closed(address, has_answered=event == "closed")
        self.assertEqual(self.has_ended, closings.has_ended(address))
