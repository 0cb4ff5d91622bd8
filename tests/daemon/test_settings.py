"""Guards against a process that starts with invalid settings, or with keys others can read."""

import contextlib
import io
import os
import tempfile
from pathlib import Path

import testtools
from marigolddoor_daemon.errors import SettingsError
from marigolddoor_daemon.main import main
from marigolddoor_daemon.roles import entry_settings
from marigolddoor_daemon.settings import LogFormat, Role, Settings, load_settings
from marigolddoor_entry.settings import EntryLimits

KEY = "k" * 32
TOKENS = "ann " + "a" * 64 + "\n"

HEAD = """
name = "entry-1"
data_centre = "east"
roles = ["entry", "control"]
[peers]
key_file = "peers.key"
"""
ENTRY = """
[entry]
callers = "127.0.0.1:8080"
targets = "127.0.0.1:8081"
peer = "127.0.0.1:7000"
peers = ["127.0.0.2:7000"]
control = ["127.0.0.1:7100"]
"""
CONTROL = """
[control]
replica = "r1"
peer = "127.0.0.1:7100"
data_folder = "data"
operators = "127.0.0.1:7200"
tokens_file = "tokens"
platform = "http://127.0.0.1:7300"
[[control.members]]
replica = "r1"
address = "127.0.0.1:7100"
data_centre = "east"
"""
VALID = HEAD + ENTRY + CONTROL


class Folder:
    """A folder with a settings file and the private files that it names."""

    def __init__(self, case: testtools.TestCase, text: str) -> None:
        folder = tempfile.TemporaryDirectory()
        case.addCleanup(folder.cleanup)
        self.path = Path(folder.name)
        self.settings = self.path / "settings.toml"
        self.settings.write_text(text)
        self.private("peers.key", KEY)
        self.private("tokens", TOKENS)

    def private(self, name: str, text: str, mode: int = 0o600) -> None:
        """Write a file with the given mode."""
        path = self.path / name
        path.write_text(text)
        os.chmod(path, mode)

    def load(self) -> Settings:
        """Return the settings."""
        return load_settings(self.settings)


class ValidSettingsTest(testtools.TestCase):
    """Valid settings are read completely, and missing optional keys get their defaults."""

    def test_both_roles(self) -> None:
        folder = Folder(self, VALID + '[log]\nformat = "json"\n[timeline]\nfile = "events"\n')
        settings = folder.load()
        self.assertEqual((Role.ENTRY, Role.CONTROL), settings.roles)
        assert settings.entry is not None and settings.control is not None
        self.assertEqual(("127.0.0.2:7000",), settings.entry.peers)
        self.assertEqual(1024 * 1024, settings.entry.limits.body_bytes)
        self.assertEqual(folder.path / "data", settings.control.data_folder)
        self.assertEqual("http://127.0.0.1:7300", settings.control.platform)
        self.assertEqual("r1", settings.control.members[0].replica)
        self.assertIs(LogFormat.JSON, settings.log.format)
        self.assertEqual(folder.path / "events", settings.timeline.file)
        self.assertIsNone(settings.tls)
        self.assertNotIn(KEY, repr(settings))

    def test_one_role(self) -> None:
        text = HEAD.replace('"entry", "control"', '"entry"') + ENTRY
        self.assertIsNone(Folder(self, text).load().control)


class EntryLimitsTest(testtools.TestCase):
    """Limits in the settings must reach the entry process, which otherwise uses its defaults."""

    scenarios = [
        ("default", {"lines": "", "expected": EntryLimits()}),
        ("body", {"lines": "limits.body_bytes = 2048", "expected": EntryLimits(body_bytes=2048)}),
        (
            "answer",
            {"lines": "limits.answer_bytes = 4096", "expected": EntryLimits(answer_bytes=4096)},
        ),
    ]

    def test_passed(self) -> None:
        folder = Folder(self, VALID.replace("[entry]", f"[entry]\n{self.lines}"))
        self.assertEqual(self.expected, entry_settings(folder.load()).entry.limits)


