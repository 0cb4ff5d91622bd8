"""An HTTP server for an ASGI application on a loopback address."""

import socket
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config

__all__ = ["Application", "Receive", "Request", "Send", "read_body", "respond", "serve_http"]

Request = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Application = Callable[[Request, Receive, Send], Awaitable[None]]

# Exceeds the longest announcement interval, so that connections are reused.
KEEP_ALIVE_S = 60
GRACEFUL_STOP_S = 5.0
# Time for requests in flight when the stand-in is cancelled; idle connections close at once.
ABRUPT_STOP_S = 0.5


async def serve_http(
    application: Application,
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `application` until cancelled; report its HOST:PORT once it listens."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(256)
    bound_port = listener.getsockname()[1]
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.errorlog = None
    config.accesslog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = GRACEFUL_STOP_S
    task_status.started(f"{host}:{bound_port}")
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_when_cancelled, config, stop)
        # hypercorn raises if it is cancelled while it closes connections.
        with anyio.CancelScope(shield=True):
            await serve(application, config, shutdown_trigger=stop.wait)


async def _stop_when_cancelled(config: Config, stop: anyio.Event) -> None:
    try:
        await anyio.sleep_forever()
    finally:
        config.graceful_timeout = ABRUPT_STOP_S
        stop.set()


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request."""
    parts = []
    while True:
        event = await receive()
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def respond(
    send: Send, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()
) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send({"type": "http.response.start", "status": status, "headers": [*headers, length]})
    await send({"type": "http.response.body", "body": body})
