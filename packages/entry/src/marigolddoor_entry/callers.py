"""Serves callers' requests: admission, claim and dispatch, up to one of the four outcomes."""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_core.admission.policies import AdmissionPolicy, Ticket, TicketState
from marigolddoor_core.ids import IdempotencyKey, RequestId, ServiceId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.ports import NoQuorumError
from marigolddoor_core.requests.answers import TargetAnswer
from marigolddoor_core.requests.catalogue import Catalogue
from marigolddoor_core.requests.claim_tracker import ClaimKey, ClaimNextStep, ClaimPhase
from marigolddoor_core.requests.contract import MAX_BODY_BYTES, CallerRequest, parse_request
from marigolddoor_core.requests.outcomes import Outcome
from marigolddoor_core.requests.refusals import (
    ClientDisconnectedError,
    DeadlineExpiredError,
    KeyReusedError,
    NoQuorumForClaimError,
    NoTargetError,
    OutcomeUnknownError,
    QueueFullError,
    RequestError,
    RequestRefusedError,
    RunFailedError,
)
from marigolddoor_core.requests.retries import AttemptEnd, RetryBudget, may_retry
from marigolddoor_core.routing.policies import RoutingPolicy
from marigolddoor_core.state.results import ClaimFinished, ClaimPending, Result
from marigolddoor_core.timeline import EventKind

from marigolddoor_entry.bodies import Receive, read_body
from marigolddoor_entry.claim_outcomes import claim_reply, stored_answer_of
from marigolddoor_entry.claimant import Claimant
from marigolddoor_entry.demand import DemandMeter
from marigolddoor_entry.dispatcher import Dispatcher, ForwardedRequest
from marigolddoor_entry.ports import EntryPorts
from marigolddoor_entry.replies import Reply, answer_reply, claim_outcome_reply, error_reply
from marigolddoor_entry.request_events import RequestEvents
from marigolddoor_entry.settings import EntryLimits

__all__ = ["CallersService"]


# Limits the bodies of all requests in progress, so that many large ones can't exhaust the memory.
MAX_BODIES_BYTES = 64 * MAX_BODY_BYTES
# A claimed request may run this long after its caller's deadline; its answer is stored.
CLAIMED_RUN_GRACE_S = 30.0
# Delays before a resend asks again for a claim that another process holds.
MIN_CLAIM_RETRY_S = 0.05
MAX_CLAIM_RETRY_S = 1.0
NO_TARGET_RETRY_S = 1.0
# An election takes less than 2 s.
RETRY_AFTER_S = 2.0
NOT_SENT_PHASES = (ClaimPhase.PROPOSED, ClaimPhase.GRANTED, ClaimPhase.RELEASING)


@dataclass(slots=True)
class _Exchange:
    """A request in progress in this process."""

    request: CallerRequest
    forwarded: ForwardedRequest
    ticket: Ticket
    events: RequestEvents
    digest: bytes = b""
    # Whether the request may already have run, here or at another process, with an unknown answer.
    may_have_run: bool = False
    # Whether the time in its slot counts as a sample of the service's run time.
    is_run_time_sample: bool = False

    def claim_key(self) -> ClaimKey | None:
        if self.request.key is None:
            return None
        return ClaimKey(self.request.service.id, self.request.key)


