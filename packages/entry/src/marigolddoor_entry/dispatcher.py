"""Makes one attempt to send a request to a target and read the whole answer."""

import math
import ssl
import time
from dataclasses import dataclass

import anyio
import httpx
from marigolddoor_core.ids import RequestId, ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.answers import (
    MAX_ANSWER_BYTES,
    ForeignAnswerError,
    TargetAnswer,
    TruncatedAnswerError,
    check_echo,
    check_length,
    reported_outcome,
)
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.requests.retries import AttemptEnd
from marigolddoor_core.routing.policies import Dispatch

__all__ = ["Attempt", "Dispatcher", "ForwardedRequest"]

# A target on the same network accepts a connection in milliseconds, or is overloaded or down.
CONNECT_TIMEOUT_S = 1.0
# Less than the 5 s after which servers commonly close idle connections, so that a request is rarely
# sent on a connection that the target is just closing.
KEEPALIVE_EXPIRY_S = 4.0
# The status with which a target refuses another epoch, or new work while it drains.
REFUSED_STATUS = 409

# Hop-by-hop headers, and headers that the dispatcher sets itself.
_NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"marigolddoor-deadline-ms",
        b"marigolddoor-epoch",
        b"marigolddoor-remaining-ms",
        b"marigolddoor-request-id",
        b"marigolddoor-service",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout, httpx.LocalProtocolError)


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """The parts of a caller's request that are forwarded to the target."""

    id: RequestId
    service: ServiceId
    method: str
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Attempt:
    """How an attempt ended.

    `failed` is True if the attempt counts as a failure of the target, `refused` if the target
    accepts no work of this epoch. An attempt that timed out is a sample of the run time, unlike
    one that failed.
    """

    end: AttemptEnd
    failed: bool
    answer: TargetAnswer | None = None
    refused: bool = False
    timed_out: bool = False
    reason: str = ""


class _Connection:
    """One connection to a target, opened at its first use and reopened after it was closed."""

    def __init__(self, tls: ssl.SSLContext) -> None:
        self.idle_since = Instant(0.0)
        self.transport = httpx.AsyncHTTPTransport(
            verify=tls,
            trust_env=False,
            limits=httpx.Limits(max_connections=1, keepalive_expiry=KEEPALIVE_EXPIRY_S),
        )


class _TargetConnections:
    """The connections to one target.

    Each connection has its own transport: the pool of a transport checks every pair of its
    connections for each request, which took a third of the dispatcher's time at 16 connections.
    """

    def __init__(self, address: str) -> None:
        self.url = httpx.URL(f"http://{address}/")
        self.host = address.encode()
        # A stack: the connection that was used last is used next, so that surplus connections
        # stay idle and are closed.
        self.idle: list[_Connection] = []
        self.in_use = 0


class Dispatcher:
    """Forwards requests to targets by HTTP."""

    def __init__(self, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        self.max_answer_bytes = max_answer_bytes
        # Shared by all targets, since a context for each target would only take more memory.
        self.tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.targets: dict[str, _TargetConnections] = {}

    async def send(
        self, dispatch: Dispatch, request: ForwardedRequest, remaining_s: float, timeout_s: float
    ) -> Attempt:
        """Return the end of one attempt, after `timeout_s` seconds at the latest.

        The request contains `remaining_s`, the time until the caller's deadline.
        """
        connections = self.targets.get(dispatch.address)
        if connections is None:
            connections = self.targets[dispatch.address] = _TargetConnections(dispatch.address)
        message = _message(connections, dispatch, request, remaining_s)
        connection = connections.idle.pop() if connections.idle else _Connection(self.tls)
        connections.in_use += 1
        try:
            with anyio.move_on_after(timeout_s):
                return await _exchange(
                    connection.transport, message, request, self.max_answer_bytes
                )
        except _NOT_SENT as error:
            failed = not isinstance(error, httpx.LocalProtocolError)
            return Attempt(AttemptEnd.NOT_STARTED, failed, reason=type(error).__name__)
        except (httpx.HTTPError, ForeignAnswerError, TruncatedAnswerError) as error:
            return Attempt(AttemptEnd.LOST, True, reason=type(error).__name__)
        finally:
            connection.idle_since = Instant(time.monotonic())
            connections.idle.append(connection)
            connections.in_use -= 1
        return Attempt(AttemptEnd.LOST, True, timed_out=True, reason="timeout")

    async def close_idle(self, now: Instant) -> None:
        """Close the connections that have been idle for `KEEPALIVE_EXPIRY_S` seconds."""
        for address, connections in list(self.targets.items()):
            while connections.idle and now - connections.idle[0].idle_since > KEEPALIVE_EXPIRY_S:
                await connections.idle.pop(0).transport.aclose()
            if not connections.idle and not connections.in_use:
                self.targets.pop(address, None)

    async def close(self) -> None:
        """Close all idle connections."""
        await self.close_idle(Instant(math.inf))


def _message(
    connections: _TargetConnections,
    dispatch: Dispatch,
    request: ForwardedRequest,
    remaining_s: float,
) -> httpx.Request:
    headers = [(b"host", connections.host)]
    headers += [header for header in request.headers if header[0] not in _NOT_FORWARDED]
    headers += [
        (b"marigolddoor-service", request.service.encode()),
        (b"marigolddoor-request-id", request.id.encode()),
        (b"marigolddoor-epoch", b"%d" % dispatch.epoch),
        (b"marigolddoor-remaining-ms", b"%d" % max(1, int(remaining_s * 1000))),
    ]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", b"%d" % len(request.body)))
    return httpx.Request(
        request.method,
        connections.url,
        headers=headers,
        stream=httpx.ByteStream(request.body),
        extensions={
            "target": request.path,
            "timeout": {"connect": min(CONNECT_TIMEOUT_S, remaining_s)},
        },
    )


async def _exchange(
    transport: httpx.AsyncHTTPTransport,
    message: httpx.Request,
    request: ForwardedRequest,
    max_answer_bytes: int,
) -> Attempt:
    response = await transport.handle_async_request(message)
    try:
        headers = tuple((name.lower(), value) for name, value in response.headers.raw)
        check_echo(headers, request.id)
        outcome = reported_outcome(headers)
        if response.status_code == REFUSED_STATUS and outcome is Outcome.NOT_RUN:
            return Attempt(AttemptEnd.NOT_STARTED, False, refused=True, reason="epoch refused")
        assert isinstance(response.stream, httpx.AsyncByteStream)
        parts = []
        size = 0
        async for part in response.stream:
            parts.append(part)
            size += len(part)
            if size > max_answer_bytes:
                return Attempt(AttemptEnd.FAILED, False, reason="answer too large")
    finally:
        await response.aclose()
    check_length(headers, response.status_code, request.method, size)
    answer = TargetAnswer(response.status_code, headers, b"".join(parts))
    if outcome is Outcome.FAILED:
        return Attempt(AttemptEnd.FAILED, True, answer, reason="the target reports a failed run")
    return Attempt(AttemptEnd.ANSWERED, answer.status >= 500, answer)
