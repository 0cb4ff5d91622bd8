"""The bookkeeping of claims in one entry process: claim, dispatch once, then finish or release."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import ClaimId, IdempotencyKey, ProcessId, ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_core.state.commands import KeptAnswer
from marigolddoor_core.state.results import (
    BodyMismatch,
    ClaimFinished,
    ClaimGranted,
    ClaimPending,
    ClaimsFull,
    Result,
)

__all__ = [
    "MAX_KEPT_BODY_BYTES",
    "ClaimBook",
    "ClaimKey",
    "ClaimNextStep",
    "ClaimPhase",
    "ClaimStateError",
    "kept_answer",
]

# A larger answer is kept as its status and digest only.
MAX_KEPT_BODY_BYTES = 64 * 1024


class ClaimStateError(MarigolddoorError):
    """The step is not allowed in the phase of the claim."""


class ClaimKey(NamedTuple):
    """What a claim is about."""

    service: ServiceId
    key: IdempotencyKey


class ClaimPhase(Enum):
    """The phase of a claim that this process proposed."""

    PROPOSED = "proposed"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    RELEASING = "releasing"


class ClaimNextStep(Enum):
    """What to do after a claim was proposed."""

    RUN = "run"
    WAIT = "wait"
    RESEND = "resend"
    REFUSE_BODY = "refuse body"
    REFUSE_FULL = "refuse full"


@dataclass(slots=True)
class _Entry:
    phase: ClaimPhase
    body_digest: bytes
    forget_at: Instant
    claim: ClaimId | None = None
    answer: KeptAnswer | None = None


class ClaimBook:
    """The claims of this process.

    A claim runs at most once: `dispatch` succeeds once for each claim. After it, the claim can't
    be released, unless the target proved that it did not start.
    """

    def __init__(self, process: ProcessId) -> None:
        self.process = process
        self.entries: dict[ClaimKey, _Entry] = {}

    def begin(self, key: ClaimKey, body_digest: bytes, forget_at: Instant) -> bool:
        """Record a proposal; return False if this process already works on `key`."""
        if key in self.entries:
            return False
        self.entries[key] = _Entry(ClaimPhase.PROPOSED, body_digest, forget_at)
        return True

    def known(self, key: ClaimKey, body_digest: bytes) -> Result | None:
        """Return what this process knows of `key` in the terms of the group, or None.

        It covers the time between the end of a run and the commit of its answer.
        """
        entry = self.entries.get(key)
        if entry is None:
            return None
        if entry.body_digest != body_digest:
            return BodyMismatch()
        claim = entry.claim if entry.claim is not None else ClaimId(0)
        if entry.phase is ClaimPhase.FINISHED:
            return ClaimFinished(claim, entry.answer)
        return ClaimPending(claim, self.process)

    def settle(self, key: ClaimKey, result: Result) -> ClaimNextStep:
        """Record the result of a proposal and return what it allows.

        A pending claim of this very process, which has no other request for `key`, comes from an
        earlier proposal whose result was lost. It was never dispatched, so it counts as granted.
        """
        entry = self.entries[key]
        if entry.phase is not ClaimPhase.PROPOSED:
            raise ClaimStateError(f"a claim that is {entry.phase.value} was proposed again")
        if isinstance(result, ClaimGranted) or (
            isinstance(result, ClaimPending) and result.claimant == self.process
        ):
            entry.claim = result.claim
            entry.phase = ClaimPhase.GRANTED
            return ClaimNextStep.RUN
        del self.entries[key]
        if isinstance(result, ClaimPending):
            return ClaimNextStep.WAIT
        if isinstance(result, ClaimFinished):
            return ClaimNextStep.RESEND
        if isinstance(result, BodyMismatch):
            return ClaimNextStep.REFUSE_BODY
        if isinstance(result, ClaimsFull):
            return ClaimNextStep.REFUSE_FULL
        raise ClaimStateError(f"{type(result).__name__} is no result of a claim")

    def withdraw(self, key: ClaimKey) -> None:
        """Forget a proposal whose result is not known; nothing was dispatched under it."""
        entry = self.entries.get(key)
        if entry is not None and entry.phase is ClaimPhase.PROPOSED:
            del self.entries[key]

    def dispatch(self, key: ClaimKey) -> ClaimId:
        """Record that the first byte goes to a target now.

        Raises:
          ClaimStateError: the claim is not granted, or was dispatched before.
        """
        entry = self.entries.get(key)
        if entry is None or entry.phase is not ClaimPhase.GRANTED or entry.claim is None:
            raise ClaimStateError("only a granted claim can be dispatched, and only once")
        entry.phase = ClaimPhase.DISPATCHED
        return entry.claim

    def not_started(self, key: ClaimKey) -> None:
        """Record that the target proved that it did not start; the claim can be used again."""
        entry = self.entries[key]
        if entry.phase is not ClaimPhase.DISPATCHED:
            raise ClaimStateError("the claim was not dispatched")
        entry.phase = ClaimPhase.GRANTED

    def release(self, key: ClaimKey) -> ClaimId:
        """Begin to give up a claim that was not dispatched; return its id for `ReleaseClaim`.

        The key stays taken until `stored`: a request that took the claim up before the release
        is committed would run under a claim that another process can then get.

        Raises:
          ClaimStateError: the request may have run.
        """
        entry = self.entries[key]
        if entry.phase is not ClaimPhase.GRANTED or entry.claim is None:
            raise ClaimStateError(f"a claim that is {entry.phase.value} can't be released")
        entry.phase = ClaimPhase.RELEASING
        return entry.claim

    def finish(self, key: ClaimKey, answer: KeptAnswer | None) -> ClaimId:
        """Record the end of a run, `None` if its outcome is unknown; return the claim's id."""
        entry = self.entries[key]
        if entry.phase is not ClaimPhase.DISPATCHED or entry.claim is None:
            raise ClaimStateError("only a dispatched claim can be finished")
        entry.phase = ClaimPhase.FINISHED
        entry.answer = answer
        return entry.claim

    def stored(self, key: ClaimKey) -> None:
        """Forget a claim whose end the group has committed."""
        entry = self.entries.get(key)
        if entry is not None and entry.phase in (ClaimPhase.FINISHED, ClaimPhase.RELEASING):
            del self.entries[key]

    def phase(self, key: ClaimKey) -> ClaimPhase | None:
        """Return the phase of a claim of this process, or None."""
        entry = self.entries.get(key)
        return None if entry is None else entry.phase

    def forget_expired(self, now: Instant) -> None:
        """Forget ended claims whose retry window is over."""
        for key, entry in list(self.entries.items()):
            ended = entry.phase in (ClaimPhase.FINISHED, ClaimPhase.RELEASING)
            if ended and now >= entry.forget_at:
                del self.entries[key]


def kept_answer(status: int, content_type: str, body: bytes, digest: bytes) -> KeptAnswer:
    """Return the part of an answer that is kept for resends."""
    kept = body if len(body) <= MAX_KEPT_BODY_BYTES else None
    return KeptAnswer(status, content_type, kept, digest)
