"""Guards against a consensus time that goes back, and snapshot parts that lose items."""

import testtools
from marigolddoor_control.consensus_clock import ConsensusClock
from marigolddoor_control.proposals import Proposal, Proposals, ProposalState
from marigolddoor_control.snapshot_parts import join, split
from marigolddoor_core.ids import LogIndex, ProcessId, Term, VmId
from marigolddoor_wire.messages import TargetDelta

from tests.control.groups import claim


class ConsensusClockTest(testtools.TestCase):
    """Stamps never go back, whatever the wall clock and the previous leaders stamped."""

    scenarios = [
        (
            "wall clock advances",
            {"wall": [1.0, 2.0, 3.0], "observed": 0.0, "expected": [1.0, 2.0, 3.0]},
        ),
        (
            "wall clock goes back",
            {"wall": [5.0, 2.0, 6.0], "observed": 0.0, "expected": [5.0, 5.0, 6.0]},
        ),
        ("previous leader ahead", {"wall": [5.0, 7.0], "observed": 6.0, "expected": [6.0, 7.0]}),
    ]

    def test_stamps(self) -> None:
        readings = iter(self.wall)
        clock = ConsensusClock(lambda: next(readings))
        clock.observe(self.observed)
        self.assertEqual(self.expected, [clock.stamp() for _ in self.wall])


class SnapshotPartsTest(testtools.TestCase):
    """The joined parts equal the snapshot, with the items in order."""

    scenarios = [
        (f"{count} items", {"count": count, "parts": parts})
        for count, parts in [(0, 1), (1, 1), (3, 1), (4, 2), (10, 4)]
    ]

    def test_join(self) -> None:
        gone = tuple(VmId(f"vm-{number}") for number in range(self.count))
        snapshot = TargetDelta(ProcessId("p"), 7, True, (), gone)
        parts = list(split(snapshot, 3))
        self.assertEqual(self.parts, len(parts))
        self.assertEqual(snapshot, join(parts))


class ProposalsTest(testtools.TestCase):
    """The outcome of a proposal whose entry was committed, replaced or skipped by a snapshot."""

    scenarios = [
        ("committed", {"index": 5, "term": 2, "found": True, "state": ProposalState.APPENDED}),
        ("replaced", {"index": 5, "term": 3, "found": False, "state": ProposalState.REPLACED}),
        ("another index", {"index": 6, "term": 2, "found": False, "state": ProposalState.APPENDED}),
    ]

    def test_committed(self) -> None:
        proposals = Proposals()
        proposal = Proposal(claim("k"))
        proposals.append(LogIndex(5), Term(2), proposal)
        found = proposals.resolve_committed(LogIndex(self.index), Term(self.term))
        self.assertEqual(proposal if self.found else None, found)
        self.assertIs(self.state, proposal.state)

    def test_skipped(self) -> None:
        proposals = Proposals()
        proposal = Proposal(claim("k"))
        proposals.append(LogIndex(5), Term(2), proposal)
        proposals.resolve_skipped(LogIndex(self.index))
        self.assertIs(ProposalState.UNKNOWN, proposal.state)
