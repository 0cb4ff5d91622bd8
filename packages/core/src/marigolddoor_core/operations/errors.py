"""Errors of the operations of operators."""

from marigolddoor_core.errors import InvalidInputError, MarigolddoorError
from marigolddoor_core.ids import OperatorId, Revision

__all__ = [
    "AlreadyAnsweredError",
    "BadRequestError",
    "OperationRefusedError",
    "RevisionConflictError",
    "UnknownSubjectError",
]


class BadRequestError(InvalidInputError):
    """The request can't be parsed or is invalid; nothing was changed."""

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class UnknownSubjectError(InvalidInputError):
    """The pool, VM or question does not exist."""


class OperationRefusedError(MarigolddoorError):
    """The state of the system doesn't allow the operation; nothing was changed."""


class RevisionConflictError(MarigolddoorError):
    """Another change was committed first; nothing was changed."""

    def __init__(self, base: Revision, current: Revision, author: OperatorId) -> None:
        super().__init__(
            f"the change is based on revision {base}, but revision {current} by {author} "
            "came first; compare with it and apply again"
        )
        self.base = base
        self.current = current
        self.author = author


class AlreadyAnsweredError(MarigolddoorError):
    """Another answer came first and counts."""

    def __init__(self, choice: str, author: OperatorId) -> None:
        super().__init__(f"{author} answered {choice!r} first, and that answer counts")
        self.choice = choice
        self.author = author
