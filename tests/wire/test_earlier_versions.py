"""Guards against log entries, snapshots and calls that another version of the process can't read.

During an update, processes of both versions share one log and send each other calls.
"""

from typing import Any

import testtools
from marigolddoor_core.ids import JobId, QueueName, TeamId
from marigolddoor_core.jobs import AcceptJob, JobPhase, RecordChanges, digest_key
from marigolddoor_core.jobs.stored import JobTableSnapshot, StoredJob
from marigolddoor_core.queue_calls import QueueCall, QueueMethod
from marigolddoor_wire.codec import decode, decode_as, encode, encode_body, read_struct
from marigolddoor_wire.gen.jobs import ttypes

from tests.core.jobs.fakes import SERVICE, Log, document

DOCUMENT = document({"count": 1})
ACCEPTED = AcceptJob(JobId("j"), QueueName("q"), SERVICE, 3, DOCUMENT, TeamId("red"))
STORED = StoredJob(
    JobId("j"),
    QueueName("q"),
    SERVICE,
    3,
    DOCUMENT,
    5.0,
    0.0,
    JobPhase.ACTIVE,
    False,
    (),
    TeamId("red"),
)
CALL = QueueCall(QueueMethod.SUBMIT, "a.example", "/q/j", DOCUMENT, digest_key("r1"))


def before(message: Any) -> type[Any]:
    """Return the struct of the version before, which lacks the last field."""
    struct: Any = getattr(ttypes, type(message).__name__)
    return type(struct.__name__, (struct,), {"thrift_spec": struct.thrift_spec[:-1]})


class AppendedFieldTest(testtools.TestCase):
    """An appended field is skipped by the version before, and has a default in its messages."""

    scenarios = [
        (type(message).__name__, {"message": message, "name": name, "default": default})
        for message, name, default in (
            (ACCEPTED, "team", ""),
            (STORED, "team", ""),
            (CALL, "key", b""),
        )
    ]

    def test_default(self) -> None:
        kind, earlier = type(self.message).__name__, before(self.message)
        written = encode_body(_without(self.message, self.name))
        self.assertEqual(None, getattr(read_struct(earlier, written), self.name))
        read = decode_as(kind, written)
        self.assertEqual(self.default, getattr(read, self.name))
        for field in type(self.message).__dataclass_fields__:
            if field != self.name:
                self.assertEqual(getattr(self.message, field), getattr(read, field))

    def test_skipped(self) -> None:
        earlier = read_struct(before(self.message), encode_body(self.message))
        self.assertEqual(None, getattr(earlier, self.name))
        current = read_struct(
            getattr(ttypes, type(self.message).__name__), encode_body(self.message)
        )
        for specification in before(self.message).thrift_spec[1:]:
            name = specification[2]
            self.assertEqual(repr(getattr(current, name)), repr(getattr(earlier, name)))


class TableTest(testtools.TestCase):
    """A job of the version before is loaded without a team, and one of this version with it."""

    scenarios = [
        (f"{kind}, {'with' if team else 'without'} a team", {"kind": kind, "team": team})
        for kind in ("entry", "snapshot")
        for team in ("red", "")
    ]

    def test_load(self) -> None:
        log = Log()
        if self.kind == "entry":
            change = ACCEPTED if self.team else _without(ACCEPTED, "team")
            log.apply(*decode(encode(RecordChanges((change,), 1.0))).changes)
        else:
            job = STORED if self.team else _without(STORED, "team")
            log.table.restore(decode(encode(JobTableSnapshot(5.0, 0, b"", (job,), ()))))
        self.assertEqual(self.team, log.table.jobs[JobId("j")].team)
        self.assertEqual(0, log.table.unreadable)


def _without(message: Any, name: str) -> Any:
    """Return a copy whose field is not written."""
    parts = {field: getattr(message, field) for field in type(message).__dataclass_fields__}
    return type(message)(**{**parts, name: None})
