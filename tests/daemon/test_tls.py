"""Guards against a system that fails once TLS is enabled.

One process with both roles uses certificates of one authority; other certificates are refused.
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
AUTHORITY, OTHER_AUTHORITY = trustme.CA(), trustme.CA()


def client_context(trusted: trustme.CA, signed_by: trustme.CA | None) -> ssl.SSLContext:
    """Return a client context; without `signed_by` it presents no certificate."""
    context = ssl.create_default_context()
    trusted.configure_trust(context)
    context.check_hostname = False
    if signed_by is not None:
        signed_by.issue_cert("127.0.0.1").configure_cert(context)
    return context


class TlsTest(testtools.TestCase):
    """Only a peer with the shared key and a certificate of the authority gets a reply."""

    scenarios = [
        ("a peer of the system", {"trusted": AUTHORITY, "signed_by": AUTHORITY, "error": None}),
        (
            "no certificate",
            {"trusted": AUTHORITY, "signed_by": None, "error": PeerUnreachableError},
        ),
        (
            "certificate of another authority",
            {"trusted": AUTHORITY, "signed_by": OTHER_AUTHORITY, "error": PeerUnreachableError},
        ),
        (
            "untrusted server",
            {"trusted": OTHER_AUTHORITY, "signed_by": AUTHORITY, "error": PeerUnreachableError},
        ),
        ("without TLS", {"trusted": None, "signed_by": None, "error": PeerUnreachableError}),
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
        """Wait until the operators' API reports a leader; a client refuses an untrusted server."""
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with httpx.AsyncClient(
            verify=client_context(AUTHORITY, None), headers=headers
        ) as client:
            leader: Any = None
            while not leader:
                try:
                    answer = await client.get(f"https://{operators}/v1/status")
                    leader = answer.json().get("leader")
                except httpx.ConnectError:
                    await anyio.sleep(0.1)
        async with httpx.AsyncClient(verify=client_context(OTHER_AUTHORITY, None)) as client:
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
    certificate = AUTHORITY.issue_cert("127.0.0.1")
    folder = settings.parent
    certificate.cert_chain_pems[0].write_to_path(folder / "process.pem")
    (folder / "process.key").touch(mode=0o600)
    certificate.private_key_pem.write_to_path(folder / "process.key")
    AUTHORITY.cert_pem.write_to_path(folder / "authority.pem")
    text = settings.read_text()
    tls = '[tls]\ncertificate = "process.pem"\nkey = "process.key"\nauthority = "authority.pem"\n'
    settings.write_text(text.replace("[log]", f"{tls}[log]"))
