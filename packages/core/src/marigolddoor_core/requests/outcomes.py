"""The outcomes of a request and the names of the headers of requests and answers."""

from enum import Enum

__all__ = [
    "EPOCH_HEADER",
    "ERROR_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "OUTCOMES_PATH",
    "OUTCOME_HEADER",
    "REMAINING_MS_HEADER",
    "REQUEST_ID_HEADER",
    "SERVICE_HEADER",
    "Outcome",
]

SERVICE_HEADER = "marigolddoor-service"
TEAM_HEADER = "marigolddoor-team"
PRIORITY_HEADER = "marigolddoor-priority"
DEADLINE_MS_HEADER = "marigolddoor-deadline-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
CONTENT_LENGTH_HEADER = "content-length"
TRANSFER_ENCODING_HEADER = "transfer-encoding"

OUTCOME_HEADER = "marigolddoor-outcome"
ERROR_HEADER = "marigolddoor-error"
REQUEST_ID_HEADER = "marigolddoor-request-id"
EPOCH_HEADER = "marigolddoor-epoch"
REMAINING_MS_HEADER = "marigolddoor-remaining-ms"

# The outcome of a claimed request is served at this path, followed by /SERVICE/KEY.
OUTCOMES_PATH = "/marigolddoor/outcomes"


class Outcome(Enum):
    """The outcome of a request. Every request has exactly one of these four."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"
