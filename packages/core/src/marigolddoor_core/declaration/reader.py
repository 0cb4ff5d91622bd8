"""Reads a template and an organisation file into a declaration.

The reader merges the parsed files, substitutes parameters and completes all checks before it
reports, so that an operator sees all problems at once.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from marigolddoor_core.declaration.errors import (
    DeclarationError,
    DeclarationProblem,
    format_value,
)
from marigolddoor_core.declaration.organisation import (
    Declaration,
    Job,
    Pool,
    Service,
    Team,
    Weights,
)
from marigolddoor_core.declaration.parameters import Parameters, read_parameters
from marigolddoor_core.declaration.policy import Workers, policy_problems
from marigolddoor_core.declaration.schema import (
    SECTIONS,
    SINGLE_SECTIONS,
    Key,
    ValueType,
    has_type,
)
from marigolddoor_core.declaration.structure import PartProblem, structure_problems
from marigolddoor_core.ids import JobId, OrganisationId, PoolId, ServiceId, TeamId
from marigolddoor_core.targets import Resources

__all__ = ["read_declaration"]

ALL_SECTIONS = (*SECTIONS, *SINGLE_SECTIONS)
TEMPLATE_KEYS = ("parameters", *ALL_SECTIONS)
ORGANISATION_KEYS = ("organisation", "template", "parameters", "overrides")
REQUIRED_SECTIONS = ("services", "pools", "teams")

# Values for missing keys and keys of the wrong type, so that the other keys can be checked.
FALLBACK_VALUES: dict[ValueType, Any] = {
    ValueType.INTEGER: 0,
    ValueType.NUMBER: 0.0,
    ValueType.TEXT: "",
    ValueType.FLAG: False,
}


@dataclass(frozen=True, slots=True)
class Location:
    """The location of a value: its file and key path."""

    file: str
    path: str

    def child(self, key: str) -> "Location":
        """Return the location of `key` in the table at this location."""
        return Location(self.file, f"{self.path}.{key}" if self.path else key)


@dataclass(frozen=True, slots=True)
class LocatedValue:
    """A value with its location."""

    value: object
    location: Location


@dataclass(frozen=True, slots=True)
class Table:
    """A table with its location."""

    value: Mapping[str, object]
    location: Location


@dataclass(frozen=True, slots=True)
class KeyAddress:
    """The address of a key in the merged files; `name` is empty in single-table sections."""

    section: str
    name: str
    key: str


def read_declaration(
    organisation: Mapping[str, object],
    template: Mapping[str, object],
    organisation_file: str,
    template_file: str,
) -> Declaration:
    """Return the declaration of an organisation.

    Args:
      organisation: The parsed organisation file.
      template: The parsed template file that the organisation file refers to.
      organisation_file: The organisation file's name, for problems.
      template_file: The template file's name, for problems.

    Raises:
      DeclarationError: lists every problem of both files.
    """
    reader = Reader(Location(organisation_file, ""), Location(template_file, ""))
    declaration = reader.read(organisation, template)
    if reader.problems:
        raise DeclarationError(tuple(dict.fromkeys(reader.problems)))
    return declaration


class Reader:
    """Merges, converts and checks the files of one organisation, and collects the problems."""

    def __init__(self, organisation: Location, template: Location) -> None:
        self.organisation = organisation
        self.template = template
        self.problems: list[DeclarationProblem] = []
        self.locations: dict[KeyAddress, Location] = {}
        # Keys without a usable value; checks that depend on them would report false problems.
        self.unusable: set[KeyAddress] = set()

    def read(
        self, organisation: Mapping[str, object], template: Mapping[str, object]
    ) -> Declaration:
        """Return the declaration, which is valid only if there are no problems."""
        self._check_keys(template, TEMPLATE_KEYS, self.template)
        self._check_keys(organisation, ORGANISATION_KEYS, self.organisation)
        parameters, problems = read_parameters(
            template.get("parameters"),
            organisation.get("parameters"),
            self.template.file,
            self.organisation.file,
        )
        self.problems.extend(problems)
        layers = self._layers(organisation, template)
        parts = {
            section: self._read_parts(section, keys, layers, parameters)
            for section, keys in SECTIONS.items()
        }
        single = {
            section: self._read_table(section, "", keys, self._tables(section, layers), parameters)
            for section, keys in SINGLE_SECTIONS.items()
        }
        for name in parameters.unused(
            [template.get(section) for section in ALL_SECTIONS], organisation.get("overrides")
        ):
            self._report(
                self.template.child("parameters").child(name),
                name,
                "a parameter that the template or the overrides use",
            )
        declaration = Declaration(
            OrganisationId(self._required_text(organisation, "organisation")),
            tuple(_service(name, values) for name, values in parts["services"].items()),
            tuple(Pool(PoolId(name), **values) for name, values in parts["pools"].items()),
            tuple(Team(TeamId(name), **values) for name, values in parts["teams"].items()),
            tuple(_job(name, values) for name, values in parts["jobs"].items()),
            Weights(**single["weights"]),
        )
        self._required_text(organisation, "template")
        self._report_part_problems(structure_problems(declaration))
        self._report_part_problems(policy_problems(declaration, Workers(**single["workers"])))
        return declaration

    def _layers(
        self, organisation: Mapping[str, object], template: Mapping[str, object]
    ) -> tuple[Table, ...]:
        overrides = organisation.get("overrides", {})
        location = self.organisation.child("overrides")
        if not isinstance(overrides, Mapping):
            self._report(location, overrides, "a table with " + ", ".join(ALL_SECTIONS))
            overrides = {}
        self._check_keys(overrides, ALL_SECTIONS, location)
        return (Table(template, self.template), Table(overrides, location))

    def _tables(self, key: str, layers: Iterable[Table]) -> tuple[Table, ...]:
        """Return the tables under `key` in the layers, the template first."""
        tables: list[Table] = []
        for layer in layers:
            if key not in layer.value:
                continue
            table = layer.value[key]
            location = layer.location.child(key)
            if isinstance(table, Mapping):
                tables.append(Table(table, location))
            else:
                self._report(location, table, "a table")
        return tuple(tables)

    def _read_parts(
        self,
        section: str,
        keys: tuple[Key, ...],
        layers: Sequence[Table],
        parameters: Parameters,
    ) -> dict[str, dict[str, Any]]:
        sections = self._tables(section, layers)
        names = dict.fromkeys(name for table in sections for name in table.value)
        is_reported = not sections and any(section in layer.value for layer in layers)
        if section in REQUIRED_SECTIONS and not names and not is_reported:
            self._report(self.template.child(section), None, f"at least one of {section}")
        return {
            name: self._read_table(section, name, keys, self._tables(name, sections), parameters)
            for name in names
        }

    def _read_table(
        self,
        section: str,
        name: str,
        keys: tuple[Key, ...],
        tables: Sequence[Table],
        parameters: Parameters,
    ) -> dict[str, Any]:
        allowed = tuple(key.name for key in keys)
        merged: dict[str, LocatedValue] = {}
        table_location = Location(self.template.file, f"{section}.{name}" if name else section)
        for table in tables:
            table_location = table.location
            self._check_keys(table.value, allowed, table.location)
            for part, value in table.value.items():
                merged[part] = LocatedValue(value, table.location.child(part))
        self.locations[KeyAddress(section, name, "")] = table_location
        values: dict[str, Any] = {}
        for key in keys:
            address = KeyAddress(section, name, key.name)
            located = merged.get(key.name)
            self.locations[address] = (
                table_location.child(key.name) if located is None else located.location
            )
            if located is not None:
                self._convert(address, key, located, parameters, values)
            elif key.required:
                self._mark_unusable(address, key, values)
                # Without any table, the part itself was already reported.
                if tables:
                    self._report(self.locations[address], None, f"a value of type {key.type.value}")
        return values

    def _convert(
        self,
        address: KeyAddress,
        key: Key,
        located: LocatedValue,
        parameters: Parameters,
        values: dict[str, Any],
    ) -> None:
        substitution = parameters.substitute(located.value)
        for unknown in substitution.unknown:
            self._report(
                located.location,
                located.value,
                f"placeholders of declared parameters; {unknown!r} is not declared",
            )
        if not substitution.usable:
            self._mark_unusable(address, key, values)
        elif has_type(substitution.value, key.type):
            value = substitution.value
            values[key.name] = float(value) if key.type is ValueType.NUMBER else value  # type: ignore[arg-type]
        else:
            self._mark_unusable(address, key, values)
            self._report(located.location, substitution.value, f"a value of type {key.type.value}")

    def _mark_unusable(self, address: KeyAddress, key: Key, values: dict[str, Any]) -> None:
        self.unusable.add(address)
        if key.required:
            values[key.name] = FALLBACK_VALUES[key.type]

    def _report_part_problems(self, problems: Iterable[PartProblem]) -> None:
        unusable_keys = {address.key for address in self.unusable}
        for problem in problems:
            address = KeyAddress(problem.section, problem.name, problem.key)
            if address in self.unusable or unusable_keys & set(problem.depends_on):
                continue
            if problem.section == "organisation":
                location = self.organisation.child("organisation")
            else:
                location = self.locations.get(address) or self.locations.get(
                    KeyAddress(problem.section, problem.name, ""),
                    self.template.child(problem.section),
                )
            self._report(location, problem.value, problem.allowed)

    def _required_text(self, table: Mapping[str, object], key: str) -> str:
        value = table.get(key)
        if isinstance(value, str) and value:
            return value
        self._report(self.organisation.child(key), value, "a text that is not empty")
        self.unusable.add(KeyAddress(key, "", ""))
        return ""

    def _check_keys(
        self, table: Mapping[str, object], allowed: Iterable[str], location: Location
    ) -> None:
        names = tuple(allowed)
        for key, value in table.items():
            if key not in names:
                self._report(location.child(str(key)), value, "one of the keys " + ", ".join(names))

    def _report(self, location: Location, value: object, allowed: str) -> None:
        shown = "" if value is None else format_value(value)
        self.problems.append(DeclarationProblem(location.file, location.path, shown, allowed))


def _service(name: str, values: dict[str, Any]) -> Service:
    return Service(ServiceId(name), **values)


def _job(name: str, values: dict[str, Any]) -> Job:
    size = Resources(values.pop("cores"), values.pop("memory_mb"), values.pop("accelerators", 0))
    return Job(JobId(name), size=size, **values)
