"""Operations of operators: requests, reports and the interfaces that they need."""

from marigolddoor_core.operations.errors import (
    AlreadyAnsweredError,
    BadRequestError,
    OperationRefusedError,
    RevisionConflictError,
    UnknownSubjectError,
)
from marigolddoor_core.operations.views import (
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
