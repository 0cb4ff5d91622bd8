"""The interface of admission policies, and the tickets that requests wait with."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import PoolId, ServiceId, TeamId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.contract import Priority
from marigolddoor_core.requests.refusals import RequestRefusedError

__all__ = ["AdmissionPolicy", "PoolSlots", "ServiceLoad", "Ticket", "TicketState"]


class TicketState(Enum):
    """The state of a request in admission."""

    WAITING = "waiting"
    RUNNING = "running"
    REFUSED = "refused"
    DONE = "done"


@dataclass(slots=True, eq=False)
class Ticket:
    """A request in admission.

    `pool` is the pool whose slot it holds while it runs. `refusal` is set if it is refused after
    waiting.
    """

    service: ServiceId
    team: TeamId
    priority: Priority
    deadline: Instant
    offered: Instant
    sequence: int = 0
    state: TicketState = TicketState.WAITING
    pool: PoolId | None = None
    started: Instant = Instant(0.0)
    refusal: RequestRefusedError | None = None

    def sort_key(self) -> tuple[int, float, int]:
        """Return the sort key within the queue of the service."""
        return (self.priority.value, self.deadline, self.sequence)


@dataclass(frozen=True, slots=True)
class PoolSlots:
    """The slots of a pool in the data centre, and how many of them this process may use."""

    pool: PoolId
    total: int
    share: int


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The numbers of requests of a service that run and wait in this process."""

    running: int
    waiting: int


class AdmissionPolicy(Protocol):
    """Decides which requests get a slot, which wait and which are refused.

    Every method that can start or refuse waiting tickets returns those tickets; the caller resumes
    their requests.
    """

    def configure(
        self, services: Iterable[Service], pools: Iterable[Pool], teams: Iterable[Team]
    ) -> None:
        """Replace the declaration in force. Outstanding tickets stay valid."""
        ...

    def set_slots(self, slots: Sequence[PoolSlots], now: Instant) -> Sequence[Ticket]:
        """Replace the slots that this process may use."""
        ...

    def offer(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Start the ticket or queue it.

        Raises:
          RequestRefusedError: the request is refused at once.
        """
        ...

    def finish(self, ticket: Ticket, ran: bool, now: Instant) -> Sequence[Ticket]:
        """Free the slot of a running ticket. If `ran`, its time counts as service time."""
        ...

    def withdraw(self, ticket: Ticket, now: Instant) -> Sequence[Ticket]:
        """Remove a waiting ticket whose caller disconnected or whose deadline has passed."""
        ...

    def load(self, service: ServiceId) -> ServiceLoad:
        """Return the numbers of running and waiting requests of a service."""
        ...
