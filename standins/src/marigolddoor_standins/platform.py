"""A stand-in for the platform that reboots the VMs of this process."""

import json
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup, TaskStatus

from marigolddoor_standins.http_server import (
    Receive,
    Request,
    Send,
    read_body,
    respond,
    serve_http,
)
from marigolddoor_standins.target import Target

__all__ = ["Platform"]


@dataclass
class Platform:
    """The platform's HTTP interface over the targets of this process.

    `POST /vms/VM/reboot` with an `Idempotency-Key` reboots a VM once for each key. If `refuse` is
    set, it answers 503, like a platform that is unavailable.
    """

    targets: dict[str, Target]
    refuse: bool = False
    served: set[str] = field(default_factory=set)
    group: TaskGroup | None = None

    async def run(self, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; report the base URL."""
        async with anyio.create_task_group() as group:
            self.group = group
            address = await group.start(serve_http, self.application)
            task_status.started(f"http://{address}")

    async def application(self, scope: Request, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        await read_body(receive)
        parts = scope["path"].strip("/").split("/")
        if self.refuse:
            await respond(send, 503)
            return
        if len(parts) != 3 or parts[0] != "vms" or parts[2] != "reboot":
            await respond(send, 404)
            return
        target = self.targets.get(parts[1])
        if target is None:
            await respond(send, 404, json.dumps({"error": "unknown VM"}).encode())
            return
        headers = {key.decode().lower(): value.decode() for key, value in scope["headers"]}
        self._reboot_once(target, headers.get("idempotency-key", ""))
        await respond(send, 202)

    def _reboot_once(self, target: Target, key: str) -> None:
        if key in self.served:
            return
        self.served.add(key)
        assert self.group is not None
        self.group.start_soon(target.reboot)
