"""Settings of an entry process."""

from dataclasses import dataclass

from marigolddoor_core.ids import DataCentreId, ProcessId
from marigolddoor_core.requests.answers import MAX_ANSWER_BYTES
from marigolddoor_core.requests.contract import MAX_BODY_BYTES
from marigolddoor_wire.peers import Address

__all__ = ["EntryLimits", "EntrySettings"]


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Limits of the size of a request's body and of an answer."""

    body_bytes: int = MAX_BODY_BYTES
    answer_bytes: int = MAX_ANSWER_BYTES


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry process, read once at its start.

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
    limits: EntryLimits = EntryLimits()
