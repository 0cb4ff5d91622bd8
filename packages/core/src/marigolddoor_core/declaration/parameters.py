"""Template parameters: definitions, values, and the substitution of `${name}` in texts."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.declaration.errors import DeclarationProblem, format_value
from marigolddoor_core.declaration.schema import ValueType, has_type

__all__ = ["Parameters", "Substitution", "placeholders", "read_parameters"]

DEFINITION_KEYS = ("type", "default", "minimum", "maximum", "choices", "description")
TYPE_NAMES = ", ".join(member.value for member in ValueType)
PARAMETER_NAME = re.compile(r"[a-z][a-z0-9_]*")
# `$${` is the escape for a literal `${`.
PLACEHOLDER = re.compile(r"\$(?:(\$)\{|\{([^}]*)\})")

Scalar = int | float | str | bool
ReportProblem = Callable[[str, object, str], None]


class Missing(Enum):
    """Marks a declared parameter without a usable value."""

    VALUE = "value"


@dataclass(frozen=True, slots=True)
class Definition:
    """The definition of a parameter: its type, default and allowed values."""

    type: ValueType
    default: Scalar | None
    minimum: float | None
    maximum: float | None
    choices: tuple[Scalar, ...]

    def describe_allowed(self) -> str:
        """Return a description of the allowed values."""
        text = f"a value of type {self.type.value}"
        if self.minimum is not None:
            text += f", at least {self.minimum:g}"
        if self.maximum is not None:
            text += f", at most {self.maximum:g}"
        if self.choices:
            text += ", one of " + ", ".join(str(choice) for choice in self.choices)
        return text

    def allows(self, value: object) -> bool:
        """Return whether `value` has the type and is within the range and choices."""
        if not has_type(value, self.type):
            return False
        if isinstance(value, int | float):
            if self.minimum is not None and value < self.minimum:
                return False
            if self.maximum is not None and value > self.maximum:
                return False
        return not self.choices or value in self.choices


@dataclass(frozen=True, slots=True)
class Substitution:
    """The result of substituting the placeholders of a value.

    `unknown` names undeclared parameters. `usable` is False if a parameter is unknown or has no
    usable value; the latter is reported where the parameter is defined or set.
    """

    value: object
    unknown: tuple[str, ...] = ()
    usable: bool = True


class Parameters:
    """The parameter values of one organisation."""

    def __init__(self, values: Mapping[str, Scalar | Missing]) -> None:
        self.values = values

    def substitute(self, value: object) -> Substitution:
        """Return `value` with its placeholders substituted.

        A text that consists of one placeholder takes the type of the parameter; in a longer text
        the value is inserted as text.

        Example:
          >>> Parameters({"floor": 4}).substitute("${floor}").value
          4
        """
        if not isinstance(value, str):
            return Substitution(value)
        names = placeholders(value)
        unknown = tuple(name for name in names if name not in self.values)
        if unknown:
            return Substitution(value, unknown, usable=False)
        if any(self.values[name] is Missing.VALUE for name in names):
            return Substitution(value, usable=False)
        single = PLACEHOLDER.fullmatch(value)
        if single is not None and single[1] is None:
            return Substitution(self.values[single[2]])
        return Substitution(PLACEHOLDER.sub(self._replacement, value))

    def unused(self, *documents: object) -> tuple[str, ...]:
        """Return the usable parameters that `documents` do not refer to, sorted."""
        used = set(_names_in(documents))
        return tuple(
            sorted(
                name
                for name, value in self.values.items()
                if name not in used and value is not Missing.VALUE
            )
        )

    def _replacement(self, match: "re.Match[str]") -> str:
        if match[1] is not None:
            return "${"
        value = self.values[match[2]]
        return str(value).lower() if isinstance(value, bool) else str(value)


def placeholders(text: str) -> tuple[str, ...]:
    """Return the names of the placeholders in `text`."""
    return tuple(match[2] for match in PLACEHOLDER.finditer(text) if match[1] is None)


def _names_in(document: object) -> Iterator[str]:
    if isinstance(document, str):
        yield from placeholders(document)
    elif isinstance(document, Mapping):
        yield from _names_in(tuple(document.values()))
    elif isinstance(document, list | tuple):
        for part in document:
            yield from _names_in(part)


def read_parameters(
    definitions: object,
    values: object,
    template_file: str,
    organisation_file: str,
) -> tuple[Parameters, tuple[DeclarationProblem, ...]]:
    """Return the parameter values and the problems in their definitions and values."""
    problems: list[DeclarationProblem] = []
    defined = _parameter_table(definitions, template_file, problems)
    provided = _parameter_table(values, organisation_file, problems)
    result: dict[str, Scalar | Missing] = {}
    for name, table in defined.items():
        path = f"parameters.{name}"
        result[name] = Missing.VALUE
        definition = _read_definition(name, table, template_file, problems)
        if definition is None:
            continue
        if name not in provided:
            if definition.default is None:
                problems.append(
                    DeclarationProblem(organisation_file, path, "", definition.describe_allowed())
                )
            else:
                result[name] = definition.default
            continue
        value = provided[name]
        if isinstance(value, int | float | str) and definition.allows(value):
            result[name] = value
        else:
            problems.append(
                DeclarationProblem(
                    organisation_file, path, format_value(value), definition.describe_allowed()
                )
            )
    for name, value in provided.items():
        if name not in defined:
            problems.append(
                DeclarationProblem(
                    organisation_file,
                    f"parameters.{name}",
                    format_value(value),
                    _describe_names(defined, "the template declares"),
                )
            )
    return Parameters(result), tuple(problems)


def _read_definition(
    name: str, table: object, file: str, problems: list[DeclarationProblem]
) -> Definition | None:
    path = f"parameters.{name}"
    definition_problems: list[DeclarationProblem] = []

    def report(key: str, value: object, allowed: str) -> None:
        shown = "" if value is None else format_value(value)
        definition_problems.append(
            DeclarationProblem(file, f"{path}.{key}" if key else path, shown, allowed)
        )

    if not PARAMETER_NAME.fullmatch(name):
        report("", name, "a name of lower-case letters, digits and `_` that begins with a letter")
    if not isinstance(table, Mapping):
        report("", table, "a table with " + ", ".join(DEFINITION_KEYS))
        problems.extend(definition_problems)
        return None
    for key, value in table.items():
        if key not in DEFINITION_KEYS:
            report(key, value, "one of the keys " + ", ".join(DEFINITION_KEYS))
    type_name = table.get("type")
    value_type = next((member for member in ValueType if member.value == type_name), None)
    if value_type is None:
        report("type", type_name, "one of " + TYPE_NAMES)
        problems.extend(definition_problems)
        return None
    minimum, maximum = (
        _read_bound(table, key, value_type, report) for key in ("minimum", "maximum")
    )
    if minimum is not None and maximum is not None and minimum > maximum:
        report("minimum", minimum, f"at most the maximum, {maximum:g}")
    definition = Definition(
        value_type, None, minimum, maximum, _read_choices(table, value_type, report)
    )
    default = table.get("default")
    if default is not None and not definition.allows(default):
        report("default", default, definition.describe_allowed())
    if not isinstance(table.get("description", ""), str):
        report("description", table["description"], "a text")
    problems.extend(definition_problems)
    if definition_problems:
        return None
    return Definition(value_type, default, minimum, maximum, definition.choices)


def _read_bound(
    table: Mapping[str, object], key: str, value_type: ValueType, report: ReportProblem
) -> float | None:
    value = table.get(key)
    if value is None:
        return None
    if value_type not in (ValueType.INTEGER, ValueType.NUMBER):
        report(key, value, f"no {key} for a parameter of type {value_type.value}")
        return None
    if not has_type(value, value_type) or not isinstance(value, int | float):
        report(key, value, f"a value of type {value_type.value}")
        return None
    return value


def _read_choices(
    table: Mapping[str, object], value_type: ValueType, report: ReportProblem
) -> tuple[Scalar, ...]:
    value = table.get("choices")
    if value is None:
        return ()
    if (
        not isinstance(value, list)
        or not value
        or not all(has_type(choice, value_type) for choice in value)
    ):
        report("choices", value, f"a list of values of type {value_type.value}")
        return ()
    return tuple(value)


def _parameter_table(
    value: object, file: str, problems: list[DeclarationProblem]
) -> Mapping[str, object]:
    if value is None:
        return {}
    if isinstance(value, Mapping):
        return value
    problems.append(DeclarationProblem(file, "parameters", format_value(value), "a table"))
    return {}


def _describe_names(names: Iterable[str], prefix: str) -> str:
    known = ", ".join(sorted(names))
    return f"{prefix} {known}" if known else f"{prefix} no parameters"
