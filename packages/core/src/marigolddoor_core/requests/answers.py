"""Checks of a target's answer before any of it goes to the caller."""

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

# An answer is held in memory until it is whole.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

_REQUEST_ID = REQUEST_ID_HEADER.encode()
_OUTCOME = OUTCOME_HEADER.encode()


class ForeignAnswerError(MarigolddoorError):
    """The answer does not echo the id of the request that it came back for."""


class TruncatedAnswerError(MarigolddoorError):
    """The answer ended before its announced length, or announced none."""


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A whole answer. Header names are in lower case."""

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

    An answer without a length that is not chunked ends with its connection, so a cut can't be
    told from its end.

    Raises:
      TruncatedAnswerError: the body is shorter or longer, or its length can't be checked.
    """
    if method == "HEAD" or status in (204, 304):
        return
    for name, value in headers:
        if name == b"content-length":
            if not value.isdigit() or int(value) != body_bytes:
                raise TruncatedAnswerError(f"{body_bytes} bytes came of an answer of {value!r}")
            return
        if name == b"transfer-encoding" and value.lower() == b"chunked":
            return
    raise TruncatedAnswerError("the answer has no length")


def reported_outcome(headers: Sequence[tuple[bytes, bytes]]) -> Outcome | None:
    """Return the outcome that the target reports, if it reports one."""
    for name, value in headers:
        if name == _OUTCOME:
            try:
                return Outcome(value.decode("latin-1"))
            except ValueError:
                return None
    return None
