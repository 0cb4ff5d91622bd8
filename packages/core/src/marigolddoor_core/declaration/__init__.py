"""Declarations: the model, templates, validation and the plan of a change."""

from marigolddoor_core.declaration.errors import DeclarationError, DeclarationProblem
from marigolddoor_core.declaration.organisation import (
    Declaration,
    Job,
    Pool,
    Service,
    Team,
    Weights,
)
from marigolddoor_core.declaration.plans import Effect, PartKind, Plan, PlanItem, plan
from marigolddoor_core.declaration.reader import read_declaration

__all__ = [
    "Declaration",
    "DeclarationError",
    "DeclarationProblem",
    "Effect",
    "Job",
    "PartKind",
    "Plan",
    "PlanItem",
    "Pool",
    "Service",
    "Team",
    "Weights",
    "plan",
    "read_declaration",
]
