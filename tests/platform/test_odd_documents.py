"""Guards against a document of another writer that ends the process that reads it.

What a reader accepts must be encodable and readable again on any stack, because it is replicated;
anything else must end in the documented error of that reader.
"""

import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import testtools
from marigolddoor_core.dispatch import Dispatch, LeaseTiming
from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import JobId, LogIndex, QueueName, ServiceId, WaveId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    AcceptJob,
    EndRun,
    EnrolExecutor,
    JobTable,
    OpenWave,
    OrderMove,
    RecordChanges,
    RunEnd,
    StoreConfiguration,
)
from marigolddoor_platform.documents import JsonDocuments
from marigolddoor_platform.executor_documents import read_heartbeat, read_hold_report
from marigolddoor_platform.fields import write_object
from marigolddoor_platform.machine_documents import read_advice, read_machines, read_wave
from marigolddoor_wire.codec import decode, encode
from marigolddoor_wire.peers import Address, parse_address

from tests.platform.odd_documents import (
    DEEP,
    ODD_ADDRESSES,
    mutated_documents,
    odd_documents,
    with_value,
)
from tests.platform.test_documents import CONFIGURATION, HEARTBEAT, STEP, WAVE

JOB = {"spec": "text", "steps": [{**STEP, "depends-on": []}], "repeat-count": 2, "interval-ms": 5}
HOLD = {
    "clock-ms": 9,
    "born": 1773008765578,
    "running": [["j.0.0.1", 2, "c", 41, 130], ["j.0.0.2", 1, "", 0]],
    "finished": [[58, "j.0.0.3", 1, "done", ""], [59, "j.0.0.0", 1, "failed", "c"]],
}
ADVICE = {"approved": [["i-1", "c81e"], ["i-2", "c81f"]], "validity-ms": 3000}
MACHINE = {"machine": "m-1", "pool": "s-1", "state": "up", "capacity": {"cpu": 16000}}
MACHINES = {"machines": [MACHINE, {**MACHINE, "machine": "m-2"}], "next-token": "t"}


def lead(table: JobTable) -> Dispatch:
    """Return the dispatch of a new leadership after one round of planning."""
    dispatch = Dispatch(table, LeaseTiming(6.0), Instant(1.0))
    dispatch.take_changes(Instant(2.0), 2.0)
    return dispatch


def replicate(*changes: Any) -> None:
    """Apply the changes as a replica that read them from its log, and restore its snapshot.

    The stack is deeper when the log is applied than when the change is proposed.
    """
    command = decode(encode(RecordChanges(changes, 1.0)))

    def apply(stack: int) -> None:
        if stack:
            apply(stack - 1)
            return
        table = JobTable(JsonDocuments())
        table.apply(LogIndex(1), command)
        lead(table)
        restored = JobTable(JsonDocuments())
        restored.restore(decode(encode(table.snapshot())))
        lead(restored)

    apply(60)


def store_job(document: bytes) -> None:
    JsonDocuments().read_job(document)
    replicate(
        StoreConfiguration(7, json.dumps(CONFIGURATION).encode()),
        AcceptJob(JobId("j"), QueueName("r-1"), ServiceId("s-1"), 3, document),
    )


def store_configuration(document: bytes) -> None:
    configuration = JsonDocuments().read_configuration(document)
    job = json.dumps(JOB).encode()
    accepted = [
        AcceptJob(JobId("j"), queue.name, queue.service, queue.max_attempts, job)
        for queue in configuration.queues
    ]
    replicate(StoreConfiguration(configuration.version, document), *accepted)


def store_heartbeat(document: bytes) -> None:
    heartbeat = read_heartbeat("i-1", document)
    assert 0 < parse_address(Address(heartbeat.address))[1] <= 65535
    replicate(EnrolExecutor(heartbeat.enrolment()))


def store_hold_report(document: bytes) -> None:
    report = read_hold_report(document)
    table = JobTable(JsonDocuments())
    dispatch = Dispatch(table, LeaseTiming(6.0), Instant(1.0))
    heartbeat = read_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    executor = dispatch.receive_heartbeat(heartbeat, Instant(1.0))
    assert executor is not None
    dispatch.handle_hold_report(executor, Instant(1.0), report, Instant(1.1))
    executor.extend_lease(Instant(1.2))
    for order in dispatch.orders:
        write_object({"task": order.task, "run": order.run})  # type: ignore[union-attr]
    ends = [EndRun(e.task, e.run, RunEnd.DONE, e.checkpoint) for e in report.finished]
    replicate(*dispatch.changes, *ends)


