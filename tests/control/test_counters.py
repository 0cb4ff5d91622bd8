"""Guards against metrics of a control process that are never incremented."""

import hashlib
import tempfile
from pathlib import Path

import anyio
import httpx
import testtools
from marigolddoor_control.counting_recorder import CountingRecorder
from marigolddoor_control.operators.tokens import parse_tokens
from marigolddoor_control.process import ControlProcess, ControlProcessSettings
from marigolddoor_core.ids import PoolId, ProcessId, QuestionId, VmId
from marigolddoor_core.timeline import EventKind, Subject
from marigolddoor_wire.handshake import SharedKey
from marigolddoor_wire.peers import Address

MOVE = Subject(vm=VmId("vm-1"), pool=PoolId("orders"))
LOOPBACK = Address("127.0.0.1:0")


class CountedTest(testtools.TestCase):
    """Each event with a metric counts once, even after the timeline has dropped it."""

    scenarios = [
        (
            "move",
            {
                "kind": EventKind.MOVE_BEGUN,
                "subject": MOVE,
                "expected": 'moves_total{pool="orders"} 3',
            },
        ),
        (
            "question",
            {
                "kind": EventKind.QUESTION_OPENED,
                "subject": Subject(question=QuestionId("q")),
                "expected": "questions_total 3",
            },
        ),
        (
            "new leader",
            {"kind": EventKind.ELECTION_WON, "subject": Subject(), "expected": "failovers_total 3"},
        ),
        ("lost leader", {"kind": EventKind.ELECTION_LOST, "subject": Subject(), "expected": None}),
        ("end of a move", {"kind": EventKind.MOVE_FINISHED, "subject": MOVE, "expected": None}),
    ]

    def test_count(self) -> None:
        recorder = CountingRecorder(ProcessId("c"), 2)
        for _ in range(3):
            recorder.record(self.kind, 1, self.subject)
        page = recorder.counters.page()
        self.assertEqual(2, len(recorder.events))
        if self.expected is None:
            self.assertEqual("", page)
        else:
            self.assertIn(f"marigolddoor_{self.expected}\n", page)


class ServedTest(testtools.TestCase):
    """The operators' listener serves the counters of the process, its first election included."""

    def test_page(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            anyio.run(self.read_page, Path(name))

    async def read_page(self, folder: Path) -> None:
        tokens = parse_tokens(f"ann {hashlib.sha256(b'token').hexdigest()}\n")
        settings = ControlProcessSettings(
            ProcessId("c"), "r1", LOOPBACK, (), folder, LOOPBACK, tokens
        )
        process = ControlProcess(settings, SharedKey(b"k" * 32))
        stopping = anyio.Event()
        async with anyio.create_task_group() as group, httpx.AsyncClient(trust_env=False) as client:
            addresses = await group.start(process.run, stopping)
            with anyio.fail_after(20):
                while EventKind.ELECTION_WON not in [e.kind for e in process.recorder.events]:
                    await anyio.sleep(0.02)
            page = await client.get(
                f"http://{addresses.operators}/metrics", headers={"Authorization": "Bearer token"}
            )
            stopping.set()
        self.assertIn("marigolddoor_failovers_total 1\n", page.text)
