"""Requests and responses of the HTTP/1.1 server, and the encoding of responses."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

__all__ = ["HttpRequest", "HttpResponse", "RespondToRequest", "encode_response", "is_last"]

_REASONS = {status.value: status.phrase for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response. Its body is JSON unless `headers` name another type."""

    status: int
    body: bytes = b"{}"
    headers: Sequence[tuple[str, str]] = ()


RespondToRequest = Callable[[HttpRequest], Awaitable[HttpResponse]]


def is_last(response: HttpResponse) -> bool:
    """Return whether the response announces that the connection is closed after it."""
    return ("connection", "close") in response.headers


def encode_response(response: HttpResponse, method: str, is_kept_open: bool) -> bytes:
    """Return the bytes of a response to a request with `method`."""
    fields = {"content-type": "application/json", "content-length": str(len(response.body))}
    if not is_kept_open:
        fields["connection"] = "close"
    fields.update(response.headers)
    lines = [f"HTTP/1.1 {response.status} {_REASONS.get(response.status, '')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
    return head if method == "HEAD" else head + response.body
