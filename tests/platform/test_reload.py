"""Guards against an entry process that keeps using replaced control processes."""

import anyio
import testtools
from marigolddoor_entry.queue_gateway import QueueGateway
from marigolddoor_platform.errors import InvalidSettingsError
from marigolddoor_platform.main import reload_seeds
from marigolddoor_platform.settings import SiteSettings, parse_settings
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.peers import PeerPool

from tests.platform.test_settings import settings_text


def raise_settings_error() -> SiteSettings:
    raise InvalidSettingsError("seeds: no address")


class ReloadTest(testtools.TestCase):
    """New seeds are applied; a file that can't be read leaves the known ones in place."""

    scenarios = [
        (
            "other seeds",
            {
                "read": staticmethod(lambda: parse_settings(settings_text(seeds="10.9.0.1:8623"))),
                "known": ["10.1.0.12:7060", "10.2.0.26:7060", "10.9.0.1:7060"],
            },
        ),
        (
            "invalid file",
            {
                "read": staticmethod(raise_settings_error),
                "known": ["10.1.0.12:7060", "10.2.0.26:7060"],
            },
        ),
    ]

    def test_reload(self) -> None:
        async def run() -> None:
            gateway = QueueGateway(parse_settings(settings_text()).seeds, PeerPool(SharedKey(b"k")))
            reload_seeds(gateway, self.read)
            self.assertEqual(self.known, gateway.search.known)

        anyio.run(run)
