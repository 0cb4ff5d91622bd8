"""A stand-in target: an executor with slots and a worker that runs tasks, on one VM.

It announces itself to an entry process, applies the reply, serves requests of its epoch and runs
tasks under leases. Faults can be injected while it runs.
"""

import json
import math
import secrets
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup, TaskStatus

from marigolddoor_standins.http_server import (
    Receive,
    Request,
    Send,
    read_body,
    respond,
    serve_http,
)
from marigolddoor_standins.ledger import Ledger
from marigolddoor_standins.tasks import WorkerTasks

__all__ = ["Faults", "Target", "TargetSettings"]

FIRST_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Properties of a target. `entries` are base URLs of the entry processes of its data centre."""

    vm: str
    data_centre: str
    rack: str
    entries: tuple[str, ...]
    slots: int = 8
    cores: float = 16.0
    memory_mb: int = 32_000
    accelerators: int = 0
    work_s: float = 0.02
    reboot_s: float = 0.5
    host: str = "127.0.0.1"


@dataclass(slots=True)
class Faults:
    """Injected faults of a stand-in target, all off by default."""

    unresponsive: bool = False
    fail_requests: bool = False
    slow_s: float = 0.0
    foreign_answers: bool = False
    truncate: bool = False


@dataclass(slots=True)
class Assignment:
    """The assignment in the last accepted reply."""

    pool: str | None = None
    epoch: int = 0
    drain: bool = False


@dataclass
class Target:
    """A target with injectable faults that can be rebooted and stopped."""

    settings: TargetSettings
    ledger: Ledger = field(default_factory=Ledger)

    def __post_init__(self) -> None:
        """Initialise the state of a target that has not announced itself."""
        self.faults = Faults()
        self.assignment = Assignment()
        self.incarnation = secrets.token_hex(4)
        self.address = ""
        self.busy = 0
        self.served = 0
        self.up = True
        self.leaving = False
        self.wake = anyio.Event()
        self.tasks = WorkerTasks(self.ledger, self.changed)
        self.task_group: TaskGroup | None = None

    def changed(self) -> None:
        """Announce at once, because reported state has changed."""
        self.wake.set()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve and announce until cancelled."""
        async with anyio.create_task_group() as group, httpx.AsyncClient() as client:
            self.task_group = group
            self.address = await group.start(serve_http, self.application, self.settings.host)
            task_status.started()
            await self._announce_repeatedly(client)

    async def reboot(self) -> None:
        """Stop, lose every task and the assignment, and return as a new incarnation."""
        self.ledger.reboots.append(self.settings.vm)
        self.up = False
        self.tasks.forget()
        await anyio.sleep(self.settings.reboot_s)
        self.incarnation = secrets.token_hex(4)
        self.assignment = Assignment()
        self.up = True
        self.changed()

    def is_drained(self) -> bool:
        """Return whether a drain was requested and nothing runs."""
        return self.assignment.drain and self.busy == 0 and self.tasks.running() == 0

    def announcement(self) -> dict[str, Any]:
        """Return the current announcement."""
        settings = self.settings
        return {
            "vm": settings.vm,
            "data_centre": settings.data_centre,
            "rack": settings.rack,
            "address": self.address,
            "slots": settings.slots,
            "busy_slots": self.busy,
            "capacity": {
                "cores": settings.cores,
                "memory_mb": settings.memory_mb,
                "accelerators": settings.accelerators,
            },
            "epoch": self.assignment.epoch,
            "leaving": self.leaving,
            "drained": self.is_drained(),
            "incarnation": self.incarnation,
            "tasks": self.tasks.reports(anyio.current_time()),
        }

    async def _announce_repeatedly(self, client: httpx.AsyncClient) -> None:
        interval_s = FIRST_INTERVAL_S
        while True:
            self.wake = anyio.Event()
            if self.up and not self.faults.unresponsive:
                interval_s = await self._announce(client)
            with anyio.move_on_after(interval_s):
                await self.wake.wait()

    async def _announce(self, client: httpx.AsyncClient) -> float:
        for entry in self.settings.entries:
            sent_at = anyio.current_time()
            try:
                response = await client.post(
                    f"{entry}/marigolddoor/announce",
                    json=self.announcement(),
                    timeout=ANNOUNCE_TIMEOUT_S,
                )
                response.raise_for_status()
            except httpx.HTTPError:
                continue
            return self._apply_reply(response.json(), sent_at)
        return FIRST_INTERVAL_S

    def _apply_reply(self, reply: dict[str, Any], sent_at: float) -> float:
        if reply["epoch"] >= self.assignment.epoch:
            was_draining = self.assignment.drain
            self.assignment = Assignment(reply["pool"], reply["epoch"], reply["drain"])
            if reply["drain"] and not was_draining:
                self.tasks.stop_all("checkpointed")
                self.changed()
        assert self.task_group is not None
        for order in reply["orders"]:
            self.tasks.order(self.task_group, order, sent_at)
        return float(reply["interval_s"])

    async def application(self, scope: Request, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        headers = {key.decode().lower(): value.decode() for key, value in scope["headers"]}
        if not self.up:
            await respond(send, 503, b"the VM is down")
            return
        if scope["path"] == "/marigolddoor/tasks":
            await self._handle_order(headers, body, send)
            return
        if scope["path"] == "/standin/reboot":
            assert self.task_group is not None
            self.task_group.start_soon(self.reboot)
            await respond(send, 202)
            return
        await self._execute(headers, body, send)

    async def _handle_order(self, headers: dict[str, str], body: bytes, send: Send) -> None:
        if int(headers.get("marigolddoor-epoch", "0")) != self.assignment.epoch:
            await respond(send, 409, b"another epoch", ((b"marigolddoor-outcome", b"not-run"),))
            return
        assert self.task_group is not None
        self.tasks.order(self.task_group, json.loads(body), anyio.current_time())
        await respond(send, 202)

    async def _execute(self, headers: dict[str, str], body: bytes, send: Send) -> None:
        request = headers.get("marigolddoor-request-id", "")
        not_run = (b"marigolddoor-outcome", b"not-run")
        request_id_header = (b"marigolddoor-request-id", request.encode())
        if int(headers.get("marigolddoor-epoch", "0")) != self.assignment.epoch:
            await respond(send, 409, b"another epoch", (not_run, request_id_header))
            return
        if self.assignment.drain or self.busy >= self.settings.slots:
            await respond(send, 409, b"no slot", (not_run, request_id_header))
            return
        remaining_ms = float(headers.get("marigolddoor-remaining-ms", math.inf))
        if remaining_ms <= 0:
            await respond(send, 409, b"too late", (not_run, request_id_header))
            return
        self.busy += 1
        finished = False
        try:
            await self._work(headers.get("idempotency-key", request), body, send, request_id_header)
            finished = True
        finally:
            self.busy -= 1
            self.ledger.interrupted_requests += not finished
            if self.assignment.drain and self.is_drained():
                self.changed()

    async def _work(
        self, key: str, body: bytes, send: Send, request_id_header: tuple[bytes, bytes]
    ) -> None:
        self.ledger.requests[key] += 1
        self.served += 1
        if self.faults.fail_requests:
            await respond(send, 500, b"failed", (request_id_header,))
            return
        await anyio.sleep(self.settings.work_s + self.faults.slow_s)
        if self.faults.foreign_answers:
            request_id_header = (request_id_header[0], b"another-request")
        response = json.dumps(
            {"vm": self.settings.vm, "key": key, "received_bytes": len(body)}
        ).encode()
        if self.faults.truncate:
            length = (b"content-length", str(len(response) + 10).encode())
            await send(
                {
                    "type": "http.response.start",
                    "status": 200,
                    "headers": [request_id_header, length],
                }
            )
            await send({"type": "http.response.body", "body": response})
            return
        await respond(
            send, 200, response, (request_id_header, (b"content-type", b"application/json"))
        )
