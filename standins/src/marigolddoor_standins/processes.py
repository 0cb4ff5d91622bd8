"""Controls real processes of a local system, for tests and the bench."""

import signal
import sys
from types import TracebackType

import anyio
from anyio.abc import Process

from marigolddoor_standins.folders import ProcessFiles

__all__ = ["DaemonProcesses"]

STOP_TIMEOUT_S = 15.0
LISTEN_TIMEOUT_S = 20.0
DAEMON = [sys.executable, "-m", "marigolddoor_daemon.main", "--settings"]


class DaemonProcesses:
    """Runs `marigolddoord` processes; all of them are killed when the context ends."""

    def __init__(self) -> None:
        self.running: dict[str, Process] = {}

    async def __aenter__(self) -> "DaemonProcesses":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with anyio.CancelScope(shield=True):
            for name in list(self.running):
                await self.kill(name)

    async def start(self, files: ProcessFiles) -> None:
        """Start a process and wait until it listens on its first address.

        Raises:
          TimeoutError: the process does not listen within `LISTEN_TIMEOUT_S`.
        """
        self.running[files.name] = await anyio.open_process(
            [*DAEMON, str(files.settings)], stdout=None, stderr=None
        )
        host, _, port = (files.callers or files.operators).rpartition(":")
        with anyio.fail_after(LISTEN_TIMEOUT_S):
            while True:
                try:
                    stream = await anyio.connect_tcp(host, int(port))
                except OSError:
                    await anyio.sleep(0.05)
                    continue
                await stream.aclose()
                return

    async def stop(self, name: str) -> int:
        """Request a graceful stop and return the exit status."""
        process = self.running.pop(name)
        process.terminate()
        with anyio.fail_after(STOP_TIMEOUT_S):
            return await process.wait()

    async def kill(self, name: str) -> None:
        """Kill a process without a chance to clean up."""
        process = self.running.pop(name)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        await process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP, like a frozen VM."""
        self.running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.running[name].send_signal(signal.SIGCONT)

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self.running[name].pid
