"""Errors of reading declarations."""

from dataclasses import dataclass

from marigolddoor_core.errors import InvalidInputError

__all__ = ["DeclarationError", "DeclarationProblem"]

# Long values are truncated; the first characters identify them.
MAX_VALUE_CHARACTERS = 60


@dataclass(frozen=True, slots=True)
class DeclarationProblem:
    """One invalid value. `value` is its text, empty if the key is missing."""

    file: str
    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        state = f"is {self.value}" if self.value else "is missing"
        return f"{self.file}: {self.path} {state}; allowed: {self.allowed}"


class DeclarationError(InvalidInputError):
    """The files are not a valid declaration. `problems` lists every problem in them."""

    def __init__(self, problems: tuple[DeclarationProblem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def format_value(value: object) -> str:
    """Return `value` as text for a `DeclarationProblem`."""
    text = repr(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    return text
