"""Placement of tasks on workers: leases, preemption and runs."""

from marigolddoor_core.placement.leases import LEASE_S, LeaseRenewal
from marigolddoor_core.placement.placement import Placement
from marigolddoor_core.placement.preemption import (
    CheckpointPreemption,
    NoPreemption,
    Preemption,
)

__all__ = [
    "LEASE_S",
    "CheckpointPreemption",
    "LeaseRenewal",
    "NoPreemption",
    "Placement",
    "Preemption",
]
