"""Lends slots of the spare pool through routing, without moving VMs."""

from collections.abc import Sequence
from dataclasses import dataclass

from marigolddoor_core.ids import ServiceId

__all__ = ["Loan", "ServiceNeed", "lend"]


@dataclass(frozen=True, slots=True)
class ServiceNeed:
    """The slots that a service needs now, and those that its own pool provides."""

    service: ServiceId
    rank: int
    needed_slots: float
    own_slots: float


@dataclass(frozen=True, slots=True)
class Loan:
    """Slots of the spare pool that a service may use until the next plan."""

    service: ServiceId
    slots: int


def lend(needs: Sequence[ServiceNeed], lendable_slots: float) -> tuple[Loan, ...]:
    """Allocate the lendable slots by rank, the most urgent service first."""
    loans: list[Loan] = []
    remaining = int(lendable_slots)
    for need in sorted(needs, key=lambda need: (need.rank, need.service)):
        missing = need.needed_slots - need.own_slots
        slots = min(remaining, -int(-missing // 1)) if missing > 0.0 else 0
        if slots > 0:
            loans.append(Loan(need.service, slots))
            remaining -= slots
    return tuple(loans)
