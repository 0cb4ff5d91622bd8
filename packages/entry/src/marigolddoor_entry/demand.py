"""Counters of the demand for each service at this process."""

from dataclasses import dataclass

from marigolddoor_core.ids import ServiceId
from marigolddoor_core.instants import Instant
from marigolddoor_wire.messages import ServiceDemand

__all__ = ["DemandMeter", "DemandReporter"]


@dataclass(slots=True)
class DemandMeter:
    """Counts since the start of the process. `slot_seconds` is up to date at `counted_at`."""

    arrived: int = 0
    admitted: int = 0
    refused: int = 0
    answered: int = 0
    late: int = 0
    in_flight: int = 0
    queued: int = 0
    slot_seconds: float = 0.0
    counted_at: Instant = Instant(0.0)

    def add_slots(self, slots: int, now: Instant) -> None:
        """Add `slots` to the slots in use from now on; a negative number releases slots."""
        self.slot_seconds += self.in_flight * (now - self.counted_at)
        self.counted_at = now
        self.in_flight += slots


class DemandReporter:
    """Computes the differences of the counts since the previous report."""

    def __init__(self) -> None:
        self.previous: dict[ServiceId, ServiceDemand] = {}

    def report(
        self, meters: dict[ServiceId, DemandMeter], now: Instant
    ) -> tuple[ServiceDemand, ...]:
        """Return the demand for each service since the previous call."""
        reports = []
        for service, meter in meters.items():
            meter.add_slots(0, now)
            total = ServiceDemand(
                service=service,
                arrived=meter.arrived,
                admitted=meter.admitted,
                refused=meter.refused,
                answered=meter.answered,
                late=meter.late,
                in_flight=meter.in_flight,
                queued=meter.queued,
                slot_seconds=meter.slot_seconds,
            )
            previous = self.previous.get(service)
            self.previous[service] = total
            reports.append(total if previous is None else _difference(previous, total))
        return tuple(reports)


def _difference(previous: ServiceDemand, total: ServiceDemand) -> ServiceDemand:
    return ServiceDemand(
        service=total.service,
        arrived=total.arrived - previous.arrived,
        admitted=total.admitted - previous.admitted,
        refused=total.refused - previous.refused,
        answered=total.answered - previous.answered,
        late=total.late - previous.late,
        in_flight=total.in_flight,
        queued=total.queued,
        slot_seconds=total.slot_seconds - previous.slot_seconds,
    )
