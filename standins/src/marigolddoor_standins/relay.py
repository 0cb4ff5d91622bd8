"""A TCP relay that counts the bytes that pass through it."""

import anyio
from anyio.abc import ByteStream, TaskStatus

__all__ = ["Relay"]

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to `target`, HOST:PORT, and counts bytes in both directions."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.host = host
        self.port = int(port)
        self.transferred_bytes = 0

    async def run(
        self, port: int = 0, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay until cancelled; report the address of the relay."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        async with listener:
            bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(f"127.0.0.1:{bound_port}")
            await listener.serve(self._serve)

    async def _serve(self, client: ByteStream) -> None:
        async with client:
            try:
                server = await anyio.connect_tcp(self.host, self.port)
            except OSError:
                return
            async with server, anyio.create_task_group() as group:
                group.start_soon(self._copy, client, server, group)
                group.start_soon(self._copy, server, client, group)

    async def _copy(self, source: ByteStream, sink: ByteStream, group: anyio.abc.TaskGroup) -> None:
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                self.transferred_bytes += len(data)
                await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            group.cancel_scope.cancel()
