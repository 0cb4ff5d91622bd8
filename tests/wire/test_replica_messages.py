"""Guards against consensus messages and records that lose or change a field in the codec."""

import testtools
from marigolddoor_core.consensus import Configuration, Entry, Member, SnapshotMeta
from marigolddoor_core.consensus.messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    Message,
    RequestVote,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from marigolddoor_core.consensus.stored import Identity, LogBase, StoredState, VoteRecord
from marigolddoor_core.ids import LogIndex, ReplicaId, Term
from marigolddoor_wire.codec import decode, encode
from marigolddoor_wire.envelopes import ONE_WAY, decode_envelope, encode_envelope
from marigolddoor_wire.replica_messages import Join, MembershipReply, PeerMessage, ReadBarrierReply

A, B = Member(ReplicaId("a.1"), "127.0.0.1:1"), Member(ReplicaId("b.2"), "127.0.0.1:2")
GROUP = Configuration((A,), (B,))
META = SnapshotMeta(LogIndex(9), Term(3), GROUP, 2**40, 2**32 - 1)
ENTRIES = (
    Entry(LogIndex(1), Term(1)),
    Entry(LogIndex(2), Term(1), b"\0\xff"),
    Entry(LogIndex(3), Term(2), configuration=GROUP),
)


class PeerMessageTest(testtools.TestCase):
    """Each message between replicas is decoded unchanged from its envelope."""

    scenarios = [
        (type(message).__name__, {"message": message})
        for message in (
            RequestVote(Term(2), LogIndex(3), Term(1), True, False),
            VoteReply(Term(2), False, True),
            AppendEntries(Term(2), LogIndex(0), Term(0), ENTRIES, LogIndex(1), 7),
            AppendReply(Term(2), False, LogIndex(0), LogIndex(5), 7),
            InstallSnapshot(Term(2), META, 2**33, b"\0" * 9, 8),
            SnapshotReply(Term(2), LogIndex(9), 2**33, True, 8),
            TimeoutNow(Term(2)),
        )
    ]

    def test_round_trip(self) -> None:
        message: Message = self.message
        sent = PeerMessage(A.replica, B.replica, A.address, message)
        self.assertEqual(
            sent, decode_envelope(encode_envelope(sent, ONE_WAY, reply=False)).message()
        )


class RecordTest(testtools.TestCase):
    """Each stored record and each request is decoded unchanged."""

    scenarios = [
        (f"{number} {type(record).__name__}", {"record": record})
        for number, record in enumerate(
            (
                Identity(A.replica, Configuration()),
                Identity(A.replica, GROUP),
                VoteRecord(Term(4), None),
                VoteRecord(Term(4), B.replica),
                LogBase(LogIndex(2**40), Term(7)),
                META,
                StoredState(1.5, ()),
                StoredState(1.5, (b"", b"\xff")),
                Join(B),
                MembershipReply(False),
                ReadBarrierReply(LogIndex(3)),
            )
        )
    ]

    def test_round_trip(self) -> None:
        self.assertEqual(self.record, decode(encode(self.record)))
