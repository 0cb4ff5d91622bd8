"""The operators' HTTP interface as an ASGI application."""

import json
import math
from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import parse_qsl

from loguru import logger
from marigolddoor_core.errors import InvalidInputError, MarigolddoorError, UnavailableError
from marigolddoor_core.ids import (
    JobId,
    OperatorId,
    PoolId,
    ProcessId,
    QuestionId,
    RequestId,
    Revision,
    VmId,
)
from marigolddoor_core.operations.errors import (
    AlreadyAnsweredError,
    BadRequestError,
    OperationRefusedError,
    RevisionConflictError,
    UnknownSubjectError,
)
from marigolddoor_core.operations.interfaces import MetricsSource, TimelinePosition
from marigolddoor_core.operations.reports import ErrorReport
from marigolddoor_core.operations.requests import (
    AnswerRequest,
    ApplyRequest,
    DrainRequest,
    PlanRequest,
)
from marigolddoor_core.plain_values import PlainValueError, from_plain, to_plain
from marigolddoor_core.ports import ProposalOutcomeUnknownError
from marigolddoor_core.timeline import TimelineFilter

from marigolddoor_control.operators.service import OperatorService
from marigolddoor_control.operators.tokens import Tokens

__all__ = [
    "MethodNotAllowedError",
    "OperatorsApplication",
    "RequestTooLargeError",
    "UnauthorisedError",
    "UnknownEndpointError",
]

T = TypeVar("T")
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# A declaration of 182 pools, 340 teams and their jobs is below 200 KB.
MAX_BODY_BYTES = 1024 * 1024
# Digits of a 64-bit integer, with its sign.
MAX_DIGITS = 20
MAX_TIMELINE_EVENTS = 10_000
DEFAULT_TIMELINE_EVENTS = 2_000


class UnauthorisedError(MarigolddoorError):
    """The bearer token is missing or unknown."""


class UnknownEndpointError(InvalidInputError):
    """The path is not an endpoint."""


class MethodNotAllowedError(InvalidInputError):
    """The endpoint does not accept the method of the request."""


class RequestTooLargeError(InvalidInputError):
    """The body of the request exceeds `MAX_BODY_BYTES`."""


# The first entry whose class matches the error gives the HTTP status.
HTTP_STATUSES: tuple[tuple[type[MarigolddoorError], int], ...] = (
    (UnauthorisedError, 401),
    (UnknownEndpointError, 404),
    (UnknownSubjectError, 404),
    (MethodNotAllowedError, 405),
    (RevisionConflictError, 409),
    (AlreadyAnsweredError, 409),
    (RequestTooLargeError, 413),
    (OperationRefusedError, 422),
    (InvalidInputError, 400),
    (ProposalOutcomeUnknownError, 504),
    (UnavailableError, 503),
)


@dataclass(frozen=True, slots=True)
class Call:
    """An authenticated request with its parsed query and its body."""

    author: OperatorId
    query: Mapping[str, str]
    body: bytes

    def parse_body(self, expected: type[T]) -> T:
        """Return the body as an instance of the dataclass `expected`.

        Raises:
          BadRequestError: the body isn't JSON.
          PlainValueError: the body doesn't match the fields of `expected`.
        """
        return from_plain(expected, _parse_json(self.body))

    def allow_query(self, *names: str) -> None:
        """Check that the query has only these parameters.

        Raises:
          BadRequestError: it has another one.
        """
        unknown = sorted(self.query.keys() - set(names))
        if unknown:
            allowed = ", ".join(names) or "none"
            raise BadRequestError(
                *(f"query {name} is not known; allowed: {allowed}" for name in unknown)
            )


