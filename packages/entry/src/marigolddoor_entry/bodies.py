"""Reads whole request bodies within a time limit and a size limit."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from marigolddoor_core.requests.contract import MAX_BODY_BYTES
from marigolddoor_core.requests.refusals import (
    BodyTooLargeError,
    ClientDisconnectedError,
    DeadlineExpiredError,
)

__all__ = ["Receive", "read_body"]

Receive = Callable[[], Awaitable[Any]]

# A body that is too large is read and discarded up to this size, so that a caller that sends its
# whole body before it reads gets the refusal instead of a broken connection.
MAX_DISCARDED_BYTES = 16 * MAX_BODY_BYTES


async def read_body(receive: Receive, timeout_s: float, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the whole body of a request.

    Raises:
      BodyTooLargeError: it is larger than `max_bytes`.
      ClientDisconnectedError: the connection was closed first.
      DeadlineExpiredError: it took longer than `timeout_s`.
    """
    # A list of parts would take about 40 bytes for each chunk of one byte.
    body = bytearray()
    size = 0
    with anyio.move_on_after(timeout_s):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnectedError("the caller closed the connection")
            part = message.get("body", b"")
            size += len(part)
            if size <= max_bytes:
                body += part
            elif size > MAX_DISCARDED_BYTES:
                break
            if not message.get("more_body", False):
                break
        if size > max_bytes:
            raise BodyTooLargeError(f"the body must be at most {max_bytes} bytes")
        return bytes(body)
    raise DeadlineExpiredError("the body did not arrive before the deadline")
