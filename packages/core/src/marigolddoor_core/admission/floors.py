"""Admission with a floor for every service, team quotas, bounded queues and loans.

The pool that a service is declared in is its home pool. Each service has a floor of slots in its
home pool, which stays reserved even while the service is idle. The other slots are shared by the
services of the pool, and any service may borrow the shared slots of a spare pool. Of the services
that wait for a shared slot, the one with the smallest excess demand goes first. So a burst is
served before a flood, whatever their urgency, and a flood holds shared slots only while no other
service needs them.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from marigolddoor_core.admission.limits import AdaptiveLimit
from marigolddoor_core.admission.policies import (
    PoolSlots,
    ServiceLoad,
    Ticket,
    TicketState,
)
from marigolddoor_core.admission.queues import ServiceQueue
from marigolddoor_core.admission.rates import DecayingRate, ServiceTime
from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import PoolId, ServiceId, TeamId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.contract import Priority
from marigolddoor_core.requests.refusals import (
    CannotFinishInTimeError,
    NoTargetError,
    QueueFullError,
    QuotaExceededError,
    UnknownServiceError,
)

__all__ = ["FloorAdmission"]

# At a typical service time of 50 ms, a full queue holds about 1.6 s of work.
QUEUE_PER_SLOT = 32
MIN_QUEUE = 16
# Multiplies the expected wait to allow for service times that vary.
WAIT_MARGIN = 1.25
# Shorter than a burst of a few seconds, so that a burst shows in the demand early.
DEMAND_WINDOW_S = 1.0
# Each higher class may use this share of the rate even if lower classes were admitted before.
# Beyond it, a request that would make an admitted one late is refused, whatever its class.
CLASS_SHARE = 0.25
# A class that was idle may use its share for this long at once. The window must be shorter than the
# tail of the service time, which is the margin that lower classes are admitted with.
CLASS_RATE_WINDOW_S = 0.25
# The retry delay that callers get when there is no estimate.
DEFAULT_RETRY_S = 1.0


@dataclass(slots=True)
class _Pool:
    spare: bool
    size: int
    floor: int
    home_services: list["_Service"] = field(default_factory=list)
    total: int = 0
    limit: AdaptiveLimit = field(default_factory=AdaptiveLimit)
    in_use: int = 0
    borrowed: int = 0

    def unlendable_slots(self) -> int:
        """Return the slots that other pools' services never get: all, or a spare pool's floor."""
        if not self.spare:
            return self.limit.slots
        return math.ceil(self.limit.slots * min(1.0, self.floor / max(1, self.size)))


@dataclass(slots=True)
class _Service:
    id: ServiceId
    pool: PoolId
    floor_slots: int
    # The part of the floor that falls to this process, by its share of the pool.
    floor: int = 0
    queue: ServiceQueue = field(default_factory=ServiceQueue)
    time: ServiceTime = field(default_factory=ServiceTime)
    running: Counter[PoolId] = field(default_factory=Counter)
    offered: DecayingRate = field(default_factory=lambda: DecayingRate(DEMAND_WINDOW_S))
    class_rates: tuple[DecayingRate, ...] = field(
        default_factory=lambda: tuple(DecayingRate(CLASS_RATE_WINDOW_S) for _ in Priority)
    )

    def running_at_home(self) -> int:
        return self.running[self.pool]

    def unused_floor(self) -> int:
        return max(0, self.floor - self.running_at_home())


class FloorAdmission:
    """The admission policy of the product."""

    def __init__(self) -> None:
        self.services: dict[ServiceId, _Service] = {}
        self.pools: dict[PoolId, _Pool] = {}
        self.quotas: dict[TeamId, int] = {}
        self.team_running: Counter[TeamId] = Counter()
        self.spare_pools: list[PoolId] = []
        self.waiting: dict[ServiceId, _Service] = {}
        self.quota_share = 1.0
        self.sequence = 0

    def configure(
        self, services: Iterable[Service], pools: Iterable[Pool], teams: Iterable[Team]
    ) -> None:
        """Replace the declaration in force. Outstanding tickets stay valid.

        A service that is no longer declared keeps its queue until it is empty.
        """
        old_pools = self.pools
        self.pools = {}
        for pool in pools:
            pool_state = old_pools.get(pool.id) or _Pool(pool.spare, pool.size, pool.floor)
            pool_state.spare, pool_state.size, pool_state.floor = pool.spare, pool.size, pool.floor
            pool_state.home_services = []
            self.pools[pool.id] = pool_state
        for pool_id, pool_state in old_pools.items():
            if pool_state.in_use and pool_id not in self.pools:
                pool_state.home_services = []
                pool_state.limit.set_slots(0)
                self.pools[pool_id] = pool_state
        old_services = self.services
        self.services = {}
        for service in services:
            state = old_services.get(service.id) or _Service(service.id, service.pool, 0)
            state.pool, state.floor_slots = service.pool, service.floor_slots
            self.services[service.id] = state
            if service.pool in self.pools:
                self.pools[service.pool].home_services.append(state)
        for service_id, state in old_services.items():
            if service_id not in self.services and (state.queue or state.running.total()):
                self.services[service_id] = state
        self.spare_pools = [pool_id for pool_id, pool in self.pools.items() if pool.spare]
        self.quotas = {team.id: team.slots for team in teams}
        self._set_floors()

    def set_slots(self, slots: Sequence[PoolSlots], now: Instant) -> Sequence[Ticket]:
        """Replace the slots that this process may use.

        Team quotas are divided among the processes like the slots of all pools together.
        """
        for share in slots:
            pool = self.pools.get(share.pool)
            if pool is not None:
                pool.total = share.total
                pool.limit.set_slots(share.share)
        total = sum(share.total for share in slots)
        own = sum(share.share for share in slots)
        self.quota_share = own / total if total else 1.0
        self._set_floors()
        return self._start_waiting(now)

    def offer(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Start the ticket or queue it.

        Raises:
          RequestRefusedError: the request is refused at once.
        """
        service = self.services.get(ticket.service)
        if service is None:
            raise UnknownServiceError(f"service {ticket.service!r} is not declared")
        self.sequence += 1
        ticket.sequence = self.sequence
        service.offered.add(1.0, now)
        quota = self._quota(ticket.team)
        if not service.queue and self.team_running[ticket.team] < quota:
            pool_id = self._find_pool(service)
            if pool_id is not None:
                self._check_service_time(service, ticket, now)
                service.class_rates[ticket.priority].add(1.0, now)
                self._start(service, ticket, pool_id, now)
                return ()
        self._check_queue(service, ticket, quota, now)
        service.class_rates[ticket.priority].add(1.0, now)
        service.queue.add(ticket)
        self.waiting[service.id] = service
        return self._start_waiting(now)

    def finish(self, ticket: Ticket, ran: bool, now: Instant) -> Sequence[Ticket]:
        """Free the slot of a running ticket. If `ran`, its time counts as service time."""
        assert ticket.pool is not None
        ticket.state = TicketState.DONE
        self.team_running[ticket.team] -= 1
        pool = self.pools.get(ticket.pool)
        service = self.services.get(ticket.service)
        if pool is not None:
            pool.in_use -= 1
        if service is not None:
            service.running[ticket.pool] -= 1
            if pool is not None and service.pool != ticket.pool:
                pool.borrowed -= 1
            if ran:
                service_s = now - ticket.started
                service.time.add(service_s)
                if pool is not None:
                    pool.limit.add(service_s)
        return self._start_waiting(now) if self.waiting else ()

    def withdraw(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Remove a waiting ticket whose caller disconnected or whose deadline has passed."""
        if ticket.state is TicketState.WAITING:
            ticket.state = TicketState.DONE
            self._leave_queue(self.services[ticket.service], ticket)
        return ()

    def load(self, service: ServiceId) -> ServiceLoad:
        """Return the numbers of running and waiting requests of a service."""
        state = self.services.get(service)
        if state is None:
            return ServiceLoad(0, 0)
        return ServiceLoad(state.running.total(), len(state.queue))

    def _set_floors(self) -> None:
        for pool in self.pools.values():
            unassigned = pool.limit.slots
            for service in pool.home_services:
                share = pool.limit.slots / pool.total if pool.total else 0.0
                service.floor = min(unassigned, math.ceil(service.floor_slots * share))
                unassigned -= service.floor

    def _quota(self, team: TeamId) -> int:
        return max(1, math.ceil(self.quotas.get(team, 0) * self.quota_share))

    def _find_pool(self, service: _Service) -> PoolId | None:
        """Return a pool with a slot that the service may use now; its home pool comes first."""
        home_pool = self.pools.get(service.pool)
        if home_pool is not None and self._can_use_home(service, home_pool):
            return service.pool
        for pool_id in self.spare_pools:
            if pool_id != service.pool and self._can_lend(self.pools[pool_id]):
                return pool_id
        return None

    def _can_use_home(self, service: _Service, pool: _Pool) -> bool:
        if pool.in_use >= pool.limit.current():
            # Loans that were granted before the limit fell must not block the floor.
            return pool.borrowed > 0 and service.running_at_home() < min(
                service.floor, pool.limit.current()
            )
        if service.running_at_home() < service.floor:
            return True
        others = sum(other.unused_floor() for other in pool.home_services if other is not service)
        return pool.in_use + others < pool.limit.current()

    def _can_lend(self, pool: _Pool) -> bool:
        limit = pool.limit.current()
        if pool.borrowed >= min(limit, pool.limit.slots - pool.unlendable_slots()):
            return False
        return pool.in_use + sum(service.unused_floor() for service in pool.home_services) < limit

    def _start(self, service: _Service, ticket: Ticket, pool_id: PoolId, now: Instant) -> None:
        pool = self.pools[pool_id]
        if pool_id != service.pool:
            pool.borrowed += 1
        pool.in_use += 1
        service.running[pool_id] += 1
        self.team_running[ticket.team] += 1
        ticket.state, ticket.pool, ticket.started = TicketState.RUNNING, pool_id, now

    def _check_service_time(self, service: _Service, ticket: Ticket, now: Instant) -> None:
        # One request is always admitted when none is running; otherwise a high estimate would never
        # be measured again.
        if now + service.time.mean_s > ticket.deadline and service.running.total():
            raise CannotFinishInTimeError(
                f"requests of {service.id!r} take {service.time.mean_s:.3f} s", DEFAULT_RETRY_S
            )

    def _check_queue(self, service: _Service, ticket: Ticket, quota: int, now: Instant) -> None:
        home_pool = self.pools.get(service.pool)
        slots = home_pool.limit.current() if home_pool is not None else 0
        if slots == 0 and not self._has_spare_slots():
            raise NoTargetError(f"pool {service.pool!r} has no target", DEFAULT_RETRY_S)
        if service.queue.by_team[ticket.team] >= max(quota, MIN_QUEUE) and (
            self.team_running[ticket.team] >= quota
        ):
            raise QuotaExceededError(f"team {ticket.team!r} is at its quota", DEFAULT_RETRY_S)
        start_interval_s = service.time.mean_s / max(1, self._guaranteed_slots(service))
        if len(service.queue) >= max(MIN_QUEUE, QUEUE_PER_SLOT * slots):
            raise QueueFullError(
                f"the queue of {service.id!r} is full",
                max(DEFAULT_RETRY_S, len(service.queue) * start_interval_s),
            )
        lateness_s = self._lateness_s(service, ticket, start_interval_s * WAIT_MARGIN, now)
        if lateness_s > 0:
            raise CannotFinishInTimeError(
                f"{len(service.queue)} requests of {service.id!r} are queued",
                max(DEFAULT_RETRY_S, lateness_s),
            )

    def _lateness_s(
        self, service: _Service, ticket: Ticket, start_interval_s: float, now: Instant
    ) -> float:
        """Return by how much the ticket, or a queued one behind it, would miss its deadline.

        `start_interval_s` is the expected time between two starts from the queue.
        """
        tail_s = service.time.tail_s()
        position = service.queue.position(ticket)
        reserved = CLASS_SHARE * ticket.priority.value
        lateness_s = (
            now + (position + 1) * start_interval_s / (1.0 - reserved) + tail_s - ticket.deadline
        )
        if lateness_s > 0 or position == len(service.queue):
            return lateness_s
        slack = service.queue.slack_behind(position, ticket.priority, start_interval_s, now)
        admitted = service.class_rates[ticket.priority].rate(now)
        if admitted * start_interval_s < CLASS_SHARE:
            # Lower classes were admitted with this share reserved, so they still end on time.
            return start_interval_s + tail_s - slack.same_s
        return start_interval_s + tail_s - min(slack.same_s, slack.lower_s)

    def _has_spare_slots(self) -> bool:
        return any(self.pools[pool_id].limit.slots > 0 for pool_id in self.spare_pools)

    def _guaranteed_slots(self, service: _Service) -> int:
        """Return the slots that the service has without loans and shared slots."""
        home_pool = self.pools.get(service.pool)
        if home_pool is None:
            return 0
        if home_pool.spare or len(home_pool.home_services) > 1:
            return min(service.floor, home_pool.limit.current())
        return home_pool.limit.current()

    def _excess_demand(self, service: _Service, now: Instant) -> float:
        """Return the slots that the offered requests need beyond the guaranteed ones."""
        return service.offered.rate(now) * service.time.mean_s - self._guaranteed_slots(service)

    def _leave_queue(self, service: _Service, ticket: Ticket) -> None:
        service.queue.remove(ticket)
        if not service.queue:
            self.waiting.pop(service.id, None)

    def _start_waiting(self, now: Instant) -> list[Ticket]:
        """Assign free slots to waiting tickets; return those that started or were refused."""
        changed: list[Ticket] = []
        while self.waiting:
            choice: tuple[bool, float, _Service, Ticket, PoolId] | None = None
            for service in list(self.waiting.values()):
                pool_id = self._find_pool(service)
                if pool_id is None:
                    continue
                ticket = self._next_ticket(service, now, changed)
                if ticket is None:
                    continue
                shared = pool_id != service.pool or service.running_at_home() >= service.floor
                excess = self._excess_demand(service, now) if shared else 0.0
                if choice is None or (shared, excess) < choice[:2]:
                    choice = (shared, excess, service, ticket, pool_id)
            if choice is None:
                break
            _, _, service, ticket, pool_id = choice
            self._leave_queue(service, ticket)
            self._start(service, ticket, pool_id, now)
            changed.append(ticket)
        return changed

    def _next_ticket(self, service: _Service, now: Instant, changed: list[Ticket]) -> Ticket | None:
        """Return the first ticket whose team is below its quota; refuse late ones."""
        overdue: list[Ticket] = []
        found = None
        for ticket in service.queue:
            if now + service.time.mean_s > ticket.deadline:
                overdue.append(ticket)
            elif self.team_running[ticket.team] < self._quota(ticket.team):
                found = ticket
                break
        for ticket in overdue:
            ticket.state = TicketState.REFUSED
            ticket.refusal = CannotFinishInTimeError(
                "the request waited too long to finish on time", DEFAULT_RETRY_S
            )
            self._leave_queue(service, ticket)
            changed.append(ticket)
        return found
