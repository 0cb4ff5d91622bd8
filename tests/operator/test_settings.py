"""Guards against a token that other users can read, and a wrong endpoint that is accepted."""

import os
import tempfile
from pathlib import Path

import testtools
from marigolddoor_operator.errors import OperatorSettingsError
from marigolddoor_operator.settings import SETTINGS_VARIABLE, load_operator_settings

VALID_SETTINGS = 'endpoints = ["http://127.0.0.1:7200/"]\ntoken_file = "token"\n'


class OperatorSettingsTest(testtools.TestCase):
    """Guards against a file that overrides options, a fault left out and a token that is shown."""

    scenarios = [
        (name, {"text": text, "mode": mode, "options": options, "problems": problems})
        for name, text, mode, options, problems in [
            ("good", VALID_SETTINGS, 0o600, [], []),
            ("option first", VALID_SETTINGS, 0o600, ["https://127.0.0.2:1"], []),
            ("open token", VALID_SETTINGS, 0o640, [], ["has mode 0640"]),
            ("no endpoint", 'token_file = "token"', 0o600, [], ["no endpoint"]),
            ("no token", 'endpoints = ["http://h:1"]', 0o600, [], ["no token"]),
            ("unknown key", "colour = 1\n" + VALID_SETTINGS, 0o600, [], ["colour is not a key"]),
            ("no scheme", VALID_SETTINGS.replace("http://", ""), 0o600, [], ["endpoint '127"]),
            ("path", VALID_SETTINGS.replace('/"', '/v1"'), 0o600, [], ["endpoint 'http"]),
            ("timeout", VALID_SETTINGS + "timeout_s = 0", 0o600, [], ["timeout_s is 0"]),
            ("authority", VALID_SETTINGS + 'authority = "absent"', 0o600, [], ["authority is"]),
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