class InvalidSettingsTest(testtools.TestCase):
    """An invalid value is reported with its key, its value and the allowed values."""

    scenarios = [
        (
            name,
            {"old": old, "new": new, "key": key, "value": value, "allowed": allowed},
        )
        for name, old, new, key, value, allowed in [
            ("no name", 'name = "entry-1"', "", "name", "missing", "1 to 64 letters"),
            ("bad name", '"entry-1"', '"a b"', "name", "'a b'", "1 to 64 letters"),
            ("unknown role", '"entry", "c', '"gate", "c', "roles", "['gate'", "'entry', 'control'"),
            ("same role", '"control"]', '"control", "entry"]', "roles", "['entry'", "different"),
            ("unknown key", 'name = "e', 'colour = 1\nname = "e', "colour", "1", "not a key"),
            ("host name", '"127.0.0.1:8080"', '"localhost:80"', "entry.callers", "'loc", "IP:PORT"),
            ("bad port", ":8080", ":80800", "entry.callers", "'127.0.0.1:80800'", "0 to 65535"),
            ("no port", "0.0.2:7000", "0.0.2", "entry.peers", "['127.0.0.2']", "IP:PORT"),
            ("own address", "0.0.2:7000", "0.0.1:7000", "entry.peers", "['127", "without the own"),
            ("no control", '["127.0.0.1:7100"]', "[]", "entry.control", "[]", "at least 1"),
            ("same address", ":8081", ":8080", "entry.targets", "'127", "entry.callers has it"),
            ("text for number", "[entry]", "[entry]\nlimits.body_bytes = '9'",
             "entry.limits.body_bytes", "'9'", "from 1024 to 16777216"),
            ("true for number", "[entry]", "[entry]\nlimits.answer_bytes = true",
             "entry.limits.answer_bytes", "True", "from 1024 to 268435456"),
            ("unsupported limit", "[entry]", "[entry]\nlimits.queued = 9",
             "entry.limits.queued", "", ""),
            ("too large", "[entry]", "[entry]\nlimits.body_bytes = 99999999",
             "entry.limits.body_bytes", "99999999", "from 1024"),
            ("no members", "[[control.members]]", "[[control.voters]]", "control.members",
             "missing", "at least one table"),
            ("peer not in members", 'address = "127.0.0.1:7100"', 'address = "127.0.0.9:7100"',
             "control.peer", "'127.0.0.1:7100'", "'127.0.0.9:7100', the address of 'r1'"),
            ("wrong data centre", 'data_centre = "east"\nroles', 'data_centre = "west"\nroles',
             "data_centre", "'west'", "the data centre of 'r1' in control.members"),
            ("password in URL", "http://127", "http://u:p@127", "control.platform", "'http",
             "without a user or password"),
            ("no key", '"peers.key"', '"absent.key"', "peers.key_file", "'absent.key'", "0600"),
            ("no table", ENTRY, "", "entry", "missing", "a table"),
            ("log level", "[peers]", '[log]\nlevel = "loud"\n[peers]', "log.level", "'loud'",
             "'debug', 'info', 'warning', 'error'"),
            ("capacity", "[peers]", "[timeline]\ncapacity = 0\n[peers]", "timeline.capacity", "0",
             "from 16"),
            ("tls without key", "[peers]", '[tls]\ncertificate = "peers.key"\n[peers]', "tls.key",
             "missing", "a path"),
            ("not TOML", "name =", "name", "the file", "damaged", "a TOML file in UTF-8"),
        ]
    ]  # fmt: skip

    def test_refused(self) -> None:
        self.assertIn(self.old, VALID)
        folder = Folder(self, VALID.replace(self.old, self.new, 1))
        error = self.assertRaises(SettingsError, folder.load)
        found = {problem.key: problem for problem in error.problems}
        self.assertIn(self.key, found)
        self.assertTrue(found[self.key].value.startswith(self.value), found[self.key].value)
        self.assertIn(self.allowed, found[self.key].allowed)
        self.assertIn(str(folder.settings), str(error))


class PrivateFileTest(testtools.TestCase):
    """A malformed key or tokens file, or one that others can read, is refused and not shown."""

    scenarios = [
        ("key readable by group", {"name": "peers.key", "text": KEY, "mode": 0o640}),
        ("key readable by others", {"name": "peers.key", "text": KEY, "mode": 0o644}),
        ("executable key", {"name": "peers.key", "text": KEY, "mode": 0o700}),
        ("read-only key", {"name": "peers.key", "text": KEY, "mode": 0o400}),
        ("short key", {"name": "peers.key", "text": "short-secret", "mode": 0o600}),
        ("tokens readable by others", {"name": "tokens", "text": TOKENS, "mode": 0o604}),
        ("bad token line", {"name": "tokens", "text": "ann plain-secret", "mode": 0o600}),
        ("no token", {"name": "tokens", "text": "# none\n", "mode": 0o600}),
        ("duplicate name", {"name": "tokens", "text": TOKENS + "ann " + "b" * 64, "mode": 0o600}),
    ]

    def test_refused(self) -> None:
        folder = Folder(self, VALID)
        folder.private(self.name, self.text, self.mode)
        error = self.assertRaises(SettingsError, folder.load)
        self.assertEqual(1, len(error.problems), error)
        self.assertIn(self.name, error.problems[0].value)
        for secret in (KEY, "short-secret", "plain-secret", "a" * 64):
            self.assertNotIn(secret, str(error))


class MainTest(testtools.TestCase):
    """All problems are reported at once with exit status 2, and nothing is started."""

    scenarios = [
        ("correct", {"text": VALID, "status": 0, "keys": ["correct"]}),
        (
            "several problems",
            {
                "text": VALID.replace("8080", "x").replace('"r1"', '"r 1"', 1).replace("[p", "[q"),
                "status": 2,
                "keys": ["entry.callers is", "control.replica is", "peers is missing", "qeers is"],
            },
        ),
    ]

    def test_check(self) -> None:
        folder = Folder(self, self.text)
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            status = main(["--settings", str(folder.settings), "--check"])
        self.assertEqual(self.status, status)
        for key in self.keys:
            self.assertIn(key, output.getvalue())
        self.assertFalse((folder.path / "data").exists())
