"""The arrival rate of work, from the last few jobs of each service.

Meant for the start of a queue's peak. Jobs show their whole demand only after the length of their
critical path, and machines need 1.5 s more, while a peak lasts a few seconds. The arrival rate
reveals the peak after its first jobs.
"""

from collections import deque
from dataclasses import dataclass

from marigolddoor_core.dispatch.outstanding import MIN_CRITICAL_PATH_S
from marigolddoor_core.ids import ServiceId

__all__ = ["ArrivalRate"]

# The rate over this number of arrivals varies by about 40%. With fewer arrivals, single jobs would
# look like a peak.
COUNTED_JOBS = 6
# Jobs of one batch are accepted at the same time, so a rate is measured over at least this span.
MIN_SPAN_S = 0.2
# The time from ordering a machine to seeing its executor: the platform takes 1.5 s for a move, and
# the decision and the first heartbeat take the rest.
MOVE_HORIZON_S = 2.0


@dataclass(frozen=True, slots=True)
class _Arrival:
    """An accepted job. `work` is in core-seconds."""

    time_s: float
    work: float
    critical_path_s: float


class ArrivalRate:
    """The cores that each service will need when machines that are ordered now have arrived.

    The cores of open jobs are counted already. Within the time of a move, each arriving job of W
    core-seconds with a critical path of C seconds adds W / C cores. In the long run the jobs need
    as many cores as their work per second, whatever their critical paths, so that rate bounds the
    sum: the work of large jobs is spread over their critical paths, and a burst of them ends before
    it could need more.
    """

    def __init__(self) -> None:
        self.arrivals: dict[ServiceId, deque[_Arrival]] = {}

    def accepted(
        self, service: ServiceId, work: float, critical_path_s: float, time_s: float
    ) -> None:
        """Add a job of `work` core-seconds. Jobs are added in the order of their times."""
        arrivals = self.arrivals.setdefault(service, deque(maxlen=COUNTED_JOBS + 1))
        arrivals.append(_Arrival(time_s, work, critical_path_s))

    def cores(self, service: ServiceId, outstanding: float, time_s: float) -> float:
        """Return the cores that will be needed, 0 until there are enough arrivals for an estimate.

        Args:
          service: the service that runs the jobs.
          outstanding: the cores that its open jobs need now.
          time_s: the time of day.
        """
        arrivals = self.arrivals.get(service)
        if arrivals is None or len(arrivals) <= COUNTED_JOBS:
            return 0.0
        # The first arrival only marks the start of the span in which the others arrived.
        first, *counted = arrivals
        span_s = max(MIN_SPAN_S, time_s - first.time_s)
        steady = sum(arrival.work for arrival in counted) / span_s
        added = sum(
            arrival.work
            * min(1.0, MOVE_HORIZON_S / max(arrival.critical_path_s, MIN_CRITICAL_PATH_S))
            for arrival in counted
        )
        return min(steady, outstanding + added / span_s)
