"""Loans of slots of the spare pool, by routing and without a move."""

from collections.abc import Sequence
from dataclasses import dataclass

from marigolddoor_core.ids import ServiceId

__all__ = ["Loan", "ServiceNeed", "lend"]


@dataclass(frozen=True, slots=True)
class ServiceNeed:
    """The slots that a service needs now and those that its pool has for it."""

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
    """Share the lendable slots out in the order of rank; the most urgent service comes first."""
    loans: list[Loan] = []
    left = int(lendable_slots)
    for need in sorted(needs, key=lambda need: (need.rank, need.service)):
        missing = need.needed_slots - need.own_slots
        slots = min(left, -int(-missing // 1)) if missing > 0.0 else 0
        if slots > 0:
            loans.append(Loan(need.service, slots))
            left -= slots
    return tuple(loans)
