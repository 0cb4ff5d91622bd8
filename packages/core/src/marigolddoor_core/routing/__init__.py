"""Routing of requests to targets."""

from marigolddoor_core.routing.ejection import EjectionState, TargetHealth
from marigolddoor_core.routing.least_loaded import LeastLoaded
from marigolddoor_core.routing.policies import Dispatch, RoutingPolicy, TargetView
from marigolddoor_core.routing.two_choices import TwoChoices

__all__ = [
    "Dispatch",
    "EjectionState",
    "LeastLoaded",
    "RoutingPolicy",
    "TargetHealth",
    "TargetView",
    "TwoChoices",
]
