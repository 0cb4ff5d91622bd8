"""Maintenance of VMs and roll-outs of jobs, in waves within the availability budgets."""

from marigolddoor_core.maintenance.budget import BudgetLedger
from marigolddoor_core.maintenance.maintenance import Maintenance
from marigolddoor_core.maintenance.rollout import AllAtOnce, Rollout, TenthAtOnce, WaveSize
from marigolddoor_core.maintenance.waves import BudgetWave, OneAtATime, WavePolicy

__all__ = [
    "AllAtOnce",
    "BudgetLedger",
    "BudgetWave",
    "Maintenance",
    "OneAtATime",
    "Rollout",
    "TenthAtOnce",
    "WavePolicy",
    "WaveSize",
]
