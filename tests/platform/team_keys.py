"""Keys of a team that are issued and withdrawn while a system of real processes serves callers."""

import random
import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from tests.platform.processes import Connection, SystemProcesses

# The platform's bounds after the acknowledgement of a configuration: a new key works within the
# first while the machine is in contact, and a withdrawn one works nowhere after the second.
APPLY_S = 2.5
REVOKE_S = 5.0
CALL_DEADLINE_S = 1.0
PAUSE_S = 0.05
TEAM = "red"


@dataclass
class TeamKeys:
    """The keys of one team, and the faults in the answers to calls with them.

    The newest two keys are in force. `newest` stays valid during the next change.
    """

    system: SystemProcesses
    rng: random.Random
    count: int = 0
    newest: str = ""
    issued_at: dict[str, float] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    refused: int = 0
    refused_after_bound: int = 0

    async def rotate(self) -> None:
        """Issue a key and withdraw the one before the newest; return once it is acknowledged."""
        self.count += 1
        keys = [_key(number) for number in (self.count, self.count - 1) if number > 0]
        await self.system.configure([{"name": TEAM, "api-keys": keys}])
        now = time.monotonic()
        self.newest = keys[0]
        self.issued_at[self.newest] = now
        if self.count > 2:
            self.withdrawn_at[_key(self.count - 2)] = now

    async def rotate_repeatedly(self) -> None:
        """Change the keys at random intervals, until cancelled."""
        while True:
            await anyio.sleep(0.3 + self.rng.random())
            await self.rotate()

    async def check(self, host: str) -> None:
        """Call an entry process with valid, withdrawn and unknown keys, until cancelled."""
        connection: Connection | None = None
        while True:
            if connection is None:
                connection = Connection(f"http://{host}:{self.system.callers_port}")
            key = self.rng.choice([self.newest, *self.withdrawn_at, "unknown-key"])
            sent_at = time.monotonic()
            try:
                answer = await connection.call("GET", "", CALL_DEADLINE_S, key=key)
            except httpx.HTTPError:
                answer = None
            if answer is None or answer.headers.get("connection") == "close":
                await connection.client.aclose()
                connection = None
            if answer is not None:
                self._judge(key, answer.status_code, sent_at, host)
            await anyio.sleep(PAUSE_S)

    def _judge(self, key: str, status: int, sent_at: float, host: str) -> None:
        now = time.monotonic()
        since_s = now - self.withdrawn_at.get(key, now)
        if status == 200 and (key not in self.issued_at or since_s > REVOKE_S):
            self.faults.append(f"{host} answered {status} to {key}, withdrawn {since_s:.2f} s ago")
        if status == 401 and key == self.newest and sent_at > self.issued_at[key] + APPLY_S:
            self.faults.append(f"{host} refused {key}, which is in force")
        self.refused += status == 401
        self.refused_after_bound += status == 401 and since_s > REVOKE_S


def _key(number: int) -> str:
    return f"secret-key-{number}"


def disclosures(system: SystemProcesses, pages: list[str]) -> list[str]:
    """Return the logs and pages that contain a key."""
    logs = {path.name: path.read_text("utf-8", "replace") for path in system.folder.glob("log-*")}
    texts: dict[str, Any] = {**logs, **{f"page {n}": page for n, page in enumerate(pages)}}
    return [name for name, text in texts.items() if "secret-key" in text or "unknown-key" in text]


async def metrics_pages(system: SystemProcesses) -> list[str]:
    """Return the metrics of the processes that answer."""
    pages = []
    for host in system.running:
        try:
            answer = await system.client.get(f"http://{host}:{system.metrics_port}/metrics")
        except httpx.HTTPError:
            continue
        pages.append(answer.text)
    return pages
