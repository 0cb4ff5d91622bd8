"""Callers' requests to queues, as an entry process forwards them to the leader."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.jobs.teams import NO_KEY, KeyDigest

__all__ = ["QueueCall", "QueueMethod", "QueueOutcome", "QueueReply"]


class QueueMethod(Enum):
    """The operation that a caller requests."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class QueueOutcome(Enum):
    """The outcome of a request.

    After `REFUSED`, `UNAVAILABLE` and `UNAUTHORIZED` the job was not accepted and never runs; after
    `UNKNOWN` it may have been accepted. `UNAUTHORIZED` means that the call's key is of no team.
    """

    ANSWERED = "answered"
    NO_QUEUE = "no queue"
    NO_JOB = "no job"
    INVALID = "invalid"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    UNAUTHORIZED = "unauthorized"


@dataclass(frozen=True, slots=True)
class QueueCall:
    """A caller's request. `document` describes the job of a submission.

    `key` is the digest of the caller's key, so that the key itself is in no message.
    """

    method: QueueMethod
    host: str
    path: str
    document: bytes = b""
    key: KeyDigest = NO_KEY


@dataclass(frozen=True, slots=True)
class QueueReply:
    """The reply to a request.

    `phase` and `has_started` describe the state of a job, `pending` is the number of waiting jobs
    of a queue, and `retry_after_s` is the delay before a refused caller may retry. With
    `UNAUTHORIZED`, calls with the same key to the same folder are refused for that time.
    """

    outcome: QueueOutcome
    phase: str = ""
    has_started: bool = False
    pending: int | None = None
    retry_after_s: float = 0.0
    detail: str = ""
