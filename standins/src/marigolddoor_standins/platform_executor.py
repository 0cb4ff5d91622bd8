"""A stand-in executor of the users' platform: runs tasks under leases and sends heartbeats.

It implements the platform's published protocol and shares no code with the adapter, so that tests
detect wrong translations.
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
MAX_LEASE_MS = 6000
CALL_TIMEOUT_S = 1.0


@dataclass
class RunLedger:
    """Starts and ends of tasks on all executors, and tasks that ran twice at the same time."""

    running: dict[str, str] = field(default_factory=dict)
    starts: list[str] = field(default_factory=list)
    ends: list[tuple[str, str]] = field(default_factory=list)
    double_runs: list[str] = field(default_factory=list)

    def record_start(self, task: str, executor: str) -> None:
        """Record a start; detect a second concurrent run of the task."""
        self.starts.append(task)
        if task in self.running:
            self.double_runs.append(task)
        self.running[task] = executor

    def record_end(self, task: str, outcome: str) -> None:
        """Record an end."""
        self.running.pop(task, None)
        self.ends.append((task, outcome))


@dataclass
class _Run:
    number: int
    ends_at: float
    percent: int = 0


class PlatformExecutor:
    """One executor with 16 cores. The payload of a task is its duration in seconds."""

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
        self.finished_count = 0
        self.has_ended = False
        self.deadline_ms = 0
        self.acknowledged: list[int] = []
        self.changed = anyio.Event()

    def clock_ms(self) -> int:
        """Return the monotonic clock in ms, offset by 1 s."""
        return int(time.monotonic() * 1000) + 1000

    async def run(self) -> None:
        """Serve and send heartbeats until cancelled; runs that are active then are lost."""
        async with anyio.create_task_group() as group:
            self.address = await group.start(serve_http, self._serve)
            group.start_soon(self._end_runs)
            try:
                await self._send_heartbeats()
            finally:
                self._stop_all()

    def _stop_all(self) -> None:
        """End all runs immediately, before the listener has closed."""
        self.has_ended = True
        for task in self.runs:
            self.ledger.record_end(task, "lost")
        self.runs.clear()

    async def _send_heartbeats(self) -> None:
        async with httpx.AsyncClient(follow_redirects=True, timeout=CALL_TIMEOUT_S) as client:
            while True:
                self.sequence += 1
                for control in list(self.control):
                    if await self._send_heartbeat(client, control):
                        break
                await anyio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self, client: httpx.AsyncClient, control: str) -> bool:
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
        leader_address = answer.json().get("heartbeat-address")
        if leader_address in self.control:
            self.control.remove(leader_address)
            self.control.insert(0, leader_address)
        return True

    async def _end_runs(self) -> None:
        while True:
            await anyio.sleep(0.02)
            now = time.monotonic()
            is_lease_expired = bool(self.runs) and self.clock_ms() > self.deadline_ms
            for task, run in list(self.runs.items()):
                if is_lease_expired:
                    self._end(task, "lapsed")
                elif now >= run.ends_at:
                    self._end(task, "done")

    def _end(self, task: str, outcome: str) -> None:
        run = self.runs.pop(task)
        self.ledger.record_end(task, outcome)
        self.finished_count += 1
        self.finished.append([self.finished_count, task, run.number, outcome, ""])
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
        if not self.has_ended:
            status, answer = await self._answer(scope["path"], body)
        if self.has_ended:
            # The listener aborts the call when it closes.
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

    def _extend_lease(self, deadline_ms: int) -> None:
        max_deadline_ms = self.clock_ms() + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, max_deadline_ms))

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, number = body["task"], body["run"]
        if body["deadline-ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if run is not None or number <= self.stopped.get(task, 0):
            return 409, {"reason": "old"}
        self._extend_lease(body["deadline-ms"])
        self.runs[task] = _Run(number, time.monotonic() + float(body["spec"]))
        self.ledger.record_start(task, self.name)
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> dict[str, Any]:
        self.finished = [row for row in self.finished if row[0] > body["last-seen"]]
        self._extend_lease(body.get("deadline-ms", 0))
        if not self.finished:
            with anyio.move_on_after(body.get("wait-ms", 0) / 1000):
                await self.changed.wait()
        return {
            "running": [[task, run.number, "", run.percent] for task, run in self.runs.items()],
            "finished": self.finished[:500],
        }
