"""Declarations of operators: the model, templates, checks and the plan of a change."""

from marigolddoor_core.declaration.organisation import (
    Declaration,
    Job,
    Pool,
    Service,
    Team,
    Weights,
)

__all__ = ["Declaration", "Job", "Pool", "Service", "Team", "Weights"]
