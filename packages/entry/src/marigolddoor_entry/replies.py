"""Replies to callers: answers of targets, refusals and the other outcomes."""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote

from marigolddoor_core.ids import RequestId
from marigolddoor_core.requests.answers import TargetAnswer
from marigolddoor_core.requests.claim_tracker import ClaimKey
from marigolddoor_core.requests.outcomes import OUTCOMES_PATH, Outcome
from marigolddoor_core.requests.refusals import OutcomeUnknownError, RequestError

__all__ = ["Reply", "answer_reply", "error_reply", "json_reply", "outcome_url", "text_reply"]

_REMOVED_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"date",
        b"keep-alive",
        b"marigolddoor-outcome",
        b"marigolddoor-request-id",
        b"proxy-connection",
        b"server",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole reply to a caller."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def answer_reply(answer: TargetAnswer, request: RequestId, method: str) -> Reply:
    """Return the reply with a target's answer."""
    headers = [header for header in answer.headers if header[0] not in _REMOVED_HEADERS]
    headers.append((b"marigolddoor-outcome", b"answered"))
    headers.append((b"marigolddoor-request-id", request.encode()))
    if method == "HEAD":
        headers += [header for header in answer.headers if header[0] == b"content-length"]
    elif answer.status not in (204, 304):
        headers.append((b"content-length", b"%d" % len(answer.body)))
    return Reply(answer.status, headers, answer.body)


def error_reply(error: RequestError, request: RequestId, key: ClaimKey | None) -> Reply:
    """Return the reply for a request without an answer.

    If the request was claimed, the reply for an unknown outcome has the path to query later.
    """
    headers = [
        (b"marigolddoor-outcome", error.outcome.value.encode()),
        (b"marigolddoor-error", error.code.encode()),
        (b"marigolddoor-request-id", request.encode()),
    ]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", b"%d" % max(1, math.ceil(error.retry_after_s))))
    if isinstance(error, OutcomeUnknownError) and key is not None:
        headers.append((b"location", outcome_url(key).encode()))
    fields = {"outcome": error.outcome.value, "error": error.code, "message": str(error)}
    return json_reply(error.status, fields, headers)


def outcome_url(key: ClaimKey) -> str:
    """Return the path at which the outcome of a claimed request can be queried."""
    return f"{OUTCOMES_PATH}/{quote(key.service, safe='')}/{quote(key.key, safe='')}"


def text_reply(text: str) -> Reply:
    """Return a reply with a page in the text exposition format of metrics."""
    body = text.encode()
    headers = [
        (b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),
        (b"content-length", b"%d" % len(body)),
    ]
    return Reply(200, headers, body)


def json_reply(
    status: int,
    fields: Mapping[str, str | int | float],
    headers: list[tuple[bytes, bytes]] | None = None,
) -> Reply:
    """Return a reply with a JSON object."""
    body = json.dumps(fields).encode()
    return Reply(
        status,
        [
            *(headers or []),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
        ],
        body,
    )


def claim_outcome_reply(outcome: Outcome, status: int, fields: Mapping[str, str | int]) -> Reply:
    """Return the reply to a query of a claimed request's outcome."""
    headers = [(b"marigolddoor-outcome", outcome.value.encode())]
    return json_reply(status, {"outcome": outcome.value, **fields}, headers)
