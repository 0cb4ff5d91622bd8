"""Parsing and validation of a caller's headers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

from marigolddoor_core.declaration.organisation import Service
from marigolddoor_core.ids import IdempotencyKey, ServiceId, TeamId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.outcomes import (
    CONTENT_LENGTH_HEADER,
    DEADLINE_MS_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    PRIORITY_HEADER,
    SERVICE_HEADER,
    TEAM_HEADER,
    TRANSFER_ENCODING_HEADER,
)
from marigolddoor_core.requests.refusals import (
    BadHeaderError,
    BodyTooLargeError,
    DeadlineExpiredError,
    MissingKeyError,
    UnknownServiceError,
)

__all__ = ["MAX_BODY_BYTES", "CallerRequest", "Priority", "parse_request"]

# The default limit of a process.
MAX_BODY_BYTES = 1024 * 1024
# A longer deadline would keep a connection and a claim for a caller that no longer waits.
MAX_DEADLINE_S = 600.0
MAX_KEY_CHARACTERS = 128

_CONTRACT_HEADERS = frozenset(
    name.encode()
    for name in (
        SERVICE_HEADER,
        TEAM_HEADER,
        PRIORITY_HEADER,
        DEADLINE_MS_HEADER,
        IDEMPOTENCY_KEY_HEADER,
        CONTENT_LENGTH_HEADER,
        TRANSFER_ENCODING_HEADER,
    )
)


class Priority(IntEnum):
    """The priority class of a request; a smaller value is more urgent."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


_PRIORITIES = {priority.name.lower(): priority for priority in Priority}


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A valid request. `deadline` is on the clock of the entry process.

    `body_bytes` is the announced length of the body, or the limit for a chunked body.
    """

    service: Service
    team: TeamId
    priority: Priority
    received: Instant
    deadline: Instant
    key: IdempotencyKey | None
    body_bytes: int = 0


def parse_request(
    headers: Iterable[tuple[bytes, bytes]],
    find_service: Callable[[ServiceId], Service | None],
    is_team: Callable[[TeamId], bool],
    now: Instant,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> CallerRequest:
    """Parse the headers of a request; their names are in lower case.

    Args:
      headers: all headers of the request.
      find_service: returns the declared service, or None.
      is_team: returns whether the team is declared.
      now: when the request was received; its deadline counts from here.
      max_body_bytes: the limit for the body.

    Raises:
      RequestRefusedError: a header is missing, repeated or not valid.
    """
    values = _contract_values(headers)
    name = values.get(b"marigolddoor-service")
    if not name:
        raise BadHeaderError("Marigolddoor-Service is missing")
    service = find_service(ServiceId(name))
    if service is None:
        raise UnknownServiceError(f"service {name!r} is not declared")
    team = TeamId(values.get(b"marigolddoor-team", ""))
    if not is_team(team):
        raise BadHeaderError("Marigolddoor-Team is missing or names no declared team")
    priority = _PRIORITIES.get(values.get(b"marigolddoor-priority", "normal"))
    if priority is None:
        raise BadHeaderError("Marigolddoor-Priority must be batch, normal or urgent")
    body_bytes = _body_bytes(values, max_body_bytes)
    remaining_s = _remaining_s(values.get(b"marigolddoor-deadline-ms"), service)
    key = values.get(b"idempotency-key")
    if key is None and not service.idempotent:
        raise MissingKeyError(f"service {name!r} needs an Idempotency-Key")
    if key is not None:
        _check_key(key)
    return CallerRequest(
        service=service,
        team=team,
        priority=priority,
        received=now,
        deadline=Instant(now + remaining_s),
        # An idempotent request needs no claim, so its key has no effect.
        key=None if key is None or service.idempotent else IdempotencyKey(key),
        body_bytes=body_bytes,
    )


def _contract_values(headers: Iterable[tuple[bytes, bytes]]) -> dict[bytes, str]:
    values: dict[bytes, str] = {}
    for name, value in headers:
        if name not in _CONTRACT_HEADERS:
            continue
        if name in values:
            raise BadHeaderError(f"{name.decode()} is repeated")
        try:
            values[name] = value.decode("ascii").strip()
        except UnicodeDecodeError as error:
            raise BadHeaderError(f"{name.decode()} is not ASCII") from error
    return values


def _remaining_s(text: str | None, service: Service) -> float:
    if text is None:
        return service.default_deadline_s
    digits = text.removeprefix("-")
    if not digits.isdecimal() or len(digits) > 9:
        raise BadHeaderError("Marigolddoor-Deadline-Ms must be a whole number of milliseconds")
    milliseconds = int(text)
    if milliseconds <= 0:
        raise DeadlineExpiredError("the deadline had passed when the request arrived")
    if milliseconds > MAX_DEADLINE_S * 1000:
        raise BadHeaderError(f"Marigolddoor-Deadline-Ms must be at most {MAX_DEADLINE_S * 1000:g}")
    return milliseconds / 1000


def _body_bytes(values: dict[bytes, str], max_body_bytes: int) -> int:
    text = values.get(b"content-length")
    if text is None or not text.isdecimal():
        return max_body_bytes if b"transfer-encoding" in values else 0
    if int(text) > max_body_bytes:
        raise BodyTooLargeError(f"the body must be at most {max_body_bytes} bytes")
    return int(text)


def _check_key(key: str) -> None:
    if not key or len(key) > MAX_KEY_CHARACTERS or not key.isprintable() or "/" in key:
        raise BadHeaderError(
            f"Idempotency-Key must be 1 to {MAX_KEY_CHARACTERS} printable characters without '/'"
        )
