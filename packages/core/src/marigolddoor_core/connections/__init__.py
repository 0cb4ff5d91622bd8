"""Decisions about connections of clients that this system does not control."""

from marigolddoor_core.connections.accounts import Account, ConnectionId, ConnectionPhase
from marigolddoor_core.connections.byte_budget import ByteBudget, Decision
from marigolddoor_core.connections.limits import ConnectionLimits
from marigolddoor_core.connections.parts import BudgetPart, ClientKind, divide_budget
from marigolddoor_core.connections.shed_order import KeepAll, LeastProgressFirst, ShedOrder

__all__ = [
    "Account",
    "BudgetPart",
    "ByteBudget",
    "ClientKind",
    "ConnectionId",
    "ConnectionLimits",
    "ConnectionPhase",
    "Decision",
    "KeepAll",
    "LeastProgressFirst",
    "ShedOrder",
    "divide_budget",
]