def store_wave(document: bytes) -> None:
    order = read_wave(document)
    replicate(OpenWave(WaveId(order.wave), order.machines, order.duration_s, order.max_count))


def store_advice(document: bytes) -> None:
    advice = read_advice(document)
    write_object({"validity": advice.validity_s, "tickets": dict(advice.tickets)})


def store_machines(document: bytes) -> None:
    machines, token = read_machines(document)
    (token or "").encode()
    replicate(*(OrderMove(view.machine) for view in machines))
    sum(view.cpu_milli / 1000 for view in machines)


DOORS: dict[str, tuple[Any, Callable[[bytes], None]]] = {
    "job": (JOB, store_job),
    "configuration": (CONFIGURATION, store_configuration),
    "heartbeat": (HEARTBEAT, store_heartbeat),
    "hold report": (HOLD, store_hold_report),
    "wave": (WAVE, store_wave),
    "advice": (ADVICE, store_advice),
    "machines": (MACHINES, store_machines),
}


class OddValueTest(testtools.TestCase):
    """An odd value in any field is refused, or what is accepted of it can be stored."""

    scenarios = [
        (name, {"fields": fields, "store": staticmethod(store)})
        for name, (fields, store) in DOORS.items()
    ]

    def test_refused_or_stored(self) -> None:
        failures = []
        for name, document in odd_documents(self.fields):
            try:
                self.store(document)
            except InvalidInputError:
                continue
            except Exception as error:
                failures.append(f"{name}: {type(error).__name__}")
        self.assertEqual([], failures)

    def test_mutations(self) -> None:
        failures = []
        for document in mutated_documents(self.fields, seed=18, count=400):
            try:
                self.store(document)
            except InvalidInputError as error:
                self.assertLess(len(str(error)), 400)
            except Exception as error:
                failures.append(f"{document[:200]!r}: {type(error).__name__}")
        self.assertEqual([], failures)


class StackDepthTest(testtools.TestCase):
    """A document has one outcome on every stack, or a replica can't apply what was accepted."""

    scenarios = [
        ("job", {"fields": JOB, "read": JsonDocuments().read_job}),
        ("configuration", {"fields": CONFIGURATION, "read": JsonDocuments().read_configuration}),
    ]

    def test_one_outcome(self) -> None:
        def outcome(document: bytes, stack: int) -> bool:
            if stack:
                return outcome(document, stack - 1)
            try:
                self.read(document)
            except InvalidInputError:
                return False
            return True

        whole = json.dumps(self.fields)[:-1]
        for depth in range(10, 1000, 15):
            document = f'{whole}, "x": {"[" * depth}{"]" * depth}}}'.encode()
            outcomes = {outcome(document, stack) for stack in (0, 20, 40, 80)}
            self.assertEqual(1, len(outcomes), f"{depth} levels")


class OddAddressTest(testtools.TestCase):
    """A heartbeat whose address no call can be sent to is refused."""

    scenarios = [(repr(address)[:40], {"address": address}) for address in ODD_ADDRESSES]

    def test_refused(self) -> None:
        document = json.dumps({**HEARTBEAT, "address": self.address}).encode()
        self.assertRaises(InvalidInputError, read_heartbeat, "i-1", document)


class OddExecutorIdTest(testtools.TestCase):
    """A heartbeat whose executor can't be named in a header of a call is refused."""

    scenarios = [
        (repr(name)[:30], {"name": name})
        for name in ("", "a b", "a\r\nb", "\x00", "\ufffd", "\u00e9", "x" * 20_000)
    ]

    def test_refused(self) -> None:
        document = json.dumps(HEARTBEAT).encode()
        self.assertRaises(InvalidInputError, read_heartbeat, self.name, document)


