"""Guards against targets that are taken for dead on the word of one process, or in a partition."""

from collections.abc import Callable
from typing import Any

import testtools
from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.membership import FailureDetector

from tests.core.membership.fixtures import at

A, B, C = (VmId(f"vm-{name}") for name in "abc")
P1, P2 = ProcessId("p1"), ProcessId("p2")


class DeathTest(testtools.TestCase):
    """A target is dead on the word of two processes, or of one after twice the time."""

    scenarios = [
        (name, {"processes": processes, "events": events, "expected": expected})
        for name, processes, events, expected in [
            ("suspected by its holder only", [P1, P2], lambda o: o.take_dead(at(99.0)), ()),
            (
                "unreached by a second process",
                [P1, P2],
                lambda o: o.record_unreachable(A, P2),
                (A,),
            ),
            ("unreached by the same process", [P1, P2], lambda o: o.record_unreachable(A, P1), ()),
            ("reached again", [P1, P2], lambda o: (o.record_unreachable(A, P2), o.reached(A)), ()),
            (
                "back before the second word",
                [P1, P2],
                lambda o: (o.reached(A), o.record_unreachable(A, P2)),
                (),
            ),
            ("one process", [P1], lambda o: None, (A,)),
            ("one process, back in time", [P1], lambda o: o.reached(A), ()),
            (
                "the second process is lost",
                [P1, P2],
                lambda o: (o.take_dead(at(6.0)), o.set_processes([P1])),
                (A,),
            ),
            ("unknown", [P1, P2], lambda o: o.record_unreachable(C, P2), ()),
            ("forgotten", [P1, P2], lambda o: (o.record_unreachable(A, P2), o.leave(A)), ()),
            (
                "once only",
                [P1, P2],
                lambda o: (
                    o.record_unreachable(A, P2),
                    o.take_dead(at(5.0)),
                    o.record_unreachable(A, P2),
                ),
                (),
            ),
            (
                "a new suspicion after it was back",
                [P1],
                lambda o: (o.reached(A), o.suspect(A, P1, at(9.0))),
                (),
            ),
        ]
    ]

    def test_dead(self) -> None:
        failure_detector = with_suspect(self.processes)
        self.events(failure_detector)
        self.assertEqual(self.expected, failure_detector.take_dead(at(6.0)))
        self.assertEqual((), failure_detector.take_dead(at(6.0)))

    def test_not_before_its_time(self) -> None:
        failure_detector = with_suspect([P1])
        self.assertEqual(at(6.0), failure_detector.next_check())
        self.assertEqual((), failure_detector.take_dead(at(5.9)))


def with_suspect(processes: list[ProcessId]) -> FailureDetector:
    """Return observers of three targets, the first of which is suspected and overdue at 6 s."""
    failure_detector = FailureDetector()
    failure_detector.set_processes(processes)
    for vm in (A, B):
        failure_detector.join(vm)
    failure_detector.suspect(A, P1, at(6.0))
    return failure_detector


class CutOffTest(testtools.TestCase):
    """A data centre none of whose targets can be reached is cut off, and nothing in it is dead."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        (
            "two processes",
            {"confirm": lambda o, vm: o.record_unreachable(vm, P2), "processes": [P1, P2]},
        ),
        ("one process", {"confirm": lambda o, vm: None, "processes": [P1]}),
    ]
    confirm: Callable[[FailureDetector, VmId], None]

    def test_cut_off(self) -> None:
        failure_detector = with_suspect(self.processes)
        self.assertFalse(failure_detector.is_cut_off())
        failure_detector.suspect(B, P1, at(6.0))
        for vm in (A, B):
            self.confirm(failure_detector, vm)
        self.assertTrue(failure_detector.is_cut_off())
        self.assertEqual((), failure_detector.take_dead(at(9.0)))
        # One target that is back shows that the others are really dead.
        failure_detector.reached(B)
        self.assertFalse(failure_detector.is_cut_off())
        self.assertEqual((A,), failure_detector.take_dead(at(9.0)))

    def test_single_target(self) -> None:
        failure_detector = FailureDetector()
        failure_detector.set_processes(self.processes)
        failure_detector.join(A)
        failure_detector.suspect(A, P1, at(6.0))
        self.confirm(failure_detector, A)
        self.assertEqual((A,), failure_detector.take_dead(at(6.0)))
