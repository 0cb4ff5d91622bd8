"""Guards against targets declared dead by one of several processes, or in a partition."""

from collections.abc import Callable
from typing import Any

import testtools
from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.membership import FailureDetector

from tests.core.membership.fixtures import at

A, B, C = (VmId(f"vm-{name}") for name in "abc")
P1, P2 = ProcessId("p1"), ProcessId("p2")


class DeathTest(testtools.TestCase):
    """Two processes confirm a death, or a single one after twice the suspicion timeout."""

    scenarios = [
        (name, {"processes": processes, "events": events, "expected": expected})
        for name, processes, events, expected in [
            (
                "suspected only by its holder",
                [P1, P2],
                lambda detector: detector.take_dead(at(99.0)),
                (),
            ),
            (
                "unreachable from a second process",
                [P1, P2],
                lambda detector: detector.record_unreachable(A, P2),
                (A,),
            ),
            (
                "unreachable from the same process",
                [P1, P2],
                lambda detector: detector.record_unreachable(A, P1),
                (),
            ),
            (
                "reachable again",
                [P1, P2],
                lambda detector: (detector.record_unreachable(A, P2), detector.record_reachable(A)),
                (),
            ),
            (
                "reachable before the second report",
                [P1, P2],
                lambda detector: (detector.record_reachable(A), detector.record_unreachable(A, P2)),
                (),
            ),
            ("one process", [P1], lambda detector: None, (A,)),
            (
                "one process, reachable in time",
                [P1],
                lambda detector: detector.record_reachable(A),
                (),
            ),
            (
                "the second process is lost",
                [P1, P2],
                lambda detector: (detector.take_dead(at(6.0)), detector.set_processes([P1])),
                (A,),
            ),
            ("unknown", [P1, P2], lambda detector: detector.record_unreachable(C, P2), ()),
            (
                "removed",
                [P1, P2],
                lambda detector: (detector.record_unreachable(A, P2), detector.remove(A)),
                (),
            ),
            (
                "returned only once",
                [P1, P2],
                lambda detector: (
                    detector.record_unreachable(A, P2),
                    detector.take_dead(at(5.0)),
                    detector.record_unreachable(A, P2),
                ),
                (),
            ),
            (
                "a new suspicion after it was reachable",
                [P1],
                lambda detector: (detector.record_reachable(A), detector.suspect(A, P1, at(9.0))),
                (),
            ),
        ]
    ]

    def test_dead(self) -> None:
        failure_detector = with_suspect(self.processes)
        self.events(failure_detector)
        self.assertEqual(self.expected, failure_detector.take_dead(at(6.0)))
        self.assertEqual((), failure_detector.take_dead(at(6.0)))

    def test_not_before_deadline(self) -> None:
        failure_detector = with_suspect([P1])
        self.assertEqual(at(6.0), failure_detector.next_check())
        self.assertEqual((), failure_detector.take_dead(at(5.9)))


def with_suspect(processes: list[ProcessId]) -> FailureDetector:
    """Return a failure detector with two targets; A is suspected and overdue at 6 s."""
    failure_detector = FailureDetector()
    failure_detector.set_processes(processes)
    for vm in (A, B):
        failure_detector.add(vm)
    failure_detector.suspect(A, P1, at(6.0))
    return failure_detector


class UnreachableDataCentreTest(testtools.TestCase):
    """If all targets of a data centre are suspected, it is unreachable and none is dead."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        (
            "two processes",
            {
                "confirm": lambda detector, vm: detector.record_unreachable(vm, P2),
                "processes": [P1, P2],
            },
        ),
        ("one process", {"confirm": lambda detector, vm: None, "processes": [P1]}),
    ]
    confirm: Callable[[FailureDetector, VmId], None]

    def test_unreachable(self) -> None:
        failure_detector = with_suspect(self.processes)
        self.assertFalse(failure_detector.is_data_centre_unreachable())
        failure_detector.suspect(B, P1, at(6.0))
        for vm in (A, B):
            self.confirm(failure_detector, vm)
        self.assertTrue(failure_detector.is_data_centre_unreachable())
        self.assertEqual((), failure_detector.take_dead(at(9.0)))
        # One reachable target shows that the others are dead.
        failure_detector.record_reachable(B)
        self.assertFalse(failure_detector.is_data_centre_unreachable())
        self.assertEqual((A,), failure_detector.take_dead(at(9.0)))

    def test_single_target(self) -> None:
        failure_detector = FailureDetector()
        failure_detector.set_processes(self.processes)
        failure_detector.add(A)
        failure_detector.suspect(A, P1, at(6.0))
        self.confirm(failure_detector, A)
        self.assertEqual((A,), failure_detector.take_dead(at(6.0)))