class _ClaimedRun:
    """A claimed run, which goes on if its caller stops waiting for it."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: TargetAnswer | None = None
        self.error: RequestError | None = None


class CallersService:
    """Produces the reply to each request of a caller."""

    def __init__(
        self,
        catalogue: Catalogue,
        admission: AdmissionPolicy,
        routing: RoutingPolicy,
        dispatcher: Dispatcher,
        claimant: Claimant,
        ports: EntryPorts,
        group: TaskGroup,
        clock: Callable[[], float],
        rng: random.Random,
        limits: EntryLimits,
    ) -> None:
        self.catalogue = catalogue
        self.admission = admission
        self.routing = routing
        self.dispatcher = dispatcher
        self.claimant = claimant
        self.ports = ports
        self.group = group
        self.clock = clock
        self.rng = rng
        self.limits = limits
        self.budget = RetryBudget()
        self.meters: dict[ServiceId, DemandMeter] = {}
        self.waiters: dict[Ticket, anyio.Event] = {}
        self.active = 0
        self.body_bytes = 0
        self.idle = anyio.Event()
        self.sequence = 0

    async def handle(
        self, method: str, path: bytes, headers: list[tuple[bytes, bytes]], receive: Receive
    ) -> Reply:
        """Return the reply to one request of a caller."""
        self.sequence += 1
        request_id = RequestId(f"{self.claimant.process}-{self.sequence}")
        key: ClaimKey | None = None
        meter: DemandMeter | None = None
        received = self._now()
        outcome, text = Outcome.UNKNOWN, "interrupted"
        events = RequestEvents(self.ports.record_event, request_id)
        reserved_bytes = 0
        self.active += 1
        try:
            request = parse_request(
                headers,
                self.catalogue.services.get,
                self._is_team,
                received,
                self.limits.body_bytes,
            )
            meter = self.meter(request.service.id)
            meter.arrived += 1
            events.service = request.service.id
            events.add(EventKind.REQUEST_RECEIVED)
            if request.key is not None:
                key = ClaimKey(request.service.id, request.key)
            if self.body_bytes + request.body_bytes > MAX_BODIES_BYTES:
                raise QueueFullError("too many bodies are held", NO_TARGET_RETRY_S)
            reserved_bytes = request.body_bytes
            self.body_bytes += reserved_bytes
            body = await read_body(receive, request.deadline - self._now(), self.limits.body_bytes)
            forwarded = ForwardedRequest(
                request_id, request.service.id, method, path, tuple(headers), body
            )
            ticket = Ticket(
                request.service.id,
                request.team,
                request.priority,
                request.deadline,
                request.received,
            )
            exchange = _Exchange(request, forwarded, ticket, events)
            answer = await self._answer(exchange, receive)
            outcome, text = Outcome.ANSWERED, f"status {answer.status}"
            meter.answered += 1
            if self._now() > request.deadline:
                meter.late += 1
            return answer_reply(answer, request_id, method)
        except RequestError as error:
            outcome, text = error.outcome, error.code
            if meter is not None and isinstance(error, RequestRefusedError):
                meter.refused += 1
            return error_reply(error, request_id, key)
        finally:
            self.body_bytes -= reserved_bytes
            events.end(outcome, text)
            if meter is not None:
                self.ports.observe(request.service.id, outcome, self._now() - received)
            self.active -= 1
            if not self.active:
                self.idle.set()

    async def outcome(self, service: ServiceId, key: IdempotencyKey) -> Reply:
        """Return the known outcome of a claimed request."""
        try:
            result: ClaimPending | ClaimFinished | None = None
            local = self.claimant.tracker.entries.get(ClaimKey(service, key))
            if local is not None and local.answer is not None and local.claim is not None:
                result = ClaimFinished(local.claim, local.answer)
            else:
                result = await self.ports.claims.read_claim(service, key)
        except NoQuorumError:
            error = NoQuorumForClaimError("the claims can't be read", NO_TARGET_RETRY_S)
            return claim_outcome_reply(Outcome.UNKNOWN, 503, {"error": error.code})
        return claim_reply(result)

    def wake(self, tickets: "list[Ticket] | tuple[Ticket, ...] | Any") -> None:
        """Wake the requests whose tickets were started or refused."""
        for ticket in tickets:
            waiter = self.waiters.get(ticket)
            if waiter is not None:
                waiter.set()

    def meter(self, service: ServiceId) -> DemandMeter:
        """Return the counters of a service."""
        meter = self.meters.get(service)
        if meter is None:
            meter = self.meters[service] = DemandMeter(counted_at=self._now())
        return meter

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.active:
            self.idle = anyio.Event()
            await self.idle.wait()

    def _now(self) -> Instant:
        return Instant(self.clock())

    def _is_team(self, team: Any) -> bool:
        return team in self.catalogue.teams

    async def _answer(self, exchange: _Exchange, receive: Receive) -> TargetAnswer:
        if exchange.request.key is None:
            await self._admit(exchange, receive)
            try:
                return await self._run(exchange, exchange.request.deadline)
            finally:
                self._release_slot(exchange)
        forwarded = exchange.forwarded
        hasher = hashlib.sha256(b"%s %s\n" % (forwarded.method.encode(), forwarded.path))
        hasher.update(forwarded.body)
        exchange.digest = hasher.digest()
        try:
            return await self._answer_claimed(exchange, receive)
        except RequestRefusedError as error:
            if exchange.may_have_run and not isinstance(error, KeyReusedError):
                raise OutcomeUnknownError("the claimed request may be running") from error
            raise

    async def _answer_claimed(self, exchange: _Exchange, receive: Receive) -> TargetAnswer:
        key = exchange.claim_key()
        assert key is not None
        retry_s = MIN_CLAIM_RETRY_S
        while True:
            await self._admit(exchange, receive)
            try:
                step, result = await self._claim(exchange, key)
            except BaseException:
                self._release_slot(exchange)
                raise
            if step is ClaimNextStep.RUN:
                exchange.events.add(EventKind.CLAIM_GRANTED)
                return await self._run_claimed(exchange, key)
            self._release_slot(exchange)
            # A waiting request asks again many times; only the first refusal is recorded.
            if step is not ClaimNextStep.WAIT or not exchange.may_have_run:
                exchange.events.add(EventKind.CLAIM_REFUSED, type(result).__name__)
            if step is not ClaimNextStep.WAIT:
                return stored_answer_of(step, result)
            exchange.may_have_run = exchange.may_have_run or self._may_have_been_sent(key, result)
            remaining_s = exchange.request.deadline - self._now()
            if remaining_s <= retry_s:
                await anyio.sleep(max(0.0, remaining_s))
                if exchange.may_have_run or self._may_have_been_sent(key, result):
                    raise OutcomeUnknownError("the first request with this key has not ended")
                raise NoQuorumForClaimError("the claim was not confirmed", RETRY_AFTER_S)
            await anyio.sleep(retry_s)
            retry_s = min(retry_s * 2, MAX_CLAIM_RETRY_S)
            exchange.ticket = _renewed_ticket(exchange.ticket)

    def _may_have_been_sent(self, key: ClaimKey, result: Result) -> bool:
        """Return whether the request that holds the claim may have been sent to a target.

        It is known only for the claims of this process: a request was not sent while its claim is
        only proposed or granted, or is being released because the proposal was not confirmed.
        """
        if not isinstance(result, ClaimPending) or result.claimant != self.claimant.process:
            return True
        return self.claimant.tracker.phase(key) not in NOT_SENT_PHASES

    async def _claim(self, exchange: _Exchange, key: ClaimKey) -> tuple[ClaimNextStep, Result]:
        request = exchange.request
        now = self._now()
        remaining_s = request.deadline - now
        if remaining_s <= 0:
            raise DeadlineExpiredError("the deadline passed before the claim")
        return await self.claimant.claim(
            key,
            exchange.digest,
            self.ports.consensus_time() + remaining_s,
            remaining_s,
            Instant(request.deadline + request.service.retry_window_s),
        )

    async def _run_claimed(self, exchange: _Exchange, key: ClaimKey) -> TargetAnswer:
        run = _ClaimedRun()
        self.active += 1
        self.group.start_soon(self._finish_claimed, exchange, key, run)
        with anyio.move_on_after(exchange.request.deadline - self._now()):
            await run.done.wait()
        if run.answer is not None:
            return run.answer
        raise run.error or OutcomeUnknownError("the request is still running")

    async def _finish_claimed(self, exchange: _Exchange, key: ClaimKey, run: _ClaimedRun) -> None:
        """Run a claimed request to its end, even without its caller, and record the end."""
        tracker = self.claimant.tracker
        try:
            run.answer = await self._run(
                exchange, Instant(exchange.request.deadline + CLAIMED_RUN_GRACE_S)
            )
            self.claimant.finish(key, exchange.digest, run.answer, ran=True)
        except RequestRefusedError as error:
            run.error = error
            self.claimant.release(key)
        except RequestError as error:
            run.error = error
            self.claimant.finish(
                key, exchange.digest, None, ran=not isinstance(error, RunFailedError)
            )
        except Exception as error:
            # A defect here must neither end the process nor leave the claim pending.
            logger.error("entry: a claimed run failed with an unexpected {}", type(error).__name__)
            run.error = OutcomeUnknownError("the entry process was interrupted")
            if tracker.phase(key) is ClaimPhase.DISPATCHED:
                self.claimant.finish(key, exchange.digest, None, ran=True)
            elif tracker.phase(key) is ClaimPhase.GRANTED:
                self.claimant.release(key)
        finally:
            self._release_slot(exchange)
            run.done.set()
            self.active -= 1
            if not self.active:
                self.idle.set()

    async def _admit(self, exchange: _Exchange, receive: Receive) -> None:
        """Wait until the request holds a slot.

        Raises:
          RequestRefusedError: no slot was granted.
        """
        ticket = exchange.ticket
        meter = self.meter(ticket.service)
        changed = self.admission.offer(ticket, self._now())
        if changed:
            self.wake(changed)
        if ticket.state is TicketState.WAITING:
            meter.queued += 1
            try:
                await self._wait_in_queue(ticket, receive)
            finally:
                meter.queued -= 1
        if ticket.state is TicketState.REFUSED:
            raise ticket.refusal or NoTargetError("refused", NO_TARGET_RETRY_S)
        meter.admitted += 1
        meter.add_slots(1, self._now())

    async def _wait_in_queue(self, ticket: Ticket, receive: Receive) -> None:
        waiter = self.waiters[ticket] = anyio.Event()
        disconnected = False

        async def watch(scope: anyio.CancelScope) -> None:
            nonlocal disconnected
            while (await receive())["type"] != "http.disconnect":
                pass
            disconnected = True
            scope.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch, group.cancel_scope)
                with anyio.move_on_after(ticket.deadline - self._now()):
                    await waiter.wait()
                group.cancel_scope.cancel()
        finally:
            del self.waiters[ticket]
            if ticket.state is TicketState.WAITING:
                self.wake(self.admission.withdraw(ticket, self._now()))
        if disconnected:
            if ticket.state is TicketState.RUNNING:
                self.wake(self.admission.finish(ticket, False, self._now()))
            raise ClientDisconnectedError("the caller closed the connection")
        if ticket.state is TicketState.DONE:
            raise DeadlineExpiredError("the deadline passed in the queue", NO_TARGET_RETRY_S)

    def _release_slot(self, exchange: _Exchange) -> None:
        now = self._now()
        self.meter(exchange.ticket.service).add_slots(-1, now)
        changed = self.admission.finish(exchange.ticket, exchange.is_run_time_sample, now)
        if changed:
            self.wake(changed)

    async def _run(self, exchange: _Exchange, run_deadline: Instant) -> TargetAnswer:
        """Send the request to targets until an attempt is final or `run_deadline` has passed."""
        request = exchange.request
        key = exchange.claim_key()
        pool = exchange.ticket.pool
        assert pool is not None
        self.budget.count_request()
        tried: frozenset[VmId] = frozenset()
        answer_lost = False
        while True:
            now = self._now()
            if now >= request.deadline:
                if answer_lost:
                    raise OutcomeUnknownError("no answer came before the deadline")
                raise DeadlineExpiredError("the deadline passed before the dispatch")
            dispatch = self.routing.choose(pool, now, self.rng, tried)
            if dispatch is None:
                if answer_lost:
                    raise OutcomeUnknownError("the answer was lost, and no target is left")
                raise NoTargetError(f"no target of {pool!r} takes work", NO_TARGET_RETRY_S)
            if key is not None:
                self.claimant.tracker.dispatch(key)
            exchange.events.add(EventKind.REQUEST_SENT, vm=dispatch.vm)
            end, failed = AttemptEnd.LOST, False
            try:
                attempt = await self.dispatcher.send(
                    dispatch, exchange.forwarded, request.deadline - now, run_deadline - now
                )
                end, failed = attempt.end, attempt.failed
            finally:
                ended_at = self._now()
                self.routing.finish(dispatch, end, failed, ended_at - now, ended_at)
                reached = end is not AttemptEnd.NOT_STARTED or not failed
                self.ports.report_dispatch(dispatch.vm, reached)
            exchange.is_run_time_sample = not failed or attempt.timed_out
            if attempt.refused:
                self.routing.refused(dispatch)
            if end is AttemptEnd.ANSWERED:
                assert attempt.answer is not None
                return attempt.answer
            if end is AttemptEnd.FAILED:
                raise RunFailedError(attempt.reason)
            if end is AttemptEnd.LOST:
                answer_lost = True
            elif key is not None:
                self.claimant.tracker.not_started(key)
            if not may_retry(end, key is None, request.deadline, ended_at, self.budget):
                if answer_lost:
                    raise OutcomeUnknownError(f"the answer was lost: {attempt.reason}")
                raise NoTargetError(f"a target did not start: {attempt.reason}", NO_TARGET_RETRY_S)
            exchange.events.add(EventKind.REQUEST_RETRIED, attempt.reason, dispatch.vm)
            tried |= {dispatch.vm}


def _renewed_ticket(ticket: Ticket) -> Ticket:
    return Ticket(ticket.service, ticket.team, ticket.priority, ticket.deadline, ticket.offered)
