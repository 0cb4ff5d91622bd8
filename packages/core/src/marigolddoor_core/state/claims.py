"""Claims on the one run of a non-idempotent request, and the answers kept for resends."""

import heapq
import sys
from collections.abc import Iterable
from dataclasses import replace

from marigolddoor_core.ids import ClaimId, IdempotencyKey, LogIndex, ProcessId, ServiceId
from marigolddoor_core.state.commands import (
    Claim,
    ExpireClaims,
    FinishClaim,
    KeptAnswer,
    ReleaseClaim,
)
from marigolddoor_core.state.declarations import Declarations
from marigolddoor_core.state.results import (
    BodyMismatch,
    ClaimFinished,
    ClaimGranted,
    ClaimPending,
    ClaimsFull,
    Done,
    Refusal,
    Refused,
    Result,
)
from marigolddoor_core.state.snapshots import ClaimRecord

__all__ = ["Claims", "claim_bytes"]

CLAIMS_LIMIT_BYTES = 24_000_000
# The record, its digest, its two index entries and its place in the order of expiry take 417 bytes
# with a key of 36 characters. The record of an answer takes about 200 bytes more, which are counted
# from the start, so that the status and the digest of every answer fit.
CLAIM_OVERHEAD_BYTES = 600
ANSWER_BODY_LIMIT_BYTES = 64 * 1024
CONTENT_TYPE_LIMIT = 256
KEY_LIMIT = 1_024
DIGEST_LIMIT_BYTES = 64
# The longest retry window that a service may declare, and the longest deadline that is kept.
RETRY_WINDOW_LIMIT_S = 86_400.0
# Places in the order of expiry that may be left over before they are removed at once.
HEAP_SLACK = 64


def claim_bytes(claim: ClaimRecord) -> int:
    """Return the memory that `claim` counts for."""
    body = 0 if claim.answer is None else len(claim.answer.body or b"")
    return CLAIM_OVERHEAD_BYTES + len(claim.key.encode()) + body


