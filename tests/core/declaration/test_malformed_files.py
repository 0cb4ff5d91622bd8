"""Guards against file contents that make the reader raise anything but `DeclarationError`."""

import copy
import datetime
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import testtools
from marigolddoor_core.declaration import DeclarationError, read_declaration
from marigolddoor_core.declaration.structure import structure_problems

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"

# Every TOML type, and boundary values.
EDGE_VALUES: list[Any] = [
    True,
    0,
    -1,
    2**63,
    -(2**70),
    10**400,
    0.5,
    float("nan"),
    float("inf"),
    "",
    "/",
    "${",
    "${}",
    "${unknown}",
    "$${x}",
    "x" * 1_000,
    datetime.date(2026, 12, 4),
    [],
    [1, "a", {}],
    {},
    {"": 1},
    {"type": []},
    {"pool": {}},
]


def paths(table: dict[str, Any], prefix: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yield the paths of all keys."""
    for key, value in table.items():
        yield (*prefix, key)
        if isinstance(value, dict):
            yield from paths(value, (*prefix, key))


def with_value(table: dict[str, Any], path: tuple[str, ...], value: Any) -> dict[str, Any]:
    """Return a copy of `table` with `value` at `path`."""
    result = copy.deepcopy(table)
    parent = result
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return result


class MalformedFileTest(testtools.TestCase):
    """Any value at any key results in a declaration that the state accepts or in problems."""

    scenarios = [
        (f"{folder.name} {name}", {"folder": folder, "name": name})
        for folder in sorted(EXAMPLES.iterdir())
        if (folder / "organisation.toml").exists()
        for name in ("organisation", "template")
    ]

    def test_every_key(self) -> None:
        files = {
            name: tomllib.loads((self.folder / f"{name}.toml").read_text())
            for name in ("organisation", "template")
        }
        for path in paths(files[self.name]):
            for value in EDGE_VALUES:
                modified = files | {self.name: with_value(files[self.name], path, value)}
                try:
                    declaration = read_declaration(
                        modified["organisation"], modified["template"], "o.toml", "t.toml"
                    )
                except DeclarationError as error:
                    self.assertTrue(all(problem.allowed for problem in error.problems))
                    self.assertEqual(len(set(error.problems)), len(error.problems))
                else:
                    self.assertEqual((), structure_problems(declaration))

    def test_missing_keys(self) -> None:
        for document in ({}, {"parameters": {}}, {"services": {}, "pools": {}, "teams": {}}):
            self.assertRaises(
                DeclarationError, read_declaration, document, document, "o.toml", "t.toml"
            )
