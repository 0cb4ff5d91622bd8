"""Base classes of the exceptions.

Each module derives its own errors from one of these. The message is meant for people; code
distinguishes errors by their type.
"""

__all__ = ["InvalidInputError", "MarigolddoorError", "UnavailableError"]


class MarigolddoorError(Exception):
    """Base of every error that marigolddoor raises on purpose."""


class InvalidInputError(MarigolddoorError):
    """The input is invalid; sending it again unchanged fails again."""


class UnavailableError(MarigolddoorError):
    """A required component is unreachable; nothing was changed or run."""
