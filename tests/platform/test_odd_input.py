"""Guards against one odd entry of another writer that ends or stalls the control processes."""

import json
from typing import Any

import anyio
import httpx
import testtools
from anyio.abc import SocketStream

from tests.platform.odd_documents import DEEP, ODD_ADDRESSES, odd_documents, with_value
from tests.platform.system import ENTRY_HOST, HOSTS, QUEUE_HOST, PlatformSystem, run_system
from tests.platform.test_documents import HEARTBEAT, WAVE

STEPS: list[dict[str, Any]] = [{"count": 2, "cpu": 500, "estimated-ms": 100}]
JOB = {"spec": "0.1", "steps": STEPS}
ODD_HOLD_ANSWERS = (
    b"[",
    b"[]",
    b'{"clock-ms":' + b"9" * 400 + b"}",
    b'{"clock-ms":5,"running":[["j",1e999,"",0]]}',
    b'{"clock-ms":5,"running":[[["x"],1,"",0]]}',
    b'{"clock-ms":5,"running":[["j.' + b"9" * 5000 + b'.0.0",1,"",0]]}',
    b'{"clock-ms":5,"finished":[[1,"x",1,"done",""]]}',
    b'{"clock-ms":5,"finished":[[2,"j.0.0.0",' + b"9" * 30 + b',"done",""]]}',
    b'{"clock-ms":5,"finished":[[3,"j.0.0.0",1,["done"],""]]}',
    b'{"clock-ms":5,"finished":[[4,"\\ud800.0.0.0",1,"done",""]]}',
    b'{"clock-ms":5,"finished":[[5,"j.0.0.0",1,"done",7]]}',
    DEEP.encode(),
)


async def send(system: PlatformSystem, host: str, path: str, body: bytes) -> int:
    """Return the status of a request to a control process."""
    answer = await system.client.post(f"http://{host}:{system.control_port}{path}", content=body)
    return answer.status_code


async def odd_heartbeats(system: PlatformSystem) -> None:
    leader = await system.leader()
    fields = {**HEARTBEAT, "service": "desk", "address": "127.0.0.9:9", "machine": "m-odd"}
    for number, (_, document) in enumerate(odd_documents(fields)):
        await send(system, leader, f"/instances/i-odd-{number}/heartbeat", document)
    for number, address in enumerate(ODD_ADDRESSES):
        document = json.dumps({**fields, "address": address}).encode()
        await send(system, leader, f"/instances/i-address-{number}/heartbeat", document)


async def odd_hold_answers(system: PlatformSystem) -> None:
    leader = await system.leader()
    answers = list(ODD_HOLD_ANSWERS)

    async def answer(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            body = answers.pop(0) if answers else b"{}"
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            await stream.send(head.encode() + body)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.9")
    async with listener, anyio.create_task_group() as group:
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, answer)
        fields = {**HEARTBEAT, "service": "desk", "address": f"127.0.0.9:{port}"}
        await send(system, leader, "/instances/i-odd/heartbeat", json.dumps(fields).encode())
        while answers:
            await anyio.sleep(0.1)
        group.cancel_scope.cancel()


async def odd_jobs(system: PlatformSystem) -> None:
    url = f"http://{ENTRY_HOST}:{system.callers_port}/tasks/"
    for number, (_, document) in enumerate(odd_documents(JOB)):
        headers = {"Host": QUEUE_HOST, "X-Deadline-Ms": ("nan", "1e999", "-1")[number % 3]}
        if not number % 3:
            del headers["X-Deadline-Ms"]
        await system.client.post(f"{url}odd{number}", content=document, headers=headers)
    for depth in range(880, 1000, 5):
        document = with_value({**JOB, "x": 0}, ("x",), "[" * depth + "]" * depth)
        await system.client.post(f"{url}deep{depth}", content=document, headers=headers)


async def odd_waves(system: PlatformSystem) -> None:
    leader = await system.leader()
    for _, document in odd_documents(WAVE):
        await send(system, leader, "/wave-start", document)
    for wave in ("9" * 5000, "\u0663", "-1", "1e3"):
        url = f"http://{leader}:{system.control_port}/wave-get/{wave}"
        await system.client.get(url)


async def odd_paths(system: PlatformSystem) -> None:
    leader = await system.leader()
    document = json.dumps({**HEARTBEAT, "service": "desk", "address": "127.0.0.9:9"}).encode()
    for target in (b"/instances/i-\xff\xfe/heartbeat", b"/instances//heartbeat", b"/\xed\xa0\x80"):
        async with await anyio.connect_tcp(leader, system.control_port) as stream:
            head = b"POST " + target + b" HTTP/1.1\r\nHost: \xff\r\nX-Odd: \xed\xa0\x80\r\n"
            await stream.send(head + b"Content-Length: %d\r\n\r\n" % len(document) + document)
            await stream.receive()


class OddInputTest(testtools.TestCase):
    """The processes go on, the leader stays, and the other executors are served."""

    scenarios = [
        (event.__name__, {"event": staticmethod(event)})
        for event in (odd_heartbeats, odd_hold_answers, odd_jobs, odd_waves, odd_paths)
    ]

    def test_others_are_served(self) -> None:
        async def scenario(system: PlatformSystem) -> None:
            await system.submit("before", STEPS, 0.1)
            await system.wait_state("before", "completed")
            leader = await system.leader()
            await self.event(system)
            # Longer than an election and than the first calls to an executor that was reported.
            await anyio.sleep(2.0)
            self.assertEqual(200, await system.submit("after", STEPS, 0.1))
            await system.wait_state("after", "completed")
            self.assertEqual(leader, await system.leader())
            system.kill(leader)
            self.assertEqual(200, await system.submit("later", STEPS, 0.1))
            await system.wait_state("later", "completed")
            system.start_control(leader, is_first=False)
            for host in set(HOSTS) - {leader}:
                system.kill(host)
                await anyio.sleep(2.0)
                self.assertEqual("completed", await system.state("later"))
                system.start_control(host, is_first=False)

        try:
            run_system(scenario)
        except* httpx.HTTPError as errors:
            raise AssertionError("a process ended") from errors
