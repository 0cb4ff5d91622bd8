"""An executor of the users' platform: runs tasks under leases, and reports itself by heartbeats.

It follows the platform's published protocol and shares no code with the adapter, so that a wrong
translation shows.
"""

import json
import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from marigolddoor_standins.http_server import Receive, Request, Send, read_body, respond, serve_http

__all__ = ["PlatformExecutor", "RunLedger"]

HEARTBEAT_S = 0.3
LONGEST_LEASE_MS = 6000
CALL_TIMEOUT_S = 1.0


@dataclass
class RunLedger:
    """What all executors saw: starts and ends of each task, and tasks that ran twice at a time."""

    running: dict[str, str] = field(default_factory=dict)
    starts: list[str] = field(default_factory=list)
    ends: list[tuple[str, str]] = field(default_factory=list)
    double_runs: list[str] = field(default_factory=list)

    def started(self, task: str, executor: str) -> None:
        """Record a start."""
        self.starts.append(task)
        if task in self.running:
            self.double_runs.append(task)
        self.running[task] = executor

    def ended(self, task: str, outcome: str) -> None:
        """Record an end."""
        self.running.pop(task, None)
        self.ends.append((task, outcome))


@dataclass
class _Run:
    number: int
    ends_at: float
    percent: int = 0


class PlatformExecutor:
    """One executor with 16 cores. A task takes the seconds that its payload names."""

    def __init__(self, name: str, service: str, control: list[str], ledger: RunLedger) -> None:
        self.name = name
        self.service = service
        self.control = list(control)
        self.ledger = ledger
        self.address = ""
        self.state = "ready"
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.token = 0
        self.runs: dict[str, _Run] = {}
        self.stopped: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.count = 0
        self.is_over = False
        self.deadline_ms = 0
        self.acknowledged: list[int] = []
        self.changed = anyio.Event()

    def clock_ms(self) -> int:
        """Return the steady clock, which begins at 1 s."""
        return int(time.monotonic() * 1000) + 1000

    async def run(self) -> None:
        """Serve and report until cancelled; what runs then is gone."""
        async with anyio.create_task_group() as group:
            self.address = await group.start(serve_http, self._serve)
            group.start_soon(self._end_runs)
            try:
                await self._report()
            finally:
                self._die()

    def _die(self) -> None:
        """End everything at once, although the listener needs a moment to close."""
        self.is_over = True
        for task in self.runs:
            self.ledger.ended(task, "lost")
        self.runs.clear()

    async def _report(self) -> None:
        async with httpx.AsyncClient(follow_redirects=True, timeout=CALL_TIMEOUT_S) as client:
            while True:
                self.sequence += 1
                for control in list(self.control):
                    if await self._beat(client, control):
                        break
                await anyio.sleep(HEARTBEAT_S)

    async def _beat(self, client: httpx.AsyncClient, control: str) -> bool:
        body = {
            "service": self.service,
            "address": self.address,
            "zone": "east",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
            "labels": ["a", "r1"],
            "clock-ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
            "machine": f"m-{self.name}",
        }
        url = f"http://{control}/instances/{self.name}/heartbeat"
        try:
            answer = await client.post(url, json=body)
        except httpx.HTTPError:
            return False
        if answer.status_code != 200:
            return False
        self.acknowledged.append(self.sequence)
        better = answer.json().get("heartbeat-address")
        if better in self.control:
            self.control.remove(better)
            self.control.insert(0, better)
        return True

    async def _end_runs(self) -> None:
        while True:
            await anyio.sleep(0.02)
            now = time.monotonic()
            is_lapsed = bool(self.runs) and self.clock_ms() > self.deadline_ms
            for task, run in list(self.runs.items()):
                if is_lapsed:
                    self._end(task, "lapsed")
                elif now >= run.ends_at:
                    self._end(task, "done")

    def _end(self, task: str, outcome: str) -> None:
        run = self.runs.pop(task)
        self.ledger.ended(task, outcome)
        self.count += 1
        self.finished.append([self.count, task, run.number, outcome, ""])
        self.stopped[task] = max(run.number, self.stopped.get(task, 0))
        self.changed.set()
        self.changed = anyio.Event()

    async def _serve(self, scope: Request, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        body = json.loads(await read_body(receive) or b"{}")
        if headers.get(b"x-expected-instance", b"").decode() != self.name:
            await respond(send, 421)
            return
        if not self.is_over:
            status, answer = await self._answer(scope["path"], body)
        if self.is_over:
            # The listener ends the call when it closes.
            await anyio.sleep_forever()
        answer = {"clock-ms": self.clock_ms(), "born": self.born, **answer}
        await respond(send, status, json.dumps(answer).encode())

    async def _answer(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if body["fencing-token"] < self.token:
            return 409, {"reason": "fence"}
        self.token = body["fencing-token"]
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            self.stopped[body["task"]] = max(body["run"], self.stopped.get(body["task"], 0))
            run = self.runs.get(body["task"])
            if run is not None and run.number <= body["run"]:
                self._end(body["task"], "stopped")
            return 200, {}
        if path == "/hold":
            return 200, await self._hold(body)
        return 404, {}

    def _extend(self, deadline_ms: int) -> None:
        longest = self.clock_ms() + LONGEST_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        if body["deadline-ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if run is not None or number <= self.stopped.get(task, 0):
            return 409, {"reason": "old"}
        self._extend(body["deadline-ms"])
        self.runs[task] = _Run(number, time.monotonic() + float(body["spec"]))
        self.ledger.started(task, self.name)
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> dict[str, Any]:
        self.finished = [row for row in self.finished if row[0] > body["last-seen"]]
        self._extend(body.get("deadline-ms", 0))
        if not self.finished:
            with anyio.move_on_after(body.get("wait-ms", 0) / 1000):
                await self.changed.wait()
        return {
            "running": [[task, run.number, "", run.percent] for task, run in self.runs.items()],
            "finished": self.finished[:500],
        }
