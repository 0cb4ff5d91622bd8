"""Claims of non-idempotent requests: proposes them and records how their runs ended."""

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

# A kept answer of this type stands for a run that failed, so that a resend has the same outcome.
FAILED_CONTENT_TYPE = "application/vnd.marigolddoor.failed"
PROPOSAL_TIMEOUT_S = 2.0
# An election takes less than 2 s.
RETRY_AFTER_S = 2.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# How long a result is proposed again while there is no quorum.
MAX_RECORDING_S = 600.0


class Claimant:
    """Claims for one entry process. `group` runs what outlives the caller's request."""

    def __init__(self, process: ProcessId, proposer: Proposer, group: TaskGroup) -> None:
        self.process = process
        self.proposer = proposer
        self.group = group
        self.tracker = ClaimTracker(process)
        # Ends of claims that the group has not committed yet.
        self.unrecorded = 0
        self.recorded = anyio.Event()

    async def claim(
        self,
        key: ClaimKey,
        digest: bytes,
        deadline_s: float,
        remaining_s: float,
        expires_at: Instant,
    ) -> tuple[ClaimNextStep, Result]:
        """Propose a claim and return what it allows.

        Raises:
          ClaimRefusedError: the group knows no such service, or the key is not allowed.
          NoQuorumForClaimError: no result came; the request isn't dispatched under this proposal.
        """
        if not self.tracker.begin(key, digest, expires_at):
            known = self.tracker.known_result(key, digest)
            assert known is not None
            return _step_of_known(known), known
        command = Claim(key.service, key.key, digest, self.process, deadline_s)
        try:
            result = await self.proposer.propose(command, min(PROPOSAL_TIMEOUT_S, remaining_s))
        except NoQuorumError as error:
            self.tracker.withdraw(key)
            raise NoQuorumForClaimError("the claim was not accepted", RETRY_AFTER_S) from error
        except ProposalOutcomeUnknownError as error:
            self.tracker.withdraw(key)
            self.group.start_soon(self._abandon, key, command, expires_at)
            raise NoQuorumForClaimError("the claim was not confirmed", RETRY_AFTER_S) from error
        except BaseException:
            self.tracker.withdraw(key)
            raise
        if isinstance(result, Refused):
            self.tracker.withdraw(key)
            raise ClaimRefusedError(f"the group refused the claim: {result.refusal.value}")
        return self.tracker.resolve(key, result), result

    def release(self, key: ClaimKey) -> None:
        """Give up a granted claim whose request provably did not run."""
        claim = self.tracker.release(key)
        self.group.start_soon(self._propose_until_done, ReleaseClaim(claim, self.process), key)

    def finish(self, key: ClaimKey, digest: bytes, answer: TargetAnswer | None, ran: bool) -> None:
        """Record the end of a run; `answer` is None if its outcome is unknown.

        `ran` is False for a run that failed.
        """
        kept: KeptAnswer | None = None
        if not ran:
            kept = KeptAnswer(502, FAILED_CONTENT_TYPE, b"", digest)
        elif answer is not None:
            content_type = dict(answer.headers).get(b"content-type", b"").decode("latin-1")
            kept = stored_answer(answer.status, content_type, answer.body, digest)
        claim = self.tracker.finish(key, kept)
        self.group.start_soon(self._propose_until_done, FinishClaim(claim, self.process, kept), key)

    async def _propose_until_done(self, command: ReleaseClaim | FinishClaim, key: ClaimKey) -> None:
        """Propose a command again until it is committed; proposing it twice changes nothing."""
        self.unrecorded += 1
        try:
            await self._propose_with_backoff(command, key)
        finally:
            self.unrecorded -= 1
            self.recorded.set()

    async def _propose_with_backoff(
        self, command: ReleaseClaim | FinishClaim, key: ClaimKey
    ) -> None:
        backoff_s = FIRST_BACKOFF_S
        with anyio.move_on_after(MAX_RECORDING_S):
            while True:
                try:
                    await self.proposer.propose(command, PROPOSAL_TIMEOUT_S)
                    self.tracker.committed(key)
                    return
                except (NoQuorumError, ProposalOutcomeUnknownError):
                    await anyio.sleep(backoff_s)
                    backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
        logger.warning("entry: the end of a claimed request could not be recorded")

    async def wait_recorded(self) -> None:
        """Wait until the end of every claim is committed."""
        # The tasks that were started just now have not counted themselves yet.
        await anyio.sleep(0)
        while self.unrecorded:
            self.recorded = anyio.Event()
            await self.recorded.wait()

    async def _abandon(self, key: ClaimKey, command: Claim, expires_at: Instant) -> None:
        """Release a claim that may have been committed, unless another request has taken it up."""
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


def _step_of_known(known: Result) -> ClaimNextStep:
    if isinstance(known, BodyMismatch):
        return ClaimNextStep.REFUSE_BODY
    if isinstance(known, ClaimFinished):
        return ClaimNextStep.RESEND
    return ClaimNextStep.WAIT
