"""Typed errors of requests, each with its outcome, HTTP status and optional Retry-After.

A `RequestRefusedError` is raised only while it is certain that the request did not run.
"""

from typing import ClassVar

from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.requests.outcomes import Outcome

__all__ = [
    "BadHeaderError",
    "BodyTooLargeError",
    "CannotFinishInTimeError",
    "ClaimMemoryFullError",
    "ClaimRefusedError",
    "ClientDisconnectedError",
    "DeadlineExpiredError",
    "KeyReusedError",
    "MissingKeyError",
    "NoQuorumForClaimError",
    "NoTargetError",
    "OutcomeUnknownError",
    "QueueFullError",
    "QuotaExceededError",
    "RequestError",
    "RequestRefusedError",
    "RunFailedError",
    "UnknownServiceError",
    "refusal_types",
]


class RequestError(MarigolddoorError):
    """A request that ends without an answer of a target.

    `status` is the HTTP status, `code` the value of the `Marigolddoor-Error` header.
    """

    outcome: ClassVar[Outcome]
    status: ClassVar[int]
    code: ClassVar[str]

    def __init__(self, message: str, retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class RequestRefusedError(RequestError):
    """The request was refused and did not run."""

    outcome = Outcome.NOT_RUN


class ClientDisconnectedError(RequestRefusedError):
    """The caller closed the connection before the request was dispatched."""

    status = 499
    code = "client-disconnected"


class BodyTooLargeError(RequestRefusedError):
    """The body is larger than the limit."""

    status = 413
    code = "body-too-large"


class BadHeaderError(RequestRefusedError):
    """A header is missing, repeated or has a value that is not allowed."""

    status = 400
    code = "bad-header"


class UnknownServiceError(RequestRefusedError):
    """The service is not declared."""

    status = 404
    code = "unknown-service"


class DeadlineExpiredError(RequestRefusedError):
    """The deadline passed before the request was dispatched."""

    status = 504
    code = "deadline-expired"


class KeyReusedError(RequestRefusedError):
    """The idempotency key belongs to a request with another body."""

    status = 422
    code = "key-reused"


class MissingKeyError(RequestRefusedError):
    """The service is not idempotent and the request has no idempotency key."""

    status = 428
    code = "missing-key"


class QueueFullError(RequestRefusedError):
    """The queue of the service is full."""

    status = 503
    code = "queue-full"


class QuotaExceededError(RequestRefusedError):
    """The team uses its whole quota and has as many requests waiting."""

    status = 429
    code = "over-quota"


class CannotFinishInTimeError(RequestRefusedError):
    """At the measured service rate, the request would finish after its deadline."""

    status = 503
    code = "cannot-finish-in-time"


class NoTargetError(RequestRefusedError):
    """No target of the pool accepts new requests."""

    status = 503
    code = "no-target"


class NoQuorumForClaimError(RequestRefusedError):
    """The claim of a non-idempotent request could not be committed."""

    status = 503
    code = "no-quorum"


class ClaimMemoryFullError(RequestRefusedError):
    """The memory for claims is full, so no new claim is accepted."""

    status = 503
    code = "claims-full"


class ClaimRefusedError(RequestRefusedError):
    """The consensus group refuses the claim, for example because its service was just removed."""

    status = 409
    code = "claim-refused"


class RunFailedError(RequestError):
    """The request ran, but has no answer that can be delivered."""

    outcome = Outcome.FAILED
    status = 502
    code = "run-failed"


class OutcomeUnknownError(RequestError):
    """The request was dispatched, but no complete and matching answer was received in time."""

    outcome = Outcome.UNKNOWN
    status = 504
    code = "outcome-unknown"


def refusal_types() -> tuple[type[RequestRefusedError], ...]:
    """Return all types of refusals, ordered by code."""
    return tuple(sorted(RequestRefusedError.__subclasses__(), key=lambda refusal: refusal.code))
