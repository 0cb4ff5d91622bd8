"""Settings of an entry process."""

from dataclasses import dataclass

from marigolddoor_core.ids import DataCentreId, ProcessId
from marigolddoor_wire.peers import Address

__all__ = ["EntrySettings"]


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """What an entry process reads once, at its start.

    `targets` is the address of the targets' listener; None serves targets on the callers' address.
    `drain_s` is the time between answering `/ready` with 503 and closing the listeners, so that the
    load balancer has stopped sending before connections are closed.
    """

    process: ProcessId
    data_centre: DataCentreId
    callers: Address
    targets: Address | None = None
    drain_s: float = 2.0
    stop_timeout_s: float = 60.0
