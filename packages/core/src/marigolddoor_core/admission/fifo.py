"""The admission baseline: one FIFO queue over all slots, without refusals."""

from collections import Counter, deque
from collections.abc import Iterable, Sequence

from marigolddoor_core.admission.policies import PoolSlots, ServiceLoad, Ticket, TicketState
from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import PoolId, ServiceId
from marigolddoor_core.instants import Instant

__all__ = ["FifoAdmission"]


class FifoAdmission:
    """Starts requests in the order of arrival on any slot of any pool."""

    def __init__(self) -> None:
        self.slots: dict[PoolId, int] = {}
        self.in_use: Counter[PoolId] = Counter()
        self.queue: deque[Ticket] = deque()
        self.running: Counter[ServiceId] = Counter()
        self.waiting: Counter[ServiceId] = Counter()

    def configure(
        self, services: Iterable[Service], pools: Iterable[Pool], teams: Iterable[Team]
    ) -> None:
        """Do nothing: the baseline has no floors and no quotas."""

    def set_slots(self, slots: Sequence[PoolSlots], now: Instant) -> Sequence[Ticket]:
        """Replace the slots that this process may use."""
        self.slots = {pool.pool: pool.share for pool in slots}
        return self._start_waiting(now)

    def offer(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Queue the ticket."""
        self.queue.append(ticket)
        self.waiting[ticket.service] += 1
        return self._start_waiting(now)

    def finish(self, ticket: Ticket, ran: bool, now: Instant) -> Sequence[Ticket]:
        """Free the slot of a running ticket."""
        assert ticket.pool is not None
        ticket.state = TicketState.DONE
        self.in_use[ticket.pool] -= 1
        self.running[ticket.service] -= 1
        return self._start_waiting(now)

    def withdraw(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Remove a waiting ticket."""
        if ticket.state is TicketState.WAITING:
            ticket.state = TicketState.DONE
            self.waiting[ticket.service] -= 1
            self.queue.remove(ticket)
        return ()

    def load(self, service: ServiceId) -> ServiceLoad:
        """Return the numbers of running and waiting requests of a service."""
        return ServiceLoad(self.running[service], self.waiting[service])

    def _start_waiting(self, now: Instant) -> list[Ticket]:
        started = []
        free = [pool for pool, slots in self.slots.items() if self.in_use[pool] < slots]
        while self.queue and free:
            ticket = self.queue.popleft()
            self.waiting[ticket.service] -= 1
            self.running[ticket.service] += 1
            ticket.state, ticket.pool, ticket.started = TicketState.RUNNING, free[-1], now
            self.in_use[free[-1]] += 1
            if self.in_use[free[-1]] >= self.slots[free[-1]]:
                free.pop()
            started.append(ticket)
        return started
