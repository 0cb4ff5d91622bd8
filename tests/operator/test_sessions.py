"""Guards against an unintended change of the printed output or of an exit code."""

import testtools

from tests.operator.sessions import GOLDEN, SESSIONS, run_session


class SessionTest(testtools.TestCase):
    """Compares a session with its golden file, which `tools/renew_golden.py` renews."""

    scenarios = [(session.name, {"session": session}) for session in SESSIONS]

    def test_transcript(self) -> None:
        golden = (GOLDEN / f"{self.session.name}.txt").read_text()
        self.assertEqual(golden, run_session(self.session))
