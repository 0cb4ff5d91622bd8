"""Guards against a tokens file that is read partially, and against errors that show a token."""

import hashlib

import testtools
from marigolddoor_control.operators import TokenFileError, parse_tokens

DIGEST = hashlib.sha256(b"secret").hexdigest()
OTHER = hashlib.sha256(b"other").hexdigest()


class TokenTest(testtools.TestCase):
    """A token identifies only the operator on its line."""

    scenarios = [
        ("first", {"token": "secret", "operator": "ann"}),
        ("last", {"token": "other", "operator": "ben"}),
        ("unknown", {"token": "Secret", "operator": None}),
        ("the hash", {"token": DIGEST, "operator": None}),
        ("empty", {"token": "", "operator": None}),
    ]

    def test_operator(self) -> None:
        tokens = parse_tokens(f"# operators\nann {DIGEST}\n\nben {OTHER}\n")
        self.assertEqual(self.operator, tokens.operator_of(self.token))
        self.assertNotIn(DIGEST, repr(tokens.entries))


class TokenFileTest(testtools.TestCase):
    """An error gives the number of every invalid line, without its text."""

    scenarios = [
        ("plain token", {"text": "ann secret", "problem": "line 1 is not NAME SHA256"}),
        ("upper case", {"text": f"ann {DIGEST.upper()}", "problem": "line 1 is not"}),
        ("no name", {"text": f"\n{DIGEST}", "problem": "line 2 is not"}),
        ("name twice", {"text": f"a {DIGEST}\na {OTHER}", "problem": "line 2 repeats the name"}),
        ("token twice", {"text": f"a {DIGEST}\nb {DIGEST}", "problem": "line 2 repeats a token"}),
        ("empty", {"text": "# nobody\n", "problem": "there is no token"}),
    ]

    def test_refused(self) -> None:
        error = self.assertRaises(TokenFileError, parse_tokens, self.text)
        self.assertIn(self.problem, str(error))
        self.assertNotIn("secret", str(error))
        self.assertNotIn(DIGEST, str(error).lower())
