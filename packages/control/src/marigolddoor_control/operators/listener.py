"""The listener of the operators' HTTP interface."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskStatus
from marigolddoor_wire.http_listener import bound_address, http_config, listen, serve_http
from marigolddoor_wire.peers import Address

from marigolddoor_control.operators.application import OperatorsApplication

__all__ = ["ListenerTls", "serve_operators"]

# Hypercorn also keeps the tasks of a connection for this time after the client closed it.
KEEP_ALIVE_S = 5
SHUTDOWN_S = 3.0
# Every operation ends within 10 s; a client that is idle for longer only occupies a socket.
READ_TIMEOUT_S = 15


@dataclass(frozen=True, slots=True)
class ListenerTls:
    """Paths of the listener's certificate and private key."""

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
    """Serve until `shutdown` returns; report the bound address through `task_status`.

    Raises:
      OSError: the address can't be used.
    """
    listener = listen(address)
    config = http_config(SHUTDOWN_S, KEEP_ALIVE_S)
    config.read_timeout = READ_TIMEOUT_S
    if tls is not None:
        config.certfile = str(tls.certificate)
        config.keyfile = str(tls.key)
    task_status.started(bound_address(listener))
    await serve_http(application, listener, config, shutdown)
