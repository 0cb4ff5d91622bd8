"""Requests of callers to queues, as they travel from an entry process to the leader."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["QueueCall", "QueueMethod", "QueueOutcome", "QueueReply"]


class QueueMethod(Enum):
    """What a caller asks for."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class QueueOutcome(Enum):
    """What became of a request.

    `REFUSED` and `UNAVAILABLE` say that the job was not accepted and never runs; after `UNKNOWN` it
    may have been accepted.
    """

    ANSWERED = "answered"
    NO_QUEUE = "no queue"
    NO_JOB = "no job"
    INVALID = "invalid"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class QueueCall:
    """A caller's request. `document` describes the job of a submission."""

    method: QueueMethod
    host: str
    path: str
    document: bytes = b""


@dataclass(frozen=True, slots=True)
class QueueReply:
    """The reply.

    `phase` and `has_started` tell the state of a job, `pending` how many jobs of a queue wait;
    `retry_after_s` is when a refused caller may come back.
    """

    outcome: QueueOutcome
    phase: str = ""
    has_started: bool = False
    pending: int | None = None
    retry_after_s: float = 0.0
    detail: str = ""
