"""HTTP client of the operators' API, with several endpoints.

A read goes to the first endpoint that answers. A change carries a request id, so that sending it
again after a lost answer is safe: the system returns the first result.
"""

import json
import ssl
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from types import TracebackType
from typing import Any

import httpx
from marigolddoor_core.ids import RequestId
from marigolddoor_core.operations.reports import ErrorReport
from marigolddoor_core.plain_values import PlainValueError, from_plain, to_plain

from marigolddoor_operator.errors import (
    ChangeOutcomeUnknownError,
    OperatorSettingsError,
    RemoteOperationError,
    UnreachableError,
)
from marigolddoor_operator.settings import OperatorSettings

__all__ = ["OperatorClient"]

CONNECT_TIMEOUT_S = 2.0
# Rounds in which a change without an answer is sent; together they outlast an election of 2 s.
CHANGE_ROUNDS = 3
ROUND_PAUSE_S = 1.0

# Errors that result from committed state, so that they hold for every earlier attempt, too.
_DEFINITE_ERRORS = frozenset(
    (
        "AlreadyAnsweredError",
        "OperationRefusedError",
        "RevisionConflictError",
        "UnknownSubjectError",
    )
)

# Errors raised before any byte of the request was sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Outcome(Enum):
    """What is known about the request after one attempt."""

    ANSWERED = "answered"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Attempt:
    """The outcome of one attempt at one endpoint."""

    outcome: Outcome
    reason: str = ""
    report: Any = None


class OperatorClient:
    """Sends reads and changes to the control processes; an asynchronous context manager."""

    def __init__(
        self,
        settings: OperatorSettings,
        pause: Callable[[float], Awaitable[object]],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self.endpoints = settings.endpoints
        self.pause = pause
        self.http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {settings.token}"},
            timeout=httpx.Timeout(settings.timeout_s, connect=CONNECT_TIMEOUT_S),
            verify=_tls_context(settings),
            trust_env=False,
            transport=transport,
        )

    async def __aenter__(self) -> "OperatorClient":
        await self.http.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.http.__aexit__(exc_type, exc, traceback)

    async def read(self, path: str, query: Mapping[str, str]) -> Any:
        """Return the decoded JSON report at `path`.

        A report with `from_leader` false is returned only if no endpoint has one from the leader.

        Raises:
          UnreachableError: no endpoint answered.
          RemoteOperationError: the system refused the request.
        """
        reasons = []
        fallback = None
        for endpoint in self.endpoints:
            attempt = await self._attempt(endpoint, "GET", path, query, None)
            if attempt.outcome is Outcome.ANSWERED:
                if not _lacks_leader_data(attempt.report):
                    return attempt.report
                fallback = fallback or attempt.report
            reasons.append(f"{endpoint}: {attempt.reason}")
        if fallback is not None:
            return fallback
        raise UnreachableError("; ".join(reasons))

    async def query(self, path: str, request: Any) -> Any:
        """Return the decoded JSON report on a request that changes nothing.

        Raises:
          UnreachableError: no endpoint answered.
          RemoteOperationError: the system refused the request.
        """
        reasons = []
        for endpoint in self.endpoints:
            attempt = await self._attempt(endpoint, "POST", path, {}, to_plain(request))
            if attempt.outcome is Outcome.ANSWERED:
                return attempt.report
            reasons.append(f"{endpoint}: {attempt.reason}")
        raise UnreachableError("; ".join(reasons))

    async def change(self, path: str, request: Any, request_id: RequestId) -> Any:
        """Return the decoded JSON report on a change, repeated while its outcome is unknown.

        Raises:
          UnreachableError: no attempt reached the system, or no quorum exists; nothing changed.
          ChangeOutcomeUnknownError: it was sent, and no attempt returned an outcome.
          RemoteOperationError: the system refused the request.
        """
        body = to_plain(request)
        unknown_reason = ""
        reasons: list[str] = []
        for round_number in range(CHANGE_ROUNDS):
            if round_number > 0:
                await self.pause(ROUND_PAUSE_S)
            reasons = []
            for endpoint in self.endpoints:
                try:
                    attempt = await self._attempt(endpoint, "POST", path, {}, body)
                except RemoteOperationError as error:
                    if not unknown_reason or error.report.error in _DEFINITE_ERRORS:
                        raise
                    # Refused unprocessed, which says nothing about the earlier attempts.
                    attempt = Attempt(Outcome.NOT_DONE, error.report.message)
                if attempt.outcome is Outcome.ANSWERED:
                    return attempt.report
                reasons.append(f"{endpoint}: {attempt.reason}")
                if attempt.outcome is Outcome.UNKNOWN:
                    unknown_reason = reasons[-1]
            if not unknown_reason:
                raise UnreachableError("; ".join(reasons))
        raise ChangeOutcomeUnknownError(request_id, unknown_reason)

    async def _attempt(
        self, endpoint: str, method: str, path: str, query: Mapping[str, str], body: Any
    ) -> Attempt:
        try:
            response = await self.http.request(
                method, endpoint + path, params=dict(query), json=body
            )
        except _NOT_SENT as error:
            is_trusted = "CERTIFICATE_VERIFY_FAILED" not in str(error)
            reason = "no connection" if is_trusted else "its certificate is not trusted"
            return Attempt(Outcome.NOT_DONE, reason)
        except httpx.HTTPError as error:
            return Attempt(Outcome.UNKNOWN, f"no answer ({type(error).__name__})")
        try:
            report = response.json()
            if response.status_code == 200:
                return Attempt(Outcome.ANSWERED, report=report)
            failure = from_plain(ErrorReport, report, strict=False)
        except (json.JSONDecodeError, UnicodeDecodeError, PlainValueError):
            return Attempt(Outcome.UNKNOWN, f"not a marigolddoor response ({response.status_code})")
        if response.status_code == 503:
            return Attempt(Outcome.NOT_DONE, failure.message)
        if response.status_code >= 500:
            return Attempt(Outcome.UNKNOWN, failure.message)
        raise RemoteOperationError(response.status_code, failure)


def _lacks_leader_data(report: Any) -> bool:
    return isinstance(report, Mapping) and report.get("from_leader") is False


def _tls_context(settings: OperatorSettings) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(
            cafile=None if settings.authority is None else str(settings.authority)
        )
    except OSError as error:
        raise OperatorSettingsError(
            f"authority is {settings.authority}; allowed: a file in PEM format"
        ) from error
