"""Replies to a caller that sends a claimed request again or asks for its outcome."""

from marigolddoor_core.requests.answers import TargetAnswer
from marigolddoor_core.requests.claim_tracker import ClaimNextStep
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.requests.refusals import (
    ClaimMemoryFullError,
    KeyReusedError,
    OutcomeUnknownError,
    RunFailedError,
)
from marigolddoor_core.state.commands import KeptAnswer
from marigolddoor_core.state.results import ClaimFinished, ClaimPending, Result

from marigolddoor_entry.claimant import FAILED_CONTENT_TYPE
from marigolddoor_entry.replies import Reply, claim_outcome_reply

__all__ = ["claim_reply", "stored_answer_of"]

CLAIMS_FULL_RETRY_S = 1.0


def stored_answer_of(step: ClaimNextStep, result: Result) -> TargetAnswer:
    """Return the stored answer of an earlier request with the same key.

    Raises:
      RequestError: the claim was refused, or the earlier request failed or has no stored answer.
    """
    if step is ClaimNextStep.REFUSE_BODY:
        raise KeyReusedError("the key belongs to a request with another body")
    if step is ClaimNextStep.REFUSE_FULL:
        raise ClaimMemoryFullError("no memory is left for claims", CLAIMS_FULL_RETRY_S)
    assert isinstance(result, ClaimFinished)
    stored = result.answer
    if stored is None:
        raise OutcomeUnknownError("the outcome of the first request is not known")
    if stored.content_type == FAILED_CONTENT_TYPE:
        raise RunFailedError("the first request with this key ran and failed")
    if stored.body is None:
        raise OutcomeUnknownError("the answer was too large to be kept; its status is at Location")
    headers: list[tuple[bytes, bytes]] = []
    if stored.content_type:
        headers.append((b"content-type", stored.content_type.encode("latin-1")))
    return TargetAnswer(stored.status, tuple(headers), stored.body)


def claim_reply(claim: ClaimPending | ClaimFinished | None) -> Reply:
    """Return the reply to `GET /marigolddoor/outcomes/SERVICE/KEY`."""
    if claim is None:
        return claim_outcome_reply(Outcome.UNKNOWN, 404, {"claim": "none is kept"})
    if isinstance(claim, ClaimPending):
        return claim_outcome_reply(Outcome.UNKNOWN, 200, {"claim": "pending"})
    if claim.answer is None:
        return claim_outcome_reply(Outcome.UNKNOWN, 200, {"claim": "finished"})
    return _answer_outcome(claim.answer)


def _answer_outcome(answer: KeptAnswer) -> Reply:
    if answer.content_type == FAILED_CONTENT_TYPE:
        return claim_outcome_reply(Outcome.FAILED, 200, {"claim": "finished"})
    fields: dict[str, str | int] = {
        "claim": "finished",
        "status": answer.status,
        "request_digest": answer.body_digest.hex(),
    }
    return claim_outcome_reply(Outcome.ANSWERED, 200, fields)