class OperatorsApplication:
    """Authenticates and routes requests, and encodes results and errors as JSON."""

    def __init__(self, service: OperatorService, tokens: Tokens, metrics: MetricsSource) -> None:
        self.service = service
        self.tokens = tokens
        self.metrics = metrics
        self.routes: Mapping[str, tuple[str, Callable[[Call], Awaitable[Any]]]] = {
            "/v1/plan": ("POST", self._plan),
            "/v1/apply": ("POST", self._apply),
            "/v1/status": ("GET", self._status),
            "/v1/pools": ("GET", self._pools),
            "/v1/jobs": ("GET", self._jobs),
            "/v1/drain": ("POST", self._drain),
            "/v1/questions": ("GET", self._questions),
            "/v1/answer": ("POST", self._answer),
            "/v1/timeline": ("GET", self._timeline),
            "/metrics": ("GET", self._metrics),
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        try:
            result = await self._handle_request(scope, receive)
        except MarigolddoorError as error:
            await _send_error(send, scope, error)
        except Exception as error:
            # The text of an unexpected error may contain parts of the body, so only its type is
            # logged.
            logger.error("control: an operator's request failed with {}.", type(error).__name__)
            report = ErrorReport("InternalError", "the request failed; see the log of the process")
            await _send_json(send, 500, report)
        else:
            if isinstance(result, str):
                await _send(send, 200, "text/plain; version=0.0.4; charset=utf-8", result.encode())
            else:
                await _send_json(send, 200, result)

    async def _handle_request(self, scope: Scope, receive: Receive) -> Any:
        author = self._authenticate(scope)
        route = self.routes.get(scope["path"])
        if route is None:
            raise UnknownEndpointError(f"there is no endpoint {scope['path']!r}")
        method, handle = route
        if scope["method"] != method:
            raise MethodNotAllowedError(f"{scope['path']} takes {method}")
        body = await _read_body(receive)
        return await handle(Call(author, _parse_query(scope), body))

    def _authenticate(self, scope: Scope) -> OperatorId:
        for name, value in scope["headers"]:
            if name.lower() == b"authorization":
                scheme, _, token = value.decode("latin-1").partition(" ")
                operator = self.tokens.operator_of(token.strip())
                if scheme.lower() == "bearer" and operator is not None:
                    return operator
        raise UnauthorisedError("the bearer token is missing or unknown")

    async def _plan(self, call: Call) -> Any:
        call.allow_query()
        return self.service.plan(call.parse_body(PlanRequest))

    async def _apply(self, call: Call) -> Any:
        call.allow_query()
        report = await self.service.apply(call.parse_body(ApplyRequest), call.author)
        logger.info("control: {} applied revision {}.", call.author, report.revision)
        return report

    async def _status(self, call: Call) -> Any:
        call.allow_query()
        return self.service.status()

    async def _pools(self, call: Call) -> Any:
        call.allow_query("pool")
        pool = call.query.get("pool")
        return self.service.pools(None if pool is None else PoolId(pool))

    async def _jobs(self, call: Call) -> Any:
        call.allow_query("job")
        job = call.query.get("job")
        return self.service.jobs(None if job is None else JobId(job))

    async def _drain(self, call: Call) -> Any:
        call.allow_query()
        request = call.parse_body(DrainRequest)
        report = await self.service.drain(request, call.author)
        logger.info(
            "control: {} requested the drain of {}.", call.author, request.pool or request.vm
        )
        return report

    async def _questions(self, call: Call) -> Any:
        call.allow_query("all")
        return self.service.questions(_parse_flag(call.query, "all"))

    async def _answer(self, call: Call) -> Any:
        call.allow_query()
        request = call.parse_body(AnswerRequest)
        report = await self.service.answer(request, call.author)
        logger.info("control: {} answered question {}.", call.author, request.question)
        return report

    async def _timeline(self, call: Call) -> Any:
        call.allow_query("request", "vm", "pool", "job", "revision", "question", "after", "limit")
        limit = (
            _parse_number(call.query, "limit", 1, MAX_TIMELINE_EVENTS) or DEFAULT_TIMELINE_EVENTS
        )
        return await self.service.timeline(
            _parse_filter(call.query), _parse_positions(call.query), limit
        )

    async def _metrics(self, call: Call) -> Any:
        call.allow_query()
        return self.metrics.page()


def _parse_json(body: bytes) -> Any:
    """Return the JSON value; refuse what the replicated log can't encode."""
    try:
        value = json.loads(
            body, parse_int=_parse_int, parse_float=_parse_float, parse_constant=_reject_constant
        )
        # JSON allows a lone surrogate, but UTF-8 can't encode it.
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError as error:
        raise BadRequestError("the body has text that is not Unicode") from error
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"the body is not JSON: {error}") from error
    return value


