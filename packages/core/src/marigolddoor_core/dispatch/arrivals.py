"""The work that arrives now, from the last few jobs of each service.

Answers a queue whose turn begins. Its jobs show their whole demand only after the length of their
chain, and machines need 1.5 s more, while a turn lasts some seconds. A rate of arrivals shows the
turn after its first jobs.
"""

from collections import deque
from dataclasses import dataclass

from marigolddoor_core.dispatch.outstanding import MIN_CRITICAL_PATH_S
from marigolddoor_core.ids import ServiceId

__all__ = ["ArrivalRate"]

# The rate of so many arrivals varies by some 40%. Fewer would mistake single jobs for a turn.
COUNTED_JOBS = 6
# Jobs of one batch share their time of acceptance, so a rate is taken over at least this time.
SHORTEST_SPAN_S = 0.2
# A machine that is ordered now shows its executor after this time: the platform's moves take 1.5 s,
# and the decision and the first heartbeat the rest.
MOVE_HORIZON_S = 2.0


@dataclass(frozen=True, slots=True)
class _Arrival:
    """A job: its core-seconds, and the longest chain of its steps."""

    time_s: float
    work: float
    chain_s: float


class ArrivalRate:
    """The cores that each service needs once the machines that are ordered now have come.

    The open jobs ask for their cores already. Within the time of a move, a job of W core-seconds
    with a chain of C seconds adds W / C cores for each of its kind that arrives. In the long run
    the jobs ask for W each second, whatever their chains, so this bounds the sum: the work of large
    jobs is spread over their chains, and a burst of them is over before it could ask for more.
    """

    def __init__(self) -> None:
        self.arrivals: dict[ServiceId, deque[_Arrival]] = {}

    def accepted(self, service: ServiceId, work: float, chain_s: float, time_s: float) -> None:
        """Add a job of so many core-seconds. Jobs come in the order of their times."""
        arrivals = self.arrivals.setdefault(service, deque(maxlen=COUNTED_JOBS + 1))
        arrivals.append(_Arrival(time_s, work, chain_s))

    def cores(self, service: ServiceId, outstanding: float, time_s: float) -> float:
        """Return the cores that will be needed; 0 until there were enough arrivals to tell.

        Args:
          service: the service that the jobs need.
          outstanding: the cores that its open jobs need now.
          time_s: the time of day.
        """
        arrivals = self.arrivals.get(service)
        if arrivals is None or len(arrivals) <= COUNTED_JOBS:
            return 0.0
        # The first one only marks the beginning of the time in which the others came.
        first, *counted = arrivals
        span_s = max(SHORTEST_SPAN_S, time_s - first.time_s)
        steady = sum(arrival.work for arrival in counted) / span_s
        added = sum(
            arrival.work * min(1.0, MOVE_HORIZON_S / max(arrival.chain_s, MIN_CRITICAL_PATH_S))
            for arrival in counted
        )
        return min(steady, outstanding + added / span_s)
