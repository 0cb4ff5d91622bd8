"""Claims that let a non-idempotent request run once, and the answers stored for its resends."""

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

__all__ = ["ClaimTable", "claim_bytes"]

CLAIMS_LIMIT_BYTES = 24_000_000
# The record, its digest, its two index entries and its entry in the expiry heap take 417 bytes with
# a key of 36 characters. The record of an answer takes about 200 bytes more, which are counted from
# the start, so that the status and the digest of every answer fit.
CLAIM_OVERHEAD_BYTES = 600
ANSWER_BODY_LIMIT_BYTES = 64 * 1024
CONTENT_TYPE_LIMIT = 256
KEY_LIMIT = 1_024
DIGEST_LIMIT_BYTES = 64
# Upper limit of a service's retry window, and separately of the time to the deadline of a claim.
RETRY_WINDOW_LIMIT_S = 86_400.0
# The number of stale entries in the expiry heap that are tolerated before it is rebuilt.
STALE_HEAP_ENTRIES = 64


def claim_bytes(claim: ClaimRecord) -> int:
    """Return the number of bytes that `claim` counts against the memory limit."""
    body = 0 if claim.answer is None else len(claim.answer.body or b"")
    return CLAIM_OVERHEAD_BYTES + len(claim.key.encode()) + body


class ClaimTable:
    """Holds the claims within a memory limit. A claim is kept until it expires or is released."""

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
        """Grant the claim, or return its holder or its outcome if there already is one."""
        service = self.declarations.services.get(command.service)
        if service is None:
            return Refused(Refusal.UNKNOWN, f"no service {command.service!r}")
        if not 0 < len(command.key) <= KEY_LIMIT or len(command.body_digest) > DIGEST_LIMIT_BYTES:
            return Refused(Refusal.INVALID, "the key or the body digest has an invalid length")
        existing = self.find(command.service, command.key)
        if existing is not None and existing.expires_s > now_s:
            return _result_of_existing(existing, command)
        if existing is not None:
            self._remove(existing)
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
        """Store the answer, without its body if that exceeds a limit."""
        claim = self._find_held(command.claim, command.claimant)
        if isinstance(claim, Refused):
            return claim
        answer = command.answer
        if answer is not None and len(answer.body_digest) > DIGEST_LIMIT_BYTES:
            return Refused(Refusal.INVALID, "the digest of the answer is too long")
        if claim.finished:
            if _is_same_answer(claim.answer, answer):
                return Done()
            return Refused(Refusal.FINISHED, f"claim {claim.claim} has another answer")
        finished = replace(claim, finished=True, answer=self._fit_to_limits(answer))
        self.claims[claim.claim] = finished
        self.used_bytes += claim_bytes(finished) - claim_bytes(claim)
        return Done()

    def release(self, command: ReleaseClaim, now_s: float) -> Result:
        """Remove a claim whose request did not run."""
        claim = self._find_held(command.claim, command.claimant)
        if isinstance(claim, Refused):
            return claim
        if claim.finished:
            return Refused(Refusal.FINISHED, f"claim {claim.claim} is finished")
        self._remove(claim)
        return Done()

    def expire(self, command: ExpireClaims, now_s: float) -> Result:
        """Remove the claims that expired by `now_s`."""
        self._expire(now_s)
        return Done()

    def restore(self, claims: Iterable[ClaimRecord]) -> None:
        """Replace all claims with those of a snapshot."""
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

    def _find_held(self, claim_id: ClaimId, claimant: ProcessId) -> ClaimRecord | Refused:
        claim = self.claims.get(claim_id)
        if claim is None:
            return Refused(Refusal.UNKNOWN, f"no claim {claim_id}")
        if claim.claimant != claimant:
            return Refused(Refusal.NOT_CLAIMANT, f"claim {claim_id} is held by {claim.claimant}")
        return claim

    def _fit_to_limits(self, answer: KeptAnswer | None) -> KeptAnswer | None:
        fitted = _without_large_parts(answer)
        if fitted is None or fitted.body is None:
            return fitted
        if self.used_bytes + len(fitted.body) > self.limit_bytes:
            return replace(fitted, body=None)
        return fitted

    def _add(self, claim: ClaimRecord) -> None:
        # Claims share few services and claimants, but each decoded command or snapshot holds its
        # own copies of these strings.
        claim = replace(
            claim,
            service=ServiceId(sys.intern(claim.service)),
            claimant=ProcessId(sys.intern(claim.claimant)),
            answer=_with_interned_type(claim.answer),
        )
        self.claims[claim.claim] = claim
        self._by_key.setdefault(claim.service, {})[claim.key] = claim.claim
        heapq.heappush(self._by_expiry, (claim.expires_s, claim.claim))
        self.used_bytes += claim_bytes(claim)

    def _remove(self, claim: ClaimRecord) -> None:
        del self.claims[claim.claim]
        by_key = self._by_key[claim.service]
        del by_key[claim.key]
        if not by_key:
            del self._by_key[claim.service]
        self.used_bytes -= claim_bytes(claim)
        # A released claim leaves a stale heap entry. Without the rebuild, a high rate of releases
        # would fill the memory until the retry windows end.
        if len(self._by_expiry) > 2 * len(self.claims) + STALE_HEAP_ENTRIES:
            self._by_expiry = [(other.expires_s, other.claim) for other in self.claims.values()]
            heapq.heapify(self._by_expiry)


def _result_of_existing(existing: ClaimRecord, command: Claim) -> Result:
    if existing.body_digest != command.body_digest:
        return BodyMismatch()
    if existing.finished:
        return ClaimFinished(existing.claim, existing.answer)
    # Also returned to the claimant itself: it may hold the claim for another request with this key.
    return ClaimPending(existing.claim, existing.claimant)


def _is_same_answer(stored: KeptAnswer | None, answer: KeptAnswer | None) -> bool:
    if stored is None or answer is None:
        return stored is answer
    return (stored.status, stored.body_digest) == (answer.status, answer.body_digest)


def _without_large_parts(answer: KeptAnswer | None) -> KeptAnswer | None:
    if answer is None:
        return None
    if len(answer.content_type) > CONTENT_TYPE_LIMIT:
        answer = replace(answer, content_type="")
    if answer.body is not None and len(answer.body) > ANSWER_BODY_LIMIT_BYTES:
        answer = replace(answer, body=None)
    return _with_interned_type(answer)


def _with_interned_type(answer: KeptAnswer | None) -> KeptAnswer | None:
    """Return the answer with its content type interned, because answers share few types."""
    if answer is None:
        return None
    return KeptAnswer(
        answer.status, sys.intern(answer.content_type), answer.body, answer.body_digest
    )
