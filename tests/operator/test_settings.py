"""Guards against calls with a token that others can read, or to an address that was misread."""

import os
import tempfile
from pathlib import Path

import testtools
from marigolddoor_operator.errors import OperatorSettingsError
from marigolddoor_operator.settings import SETTINGS_VARIABLE, load_operator_settings

GOOD = 'endpoints = ["http://127.0.0.1:7200/"]\ntoken_file = "token"\n'


class OperatorSettingsTest(testtools.TestCase):
    """Options come before the file, and every problem is named without the token."""

    scenarios = [
        (name, {"text": text, "mode": mode, "options": options, "problems": problems})
        for name, text, mode, options, problems in [
            ("good", GOOD, 0o600, [], []),
            ("option first", GOOD, 0o600, ["https://127.0.0.2:1"], []),
            ("open token", GOOD, 0o640, [], ["has mode 0640"]),
            ("no endpoint", 'token_file = "token"', 0o600, [], ["no endpoint"]),
            ("no token", 'endpoints = ["http://h:1"]', 0o600, [], ["no token"]),
            ("unknown key", "colour = 1\n" + GOOD, 0o600, [], ["colour is not a key"]),
            ("no scheme", GOOD.replace("http://", ""), 0o600, [], ["endpoint '127"]),
            ("path", GOOD.replace('/"', '/v1"'), 0o600, [], ["endpoint 'http"]),
            ("timeout", GOOD + "timeout_s = 0", 0o600, [], ["timeout_s is 0"]),
            ("authority", GOOD + 'authority = "absent"', 0o600, [], ["authority is"]),
            ("several", "timeout_s = true", 0o600, [], ["no endpoint", "no token", "timeout_s"]),
            ("not TOML", "endpoints", 0o600, [], ["not TOML"]),
        ]
    ]

    def test_load(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "operator.toml").write_text(self.text)
            (folder / "token").write_text("secret-token\n")
            os.chmod(folder / "token", self.mode)
            variables = {SETTINGS_VARIABLE: str(folder / "operator.toml")}
            if not self.problems:
                settings = load_operator_settings(None, self.options, None, variables)
                expected = tuple(self.options) or ("http://127.0.0.1:7200",)
                self.assertEqual((expected, "secret-token"), (settings.endpoints, settings.token))
                self.assertNotIn("secret-token", repr(settings))
                return
            error = self.assertRaises(
                OperatorSettingsError, load_operator_settings, None, self.options, None, variables
            )
            self.assertEqual(len(self.problems), len(error.problems), error.problems)
            for expected, found in zip(self.problems, error.problems, strict=True):
                self.assertIn(expected, found)
                self.assertNotIn("secret-token", found)
