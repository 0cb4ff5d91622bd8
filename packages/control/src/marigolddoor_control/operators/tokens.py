"""Bearer tokens of operators.

The file has a line for each token: the name of the operator and the SHA-256 of the token in
hexadecimal digits. The tokens themselves are random and are not stored.
"""

import hashlib
import hmac
import re
from dataclasses import dataclass, field

from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import OperatorId

__all__ = ["TokenFileError", "Tokens", "parse_tokens"]

_LINE = re.compile(r"([A-Za-z0-9._-]{1,64})\s+([0-9a-f]{64})")


class TokenFileError(InvalidInputError):
    """The tokens file has invalid lines. The message gives their numbers, never their text."""


@dataclass(frozen=True, slots=True)
class _Entry:
    name: OperatorId
    digest: bytes = field(repr=False)


class Tokens:
    """The tokens of a tokens file."""

    def __init__(self, entries: tuple[_Entry, ...]) -> None:
        self.entries = entries

    def operator_of(self, token: str) -> OperatorId | None:
        """Return the owner of the token, in a time that doesn't depend on which entry matches."""
        digest = hashlib.sha256(token.encode()).digest()
        found = None
        for entry in self.entries:
            if hmac.compare_digest(digest, entry.digest):
                found = entry.name
        return found


def parse_tokens(text: str) -> Tokens:
    """Return the tokens in the text of a tokens file; `#` starts a comment line.

    Raises:
      TokenFileError: a line is invalid, a name or token is repeated, or there is no token.
    """
    entries: list[_Entry] = []
    problems: list[str] = []
    for number, line in enumerate(text.splitlines(), start=1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        match = _LINE.fullmatch(line)
        if match is None:
            problems.append(f"line {number} is not NAME SHA256")
            continue
        entry = _Entry(OperatorId(match[1]), bytes.fromhex(match[2]))
        if any(entry.name == known.name for known in entries):
            problems.append(f"line {number} repeats the name {entry.name}")
        if any(entry.digest == known.digest for known in entries):
            problems.append(f"line {number} repeats a token")
        entries.append(entry)
    if not entries and not problems:
        problems.append("there is no token")
    if problems:
        raise TokenFileError("; ".join(problems))
    return Tokens(tuple(entries))
