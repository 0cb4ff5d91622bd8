"""An ASGI application for hypercorn, against which `HttpServer` is measured."""

from typing import Any

from loguru import logger
from marigolddoor_wire.http_server import (
    MAX_BODY_BYTES,
    HttpRequest,
    HttpResponse,
    RespondToRequest,
)

__all__ = ["HttpApplication"]


class HttpApplication:
    """An ASGI application around a function from a request to a response."""

    def __init__(self, respond: RespondToRequest) -> None:
        self.respond = respond

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = b""
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            body += event.get("body", b"")
            if len(body) > MAX_BODY_BYTES:
                await _send(send, HttpResponse(413))
                return
            if not event.get("more_body"):
                break
        request = HttpRequest(
            scope["method"],
            scope["raw_path"].decode("ascii", "replace"),
            {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]},
            body,
        )
        try:
            response = await self.respond(request)
        except Exception as error:
            logger.exception("bench: {} {} failed: {}", request.method, request.path, error)
            response = HttpResponse(500)
        await _send(send, response)


async def _send(send: Any, response: HttpResponse) -> None:
    fields = {"content-type": "application/json", "content-length": str(len(response.body))}
    fields.update(response.headers)
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})


async def _serve_lifespan(receive: Any, send: Any) -> None:
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif event["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return
