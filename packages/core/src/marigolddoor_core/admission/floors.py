"""Admission with a floor for every service, quotas of teams, bounded queues and loans.

Slots of a pool are used in this order. Each service at home in the pool has its floor, which stays
free for it even when it is idle. The rest is common: services at home in the pool use it, and every
service may borrow the common slots of a spare pool. Of the services that wait for a common slot,
the one that asks for the least beyond its own slots goes first. A burst is thus served before a
flood, whatever their urgency, and a flood holds common slots only while nobody else wants them.
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

# At a typical service time of 50 ms a full queue is about 1.6 s of work.
QUEUE_PER_SLOT = 32
MIN_QUEUE = 16
# The expected wait is stretched by this much, for service times that vary.
WAIT_MARGIN = 1.25
# Demand is averaged over less than a burst of some seconds, so that a burst counts as one soon.
DEMAND_WINDOW_S = 1.0
# Each higher class may take this share of the rate even if lower classes were admitted before;
# beyond it, a request that would make an admitted one late is refused, whatever its class.
CLASS_SHARE = 0.25
# A class that was idle may take its share for this long at once. It must be below the tail of the
# service time, by which the lower classes are admitted early.
CLASS_RATE_WINDOW_S = 0.25
# Advice to a caller when nothing better is known.
DEFAULT_RETRY_S = 1.0


@dataclass(slots=True)
class _Pool:
    spare: bool
    size: int
    floor: int
    home: list["_Service"] = field(default_factory=list)
    total: int = 0
    limit: AdaptiveLimit = field(default_factory=AdaptiveLimit)
    in_use: int = 0
    borrowed: int = 0

    def reserved_for_home(self) -> int:
        """Return the slots of the VMs that a spare pool never lends."""
        if not self.spare:
            return self.limit.slots
        return math.ceil(self.limit.slots * min(1.0, self.floor / max(1, self.size)))


@dataclass(slots=True)
class _Service:
    id: ServiceId
    pool: PoolId
    floor_slots: int
    # The part of the floor that this process keeps, from its share of the pool.
    floor: int = 0
    queue: ServiceQueue = field(default_factory=ServiceQueue)
    time: ServiceTime = field(default_factory=ServiceTime)
    running: Counter[PoolId] = field(default_factory=Counter)
    offered: DecayingRate = field(default_factory=lambda: DecayingRate(DEMAND_WINDOW_S))
    class_rates: tuple[DecayingRate, ...] = field(
        default_factory=lambda: tuple(DecayingRate(CLASS_RATE_WINDOW_S) for _ in Priority)
    )

    def at_home(self) -> int:
        return self.running[self.pool]

    def unused_floor(self) -> int:
        return max(0, self.floor - self.at_home())


class FloorAdmission:
    """The admission policy of the product."""

    def __init__(self) -> None:
        self.services: dict[ServiceId, _Service] = {}
        self.pools: dict[PoolId, _Pool] = {}
        self.quotas: dict[TeamId, int] = {}
        self.team_running: Counter[TeamId] = Counter()
        self.spares: list[PoolId] = []
        self.waiting: dict[ServiceId, _Service] = {}
        self.quota_share = 1.0
        self.sequence = 0

    def configure(
        self, services: Iterable[Service], pools: Iterable[Pool], teams: Iterable[Team]
    ) -> None:
        """Replace the declaration in force. Tickets that are out stay valid.

        A service that is no longer declared keeps its queue until it is empty.
        """
        old_pools = self.pools
        self.pools = {}
        for pool in pools:
            known = old_pools.get(pool.id) or _Pool(pool.spare, pool.size, pool.floor)
            known.spare, known.size, known.floor = pool.spare, pool.size, pool.floor
            known.home = []
            self.pools[pool.id] = known
        for pool_id, known in old_pools.items():
            if known.in_use and pool_id not in self.pools:
                known.home = []
                known.limit.set_slots(0)
                self.pools[pool_id] = known
        old_services = self.services
        self.services = {}
        for service in services:
            state = old_services.get(service.id) or _Service(service.id, service.pool, 0)
            state.pool, state.floor_slots = service.pool, service.floor_slots
            self.services[service.id] = state
            if service.pool in self.pools:
                self.pools[service.pool].home.append(state)
        for service_id, state in old_services.items():
            if service_id not in self.services and (state.queue or state.running.total()):
                self.services[service_id] = state
        self.spares = [pool_id for pool_id, pool in self.pools.items() if pool.spare]
        self.quotas = {team.id: team.slots for team in teams}
        self._set_floors()

    def set_slots(self, slots: Sequence[PoolSlots], now: Instant) -> Sequence[Ticket]:
        """Replace the slots that this process may use.

        The quotas of teams are divided like the slots of all pools together.
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
        return self._pump(now)

    def offer(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Start the ticket or let it wait.

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
            pool_id = self._pool_for(service)
            if pool_id is not None:
                self._check_service_time(service, ticket, now)
                service.class_rates[ticket.priority].add(1.0, now)
                self._start(service, ticket, pool_id, now)
                return ()
        self._check_queue(service, ticket, quota, now)
        service.class_rates[ticket.priority].add(1.0, now)
        service.queue.add(ticket)
        self.waiting[service.id] = service
        return self._pump(now)

    def finish(self, ticket: Ticket, ran: bool, now: Instant) -> Sequence[Ticket]:
        """Free the slot of a running ticket. `ran` says that its time counts as service time."""
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
        return self._pump(now) if self.waiting else ()

    def withdraw(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Remove a waiting ticket whose caller has gone or whose deadline has passed."""
        if ticket.state is TicketState.WAITING:
            ticket.state = TicketState.DONE
            self._leave_queue(self.services[ticket.service], ticket)
        return ()

    def load(self, service: ServiceId) -> ServiceLoad:
        """Return what runs and waits of a service."""
        state = self.services.get(service)
        if state is None:
            return ServiceLoad(0, 0)
        return ServiceLoad(state.running.total(), len(state.queue))

    def _set_floors(self) -> None:
        for pool in self.pools.values():
            left = pool.limit.slots
            for service in pool.home:
                share = pool.limit.slots / pool.total if pool.total else 0.0
                service.floor = min(left, math.ceil(service.floor_slots * share))
                left -= service.floor

    def _quota(self, team: TeamId) -> int:
        return max(1, math.ceil(self.quotas.get(team, 0) * self.quota_share))

    def _pool_for(self, service: _Service) -> PoolId | None:
        """Return a pool whose slot the service may use now, its own one first."""
        home = self.pools.get(service.pool)
        if home is not None and self._may_use(service, home):
            return service.pool
        for pool_id in self.spares:
            if pool_id != service.pool and self._may_borrow(self.pools[pool_id]):
                return pool_id
        return None

    def _may_use(self, service: _Service, pool: _Pool) -> bool:
        if pool.in_use >= pool.limit.current():
            # The floor holds against loans that were out when the limit fell.
            return pool.borrowed > 0 and service.at_home() < min(
                service.floor, pool.limit.current()
            )
        if service.at_home() < service.floor:
            return True
        others = sum(other.unused_floor() for other in pool.home if other is not service)
        return pool.in_use + others < pool.limit.current()

    def _may_borrow(self, pool: _Pool) -> bool:
        limit = pool.limit.current()
        if pool.borrowed >= min(limit, pool.limit.slots - pool.reserved_for_home()):
            return False
        return pool.in_use + sum(home.unused_floor() for home in pool.home) < limit

    def _start(self, service: _Service, ticket: Ticket, pool_id: PoolId, now: Instant) -> None:
        pool = self.pools[pool_id]
        if pool_id != service.pool:
            pool.borrowed += 1
        pool.in_use += 1
        service.running[pool_id] += 1
        self.team_running[ticket.team] += 1
        ticket.state, ticket.pool, ticket.started = TicketState.RUNNING, pool_id, now

    def _check_service_time(self, service: _Service, ticket: Ticket, now: Instant) -> None:
        # With nothing running there is no new measurement, so one request may always try.
        if now + service.time.mean_s > ticket.deadline and service.running.total():
            raise CannotFinishInTimeError(
                f"requests of {service.id!r} take {service.time.mean_s:.3f} s", DEFAULT_RETRY_S
            )

    def _check_queue(self, service: _Service, ticket: Ticket, quota: int, now: Instant) -> None:
        home = self.pools.get(service.pool)
        slots = home.limit.current() if home is not None else 0
        if slots == 0 and not self._can_borrow_at_all():
            raise NoTargetError(f"pool {service.pool!r} has no target", DEFAULT_RETRY_S)
        if service.queue.by_team[ticket.team] >= max(quota, MIN_QUEUE) and (
            self.team_running[ticket.team] >= quota
        ):
            raise QuotaExceededError(f"team {ticket.team!r} holds its quota", DEFAULT_RETRY_S)
        seconds_each = service.time.mean_s / max(1, self._assured_slots(service))
        if len(service.queue) >= max(MIN_QUEUE, QUEUE_PER_SLOT * slots):
            raise QueueFullError(
                f"the queue of {service.id!r} is full",
                max(DEFAULT_RETRY_S, len(service.queue) * seconds_each),
            )
        late_s = self._lateness_s(service, ticket, seconds_each * WAIT_MARGIN, now)
        if late_s > 0:
            raise CannotFinishInTimeError(
                f"{len(service.queue)} requests of {service.id!r} wait",
                max(DEFAULT_RETRY_S, late_s),
            )

    def _lateness_s(self, service: _Service, ticket: Ticket, each_s: float, now: Instant) -> float:
        """Return by how much the ticket, or an admitted one behind it, would end too late.

        `each_s` is the time until the next waiting request gets a slot.
        """
        tail_s = service.time.tail_s()
        position = service.queue.position(ticket)
        reserved = CLASS_SHARE * ticket.priority.value
        late_s = now + (position + 1) * each_s / (1.0 - reserved) + tail_s - ticket.deadline
        if late_s > 0 or position == len(service.queue):
            return late_s
        slack = service.queue.slack_behind(position, ticket.priority, each_s, now)
        admitted = service.class_rates[ticket.priority].rate(now)
        if admitted * each_s < CLASS_SHARE:
            # The lower classes were admitted with this share set aside, so they are not late.
            return each_s + tail_s - slack.same_s
        return each_s + tail_s - min(slack.same_s, slack.lower_s)

    def _can_borrow_at_all(self) -> bool:
        return any(self.pools[pool_id].limit.slots > 0 for pool_id in self.spares)

    def _assured_slots(self, service: _Service) -> int:
        """Return the slots that the service can count on: no loans and no common slots."""
        home = self.pools.get(service.pool)
        if home is None:
            return 0
        if home.spare or len(home.home) > 1:
            return min(service.floor, home.limit.current())
        return home.limit.current()

    def _excess_slots(self, service: _Service, now: Instant) -> float:
        """Return the slots that the offered requests need beyond the assured ones."""
        return service.offered.rate(now) * service.time.mean_s - self._assured_slots(service)

    def _leave_queue(self, service: _Service, ticket: Ticket) -> None:
        service.queue.remove(ticket)
        if not service.queue:
            self.waiting.pop(service.id, None)

    def _pump(self, now: Instant) -> list[Ticket]:
        """Give free slots to waiting tickets; return those that started or were refused."""
        changed: list[Ticket] = []
        while self.waiting:
            best: tuple[bool, float, _Service, Ticket, PoolId] | None = None
            for service in list(self.waiting.values()):
                pool_id = self._pool_for(service)
                if pool_id is None:
                    continue
                ticket = self._next_ticket(service, now, changed)
                if ticket is None:
                    continue
                common = pool_id != service.pool or service.at_home() >= service.floor
                excess = self._excess_slots(service, now) if common else 0.0
                if best is None or (common, excess) < best[:2]:
                    best = (common, excess, service, ticket, pool_id)
            if best is None:
                break
            _, _, service, ticket, pool_id = best
            self._leave_queue(service, ticket)
            self._start(service, ticket, pool_id, now)
            changed.append(ticket)
        return changed

    def _next_ticket(self, service: _Service, now: Instant, changed: list[Ticket]) -> Ticket | None:
        """Return the first ticket whose team is below its quota; refuse those that are too late."""
        late: list[Ticket] = []
        found = None
        for ticket in service.queue:
            if now + service.time.mean_s > ticket.deadline:
                late.append(ticket)
            elif self.team_running[ticket.team] < self._quota(ticket.team):
                found = ticket
                break
        for ticket in late:
            ticket.state = TicketState.REFUSED
            ticket.refusal = CannotFinishInTimeError(
                "the request waited too long to finish on time", DEFAULT_RETRY_S
            )
            self._leave_queue(service, ticket)
            changed.append(ticket)
        return found
