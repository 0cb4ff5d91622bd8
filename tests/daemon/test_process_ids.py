"""Guards against two processes, or two starts of one, that use the same event ids."""

import testtools
from marigolddoor_daemon.process_ids import new_process_id
from marigolddoor_daemon.settings import Role

from tests.daemon.test_settings import VALID, Folder


class ProcessIdTest(testtools.TestCase):
    """Each start and each role has a different id, which begins with the process name."""

    def test_different(self) -> None:
        settings = Folder(self, VALID).load()
        ids = [new_process_id(settings, role) for role in (*Role, *Role)]
        self.assertEqual(4, len(set(ids)))
        for process in ids:
            self.assertTrue(process.startswith(settings.name))
