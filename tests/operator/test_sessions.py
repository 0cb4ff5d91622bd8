"""Guards against a change of what operators see or of an exit code that nobody noticed."""

import testtools

from tests.operator.sessions import GOLDEN, SESSIONS, play


class SessionTest(testtools.TestCase):
    """A session gives the transcript in its golden file; `tools/renew_golden.py` renews it."""

    scenarios = [(session.name, {"session": session}) for session in SESSIONS]

    def test_transcript(self) -> None:
        golden = (GOLDEN / f"{self.session.name}.txt").read_text()
        self.assertEqual(golden, play(self.session))
