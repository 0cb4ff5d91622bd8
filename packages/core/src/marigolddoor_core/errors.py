"""The root of the exception tree.

Each module derives its own errors from one of these. A `MarigolddoorError` carries a message for
a person; the type is for the code.
"""

__all__ = ["InvalidInputError", "MarigolddoorError", "UnavailableError"]


class MarigolddoorError(Exception):
    """Base of every error that marigolddoor raises on purpose."""


class InvalidInputError(MarigolddoorError):
    """The input breaks a rule; sending it again unchanged fails again."""


class UnavailableError(MarigolddoorError):
    """A part that is needed cannot be reached now; nothing was changed or run."""
