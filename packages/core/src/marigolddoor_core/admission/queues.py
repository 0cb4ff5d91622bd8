"""The queue of one service, ordered by priority class, then deadline."""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from marigolddoor_core.admission.policies import Ticket
from marigolddoor_core.ids import TeamId
from marigolddoor_core.requests.contract import Priority

__all__ = ["ServiceQueue", "Slack"]


@dataclass(frozen=True, slots=True)
class Slack:
    """The least time in seconds by which queued tickets meet their deadlines; infinite without any.

    `same_s` covers the tickets of one class, `lower_s` those of the lower classes.
    """

    same_s: float
    lower_s: float


class ServiceQueue:
    """Waiting tickets in the order in which they get slots."""

    def __init__(self) -> None:
        self.tickets: list[Ticket] = []
        self.by_team: Counter[TeamId] = Counter()

    def __len__(self) -> int:
        return len(self.tickets)

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self.tickets)

    def position(self, ticket: Ticket) -> int:
        """Return the number of tickets ahead of `ticket`, which need not be in the queue."""
        return bisect_left(self.tickets, ticket.sort_key(), key=Ticket.sort_key)

    def add(self, ticket: Ticket) -> None:
        """Insert a ticket in order."""
        insort(self.tickets, ticket, key=Ticket.sort_key)
        self.by_team[ticket.team] += 1

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that is in the queue."""
        index = self.position(ticket)
        assert self.tickets[index] is ticket
        del self.tickets[index]
        self.by_team[ticket.team] -= 1
        if self.by_team[ticket.team] == 0:
            del self.by_team[ticket.team]

    def slack_behind(
        self, position: int, priority: Priority, start_interval_s: float, now: float
    ) -> Slack:
        """Return the least slack of the tickets from `position` on, separately for `priority`.

        The ticket at index i is expected to start in `(i + 1) * start_interval_s`.
        """
        same = lower = float("inf")
        for index in range(position, len(self.tickets)):
            ticket = self.tickets[index]
            slack_s = ticket.deadline - now - (index + 1) * start_interval_s
            if ticket.priority is priority:
                same = min(same, slack_s)
            else:
                lower = min(lower, slack_s)
        return Slack(same, lower)
