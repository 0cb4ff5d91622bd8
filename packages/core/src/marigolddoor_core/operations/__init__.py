"""The operations of operators: their requests, reports, errors and interfaces."""

from marigolddoor_core.operations.errors import (
    AlreadyAnsweredError,
    BadRequestError,
    OperationRefusedError,
    RevisionConflictError,
    UnknownSubjectError,
)
from marigolddoor_core.operations.interfaces import (
    DeclarationRules,
    InForce,
    MetricsSource,
    StateView,
    TimelinePosition,
    TimelineSource,
)

__all__ = [
    "AlreadyAnsweredError",
    "BadRequestError",
    "DeclarationRules",
    "InForce",
    "MetricsSource",
    "OperationRefusedError",
    "RevisionConflictError",
    "StateView",
    "TimelinePosition",
    "TimelineSource",
    "UnknownSubjectError",
]
