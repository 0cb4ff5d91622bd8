"""Guards against effects ordered before causes, lost events, and unreported gaps."""

import random

import testtools
from marigolddoor_core.ids import JobId, PoolId, ProcessId, QuestionId, RequestId, Revision, VmId
from marigolddoor_core.timeline import (
    Event,
    EventId,
    EventKind,
    HybridTime,
    MissingProcess,
    ProcessTimeline,
    Recorder,
    Subject,
    TimelineFilter,
    merge,
    order_events,
    select,
)


def event(name: str, at_ms: int, cause: str | None = None, subject: Subject | None = None) -> Event:
    """Return the event `name`, which is PROCESS/SEQUENCE."""
    process, sequence = name.split("/")
    return Event(
        EventId(name),
        ProcessId(process),
        int(sequence),
        HybridTime(at_ms),
        EventKind.MOVE_BEGUN,
        subject or Subject(),
        cause=None if cause is None else EventId(cause),
    )


class OrderTest(testtools.TestCase):
    """Events are ordered by time, but never before their cause or against their process's order."""

    scenarios = [
        ("by time", {"events": [("b/1", 2, None), ("a/1", 1, None)], "expected": "a/1 b/1"}),
        ("tie", {"events": [("b/1", 1, None), ("a/1", 1, None)], "expected": "a/1 b/1"}),
        (
            "effect with a slow clock",
            {"events": [("b/1", 1, "a/1"), ("a/1", 5, None)], "expected": "a/1 b/1"},
        ),
        (
            "event after an effect with a slow clock",
            {
                "events": [("b/1", 1, "a/1"), ("b/2", 2, None), ("a/1", 5, None)],
                "expected": "a/1 b/1 b/2",
            },
        ),
        ("cause not fetched", {"events": [("b/1", 1, "z/7")], "expected": "b/1"}),
        (
            "cyclic causes",
            {"events": [("a/1", 1, "b/1"), ("b/1", 2, "a/1")], "expected": "a/1 b/1"},
        ),
        ("own cause", {"events": [("a/1", 1, "a/1")], "expected": "a/1"}),
    ]

    def test_order(self) -> None:
        events = [event(*parts) for parts in self.events]
        for seed in range(8):
            random.Random(seed).shuffle(events)
            self.assertEqual(self.expected, " ".join(found.id for found in order_events(events)))


class MergeTest(testtools.TestCase):
    """Repeated parts of a process are merged, and a missing process is still listed."""

    def test_merge(self) -> None:
        first = ProcessTimeline(ProcessId("b"), (event("b/1", 3),), 1, 2)
        second = ProcessTimeline(ProcessId("b"), (event("b/1", 3), event("b/2", 4)), 2, 2)
        missing = MissingProcess("10.0.0.7:7000", "no connection")
        timeline = merge([first, second, first], [missing])
        self.assertEqual(["b/1", "b/2"], [found.id for found in timeline.events])
        self.assertEqual((ProcessTimeline(ProcessId("b"), (), 2, 2),), timeline.processes)
        self.assertEqual((missing,), timeline.missing)


class FilterTest(testtools.TestCase):
    """A filter selects the matching events and their causes, and nothing else."""

    scenarios = [
        ("request", {"wanted": TimelineFilter(request=RequestId("r")), "expected": "a/1 a/2"}),
        ("vm", {"wanted": TimelineFilter(vm=VmId("v")), "expected": "a/3"}),
        ("pool", {"wanted": TimelineFilter(pool=PoolId("p")), "expected": "a/3 a/4"}),
        (
            "both",
            {"wanted": TimelineFilter(pool=PoolId("p"), vm=VmId("w")), "expected": "a/4"},
        ),
        ("job", {"wanted": TimelineFilter(job=JobId("j")), "expected": "a/1"}),
        ("revision", {"wanted": TimelineFilter(revision=Revision(0)), "expected": "a/5"}),
        ("question", {"wanted": TimelineFilter(question=QuestionId("q")), "expected": ""}),
        ("all", {"wanted": TimelineFilter(), "expected": "a/1 a/2 a/3 a/4 a/5"}),
    ]

    def test_select(self) -> None:
        events = (
            event("a/1", 1, None, Subject(job=JobId("j"))),
            event("a/2", 2, "a/1", Subject(request=RequestId("r"))),
            event("a/3", 3, None, Subject(vm=VmId("v"), pool=PoolId("p"))),
            event("a/4", 4, None, Subject(vm=VmId("w"), pool=PoolId("p"))),
            event("a/5", 5, "gone/1", Subject(revision=Revision(0))),
        )
        found = select(events, self.wanted)
        self.assertEqual(self.expected, " ".join(one.id for one in found))


class RecorderTest(testtools.TestCase):
    """The recorder stays bounded, counts dropped events and lets a reader resume."""

    scenarios = [
        ("all", {"after": 0, "limit": 9, "expected": [3, 4, 5], "position": 5, "dropped": 2}),
        ("limited", {"after": 0, "limit": 2, "expected": [3, 4], "position": 4, "dropped": 2}),
        ("resumed", {"after": 4, "limit": 9, "expected": [5], "position": 5, "dropped": 0}),
        ("nothing new", {"after": 5, "limit": 9, "expected": [], "position": 5, "dropped": 0}),
    ]

    def test_fetch(self) -> None:
        recorder = Recorder(ProcessId("a"), capacity=3)
        for at_ms in (5, 5, 4, 6, 7):
            recorder.record(EventKind.MOVE_BEGUN, at_ms, Subject())
        part = recorder.fetch(TimelineFilter(), self.after, self.limit)
        self.assertEqual(self.expected, [found.sequence for found in part.events])
        self.assertEqual((self.position, self.dropped), (part.position, part.dropped))

    def test_cause_on_another_process(self) -> None:
        first, second = Recorder(ProcessId("a")), Recorder(ProcessId("b"))
        cause = first.record(EventKind.REQUEST_SENT, 100, Subject())
        second.observe(first.last_time, 90)
        second.record(EventKind.REQUEST_ANSWERED, 90, Subject(), cause=cause)
        self.assertGreater(second.events[0].time, first.events[0].time)
