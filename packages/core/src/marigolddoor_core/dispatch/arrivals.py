"""The work that arrives now, from the last few jobs of each service.

Answers a queue whose turn begins. Its jobs show their whole demand only after the length of their
chain, and machines need 1.5 s more, while a turn lasts some seconds. A rate of arrivals shows the
turn after its first jobs.
"""

from collections import deque
from dataclasses import dataclass

from marigolddoor_core.ids import ServiceId

__all__ = ["ArrivalRate"]

# The rate of so many arrivals varies by some 40%. Fewer would mistake single jobs for a turn.
COUNTED_JOBS = 6
# Jobs of one batch share their time of acceptance, so a rate is taken over at least this time.
SHORTEST_SPAN_S = 0.2


@dataclass(frozen=True, slots=True)
class _Arrival:
    time_s: float
    work: float


class ArrivalRate:
    """Core-seconds that arrive each second, by service."""

    def __init__(self) -> None:
        self.arrivals: dict[ServiceId, deque[_Arrival]] = {}

    def accepted(self, service: ServiceId, work: float, time_s: float) -> None:
        """Add a job of so many core-seconds. Jobs come in the order of their times."""
        arrivals = self.arrivals.setdefault(service, deque(maxlen=COUNTED_JOBS + 1))
        arrivals.append(_Arrival(time_s, work))

    def cores(self, service: ServiceId, time_s: float) -> float:
        """Return the cores that the arrivals ask for; 0 until there were enough of them."""
        arrivals = self.arrivals.get(service)
        if arrivals is None or len(arrivals) <= COUNTED_JOBS:
            return 0.0
        # The first one only marks the beginning of the time in which the others came.
        first, *counted = arrivals
        span_s = max(SHORTEST_SPAN_S, time_s - first.time_s)
        return sum(arrival.work for arrival in counted) / span_s
