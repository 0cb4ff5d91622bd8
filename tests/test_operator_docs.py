"""Guards against pages that miss an error, a setting or a command, or show settings that fail."""

import importlib
import inspect
import pkgutil
import re
import tomllib
from pathlib import Path

import marigolddoor_control
import marigolddoor_core
import marigolddoor_daemon
import marigolddoor_entry
import marigolddoor_operator
import marigolddoor_storage
import marigolddoor_wire
import testtools
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_daemon.errors import SettingsError
from marigolddoor_daemon.settings import Role
from marigolddoor_operator.arguments import build_parser
from marigolddoor_operator.errors import ExitCode

from tests.daemon.test_settings import KEY, TOKENS, Folder

DOCS = Path(__file__).resolve().parent.parent / "docs"
PACKAGES = (
    marigolddoor_control,
    marigolddoor_core,
    marigolddoor_daemon,
    marigolddoor_entry,
    marigolddoor_operator,
    marigolddoor_storage,
    marigolddoor_wire,
)
USER_WORDS = ("VM", "worker", "rack", "data centre", "region", "organisation", "team", "service",
              "executor", "target", "pool", "slot")  # fmt: skip


def public_errors() -> list[str]:
    """Return the names of all public error classes of the packages."""
    found: set[str] = set()
    for package in PACKAGES:
        for part in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
            if ".gen" in part.name:
                continue
            for name, value in vars(importlib.import_module(part.name)).items():
                if inspect.isclass(value) and issubclass(value, MarigolddoorError):
                    found.add(name)
    return sorted(name for name in found if not name.startswith("_"))


def commands() -> list[str]:
    """Return the names of all commands of the command line."""
    (choices,) = (action.choices for action in build_parser()._actions if action.choices)
    return sorted(choices)


def choices() -> list[str]:
    """Return the names of all choices that questions offer, as the code of the core has them."""
    folder = Path(marigolddoor_core.__file__).parent
    sources = [file.read_text() for file in folder.rglob("*.py") if file.parent != folder]
    return sorted({name for text in sources for name in re.findall(r'Choice\(\s*"([^"]+)"', text)})


class PageTest(testtools.TestCase):
    """A page has an entry for each name."""

    scenarios = [
        (entry.strip(), {"page": page, "entry": entry})
        for page, entries in [
            ("operators/errors.md", [f"| `{name}` |" for name in public_errors()]),
            ("operators/command-line.md", [f"| `{name}" for name in commands()]),
            ("operators/command-line.md", [f"| {code.value} |" for code in ExitCode]),
            ("operators/questions.md", [f"`{name}`" for name in choices()]),
            ("glossary.md", [f"\n| {word} |" for word in USER_WORDS]),
        ]
        for entry in entries
    ]

    def test_entry(self) -> None:
        text = (DOCS / self.page).read_text()
        self.assertTrue(self.entry in text, f"docs/{self.page} has no entry {self.entry}")


class InstallPageTest(testtools.TestCase):
    """The settings on the page are accepted as they are, and they have every key."""

    def setUp(self) -> None:
        super().setUp()
        self.text = (DOCS / "operators" / "install.md").read_text()
        examples = re.findall(r"```toml\n(.*?)```", self.text, re.DOTALL)
        self.example = next(example for example in examples if "roles =" in example)
        self.folder = Folder(self, self.example)
        self.folder.private("operators.tokens", TOKENS)
        for name in ("process.pem", "process.key", "authority.pem", "peers.key"):
            self.folder.private(name, KEY)

    def test_accepted(self) -> None:
        self.assertEqual((Role.ENTRY, Role.CONTROL), self.folder.load().roles)

    def test_every_key(self) -> None:
        # An unknown key in a table makes the check list the keys of that table.
        values = tomllib.loads(self.example)
        for header in ["", *re.findall(r"^(\[+[a-z.]+\]+)", self.example, re.MULTILINE)]:
            marked = self.example.replace(header, f"{header}\nunknown-key = 1\n", 1)
            error = self.assertRaises(SettingsError, Folder(self, marked).load)
            listed = re.search(r"unknown-key is 1; allowed: not a key; keys are (.*)", str(error))
            assert listed is not None, header
            table = values
            for part in header.strip("[]").split(".") if header else []:
                table = table[part][0] if isinstance(table[part], list) else table[part]
            self.assertEqual(set(listed[1].split(", ")), set(table), header)
