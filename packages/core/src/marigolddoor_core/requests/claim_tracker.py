"""Claims proposed by one entry process: proposed, dispatched once, then finished or released."""

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
    "MAX_STORED_BODY_BYTES",
    "ClaimKey",
    "ClaimNextStep",
    "ClaimPhase",
    "ClaimStateError",
    "ClaimTracker",
    "stored_answer",
]

# Only the status and the digest of a larger answer are stored.
MAX_STORED_BODY_BYTES = 64 * 1024


class ClaimStateError(MarigolddoorError):
    """The transition is not allowed in the current phase of the claim."""


class ClaimKey(NamedTuple):
    """The service and idempotency key that a claim is for."""

    service: ServiceId
    key: IdempotencyKey


class ClaimPhase(Enum):
    """The phase of a claim of this process."""

    PROPOSED = "proposed"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    RELEASING = "releasing"


class ClaimNextStep(Enum):
    """What to do with a request after the result of its claim is known."""

    RUN = "run"
    WAIT = "wait"
    RESEND = "resend"
    REFUSE_BODY = "refuse body"
    REFUSE_FULL = "refuse full"


@dataclass(slots=True)
class _Entry:
    phase: ClaimPhase
    body_digest: bytes
    expires_at: Instant
    claim: ClaimId | None = None
    answer: KeptAnswer | None = None


class ClaimTracker:
    """The claims of this process.

    A claimed request runs at most once: `dispatch` succeeds once for each claim. After that, the
    claim can't be released, unless the request provably did not start on the target.
    """

    def __init__(self, process: ProcessId) -> None:
        self.process = process
        self.entries: dict[ClaimKey, _Entry] = {}

    def begin(self, key: ClaimKey, body_digest: bytes, expires_at: Instant) -> bool:
        """Record a proposal; return False if this process already has a claim for `key`."""
        if key in self.entries:
            return False
        self.entries[key] = _Entry(ClaimPhase.PROPOSED, body_digest, expires_at)
        return True

    def known_result(self, key: ClaimKey, body_digest: bytes) -> Result | None:
        """Return the result that the group would give for `key`, or None if it has no claim here.

        Until the answer of a run is committed, only this process has it.
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

    def resolve(self, key: ClaimKey, result: Result) -> ClaimNextStep:
        """Record the result of a proposal and return the next step that it allows.

        If the pending claim belongs to this process, it comes from an earlier proposal whose result
        was lost, because this process has no other request for `key`. It was never dispatched, so
        it counts as granted.
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
        raise ClaimStateError(f"{type(result).__name__} is not a result of a claim")

    def withdraw(self, key: ClaimKey) -> None:
        """Remove a proposal whose result is not known; nothing was dispatched under it."""
        entry = self.entries.get(key)
        if entry is not None and entry.phase is ClaimPhase.PROPOSED:
            del self.entries[key]

    def dispatch(self, key: ClaimKey) -> ClaimId:
        """Record that the request is about to be sent to a target.

        Raises:
          ClaimStateError: the claim is not granted, or was dispatched before.
        """
        entry = self.entries.get(key)
        if entry is None or entry.phase is not ClaimPhase.GRANTED or entry.claim is None:
            raise ClaimStateError("only a granted claim can be dispatched, and only once")
        entry.phase = ClaimPhase.DISPATCHED
        return entry.claim

    def not_started(self, key: ClaimKey) -> None:
        """Record that the request provably did not start; the claim can be dispatched again."""
        entry = self.entries[key]
        if entry.phase is not ClaimPhase.DISPATCHED:
            raise ClaimStateError("the claim was not dispatched")
        entry.phase = ClaimPhase.GRANTED

    def release(self, key: ClaimKey) -> ClaimId:
        """Start the release of a claim that was not dispatched; return its id for `ReleaseClaim`.

        The key stays in use until `committed` is called: a request that reused the claim before the
        release is committed would run under a claim that another process can then get.

        Raises:
          ClaimStateError: the request may have run.
        """
        entry = self.entries[key]
        if entry.phase is not ClaimPhase.GRANTED or entry.claim is None:
            raise ClaimStateError(f"a claim that is {entry.phase.value} can't be released")
        entry.phase = ClaimPhase.RELEASING
        return entry.claim

    def finish(self, key: ClaimKey, answer: KeptAnswer | None) -> ClaimId:
        """Record the end of a run, with None if its outcome is unknown; return the claim's id."""
        entry = self.entries[key]
        if entry.phase is not ClaimPhase.DISPATCHED or entry.claim is None:
            raise ClaimStateError("only a dispatched claim can be finished")
        entry.phase = ClaimPhase.FINISHED
        entry.answer = answer
        return entry.claim

    def committed(self, key: ClaimKey) -> None:
        """Remove a claim whose end the group has committed."""
        entry = self.entries.get(key)
        if entry is not None and entry.phase in (ClaimPhase.FINISHED, ClaimPhase.RELEASING):
            del self.entries[key]

    def phase(self, key: ClaimKey) -> ClaimPhase | None:
        """Return the phase of a claim of this process, or None."""
        entry = self.entries.get(key)
        return None if entry is None else entry.phase

    def remove_expired(self, now: Instant) -> None:
        """Remove ended claims whose retry window has passed."""
        for key, entry in list(self.entries.items()):
            ended = entry.phase in (ClaimPhase.FINISHED, ClaimPhase.RELEASING)
            if ended and now >= entry.expires_at:
                del self.entries[key]


def stored_answer(status: int, content_type: str, body: bytes, digest: bytes) -> KeptAnswer:
    """Return the part of an answer that is stored for resent requests."""
    stored_body = body if len(body) <= MAX_STORED_BODY_BYTES else None
    return KeptAnswer(status, content_type, stored_body, digest)
