"""Decides the sizes of pools, loans of spare slots and moves of VMs between pools."""

from marigolddoor_core.capacity.capacity import Capacity, Plan
from marigolddoor_core.capacity.loans import Loan
from marigolddoor_core.capacity.moves import DelayedMoves, ImmediateMoves, MovePolicy
from marigolddoor_core.capacity.sizing import OwnPeakSizing, SharedBufferSizing, Sizing

__all__ = [
    "Capacity",
    "DelayedMoves",
    "ImmediateMoves",
    "Loan",
    "MovePolicy",
    "OwnPeakSizing",
    "Plan",
    "SharedBufferSizing",
    "Sizing",
]
