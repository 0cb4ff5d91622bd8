"""Guards against orders that are sent after the leadership that decided them has ended."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import testtools
from marigolddoor_control.fleet.ports import HoldRequest, NoAnswerError, StartRequest
from marigolddoor_core.dispatch import executor_token
from marigolddoor_core.ids import FencingToken, MachineId, RunNumber, ServiceId, TaskName, WaveId
from marigolddoor_platform.executors import HttpExecutors
from marigolddoor_platform.machines import HttpMachines
from marigolddoor_wire.http_client import HttpPool
from marigolddoor_wire.peers import Address

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import Log

TOKEN = FencingToken(7)
# The token of calls to an executor that had one earlier incarnation.
CALL_TOKEN = executor_token(TOKEN, 1)
TASK = TaskName("j.0.0.0")
Send = Callable[[HttpExecutors, HttpMachines, Any], Awaitable[Any]]


async def start(executors: HttpExecutors, machines: HttpMachines, executor: Any) -> None:
    await executors.start(executor, StartRequest(TASK, RunNumber(1), "", "", 5000, CALL_TOKEN, ""))


async def stop(executors: HttpExecutors, machines: HttpMachines, executor: Any) -> None:
    await executors.stop(executor, TASK, RunNumber(1), CALL_TOKEN)


async def hold(executors: HttpExecutors, machines: HttpMachines, executor: Any) -> None:
    await executors.hold(executor, HoldRequest(5000, 0, 0.0, CALL_TOKEN))


async def pace(executors: HttpExecutors, machines: HttpMachines, executor: Any) -> None:
    await executors.pace(executor, TASK, RunNumber(1), 50, CALL_TOKEN)


async def move(executors: HttpExecutors, machines: HttpMachines, executor: Any) -> None:
    await machines.move(MachineId("m-1"), ServiceId("desk"), TOKEN)


async def maintain(executors: HttpExecutors, machines: HttpMachines, executor: Any) -> None:
    await machines.begin_maintenance(MachineId("m-1"), WaveId(1), TOKEN)


class PermissionTest(testtools.TestCase):
    """Each order is sent only if the leadership with its token holds its lease at that moment."""

    scenarios = [
        (f"{order.__name__}, {name}", {"order": order, "valid": valid, "is_sent": is_sent})
        for order in (start, stop, hold, pace, move, maintain)
        for name, valid, is_sent in (
            ("same token", {TOKEN}, True),
            ("later token of this process", {FencingToken(8)}, False),
            ("no lease", set(), False),
        )
    ]

    def test_sent(self) -> None:
        async def run() -> None:
            requests: list[bytes] = []

            async def serve(stream: Any) -> None:
                async with stream:
                    requests.append(await stream.receive())
                    await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            address = Address(f"127.0.0.1:{port}")
            executor = Fleet(Log()).executor(1, address=address)
            async with listener, anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                pool = HttpPool(4)
                executors = HttpExecutors(pool, self.valid.__contains__)
                machines = HttpMachines(pool, address, "holder", self.valid.__contains__)
                try:
                    await self.order(executors, machines, executor)
                except NoAnswerError:
                    # An answer of {} to a hold is unreadable.
                    self.assertTrue(not self.is_sent or self.order is hold)
                await pool.forget(address)
                group.cancel_scope.cancel()
            self.assertEqual(self.is_sent, bool(requests))

        anyio.run(run)
