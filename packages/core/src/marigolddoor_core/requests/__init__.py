"""Requests of callers: their headers, claims, retries, errors and outcomes."""

from marigolddoor_core.requests.answers import (
    ForeignAnswerError,
    TargetAnswer,
    TruncatedAnswerError,
)
from marigolddoor_core.requests.claim_tracker import (
    ClaimKey,
    ClaimNextStep,
    ClaimPhase,
    ClaimTracker,
)
from marigolddoor_core.requests.contract import CallerRequest, Priority, parse_request
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.requests.refusals import RequestError, RequestRefusedError
from marigolddoor_core.requests.retries import AttemptEnd, RetryBudget, may_retry

__all__ = [
    "AttemptEnd",
    "CallerRequest",
    "ClaimKey",
    "ClaimNextStep",
    "ClaimPhase",
    "ClaimTracker",
    "ForeignAnswerError",
    "Outcome",
    "Priority",
    "RequestError",
    "RequestRefusedError",
    "RetryBudget",
    "TargetAnswer",
    "TruncatedAnswerError",
    "may_retry",
    "parse_request",
]
