"""The listener of the operators' HTTP."""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config
from marigolddoor_wire.peers import Address, parse_address

from marigolddoor_control.operators.application import OperatorsApplication

__all__ = ["ListenerTls", "serve_operators"]

# Hypercorn keeps the tasks of a connection that the client closed for this long, too.
KEEP_ALIVE_S = 5
SHUTDOWN_S = 3.0
# Every operation ends within 10 s; a client that sends nothing for longer only holds a socket.
READ_TIMEOUT_S = 15
BACKLOG = 64


@dataclass(frozen=True, slots=True)
class ListenerTls:
    """Files of the listener's certificate and its key."""

    certificate: Path
    key: Path


async def serve_operators(
    application: OperatorsApplication,
    address: Address,
    shutdown: Callable[[], Awaitable[Any]],
    tls: ListenerTls | None = None,
    *,
    task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until `shutdown` returns; report the address with the port in use.

    A cancellation shuts down as `shutdown` does and takes up to `SHUTDOWN_S`: hypercorn raises
    unrelated errors when it is cancelled while it closes connections.

    Raises:
      OSError: the address can't be used.
    """
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family, backlog=BACKLOG)
    bound = listening.getsockname()[1]
    config = Config()
    config.bind = [f"fd://{listening.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = SHUTDOWN_S
    config.read_timeout = READ_TIMEOUT_S
    config.include_server_header = False
    if tls is not None:
        config.certfile = str(tls.certificate)
        config.keyfile = str(tls.key)
    shown = f"[{host}]" if ":" in host else host
    task_status.started(Address(f"{shown}:{bound}"))
    stopping = anyio.Event()

    async def stop() -> None:
        try:
            await shutdown()
        finally:
            stopping.set()

    async with anyio.create_task_group() as group:
        group.start_soon(stop)
        with anyio.CancelScope(shield=True):
            await serve(application, config, shutdown_trigger=stopping.wait)
        group.cancel_scope.cancel()
