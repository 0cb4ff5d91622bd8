"""HTTP listeners: hypercorn on an address, with graceful shutdown and safe cancellation."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from marigolddoor_wire.peers import Address, parse_address

__all__ = ["bound_address", "http_config", "listen", "serve_http"]

BACKLOG = 1024
# Time that requests in flight get to end when the listener is cancelled.
CANCEL_GRACE_S = 0.5


def listen(address: Address) -> socket.socket:
    """Return a listening socket.

    Raises:
      OSError: the address cannot be used.
    """
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
    # Inherited by accepted connections. Without it an answer waits for a delayed acknowledgement.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setblocking(False)
    return listener


def bound_address(listener: socket.socket) -> Address:
    """Return the address of a listening socket, with the port that was assigned."""
    host, port = listener.getsockname()[:2]
    return Address(f"[{host}]:{port}" if ":" in host else f"{host}:{port}")


def http_config(graceful_s: float, keep_alive_s: float) -> Config:
    """Return the settings that all listeners share.

    Args:
      graceful_s: how long requests in flight may continue after the shutdown begins.
      keep_alive_s: how long an idle connection stays open.
    """
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.graceful_timeout = graceful_s
    config.keep_alive_timeout = keep_alive_s
    config.include_server_header = False
    return config


async def serve_http(
    application: Any,
    listener: socket.socket,
    config: Config,
    shutdown: Callable[[], Awaitable[Any]],
) -> None:
    """Serve on `listener` until `shutdown` returns and the requests in flight have ended.

    A cancellation stops the listener without waiting for requests.
    """
    # hypercorn takes over the file descriptor and closes it.
    config.bind = [f"fd://{listener.detach()}"]
    stop = anyio.Event()

    async def wait_for_shutdown() -> None:
        try:
            await shutdown()
        except anyio.get_cancelled_exc_class():
            config.graceful_timeout = CANCEL_GRACE_S
            raise
        finally:
            stop.set()

    async with anyio.create_task_group() as group:
        group.start_soon(wait_for_shutdown)
        # hypercorn fails if it is cancelled while it closes connections.
        with anyio.CancelScope(shield=True):
            await serve(application, config, shutdown_trigger=stop.wait)
        group.cancel_scope.cancel()
