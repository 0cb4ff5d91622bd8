"""Validation of TOML tables that collects all problems instead of stopping at the first."""

import ipaddress
from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlsplit

from marigolddoor_wire.peers import Address, parse_address

from marigolddoor_daemon.errors import SettingsProblem

__all__ = ["Problems", "Table"]

E = TypeVar("E", bound=Enum)

MAX_VALUE_LENGTH = 80
MISSING = "missing"
NAME_RULE = "1 to 64 letters, digits, '.', '_' or '-'"


class Problems:
    """Collects the problems of a settings file."""

    def __init__(self) -> None:
        self.collected: list[SettingsProblem] = []

    def add(self, key: str, value: object, allowed: str) -> None:
        """Record that `key` has an invalid value."""
        representation = value if value is MISSING else repr(value)
        text = str(representation)
        if len(text) > MAX_VALUE_LENGTH:
            text = text[: MAX_VALUE_LENGTH - 3] + "..."
        self.collected.append(SettingsProblem(key, text, allowed))


class Table:
    """A TOML table. For an invalid or missing value it records a problem and returns a default."""

    def __init__(self, problems: Problems, prefix: str, values: Mapping[str, Any]) -> None:
        self.problems = problems
        self.prefix = prefix
        self.values = values
        self.read_keys: set[str] = set()

    def key(self, name: str) -> str:
        """Return the full key of `name`."""
        return f"{self.prefix}.{name}" if self.prefix else name

    def report_invalid(self, name: str, allowed: str) -> None:
        """Record that the value of `name` is invalid or missing."""
        self.problems.add(self.key(name), self.values.get(name, MISSING), allowed)

    def report_unknown_keys(self) -> None:
        """Record every key of the table that was never read."""
        for name in self.values:
            if name not in self.read_keys:
                allowed = f"not a key; keys are {', '.join(sorted(self.read_keys))}"
                self.problems.add(self.key(name), self.values[name], allowed)

    def has(self, name: str) -> bool:
        """Return whether there is a value for `name`."""
        self.read_keys.add(name)
        return name in self.values

    def table(self, name: str, required: bool = False) -> "Table":
        """Return the table `name`, empty if it is missing."""
        self.read_keys.add(name)
        value = self.values.get(name, {})
        if not isinstance(value, Mapping) or (required and name not in self.values):
            self.report_invalid(name, "a table")
            value = {}
        return Table(self.problems, self.key(name), value)

    def tables(self, name: str) -> list["Table"]:
        """Return the tables of the array `name`, which must not be empty."""
        self.read_keys.add(name)
        values = self.values.get(name)
        if (
            not isinstance(values, list)
            or not values
            or not all(isinstance(value, Mapping) for value in values)
        ):
            self.report_invalid(name, "at least one table")
            return []
        return [
            Table(self.problems, f"{self.key(name)}[{i}]", value) for i, value in enumerate(values)
        ]

    def name(self, name: str) -> str:
        """Return an identifier."""
        self.read_keys.add(name)
        value = self.values.get(name)
        if isinstance(value, str) and 1 <= len(value) <= 64 and _is_name(value):
            return value
        self.report_invalid(name, NAME_RULE)
        return "unknown"

    def number(self, name: str, default: int, minimum: int, maximum: int) -> int:
        """Return an integer in the given range."""
        self.read_keys.add(name)
        value = self.values.get(name, default)
        if isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum:
            return value
        self.report_invalid(name, f"a whole number from {minimum} to {maximum}")
        return default

    def choice(self, name: str, choices: type[E], default: E) -> E:
        """Return the enum member with the given value."""
        self.read_keys.add(name)
        value = self.values.get(name, default.value)
        for member in choices:
            if member.value == value:
                return member
        self.report_invalid(name, f"one of {_format_choices(choices)}")
        return default

    def choices(self, name: str, choices: type[E]) -> tuple[E, ...]:
        """Return one or more distinct enum members."""
        self.read_keys.add(name)
        value = self.values.get(name)
        by_value = {member.value: member for member in choices}
        if isinstance(value, list) and value and all(_is_key(part, by_value) for part in value):
            members = tuple(by_value[part] for part in value)
            if len(set(members)) == len(members):
                return members
        self.report_invalid(name, f"a list of different ones of {_format_choices(choices)}")
        return ()

    def listen_address(self, name: str) -> Address:
        """Return an address to listen on; with port 0 the system assigns a port."""
        self.read_keys.add(name)
        value = self.values.get(name)
        if _is_address(value, min_port=0):
            return Address(str(value))
        self.report_invalid(name, "IP:PORT with an IP number and a port from 0 to 65535")
        return Address("127.0.0.1:0")

    def address(self, name: str) -> Address:
        """Return the address of another process."""
        self.read_keys.add(name)
        value = self.values.get(name)
        if _is_address(value, min_port=1):
            return Address(str(value))
        self.report_invalid(name, "IP:PORT with an IP number and a port from 1 to 65535")
        return Address("127.0.0.1:0")

    def addresses(self, name: str, minimum: int) -> tuple[Address, ...]:
        """Return distinct addresses of other processes."""
        self.read_keys.add(name)
        value = self.values.get(name, [])
        if (
            isinstance(value, list)
            and len(value) >= minimum
            and all(_is_address(part, min_port=1) for part in value)
            and len(set(value)) == len(value)
        ):
            return tuple(Address(part) for part in value)
        self.report_invalid(name, f"a list of at least {minimum} different IP:PORT")
        return ()

    def path(self, name: str, folder: Path) -> Path:
        """Return a path; a relative one is resolved against `folder`."""
        self.read_keys.add(name)
        value = self.values.get(name)
        if isinstance(value, str) and value and "\0" not in value:
            return folder / value
        self.report_invalid(name, "a path")
        return folder

    def url(self, name: str) -> str:
        """Return an http or https URL without a password."""
        self.read_keys.add(name)
        value = self.values.get(name)
        if isinstance(value, str) and _is_url(value):
            return value
        self.report_invalid(
            name, "http://HOST:PORT or https://HOST:PORT, without a user or password"
        )
        return ""


def _is_name(text: str) -> bool:
    return text.isascii() and all(part.isalnum() or part in "._-" for part in text)


def _is_key(value: object, by_value: Mapping[Any, Enum]) -> bool:
    return isinstance(value, str) and value in by_value


def _format_choices(choices: type[Enum]) -> str:
    return ", ".join(repr(member.value) for member in choices)


def _is_address(value: object, min_port: int) -> bool:
    if not isinstance(value, str):
        return False
    try:
        host, port = parse_address(Address(value))
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return min_port <= port <= 65535


def _is_url(value: str) -> bool:
    try:
        parts = urlsplit(value)
        named = bool(parts.hostname) and (parts.port is None or parts.port > 0)
    except ValueError:
        return False
    return parts.scheme in ("http", "https") and named and parts.username is None
