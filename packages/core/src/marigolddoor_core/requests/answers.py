"""Validation of a target's answer before any of it is sent to the caller."""

from collections.abc import Sequence
from dataclasses import dataclass

from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import RequestId
from marigolddoor_core.requests.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome

__all__ = [
    "MAX_ANSWER_BYTES",
    "ForeignAnswerError",
    "TargetAnswer",
    "TruncatedAnswerError",
    "check_echo",
    "check_length",
    "reported_outcome",
]

# An answer is buffered in memory until it is complete.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

_REQUEST_ID = REQUEST_ID_HEADER.encode()
_OUTCOME = OUTCOME_HEADER.encode()


class ForeignAnswerError(MarigolddoorError):
    """The answer does not echo the id of the request that was sent."""


class TruncatedAnswerError(MarigolddoorError):
    """The answer does not have its announced length, or announced none."""


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A complete answer. Header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def check_echo(headers: Sequence[tuple[bytes, bytes]], request: RequestId) -> None:
    """Check that the answer with `headers` belongs to `request`.

    Raises:
      ForeignAnswerError: it echoes another id, none, or several.
    """
    echoed = [value for name, value in headers if name == _REQUEST_ID]
    if echoed != [request.encode()]:
        raise ForeignAnswerError("the answer does not echo the request id")


def check_length(
    headers: Sequence[tuple[bytes, bytes]], status: int, method: str, body_bytes: int
) -> None:
    """Check that the body is as long as the answer announced.

    An answer that has no length and is not chunked ends when its connection closes, so truncation
    can't be detected.

    Raises:
      TruncatedAnswerError: the body is shorter or longer, or its length can't be checked.
    """
    if method == "HEAD" or status in (204, 304):
        return
    for name, value in headers:
        if name == b"content-length":
            if not value.isdigit() or int(value) != body_bytes:
                raise TruncatedAnswerError(
                    f"received {body_bytes} bytes of an answer with Content-Length {value!r}"
                )
            return
        if name == b"transfer-encoding" and value.lower() == b"chunked":
            return
    raise TruncatedAnswerError("the answer has neither Content-Length nor chunked encoding")


def reported_outcome(headers: Sequence[tuple[bytes, bytes]]) -> Outcome | None:
    """Return the outcome that the target reports, if it reports one."""
    for name, value in headers:
        if name == _OUTCOME:
            try:
                return Outcome(value.decode("latin-1"))
            except ValueError:
                return None
    return None
