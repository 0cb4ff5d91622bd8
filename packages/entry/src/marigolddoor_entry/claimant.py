"""Claims of non-idempotent requests: proposes claims and records how their runs ended."""

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_core.ids import ProcessId
from marigolddoor_core.instants import Instant
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError, Proposer
from marigolddoor_core.requests.answers import TargetAnswer
from marigolddoor_core.requests.claim_tracker import (
    ClaimKey,
    ClaimNextStep,
    ClaimTracker,
    stored_answer,
)
from marigolddoor_core.requests.refusals import ClaimRefusedError, NoQuorumForClaimError
from marigolddoor_core.state.commands import Claim, FinishClaim, KeptAnswer, ReleaseClaim
from marigolddoor_core.state.results import BodyMismatch, ClaimFinished, Refused, Result

__all__ = ["FAILED_CONTENT_TYPE", "Claimant"]

# Content type of the stored answer of a failed run, so that a resend has the same outcome.
FAILED_CONTENT_TYPE = "application/vnd.marigolddoor.failed"
PROPOSAL_TIMEOUT_S = 2.0
# An election takes less than 2 s.
RETRY_AFTER_S = 2.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# How long the end of a run is proposed again while there is no quorum.
MAX_COMMIT_RETRY_S = 600.0


class Claimant:
    """Makes the claims of one entry process; `group` runs tasks that outlive a caller's request."""

    def __init__(self, process: ProcessId, proposer: Proposer, group: TaskGroup) -> None:
        self.process = process
        self.proposer = proposer
        self.group = group
        self.tracker = ClaimTracker(process)
        # Releases and ends of claims that the consensus group has not committed yet.
        self.uncommitted = 0
        self.commit_done = anyio.Event()

    async def claim(
        self,
        key: ClaimKey,
        digest: bytes,
        deadline_s: float,
        remaining_s: float,
        expires_at: Instant,
    ) -> tuple[ClaimNextStep, Result]:
        """Propose a claim and return the next step with the result.

        Raises:
          ClaimRefusedError: the group knows no such service, or the key is not allowed.
          NoQuorumForClaimError: no result arrived; this proposal doesn't dispatch the request.
        """
        if not self.tracker.begin(key, digest, expires_at):
            known = self.tracker.known_result(key, digest)
            assert known is not None
            return _next_step(known), known
        command = Claim(key.service, key.key, digest, self.process, deadline_s)
        try:
            result = await self.proposer.propose(command, min(PROPOSAL_TIMEOUT_S, remaining_s))
        except NoQuorumError as error:
            self.tracker.withdraw(key)
            raise NoQuorumForClaimError("the claim was not accepted", RETRY_AFTER_S) from error
        except ProposalOutcomeUnknownError as error:
            self.tracker.withdraw(key)
            self.group.start_soon(self._release_unconfirmed, key, command, expires_at)
            raise NoQuorumForClaimError("the claim was not confirmed", RETRY_AFTER_S) from error
        except BaseException:
            self.tracker.withdraw(key)
            raise
        if isinstance(result, Refused):
            self.tracker.withdraw(key)
            raise ClaimRefusedError(f"the group refused the claim: {result.refusal.value}")
        return self.tracker.resolve(key, result), result

    def release(self, key: ClaimKey) -> None:
        """Release a granted claim whose request certainly did not run."""
        claim = self.tracker.release(key)
        self.group.start_soon(self._propose_until_done, ReleaseClaim(claim, self.process), key)

    def finish(self, key: ClaimKey, digest: bytes, answer: TargetAnswer | None, ran: bool) -> None:
        """Record the end of a run; `answer` is None if its outcome is unknown.

        `ran` is False for a run that failed.
        """
        stored: KeptAnswer | None = None
        if not ran:
            stored = KeptAnswer(502, FAILED_CONTENT_TYPE, b"", digest)
        elif answer is not None:
            content_type = dict(answer.headers).get(b"content-type", b"").decode("latin-1")
            stored = stored_answer(answer.status, content_type, answer.body, digest)
        claim = self.tracker.finish(key, stored)
        self.group.start_soon(
            self._propose_until_done, FinishClaim(claim, self.process, stored), key
        )

    async def _propose_until_done(self, command: ReleaseClaim | FinishClaim, key: ClaimKey) -> None:
        """Propose a command until it is committed; repeated proposals change nothing."""
        self.uncommitted += 1
        try:
            await self._propose_with_backoff(command, key)
        finally:
            self.uncommitted -= 1
            self.commit_done.set()

    async def _propose_with_backoff(
        self, command: ReleaseClaim | FinishClaim, key: ClaimKey
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        with anyio.move_on_after(MAX_COMMIT_RETRY_S):
            while True:
                try:
                    await self.proposer.propose(command, PROPOSAL_TIMEOUT_S)
                    self.tracker.committed(key)
                    return
                except (NoQuorumError, ProposalOutcomeUnknownError):
                    await anyio.sleep(backoff_s)
                    backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
        logger.warning("entry: the end of a claimed request could not be committed")

    async def wait_committed(self) -> None:
        """Wait until the end of every claim is committed."""
        # Tasks that were started just now have not incremented the count yet.
        await anyio.sleep(0)
        while self.uncommitted:
            self.commit_done = anyio.Event()
            await self.commit_done.wait()

    async def _release_unconfirmed(
        self, key: ClaimKey, command: Claim, expires_at: Instant
    ) -> None:
        """Release a claim that may have been committed, unless another request uses the key."""
        await anyio.sleep(FIRST_BACKOFF_S)
        if not self.tracker.begin(key, command.body_digest, expires_at):
            return
        try:
            result = await self.proposer.propose(command, PROPOSAL_TIMEOUT_S)
        except (NoQuorumError, ProposalOutcomeUnknownError):
            self.tracker.withdraw(key)
            return
        if self.tracker.resolve(key, result) is ClaimNextStep.RUN:
            self.release(key)


def _next_step(known: Result) -> ClaimNextStep:
    if isinstance(known, BodyMismatch):
        return ClaimNextStep.REFUSE_BODY
    if isinstance(known, ClaimFinished):
        return ClaimNextStep.RESEND
    return ClaimNextStep.WAIT
