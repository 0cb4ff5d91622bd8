"""Errors of the consensus group."""

from marigolddoor_core.errors import InvalidInputError, MarigolddoorError, UnavailableError

__all__ = ["ChangeRefusedError", "LogDivergedError", "NotLeaderError"]


class NotLeaderError(UnavailableError):
    """The replica is not the leader, or no longer accepts commands. Nothing was appended."""


class ChangeRefusedError(InvalidInputError):
    """The membership change is not allowed at present. Nothing was appended."""


class LogDivergedError(MarigolddoorError):
    """A leader would replace a committed entry, which violates the safety of the protocol."""
