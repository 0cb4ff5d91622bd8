"""Errors of reading declarations."""

from dataclasses import dataclass

from marigolddoor_core.errors import InvalidInputError

__all__ = ["DeclarationError", "DeclarationProblem"]

# A wrong value may be a long text; its beginning identifies it.
VALUE_SHOWN_CHARACTERS = 60


@dataclass(frozen=True, slots=True)
class DeclarationProblem:
    """One wrong value. `value` is the value as text, empty if the key is missing."""

    file: str
    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        shown = f"is {self.value}" if self.value else "is missing"
        return f"{self.file}: {self.path} {shown}; allowed: {self.allowed}"


class DeclarationError(InvalidInputError):
    """The files do not make a declaration. `problems` lists all that is wrong with them."""

    def __init__(self, problems: tuple[DeclarationProblem, ...]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def shown_value(value: object) -> str:
    """Return `value` as text for a `DeclarationProblem`."""
    text = repr(value)
    if len(text) > VALUE_SHOWN_CHARACTERS:
        text = text[:VALUE_SHOWN_CHARACTERS] + "..."
    return text
