"""Guards against a system that works over TLS only until somebody turns it on.

One process with both roles runs on certificates of an authority; strangers to it are refused.
"""

import ssl
import tempfile
from pathlib import Path
from typing import Any

import anyio
import httpx
import testtools
import trustme
from marigolddoor_daemon.roles import run_roles
from marigolddoor_daemon.settings import load_settings
from marigolddoor_standins.folders import TOKEN, SystemFolder
from marigolddoor_wire.errors import PeerUnreachableError
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.messages import AskProcesses, ProcessesReply
from marigolddoor_wire.peers import Address, PeerPool

TEST_TIMEOUT_S = 60.0
OWN, STRANGER = trustme.CA(), trustme.CA()


def client_context(trusted: trustme.CA, signed_by: trustme.CA | None) -> ssl.SSLContext:
    """Return the side of a client; without `signed_by` it shows no certificate."""
    context = ssl.create_default_context()
    trusted.configure_trust(context)
    context.check_hostname = False
    if signed_by is not None:
        signed_by.issue_cert("127.0.0.1").configure_cert(context)
    return context


class TlsTest(testtools.TestCase):
    """Only a peer with a certificate of the authority and the shared key gets an answer."""

    scenarios = [
        ("a peer of the system", {"trusted": OWN, "signed_by": OWN, "error": None}),
        ("no certificate", {"trusted": OWN, "signed_by": None, "error": PeerUnreachableError}),
        ("a stranger", {"trusted": OWN, "signed_by": STRANGER, "error": PeerUnreachableError}),
        (
            "the wrong server",
            {"trusted": STRANGER, "signed_by": OWN, "error": PeerUnreachableError},
        ),
        ("not over TLS", {"trusted": None, "signed_by": None, "error": PeerUnreachableError}),
    ]

    def test_peers_and_operators(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            anyio.run(self.run_system, Path(name))

    async def run_system(self, path: Path) -> None:
        folder = SystemFolder(path, data_centres=1, entries=1, embedded=True, log_level="error")
        files = folder.entries[0]
        _add_certificates(files.settings)
        stopping = anyio.Event()
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(run_roles, load_settings(files.settings), stopping)
                await self.check_operators(files.operators)
                secret = (path / "peers.key").read_bytes()
                address = folder.control_addresses["dc0"][0]
                await self.check_peer(SharedKey(secret), Address(address))
                stopping.set()

    async def check_operators(self, operators: str) -> None:
        """Wait until the operators' HTTP shows the leader; an untrusted server is refused."""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with httpx.AsyncClient(verify=client_context(OWN, None), headers=headers) as client:
            leader: Any = None
            while not leader:
                try:
                    answer = await client.get(f"https://{operators}/v1/status")
                    leader = answer.json().get("leader")
                except httpx.ConnectError:
                    await anyio.sleep(0.1)
        async with httpx.AsyncClient(verify=client_context(STRANGER, None)) as client:
            try:
                await client.get(f"https://{operators}/v1/status")
                self.fail("the certificate of another authority was accepted")
            except httpx.ConnectError:
                pass

    async def check_peer(self, key: SharedKey, address: Address) -> None:
        context = None if self.trusted is None else client_context(self.trusted, self.signed_by)
        error: type[Exception] | None = None
        async with PeerPool(key, context) as pool:
            try:
                reply = await pool.call(address, AskProcesses(), 5.0)
                self.assertIsInstance(reply, ProcessesReply)
            except PeerUnreachableError as raised:
                error = type(raised)
        self.assertEqual(self.error, error)


def _add_certificates(settings: Path) -> None:
    certificate = OWN.issue_cert("127.0.0.1")
    folder = settings.parent
    certificate.cert_chain_pems[0].write_to_path(folder / "process.pem")
    (folder / "process.key").touch(mode=0o600)
    certificate.private_key_pem.write_to_path(folder / "process.key")
    OWN.cert_pem.write_to_path(folder / "authority.pem")
    text = settings.read_text()
    tls = '[tls]\ncertificate = "process.pem"\nkey = "process.key"\nauthority = "authority.pem"\n'
    settings.write_text(text.replace("[log]", f"{tls}[log]"))