class OddRowTest(testtools.TestCase):
    """One odd row must not hide the other rows of its list."""

    scenarios = [
        (f"{name}: {row[:30]}", {"fields": fields, "path": path, "row": row, "read": read})
        for name, fields, path, rows, read in (
            (
                "running",
                HOLD,
                ("running", 0),
                (
                    "5",
                    "null",
                    "{}",
                    "[]",
                    '["j.0.0.1"]',
                    '[["x"],1,"",0]',
                    '["j.0.0.1",1e999,"",0]',
                    '["x",1,"",0]',
                    f'["j.{"9" * 5000}.0.0",1,"",0]',
                    '["\\ud800.0.0.0",1,"",0]',
                    f'["j.0.0.1",{2**64},"",0]',
                    DEEP[:20] + DEEP[-20:],
                ),
                lambda document: [row.task for row in read_hold_report(document).running],
            ),
            (
                "finished",
                HOLD,
                ("finished", 0),
                (
                    "5",
                    "[1]",
                    '[58,["x"],1,"done",""]',
                    '[1e999,"j.0.0.3",1,"done",""]',
                    '[58,"x",1,"done",""]',
                    f'[58,"j.0.0.3",{2**64},"done",""]',
                    '[58,"j.0.0.3",1,["done"],""]',
                ),
                lambda document: [row.task for row in read_hold_report(document).finished],
            ),
            (
                "machines",
                MACHINES,
                ("machines", 0),
                (
                    "5",
                    "null",
                    "{}",
                    '{"machine":["m-1"],"pool":"s-1","state":"up","capacity":{"cpu":1}}',
                    '{"machine":"\\ud800","pool":"s-1","state":"up","capacity":{"cpu":1}}',
                ),
                lambda document: [view.machine for view in read_machines(document)[0]],
            ),
            (
                "advice",
                ADVICE,
                ("approved", 0),
                ("5", "[]", '["i-1"]', '[["i-1"],"c81e"]', '["i-1",5]', '["\\ud800","x"]'),
                lambda document: list(read_advice(document).tickets),
            ),
        )
        for row in rows
    ]

    def test_others_hold(self) -> None:
        sound = self.read(json.dumps(self.fields).encode())
        self.assertEqual(sound[1:], self.read(with_value(self.fields, self.path, self.row)))


class OddMachineTest(testtools.TestCase):
    """A machine with an unreadable state or size exists, but is neither up nor to be used."""

    scenarios = [
        (f"{field} {value[:20]}", {"field": field, "value": value})
        for field, value in (
            ("state", '"burning"'),
            ("state", "[]"),
            ("pool", "7"),
            ("capacity", "null"),
            ("capacity", f'{{"cpu":{10**400}}}'),
        )
    ]

    def test_listed_as_unknown(self) -> None:
        document = with_value(MACHINES, ("machines", 0, self.field), self.value)
        views, _ = read_machines(document)
        self.assertEqual(
            [("m-1", "unknown"), ("m-2", "up")], [(v.machine, v.state.value) for v in views]
        )


class EarlierVersionTest(testtools.TestCase):
    """Documents that an earlier version accepted must not keep a replica from starting.

    The earlier version accepted more levels, larger numbers and other texts.
    """

    odd_job = with_value({**JOB, "x": 0}, ("x",), "[" * 900 + "]" * 900)
    odd_configuration = with_value(CONFIGURATION, ("routes", 0, "name"), '"\\ud800"')

    def accept(self, job: str, document: bytes) -> AcceptJob:
        return AcceptJob(JobId(job), QueueName("r-1"), ServiceId("s-1"), 3, document)

    def test_log(self) -> None:
        sound = json.dumps(CONFIGURATION).encode()
        table = JobTable(JsonDocuments())
        changes = (
            StoreConfiguration(7, sound),
            self.accept("odd", self.odd_job),
            StoreConfiguration(8, self.odd_configuration),
            self.accept("sound", json.dumps(JOB).encode()),
        )
        table.apply(LogIndex(1), RecordChanges(changes, 1.0))
        self.assertEqual((["sound"], 7, 2), (list(table.jobs), table.version, table.unreadable))

    def test_snapshot(self) -> None:
        table = JobTable(JsonDocuments())
        sound = json.dumps(JOB).encode()
        changes = (self.accept("odd", sound), self.accept("sound", sound))
        table.apply(LogIndex(1), RecordChanges(changes, 1.0))
        snapshot = table.snapshot()
        odd, *others = snapshot.jobs
        odd = replace(odd, document=self.odd_job)
        snapshot = replace(
            snapshot, version=8, document=self.odd_configuration, jobs=(odd, *others)
        )
        restored = JobTable(JsonDocuments())
        restored.restore(snapshot)
        self.assertEqual(
            (["sound"], 0, 2), (list(restored.jobs), restored.version, restored.unreadable)
        )
        later = StoreConfiguration(9, json.dumps({**CONFIGURATION, "version": 9}).encode())
        restored.apply(LogIndex(2), RecordChanges((later,), 2.0))
        self.assertEqual(9, restored.version)