def _parse_int(text: str) -> int:
    if len(text) > MAX_DIGITS or not -(2**63) <= int(text) < 2**63:
        raise ValueError("a whole number has more than 64 bits")
    return int(text)


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is too large")
    return value


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not a number")


def _parse_filter(query: Mapping[str, str]) -> TimelineFilter:
    revision = _parse_number(query, "revision", 0, 2**62)
    return TimelineFilter(
        request=RequestId(query["request"]) if "request" in query else None,
        vm=VmId(query["vm"]) if "vm" in query else None,
        pool=PoolId(query["pool"]) if "pool" in query else None,
        job=JobId(query["job"]) if "job" in query else None,
        revision=None if revision is None else Revision(revision),
        question=QuestionId(query["question"]) if "question" in query else None,
    )


def _parse_positions(query: Mapping[str, str]) -> tuple[TimelinePosition, ...]:
    positions = []
    for part in query.get("after", "").split(","):
        if not part:
            continue
        process, _, sequence = part.rpartition("/")
        if not process or not _is_number(sequence):
            raise BadRequestError(f"after is {part!r}; expected PROCESS/SEQUENCE,...")
        positions.append(TimelinePosition(ProcessId(process), int(sequence)))
    return tuple(positions)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 18


def _parse_number(query: Mapping[str, str], name: str, minimum: int, maximum: int) -> int | None:
    text = query.get(name)
    if text is None:
        return None
    if not _is_number(text) or not minimum <= int(text) <= maximum:
        raise BadRequestError(f"{name} is {text!r}; expected a whole number {minimum} to {maximum}")
    return int(text)


def _parse_flag(query: Mapping[str, str], name: str) -> bool:
    text = query.get(name, "false")
    if text not in ("true", "false"):
        raise BadRequestError(f"{name} is {text!r}; expected true or false")
    return text == "true"


def _parse_query(scope: Scope) -> Mapping[str, str]:
    pairs = parse_qsl(scope["query_string"].decode("latin-1"), keep_blank_values=True)
    query = dict(pairs)
    if len(query) != len(pairs):
        raise BadRequestError("a name is in the query more than once")
    return query


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BadRequestError("the client closed the connection before the end of the body")
        body += message.get("body", b"")
        if len(body) > MAX_BODY_BYTES:
            raise RequestTooLargeError(f"the body is over {MAX_BODY_BYTES} bytes")
        if not message.get("more_body", False):
            return bytes(body)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send_error(send: Send, scope: Scope, error: MarigolddoorError) -> None:
    status = next((code for kind, code in HTTP_STATUSES if isinstance(error, kind)), 500)
    logger.info(
        "control: {} {!r} was refused with {}.",
        scope["method"],
        scope["path"],
        type(error).__name__,
    )
    await _send_json(send, status, _error_report(error))


def _error_report(error: MarigolddoorError) -> ErrorReport:
    name = type(error).__name__
    if isinstance(error, RevisionConflictError):
        return ErrorReport(name, str(error), current_revision=error.current, author=error.author)
    if isinstance(error, AlreadyAnsweredError):
        return ErrorReport(name, str(error), author=error.author, choice=error.choice)
    if isinstance(error, PlainValueError):
        return ErrorReport(name, "the request has problems", error.problems)
    problems = getattr(error, "problems", ())
    return ErrorReport(name, str(error), tuple(str(problem) for problem in problems))


async def _send_json(send: Send, status: int, report: Any) -> None:
    body = json.dumps(to_plain(report), allow_nan=False).encode()
    await _send(send, status, "application/json", body)


async def _send(send: Send, status: int, content_type: str, body: bytes) -> None:
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
        (b"cache-control", b"no-store"),
    ]
    if status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
