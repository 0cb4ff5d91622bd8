"""Targets that only announce themselves, each on its own connection and with little memory.

Requests are encoded here rather than by an HTTP library, so that bytes sent and received can be
counted.
"""

import json
from dataclasses import dataclass

import anyio

__all__ = ["Announcers"]

FIRST_INTERVAL_S = 1.0


@dataclass(slots=True)
class Announcers:
    """`count` targets of one data centre that announce themselves to `entry`, HOST:PORT."""

    entry: str
    count: int
    data_centre: str
    transferred_bytes: int = 0
    announcements: int = 0
    errors: int = 0

    async def run(self) -> None:
        """Announce until cancelled."""
        async with anyio.create_task_group() as group:
            for number in range(self.count):
                group.start_soon(self._run_target, number)

    async def _run_target(self, number: int) -> None:
        # Spreads the first announcements over the interval, like targets started at various times.
        await anyio.sleep(FIRST_INTERVAL_S * number / max(1, self.count))
        epoch = 0
        while True:
            try:
                epoch = await self._announce_until_error(number, epoch)
            except (OSError, anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
                self.errors += 1
                await anyio.sleep(FIRST_INTERVAL_S)

    async def _announce_until_error(self, number: int, epoch: int) -> int:
        host, _, port = self.entry.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            while True:
                await stream.send(self._request(number, epoch))
                reply = await self._read_reply(stream)
                self.announcements += 1
                epoch = int(reply["epoch"])
                await anyio.sleep(reply["interval_s"])

    def _request(self, number: int, epoch: int) -> bytes:
        body = json.dumps(
            {
                "vm": f"vm-{number}",
                "data_centre": self.data_centre,
                "rack": f"rack-{number // 4}",
                "address": f"127.0.0.1:{30_000 + number}",
                "slots": 8,
                "busy_slots": number % 8,
                "capacity": {"cores": 16.0, "memory_mb": 32_000, "accelerators": 0},
                "epoch": epoch,
                "leaving": False,
                "drained": False,
                "incarnation": "1",
                "tasks": [],
            },
            separators=(",", ":"),
        ).encode()
        head = (
            f"POST /marigolddoor/announce HTTP/1.1\r\nhost: {self.entry}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        ).encode()
        self.transferred_bytes += len(head) + len(body)
        return head + body

    async def _read_reply(self, stream: anyio.abc.SocketStream) -> dict[str, float]:
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        while len(body) < length:
            body += await stream.receive()
        self.transferred_bytes += len(head) + 4 + len(body)
        reply: dict[str, float] = json.loads(body)
        return reply
