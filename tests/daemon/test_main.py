"""Guards against a daemon that ignores signals, or does not report why a role failed."""

import io
import os
import signal
import tempfile
from pathlib import Path
from typing import Any

import anyio
import testtools
from loguru import logger
from marigolddoor_core.errors import UnavailableError
from marigolddoor_daemon import main as daemon
from marigolddoor_daemon import roles
from marigolddoor_daemon.settings import Role, Settings

from tests.daemon.test_settings import ENTRY, HEAD, Folder

ONE_ROLE = HEAD.replace('"entry", "control"', '"entry"') + ENTRY


async def stop_on_signal(settings: Settings, stopping: anyio.Event) -> None:
    """Send SIGTERM to this process, as an operator does, and wait for the event."""
    os.kill(os.getpid(), signal.SIGTERM)
    await stopping.wait()


async def ignore_the_first_signal(settings: Settings, stopping: anyio.Event) -> None:
    """Keep running after the first signal, so that only a second one ends the role."""
    await stop_on_signal(settings, stopping)
    os.kill(os.getpid(), signal.SIGTERM)
    await anyio.sleep_forever()


async def fail(settings: Settings, stopping: anyio.Event) -> None:
    """Fail like a role whose address is in use."""
    raise OSError(98, "address already in use")


async def fail_typed(settings: Settings, stopping: anyio.Event) -> None:
    """Fail with an error of marigolddoor."""
    raise UnavailableError("no disk")


class MainTest(testtools.TestCase):
    """The exit status and the log report how the roles ended."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("signal", {"runners": {Role.ENTRY: stop_on_signal}, "status": 0, "log": "SIGTERM"}),
        (
            "second signal",
            {"runners": {Role.ENTRY: ignore_the_first_signal}, "status": 0, "log": "stopped"},
        ),
        ("address in use", {"runners": {Role.ENTRY: fail}, "status": 1, "log": "already in use"}),
        ("typed error", {"runners": {Role.ENTRY: fail_typed}, "status": 1, "log": "no disk"}),
    ]

    def test_main(self) -> None:
        folder = Folder(self, ONE_ROLE)
        self.patch(roles, "RUNNERS", self.runners)
        stream = io.StringIO()
        self.patch(daemon.sys, "stderr", stream)
        self.addCleanup(logger.remove)
        self.assertEqual(self.status, daemon.main(["--settings", str(folder.settings)]))
        self.assertIn(self.log, stream.getvalue())


class RunnersTest(testtools.TestCase):
    """Each role that settings may name has a runner; without one it would fail at start."""

    scenarios = [(role.value, {"role": role}) for role in Role]

    def test_runner(self) -> None:
        self.assertIn(self.role, roles.RUNNERS)


class MissingSettingsTest(testtools.TestCase):
    """The error for a missing settings file names the file."""

    def test_main(self) -> None:
        stream = io.StringIO()
        self.patch(daemon.sys, "stderr", stream)
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "absent.toml"
            self.assertEqual(2, daemon.main(["--settings", str(path)]))
        self.assertIn(f"{path}: the file is unreadable", stream.getvalue())
