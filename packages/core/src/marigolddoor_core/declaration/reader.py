"""Reads a template and an organisation file into a declaration.

The files are parsed already; the reader merges them, fills in parameters, and checks everything
before it reports, so that an operator sees all problems at once.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from marigolddoor_core.declaration.errors import (
    DeclarationError,
    DeclarationProblem,
    shown_value,
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

# A key that is missing or of a wrong type takes this value while the other keys are checked.
STAND_IN: dict[ValueType, Any] = {
    ValueType.INTEGER: 0,
    ValueType.NUMBER: 0.0,
    ValueType.TEXT: "",
    ValueType.FLAG: False,
}


@dataclass(frozen=True, slots=True)
class Place:
    """Where a value stands: the file and the path of its keys."""

    file: str
    path: str

    def child(self, key: str) -> "Place":
        """Return the place of `key` in the table at this place."""
        return Place(self.file, f"{self.path}.{key}" if self.path else key)


@dataclass(frozen=True, slots=True)
class Located:
    """A value with its place."""

    value: object
    place: Place


@dataclass(frozen=True, slots=True)
class Table:
    """A table with its place."""

    value: Mapping[str, object]
    place: Place


@dataclass(frozen=True, slots=True)
class Slot:
    """The address of a key in the merged files; `name` is empty in a section of one table."""

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
      template: The parsed template file that it names.
      organisation_file: The name of the organisation file in problems.
      template_file: The name of the template file in problems.

    Raises:
      DeclarationError: lists every problem of both files.
    """
    reader = Reader(Place(organisation_file, ""), Place(template_file, ""))
    declaration = reader.read(organisation, template)
    if reader.problems:
        raise DeclarationError(tuple(dict.fromkeys(reader.problems)))
    return declaration


class Reader:
    """Merges, converts and checks the files of one organisation, and collects the problems."""

    def __init__(self, organisation: Place, template: Place) -> None:
        self.organisation = organisation
        self.template = template
        self.problems: list[DeclarationProblem] = []
        self.places: dict[Slot, Place] = {}
        # Keys without a usable value; checks that depend on them would mislead.
        self.unusable: set[Slot] = set()

    def read(
        self, organisation: Mapping[str, object], template: Mapping[str, object]
    ) -> Declaration:
        """Return the declaration, which is usable only if there are no problems."""
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
            OrganisationId(self._text(organisation, "organisation")),
            tuple(_service(name, values) for name, values in parts["services"].items()),
            tuple(Pool(PoolId(name), **values) for name, values in parts["pools"].items()),
            tuple(Team(TeamId(name), **values) for name, values in parts["teams"].items()),
            tuple(_job(name, values) for name, values in parts["jobs"].items()),
            Weights(**single["weights"]),
        )
        self._text(organisation, "template")
        self._add_part_problems(structure_problems(declaration))
        self._add_part_problems(policy_problems(declaration, Workers(**single["workers"])))
        return declaration

    def _layers(
        self, organisation: Mapping[str, object], template: Mapping[str, object]
    ) -> tuple[Table, ...]:
        overrides = organisation.get("overrides", {})
        place = self.organisation.child("overrides")
        if not isinstance(overrides, Mapping):
            self._report(place, overrides, "a table with " + ", ".join(ALL_SECTIONS))
            overrides = {}
        self._check_keys(overrides, ALL_SECTIONS, place)
        return (Table(template, self.template), Table(overrides, place))

    def _tables(self, key: str, layers: Iterable[Table]) -> tuple[Table, ...]:
        """Return the tables under `key` in the layers, the template first."""
        tables: list[Table] = []
        for layer in layers:
            if key not in layer.value:
                continue
            table = layer.value[key]
            place = layer.place.child(key)
            if isinstance(table, Mapping):
                tables.append(Table(table, place))
            else:
                self._report(place, table, "a table")
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
        found: dict[str, Located] = {}
        home = Place(self.template.file, f"{section}.{name}" if name else section)
        for table in tables:
            home = table.place
            self._check_keys(table.value, allowed, table.place)
            for part, value in table.value.items():
                found[part] = Located(value, table.place.child(part))
        self.places[Slot(section, name, "")] = home
        values: dict[str, Any] = {}
        for key in keys:
            slot = Slot(section, name, key.name)
            located = found.get(key.name)
            self.places[slot] = home.child(key.name) if located is None else located.place
            if located is not None:
                self._convert(slot, key, located, parameters, values)
            elif key.required:
                self._set_aside(slot, key, values)
                # Without any table the problem is the part itself, which is reported already.
                if tables:
                    self._report(self.places[slot], None, f"a value of type {key.type.value}")
        return values

    def _convert(
        self,
        slot: Slot,
        key: Key,
        located: Located,
        parameters: Parameters,
        values: dict[str, Any],
    ) -> None:
        substitution = parameters.substitute(located.value)
        for unknown in substitution.unknown:
            self._report(
                located.place,
                located.value,
                f"placeholders of declared parameters; {unknown!r} is not declared",
            )
        if not substitution.usable:
            self._set_aside(slot, key, values)
        elif has_type(substitution.value, key.type):
            value = substitution.value
            values[key.name] = float(value) if key.type is ValueType.NUMBER else value  # type: ignore[arg-type]
        else:
            self._set_aside(slot, key, values)
            self._report(located.place, substitution.value, f"a value of type {key.type.value}")

    def _set_aside(self, slot: Slot, key: Key, values: dict[str, Any]) -> None:
        self.unusable.add(slot)
        if key.required:
            values[key.name] = STAND_IN[key.type]

    def _add_part_problems(self, problems: Iterable[PartProblem]) -> None:
        unusable_keys = {slot.key for slot in self.unusable}
        for problem in problems:
            slot = Slot(problem.section, problem.name, problem.key)
            if slot in self.unusable or unusable_keys & set(problem.depends):
                continue
            if problem.section == "organisation":
                place = self.organisation.child("organisation")
            else:
                place = self.places.get(slot) or self.places.get(
                    Slot(problem.section, problem.name, ""), self.template.child(problem.section)
                )
            self._report(place, problem.value, problem.allowed)

    def _text(self, table: Mapping[str, object], key: str) -> str:
        value = table.get(key)
        if isinstance(value, str) and value:
            return value
        self._report(self.organisation.child(key), value, "a text that is not empty")
        self.unusable.add(Slot(key, "", ""))
        return ""

    def _check_keys(
        self, table: Mapping[str, object], allowed: Iterable[str], place: Place
    ) -> None:
        names = tuple(allowed)
        for key, value in table.items():
            if key not in names:
                self._report(place.child(str(key)), value, "one of the keys " + ", ".join(names))

    def _report(self, place: Place, value: object, allowed: str) -> None:
        shown = "" if value is None else shown_value(value)
        self.problems.append(DeclarationProblem(place.file, place.path, shown, allowed))


def _service(name: str, values: dict[str, Any]) -> Service:
    return Service(ServiceId(name), **values)


def _job(name: str, values: dict[str, Any]) -> Job:
    size = Resources(values.pop("cores"), values.pop("memory_mb"), values.pop("accelerators", 0))
    return Job(JobId(name), size=size, **values)
