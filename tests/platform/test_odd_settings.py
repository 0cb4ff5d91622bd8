"""Guards against a settings file that ends the process that reloads it while it runs."""

import random
import tempfile
from pathlib import Path

import anyio
import testtools
from marigolddoor_entry.queue_gateway import QueueGateway
from marigolddoor_platform.errors import InvalidSettingsError
from marigolddoor_platform.main import reload_seeds
from marigolddoor_platform.settings import parse_settings, read_settings
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.peers import PeerPool

from tests.platform.odd_documents import ODD_ADDRESSES
from tests.platform.test_settings import settings_text

ODD_NUMBERS = ("nan", "inf", "1e999", "-1", "\u0661", "9" * 5000, "1" + "0" * 400, "")
ODD_TEXTS = [
    *(
        (f"seeds={address!r}"[:40], settings_text(seeds=address))
        for address in ODD_ADDRESSES[:-3]
        if address[-2:] != ":0"
    ),
    *((f"lease={number}"[:40], settings_text(bounds__lease_ms=number)) for number in ODD_NUMBERS),
    *((f"losses={n}"[:40], settings_text(fault_tolerance__machines=n)) for n in ODD_NUMBERS),
    *(
        (f"ports={n}"[:40], settings_text(internal_port_range=n))
        for n in ("99999,99999", "-1,5", ",")
    ),
    ("a byte that is not UTF-8", settings_text().encode() + b"\nx=\xff"),
    ("UTF-16", settings_text().encode("utf-16")),
    ("random bytes", random.Random(18).randbytes(3000)),
    ("empty", b""),
    ("cut off", settings_text()[:60]),
]


class OddFileTest(testtools.TestCase):
    """A file that can't be read in full is an error of the settings, and changes nothing."""

    scenarios = [
        (name, {"data": text if isinstance(text, bytes) else text.encode()})
        for name, text in ODD_TEXTS
    ]

    def test_not_applied(self) -> None:
        async def run() -> list[str]:
            with tempfile.TemporaryDirectory() as folder:
                file = Path(folder) / "settings"
                file.write_bytes(self.data)
                gateway = QueueGateway(parse_settings(settings_text()).seeds, PeerPool(KEY))
                reload_seeds(gateway, lambda: read_settings(file))
                self.assertRaises(InvalidSettingsError, read_settings, file)
                return list(gateway.search.known)

        self.assertEqual(["10.1.0.12:7060", "10.2.0.26:7060"], anyio.run(run))


KEY = SharedKey(b"k")
