"""Guards against pages that omit an error, a setting or a command, or show an invalid one."""

import contextlib
import importlib
import inspect
import io
import pkgutil
import re
import shlex
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

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
OPERATOR_PAGES = sorted(
    str(page.relative_to(ROOT))
    for page in [*(DOCS / "operators").glob("*.md"), ROOT / "CHANGELOG.md"]
)
# Top-level folders, with which file paths on a page begin.
FOLDERS = ("bench", "docs", "examples", "packages", "standins", "tests", "tools")
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
    """Return the names of all choices that the core's source code offers in questions."""
    folder = Path(marigolddoor_core.__file__).parent
    sources = [file.read_text() for file in folder.rglob("*.py") if file.parent != folder]
    return sorted({name for text in sources for name in re.findall(r'Choice\(\s*"([^"]+)"', text)})


def shown_commands(text: str) -> list[str]:
    """Return the complete commands on a page, in code blocks and in running text.

    The placeholder `marigolddoor COMMAND` is left out. In running text, a code span of the program
    and one more word only names a command; `named_commands` returns those.
    """
    blocks = re.findall(r"^ *```[a-z]*\n(.*?)^ *```", text, re.DOTALL | re.MULTILINE)
    lines = [line for block in blocks for line in block.splitlines()]
    found = [line.strip() for line in lines if re.match(r"\s*marigolddoor ", line)]
    found += [part for line in lines for part in re.findall(r"\$\((marigolddoor [^|)]*)", line)]
    found += [span for span in prose_spans(text) if len(span.split()) > 2]
    return [command for command in found if not command.startswith("marigolddoor COMMAND")]


def named_commands(text: str) -> list[str]:
    """Return the commands that running text names by the program and one word."""
    return [span.split()[1] for span in prose_spans(text) if len(span.split()) == 2]


def prose_spans(text: str) -> list[str]:
    """Return the code spans outside code blocks that begin with the program."""
    prose = re.sub(r"^ *```[a-z]*\n.*?^ *```", "", text, flags=re.DOTALL | re.MULTILINE)
    return re.findall(r"`(marigolddoor\s[^`]*)`", prose)


def named_files(text: str) -> list[str]:
    """Return the repository files named on a page in code spans or as link targets."""
    names = re.findall(r"`([^`\s]+)`", text) + re.findall(r"\]\(([^)\s#]+)\)", text)
    return [
        name
        for name in names
        if name.startswith(tuple(f"{folder}/" for folder in FOLDERS)) or name.endswith(".md")
    ]


class ShownCommandTest(testtools.TestCase):
    """Guards against a command on a page that the command line rejects."""

    scenarios = [
        (f"{page}: {command}", {"command": command})
        for page in OPERATOR_PAGES
        for command in dict.fromkeys(shown_commands((ROOT / page).read_text()))
    ]

    def test_parses(self) -> None:
        # Shell variables hold a revision or a request id; a number is valid for both.
        arguments = shlex.split(re.sub(r"\$\w+", "1", self.command))[1:]
        error_output = io.StringIO()
        with contextlib.redirect_stderr(error_output):
            try:
                build_parser().parse_args(arguments)
            except SystemExit:
                self.fail(error_output.getvalue())


class NamedCommandTest(testtools.TestCase):
    """Guards against a page that still has the old name of a renamed command."""

    scenarios = [
        (f"{page}: {name}", {"name": name})
        for page in OPERATOR_PAGES
        for name in dict.fromkeys(named_commands((ROOT / page).read_text()))
    ]

    def test_exists(self) -> None:
        self.assertIn(self.name, commands())


class NamedFileTest(testtools.TestCase):
    """Guards against a page that still has the old name of a renamed file.

    A name without a folder is relative to the folder of the page or to the root.
    """

    scenarios = [
        (f"{page}: {name}", {"page": page, "name": name})
        for page in OPERATOR_PAGES
        for name in dict.fromkeys(named_files((ROOT / page).read_text()))
    ]

    def test_exists(self) -> None:
        candidates = [ROOT / self.name, (ROOT / self.page).parent / self.name]
        self.assertTrue(any(path.exists() for path in candidates), f"no file {self.name}")


class ExtractionTest(testtools.TestCase):
    """Guards against checks that pass because no command was found on a page."""

    scenarios = [
        ("block", {"text": "```\nmarigolddoor status\n```\n", "expected": ["marigolddoor status"]}),
        (
            "indented block",
            {
                "text": "1. Do:\n\n   ```\n   marigolddoor pools\n   ```\n",
                "expected": ["marigolddoor pools"],
            },
        ),
        (
            "line of text",
            {"text": "Use `marigolddoor jobs --json`.", "expected": ["marigolddoor jobs --json"]},
        ),
        (
            "in a script",
            {
                "text": "```\nx=$(marigolddoor status --json | cat)\n```\n",
                "expected": ["marigolddoor status --json "],
            },
        ),
        ("the name of a command", {"text": "Use `marigolddoor jobs`.", "expected": []}),
        ("any command", {"text": "`marigolddoor COMMAND --help`", "expected": []}),
        ("the daemon", {"text": "```\nmarigolddoord --settings x\n```\n", "expected": []}),
    ]

    def test_commands(self) -> None:
        self.assertEqual(self.expected, shown_commands(self.text))


class PageTest(testtools.TestCase):
    """Guards against a page without the entry of an error, command, exit code, choice or term."""

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
    """Guards against example settings that the process rejects or that lack a key."""

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
        # The error about an unknown key lists the valid keys of its table.
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
