"""Guards against invalid declarations that are accepted, and problems that are not reported
because of another problem."""

import copy
import tomllib
from pathlib import Path
from typing import Any

import testtools
from marigolddoor_core.declaration import DeclarationError, read_declaration
from marigolddoor_core.declaration.structure import structure_problems
from marigolddoor_core.targets import Resources

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"

TEMPLATE = tomllib.loads("""
[parameters.floor]
type = "integer"
default = 12
minimum = 1
maximum = 20

[parameters.release]
type = "text"
choices = ["a", "b"]
default = "a"

[services.orders]
pool = "web"
idempotent = false
floor_slots = "${floor}"

[pools.web]
size = 6
floor = 4
max_unavailable = 1

[pools.rest]
size = 6
floor = 2
max_unavailable = 2
spare = true

[teams.shop]
slots = 16
cores = 32

[jobs.report]
pool = "web"
team = "shop"
tasks = 2
cores = 2
memory_mb = 1000
command = "report ${release} ${floor} $${HOME}"
""")
ORGANISATION = {"organisation": "example", "template": "template.toml"}


def read(template: dict[str, Any], organisation: dict[str, Any]) -> Any:
    return read_declaration(organisation, template, "org.toml", "template.toml")


def with_value(document: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy of `document` with `value` at `path`; None removes the key."""
    result = copy.deepcopy(document)
    *parents, last = path.split("/")
    table = result
    for parent in parents:
        table = table.setdefault(parent, {})
    if value is None:
        del table[last]
    else:
        table[last] = value
    return result


class ValueTest(testtools.TestCase):
    """Parameters, overrides and defaults reach the declaration."""

    scenarios = [
        (name, {"changes": changes, "value": value, "expected": expected})
        for name, changes, value, expected in [
            ("default of a parameter", {}, lambda d: d.services[0].floor_slots, 12),
            (
                "value of a parameter",
                {"parameters": {"floor": 20}},
                lambda d: d.services[0].floor_slots,
                20,
            ),
            (
                "override",
                {"overrides": {"pools": {"web": {"size": 7}}}},
                lambda d: d.pools[0].size,
                7,
            ),
            (
                "parameter in an override",
                {"overrides": {"pools": {"web": {"size": "${floor}"}}}},
                lambda d: d.pools[0].size,
                12,
            ),
            (
                "added part",
                {"overrides": {"teams": {"office": {"slots": 1, "cores": 1}}}},
                lambda d: [team.id for team in d.teams],
                ["shop", "office"],
            ),
            (
                "parameter inside a text, and an escaped placeholder",
                {"parameters": {"release": "b"}},
                lambda d: d.jobs[0].command,
                "report b 12 ${HOME}",
            ),
            ("size of a job", {}, lambda d: d.jobs[0].size, Resources(2.0, 1_000)),
            ("default of a key", {}, lambda d: d.services[0].retry_window_s, 600.0),
            ("number from an integer", {}, lambda d: type(d.teams[0].cores), float),
        ]
    ]

    def test_value(self) -> None:
        declaration = read(TEMPLATE, ORGANISATION | self.changes)
        self.assertEqual(self.expected, self.value(declaration))


class ProblemTest(testtools.TestCase):
    """One invalid value results in exactly one problem, with its file and path."""

    scenarios = [
        (
            f"{file} {path} {value!r}",
            {"file": file, "path": path, "value": value, "expected": expected or path},
        )
        for file, path, value, expected in [
            ("template", "service", {}, None),
            ("template", "services", None, None),
            ("template", "services", [], None),
            ("template", "services", {}, None),
            ("template", "services/orders", 3, None),
            ("template", "services/orders/pol", "web", None),
            ("template", "services/orders/pool", None, None),
            ("template", "services/orders/pool", "none", None),
            ("template", "services/orders/pool", 3, None),
            ("template", "services/orders/idempotent", "false", None),
            ("template", "services/orders/floor_slots", -1, "services/orders/floor_slots"),
            ("template", "services/orders/floor_slots", True, None),
            ("template", "services/orders/floor_slots", 33, "pools/web/floor"),
            ("template", "services/orders/floor_slots", "${flor}", None),
            ("template", "services/orders/rank", 2**63, None),
            ("template", "services/orders/default_deadline_s", 0, None),
            ("template", "services/orders/retry_window_s", 86_401, None),
            ("template", "services/orders/retry_window_s", float("nan"), None),
            ("template", "pools/web/size", 0, "pools/web/size"),
            ("template", "pools/web/floor", 7, None),
            ("template", "pools/web/max_unavailable", 6, None),
            ("template", "pools/web/maintenance_interval_s", 0, None),
            ("template", "pools/web/spare", True, "pools"),
            ("template", "pools/rest/spare", False, "pools"),
            ("template", "pools/web two", {"size": 1, "floor": 0, "max_unavailable": 0}, None),
            ("template", "pools/WEB", {"size": 1, "floor": 0, "max_unavailable": 0}, None),
            ("template", "teams/shop/slots", -1, None),
            ("template", "teams/shop/slots", 97, None),
            ("template", "teams/shop/cores", 200, None),
            ("template", "jobs/report/pool", "none", None),
            ("template", "jobs/report/team", "none", None),
            ("template", "jobs/report/tasks", 20_001, None),
            ("template", "jobs/report/cores", 17, None),
            ("template", "jobs/report/memory_mb", 32_001, None),
            ("template", "jobs/report/accelerators", 1, None),
            ("template", "jobs/report/version", "", None),
            ("template", "teams/shop/cores", 1, "jobs/report/cores"),
            ("template", "weights/buffer", -1, None),
            ("template", "weights/moves", "high", None),
            ("template", "workers/slots", 0, None),
            ("template", "parameters/floor/type", "int", None),
            ("template", "parameters/floor/typ", "integer", None),
            ("template", "parameters/floor/default", 21, None),
            ("template", "parameters/floor/default", "12", None),
            ("template", "parameters/floor/minimum", "1", None),
            ("template", "parameters/release/minimum", 1, None),
            ("template", "parameters/release/choices", [1], None),
            ("template", "parameters/Floor", {"type": "integer", "default": 1}, None),
            ("template", "parameters/idle", {"type": "integer", "default": 1}, None),
            ("org", "organisation", None, None),
            ("org", "organisation", "an organisation", None),
            ("org", "template", 3, None),
            ("org", "pools", {}, None),
            ("org", "parameters", 3, None),
            ("org", "parameters/floor", 21, None),
            ("org", "parameters/floor", 12.0, None),
            ("org", "parameters/release", "c", None),
            ("org", "parameters/flor", 3, None),
            ("org", "overrides", 3, None),
            ("org", "overrides/pool", {}, None),
            ("org", "overrides/pools/web/size", "6", None),
            ("org", "overrides/pools/web/floor", 7, None),
            ("org", "overrides/teams/office", {"slots": 1}, "overrides/teams/office/cores"),
        ]
    ]

    def test_one_problem(self) -> None:
        template, organisation = TEMPLATE, ORGANISATION
        if self.file == "template":
            template = with_value(template, self.path, self.value)
        else:
            organisation = with_value(organisation, self.path, self.value)
        error = self.assertRaises(DeclarationError, read, template, organisation)
        self.assertEqual(
            [(f"{self.file}.toml", self.expected.replace("/", "."))],
            [(problem.file, problem.path) for problem in error.problems],
        )
        self.assertTrue(error.problems[0].allowed)


class AllProblemsTest(testtools.TestCase):
    """The problems that all validation stages find in both files are reported together."""

    def test_all_at_once(self) -> None:
        template = with_value(TEMPLATE, "services/orders/pool", "none")
        template = with_value(template, "pools/web/size", "six")
        template = with_value(template, "jobs/report/tasks", None)
        organisation = with_value(ORGANISATION, "parameters/floor", 0)
        organisation = with_value(organisation, "overrides/weights/flood", -2)
        error = self.assertRaises(DeclarationError, read, template, organisation)
        self.assertEqual(
            {
                "org.toml: parameters.floor is 0; allowed: a value of type integer, at least 1,"
                " at most 20",
                "template.toml: pools.web.size is 'six'; allowed: a value of type integer",
                "template.toml: jobs.report.tasks is missing; allowed: a value of type integer",
                "template.toml: services.orders.pool is 'none'; allowed: one of rest, web",
                "org.toml: overrides.weights.flood is -2.0; allowed: at least 0",
            },
            set(str(error).splitlines()),
        )


class ExampleTest(testtools.TestCase):
    """The example files are valid and have the sizes of the current deployments."""

    scenarios = [
        (folder.name, {"folder": folder})
        for folder in sorted(EXAMPLES.iterdir())
        if (folder / "organisation.toml").exists()
    ]

    def test_example(self) -> None:
        organisation = tomllib.loads((self.folder / "organisation.toml").read_text())
        template = tomllib.loads((self.folder / organisation["template"]).read_text())
        declaration = read_declaration(organisation, template, "organisation.toml", "template.toml")
        self.assertEqual(5, len(declaration.services))
        self.assertEqual([6] * 5, [pool.size for pool in declaration.pools])
        self.assertEqual(["support"], [str(pool.id) for pool in declaration.pools if pool.spare])
        self.assertEqual((), structure_problems(declaration))
