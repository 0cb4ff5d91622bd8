"""Errors of the consensus group."""

from marigolddoor_core.errors import InvalidInputError, MarigolddoorError, UnavailableError

__all__ = ["ChangeRefusedError", "LogDivergedError", "NotLeaderError"]


class NotLeaderError(UnavailableError):
    """The replica does not lead, or no longer accepts commands. Nothing was appended."""


class ChangeRefusedError(InvalidInputError):
    """The membership change is not allowed now. Nothing was appended."""


class LogDivergedError(MarigolddoorError):
    """A leader asks to replace a committed entry, which no correct group does."""
