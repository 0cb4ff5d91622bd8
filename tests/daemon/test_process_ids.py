"""Guards against two processes, or two starts of one, whose events share their ids."""

import testtools
from marigolddoor_daemon.process_ids import new_process_id
from marigolddoor_daemon.settings import Role

from tests.daemon.test_settings import GOOD, Folder


class ProcessIdTest(testtools.TestCase):
    """Each start and each role has its own id, which begins with the name of the process."""

    def test_different(self) -> None:
        settings = Folder(self, GOOD).load()
        ids = [new_process_id(settings, role) for role in (*Role, *Role)]
        self.assertEqual(4, len(set(ids)))
        for process in ids:
            self.assertTrue(process.startswith(settings.name))