class Claims:
    """Holds the claims within a limit of memory. A claim stays until it expires or is released."""

    def __init__(self, declarations: Declarations, limit_bytes: int = CLAIMS_LIMIT_BYTES) -> None:
        self.declarations = declarations
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.claims: dict[ClaimId, ClaimRecord] = {}
        self._by_key: dict[ServiceId, dict[IdempotencyKey, ClaimId]] = {}
        self._by_expiry: list[tuple[float, ClaimId]] = []

    def find(self, service: ServiceId, key: IdempotencyKey) -> ClaimRecord | None:
        """Return the claim on `key`, or None."""
        claim_id = self._by_key.get(service, {}).get(key)
        return None if claim_id is None else self.claims[claim_id]

    def claim(self, command: Claim, now_s: float, index: LogIndex) -> Result:
        """Grant the claim, or say who holds it or how it ended."""
        service = self.declarations.services.get(command.service)
        if service is None:
            return Refused(Refusal.UNKNOWN, f"no service {command.service!r}")
        if not 0 < len(command.key) <= KEY_LIMIT or len(command.body_digest) > DIGEST_LIMIT_BYTES:
            return Refused(Refusal.INVALID, "the key or the digest has a wrong length")
        known = self.find(command.service, command.key)
        if known is not None and known.expires_s > now_s:
            return _repeated(known, command)
        if known is not None:
            self._remove(known)
        deadline_s = min(max(command.deadline_s, now_s), now_s + RETRY_WINDOW_LIMIT_S)
        window_s = min(max(service.retry_window_s, 0.0), RETRY_WINDOW_LIMIT_S)
        claim = ClaimRecord(
            ClaimId(index),
            command.service,
            command.key,
            command.body_digest,
            command.claimant,
            deadline_s + window_s,
        )
        if self.used_bytes + claim_bytes(claim) > self.limit_bytes:
            self._expire(now_s)
        if self.used_bytes + claim_bytes(claim) > self.limit_bytes:
            return ClaimsFull()
        self._add(claim)
        return ClaimGranted(claim.claim)

    def finish(self, command: FinishClaim, now_s: float) -> Result:
        """Keep the answer. One that does not fit is kept without its body."""
        claim = self._held(command.claim, command.claimant)
        if isinstance(claim, Refused):
            return claim
        answer = command.answer
        if answer is not None and len(answer.body_digest) > DIGEST_LIMIT_BYTES:
            return Refused(Refusal.INVALID, "the digest of the answer is too long")
        if claim.finished:
            if _is_same(claim.answer, answer):
                return Done()
            return Refused(Refusal.FINISHED, f"claim {claim.claim} has another answer")
        finished = replace(claim, finished=True, answer=self._fitted(answer))
        self.claims[claim.claim] = finished
        self.used_bytes += claim_bytes(finished) - claim_bytes(claim)
        return Done()

    def release(self, command: ReleaseClaim, now_s: float) -> Result:
        """Forget a claim whose request did not run."""
        claim = self._held(command.claim, command.claimant)
        if isinstance(claim, Refused):
            return claim
        if claim.finished:
            return Refused(Refusal.FINISHED, f"claim {claim.claim} is finished")
        self._remove(claim)
        return Done()

    def expire(self, command: ExpireClaims, now_s: float) -> Result:
        """Forget the claims that expired by `now_s`."""
        self._expire(now_s)
        return Done()

    def restore(self, claims: Iterable[ClaimRecord]) -> None:
        """Replace everything by the claims of a snapshot."""
        self.used_bytes = 0
        self.claims = {}
        self._by_key = {}
        self._by_expiry = []
        for claim in claims:
            self._add(claim)

    def _expire(self, now_s: float) -> None:
        while self._by_expiry and self._by_expiry[0][0] <= now_s:
            _, claim_id = heapq.heappop(self._by_expiry)
            claim = self.claims.get(claim_id)
            if claim is not None:
                self._remove(claim)

    def _held(self, claim_id: ClaimId, claimant: ProcessId) -> ClaimRecord | Refused:
        claim = self.claims.get(claim_id)
        if claim is None:
            return Refused(Refusal.UNKNOWN, f"no claim {claim_id}")
        if claim.claimant != claimant:
            return Refused(Refusal.NOT_CLAIMANT, f"claim {claim_id} is held by {claim.claimant}")
        return claim

    def _fitted(self, answer: KeptAnswer | None) -> KeptAnswer | None:
        kept = _without_large_parts(answer)
        if kept is None or kept.body is None:
            return kept
        if self.used_bytes + len(kept.body) > self.limit_bytes:
            return replace(kept, body=None)
        return kept

    def _add(self, claim: ClaimRecord) -> None:
        # Many claims have the same service and claimant, and each decoded command or snapshot
        # brings its own copies of them.
        claim = replace(
            claim,
            service=ServiceId(sys.intern(claim.service)),
            claimant=ProcessId(sys.intern(claim.claimant)),
            answer=_with_shared_type(claim.answer),
        )
        self.claims[claim.claim] = claim
        self._by_key.setdefault(claim.service, {})[claim.key] = claim.claim
        heapq.heappush(self._by_expiry, (claim.expires_s, claim.claim))
        self.used_bytes += claim_bytes(claim)

    def _remove(self, claim: ClaimRecord) -> None:
        del self.claims[claim.claim]
        of_service = self._by_key[claim.service]
        del of_service[claim.key]
        if not of_service:
            del self._by_key[claim.service]
        self.used_bytes -= claim_bytes(claim)
        # A released claim leaves its place in the heap; without this, releases at a high rate would
        # fill the memory until their retry windows end.
        if len(self._by_expiry) > 2 * len(self.claims) + HEAP_SLACK:
            self._by_expiry = [(kept.expires_s, kept.claim) for kept in self.claims.values()]
            heapq.heapify(self._by_expiry)


def _repeated(known: ClaimRecord, command: Claim) -> Result:
    if known.body_digest != command.body_digest:
        return BodyMismatch()
    if known.finished:
        return ClaimFinished(known.claim, known.answer)
    # The same claimant gets this too: it may hold the claim for another request of the same caller.
    return ClaimPending(known.claim, known.claimant)


def _is_same(kept: KeptAnswer | None, answer: KeptAnswer | None) -> bool:
    if kept is None or answer is None:
        return kept is answer
    return (kept.status, kept.body_digest) == (answer.status, answer.body_digest)


def _without_large_parts(answer: KeptAnswer | None) -> KeptAnswer | None:
    if answer is None:
        return None
    if len(answer.content_type) > CONTENT_TYPE_LIMIT:
        answer = replace(answer, content_type="")
    if answer.body is not None and len(answer.body) > ANSWER_BODY_LIMIT_BYTES:
        answer = replace(answer, body=None)
    return _with_shared_type(answer)


def _with_shared_type(answer: KeptAnswer | None) -> KeptAnswer | None:
    """Return the answer with the one copy of its content type that all answers share."""
    if answer is None:
        return None
    return KeptAnswer(
        answer.status, sys.intern(answer.content_type), answer.body, answer.body_digest
    )
