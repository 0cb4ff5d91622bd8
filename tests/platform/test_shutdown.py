"""Guards against an entry process that ends requests too early, or itself too late, when it stops.

Requests that waited for a leader got status 500 when the process had closed its listeners for 2 s,
although the platform waits longer for its end. Without open requests it refused callers for those
2 s for nothing.
"""

import time
from collections.abc import Callable
from typing import Any

import anyio
import httpx
import testtools
from anyio.abc import TaskGroup
from marigolddoor_platform import main
from marigolddoor_platform.settings import parse_settings
from marigolddoor_standins.loopback import free_host, free_port
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.peers import Address, PeerServer
from marigolddoor_wire.queue_messages import NotLeading

from tests.platform.test_settings import settings_text

HOST = free_host()
CONTROL_HOST = free_host()
GRACE_S = 6.0


class StoppingEntry:
    """An entry process whose control processes respond, but have no leader."""

    def __init__(self, group: TaskGroup) -> None:
        self.group = group
        self.stopping = anyio.Event()
        self.stopped = anyio.Event()
        self.peer_port = free_port()
        self.url = f"http://{HOST}:{free_port()}/tasks/{1:016x}"
        self.ready_url = f"http://{HOST}:{free_port()}/readiness"
        self.client = httpx.AsyncClient(timeout=30.0)

    async def start(self) -> None:
        """Start it and wait until it serves callers."""

        async def answer(_: Any) -> NotLeading:
            return NotLeading("", ())

        text = settings_text(
            ip=HOST,
            listen__control=None,
            listen__frontend=httpx.URL(self.url).netloc.decode(),
            listen__ready=httpx.URL(self.ready_url).netloc.decode(),
            internal_port_range=f"{self.peer_port},{self.peer_port}",
            metrics_port=str(free_port()),
            seeds=f"{CONTROL_HOST}:8623",
            bounds__grace_s=str(GRACE_S),
        )
        control = PeerServer(SharedKey(main.PLATFORM_KEY), answer)
        await self.group.start(control.run, Address(f"{CONTROL_HOST}:{self.peer_port}"))
        self.group.start_soon(self._run, text)
        while True:
            try:
                await self.client.get(self.ready_url)
                return
            except httpx.ConnectError:
                await anyio.sleep(0.02)

    async def _run(self, text: str) -> None:
        await main.run_entry(parse_settings(text), self.stopping)
        self.stopped.set()

    async def call(self, deadline_s: float) -> httpx.Response:
        """Send a request with a deadline."""
        headers = {"X-Deadline-Ms": str(int(deadline_s * 1000)), "Host": "queues.example"}
        return await self.client.post(self.url, content=b"{}", headers=headers)


def run_stopping_entry(scenario: Callable[[StoppingEntry], Any]) -> None:
    async def run() -> None:
        with anyio.fail_after(30):
            async with anyio.create_task_group() as group:
                entry = StoppingEntry(group)
                await entry.start()
                await scenario(entry)
                await entry.client.aclose()
                group.cancel_scope.cancel()

    anyio.run(run)


class OpenRequestTest(testtools.TestCase):
    """A request that is open while the process stops is answered, and its connection is closed.

    `at_s` is the time from the signal until the request is sent, `deadline_s` how long its caller
    waits.
    """

    scenarios = [
        ("sent just before the listener closes", {"at_s": 2.0, "deadline_s": 3.0}),
        ("sent just before the signal", {"at_s": -0.3, "deadline_s": 3.0}),
        ("its caller waits beyond the end of the process", {"at_s": -0.3, "deadline_s": 20.0}),
        ("sent between the signal and the end of the listener", {"at_s": 0.3, "deadline_s": 3.0}),
    ]

    def test_answer(self) -> None:
        async def scenario(entry: StoppingEntry) -> None:
            answers: list[httpx.Response] = []

            async def call() -> None:
                answers.append(await entry.call(self.deadline_s))

            async with anyio.create_task_group() as callers:
                if self.at_s < 0:
                    callers.start_soon(call)
                    await anyio.sleep(-self.at_s)
                entry.stopping.set()
                signalled_at = time.monotonic()
                if self.at_s >= 0:
                    await anyio.sleep(self.at_s)
                    callers.start_soon(call)
            self.assertEqual([503], [answer.status_code for answer in answers])
            self.assertEqual("close", answers[0].headers.get("connection"))
            await entry.stopped.wait()
            self.assertThat(time.monotonic() - signalled_at, testtools.matchers.LessThan(GRACE_S))

        run_stopping_entry(scenario)


class ShutdownTimeTest(testtools.TestCase):
    """Callers can't connect while a stopping process has closed its listeners but has not ended."""

    def test_idle(self) -> None:
        async def scenario(entry: StoppingEntry) -> None:
            entry.stopping.set()
            signalled_at = time.monotonic()
            await entry.stopped.wait()
            took_s = time.monotonic() - signalled_at
            # Open requests would get `GRACEFUL_S` or more on top; there is none.
            self.assertTrue(took_s < main.READINESS_LAG_S + main.GRACEFUL_S, f"{took_s} s")

        run_stopping_entry(scenario)
