"""Which requests are admitted, how they queue, and which are refused early."""

from marigolddoor_core.admission.fifo import FifoAdmission
from marigolddoor_core.admission.floors import FloorAdmission
from marigolddoor_core.admission.policies import (
    AdmissionPolicy,
    PoolSlots,
    ServiceLoad,
    Ticket,
    TicketState,
)
from marigolddoor_core.admission.shares import PeerDemands, divide_slots

__all__ = [
    "AdmissionPolicy",
    "FifoAdmission",
    "FloorAdmission",
    "PeerDemands",
    "PoolSlots",
    "ServiceLoad",
    "Ticket",
    "TicketState",
    "divide_slots",
]
