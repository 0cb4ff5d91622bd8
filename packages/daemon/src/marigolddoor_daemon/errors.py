"""Errors of the daemon."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from marigolddoor_core.errors import InvalidInputError

__all__ = ["PrivateFileError", "SettingsError", "SettingsProblem"]


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """An invalid value. `value` is its text in the message; `allowed` describes valid values."""

    key: str
    value: str
    allowed: str


class SettingsError(InvalidInputError):
    """The settings file is invalid; nothing was started."""

    def __init__(self, file: Path, problems: Sequence[SettingsProblem]) -> None:
        self.file = file
        self.problems = tuple(problems)
        lines = (
            f"{file}: {problem.key} is {problem.value}; allowed: {problem.allowed}"
            for problem in self.problems
        )
        super().__init__("\n".join(lines))


class PrivateFileError(InvalidInputError):
    """A file with a key or tokens cannot be read, or other users have access to it."""
