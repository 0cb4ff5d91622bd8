"""The ASGI applications of the callers' and the targets' listeners."""

import traceback
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any
from urllib.parse import unquote

import anyio
from loguru import logger
from marigolddoor_core.ids import IdempotencyKey, RequestId, ServiceId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.outcomes import OUTCOMES_PATH
from marigolddoor_core.requests.refusals import OutcomeUnknownError, RequestError

from marigolddoor_entry.bodies import read_body
from marigolddoor_entry.callers import CallersService
from marigolddoor_entry.json_forms import JsonFormError, announcement_from_json, to_json
from marigolddoor_entry.ports import Holder
from marigolddoor_entry.replies import Reply, error_reply, json_reply, text_reply

__all__ = ["Application", "ListenerKind"]


Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

ANNOUNCE_PATH = "/marigolddoor/announce"
LEAVE_PATH = "/marigolddoor/leave"
METRICS_PATH = "/marigolddoor/metrics"
ANNOUNCEMENT_TIMEOUT_S = 5.0


class ListenerKind(Enum):
    """The clients that a listener serves."""

    CALLERS = "callers"
    TARGETS = "targets"
    BOTH = "both"


class Application:
    """Serves HTTP requests on one listener."""

    def __init__(
        self,
        kind: ListenerKind,
        callers: CallersService,
        holder: Holder,
        targets_changed: Callable[[], None],
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        clock: Callable[[], float],
        metrics_page: Callable[[], str],
    ) -> None:
        self.kind = kind
        self.callers = callers
        self.holder = holder
        self.targets_changed = targets_changed
        self.is_ready = is_ready
        self.is_stopping = is_stopping
        self.clock = clock
        self.metrics_page = metrics_page

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        try:
            reply = await self._reply(scope, receive)
        except BaseException as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            logger.error(
                "entry: a request was interrupted by {} at {}:{}",
                type(error).__name__,
                frame.filename,
                frame.lineno,
            )
            # hypercorn would reply 500, which is none of the four outcomes.
            with anyio.CancelScope(shield=True):
                await self._send(_interrupted(), send)
            raise
        await self._send(reply, send)

    async def _send(self, reply: Reply, send: Send) -> None:
        headers = reply.headers
        if self.is_stopping():
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": reply.status, "headers": headers})
        await send({"type": "http.response.body", "body": reply.body})

    async def _reply(self, scope: dict[str, Any], receive: Receive) -> Reply:
        path: str = scope["path"]
        method: str = scope["method"]
        if path == "/healthz":
            return json_reply(200, {"status": "alive"})
        if path == "/ready":
            if self.is_ready():
                return json_reply(200, {"status": "ready"})
            return json_reply(503, {"status": "not ready"})
        if path.startswith("/marigolddoor/"):
            return await self._serve_own_path(method, scope, receive)
        if self.kind is ListenerKind.TARGETS:
            return json_reply(404, {"error": "not found"})
        query: bytes = scope["query_string"]
        raw_path: bytes = scope["raw_path"]
        if query:
            raw_path += b"?" + query
        return await self.callers.handle(method, raw_path, scope["headers"], receive)

    async def _serve_own_path(self, method: str, scope: dict[str, Any], receive: Receive) -> Reply:
        path: str = scope["path"]
        if self.kind is not ListenerKind.CALLERS and method == "POST":
            if path == ANNOUNCE_PATH:
                return await self._announce(receive)
            if path == LEAVE_PATH:
                return await self._leave(receive)
        # Callers must not see the services and the load of others.
        if self.kind is ListenerKind.TARGETS and method == "GET" and path == METRICS_PATH:
            return text_reply(self.metrics_page())
        raw_path = scope["raw_path"].decode("ascii")
        if method == "GET" and raw_path.startswith(OUTCOMES_PATH + "/"):
            service, separator, key = raw_path.removeprefix(OUTCOMES_PATH + "/").partition("/")
            if separator and key and self.kind is not ListenerKind.TARGETS:
                return await self.callers.outcome(
                    ServiceId(unquote(service)), IdempotencyKey(unquote(key))
                )
        return json_reply(404, {"error": "not found"})

    async def _announce(self, receive: Receive) -> Reply:
        try:
            announcement = announcement_from_json(await read_body(receive, ANNOUNCEMENT_TIMEOUT_S))
        except JsonFormError as error:
            return json_reply(400, {"error": str(error)})
        except RequestError as error:
            return json_reply(error.status, {"error": error.code})
        reply = self.holder.announce(announcement, Instant(self.clock()))
        self.targets_changed()
        body = to_json(reply)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ]
        return Reply(200, headers, body)

    async def _leave(self, receive: Receive) -> Reply:
        try:
            announcement = announcement_from_json(await read_body(receive, ANNOUNCEMENT_TIMEOUT_S))
        except JsonFormError as error:
            return json_reply(400, {"error": str(error)})
        except RequestError as error:
            return json_reply(error.status, {"error": error.code})
        known = self.holder.leave(VmId(announcement.vm), Instant(self.clock()))
        self.targets_changed()
        return json_reply(200 if known else 404, {"status": "leaving" if known else "unknown"})


def _interrupted() -> Reply:
    error = OutcomeUnknownError("the entry process was interrupted")
    return error_reply(error, RequestId(""), None)
