"""Guards against violations of single rules of the replica, in hand-written sequences."""

import random
from typing import Any

import testtools
from marigolddoor_core.consensus import (
    ChangeRefusedError,
    Configuration,
    NotLeaderError,
    Output,
    ReadId,
    RecoveredState,
    Replica,
    Role,
)
from marigolddoor_core.consensus.messages import (
    AppendEntries,
    AppendReply,
    RequestVote,
    TimeoutNow,
    VoteReply,
)
from marigolddoor_core.ids import LogIndex, ReplicaId, Term
from marigolddoor_core.instants import Instant

from tests.core.consensus.test_configuration import group

A, B, C, D = (ReplicaId(name) for name in "abcd")


def new_replica(configuration: Configuration, now: float = 0.0) -> Replica:
    """Return replica `a` with an empty log."""
    recovered = RecoveredState(Term(0), None, None, configuration, LogIndex(0), Term(0), ())
    return Replica(A, recovered, random.Random(1), Instant(now))


def finish_writes(replica: Replica, now: float) -> Output:
    """Complete every write; return the output of all steps."""
    total = Output()
    while not (output := replica.take_output()).is_empty():
        for name in ("writes", "messages", "chunks", "committed", "reads"):
            getattr(total, name).extend(getattr(output, name))
        if output.writes:
            replica.write_completed(output.writes[-1].number, Instant(now))
    return total


def answer(replica: Replica, peers: list[ReplicaId], now: float) -> Output:
    """Reply for `peers` that they accept the whole log in the current round."""
    assert replica.leader_state is not None
    last = replica.node.log.last_index
    reply = AppendReply(replica.term, True, last, LogIndex(0), replica.leader_state.lease.round)
    for peer in peers:
        replica.receive(peer, reply, Instant(now))
    return finish_writes(replica, now)


def new_leader(configuration: Configuration, answering: tuple[ReplicaId, ...] = (B, C)) -> Replica:
    """Return a leader of term 1 whose first entry is committed at 2.0 s."""
    replica = new_replica(configuration)
    now = Instant(2.0)
    replica.tick(now)
    for is_pre_vote in (True, False):
        for peer in answering:
            replica.receive(peer, VoteReply(Term(1), is_pre_vote, True), now)
        finish_writes(replica, now)
    answer(replica, list(answering), now)
    assert replica.accepts_commands
    return replica


class ChangeTest(testtools.TestCase):
    """A change is refused while the responsive voters of the new configuration are no quorum.

    Otherwise the change can't be committed, and the group never has a leader again (found by the
    fault run as a group without progress).
    """

    scenarios: list[tuple[str, dict[str, Any]]] = [
        ("all answer", {"answering": [B, C, D], "change": "remove", "allowed": True}),
        (
            "the remaining voter is unresponsive",
            {"answering": [C, D], "change": "remove", "allowed": False},
        ),
        (
            "the removed voter is unresponsive",
            {"answering": [B, D], "change": "remove", "allowed": True},
        ),
        ("promote", {"answering": [B, C, D], "change": "promote", "allowed": True}),
        (
            "the learner is unresponsive",
            {"answering": [B, C], "change": "promote", "allowed": False},
        ),
        ("one voter is unresponsive", {"answering": [B, D], "change": "promote", "allowed": True}),
        ("two voters are unresponsive", {"answering": [D], "change": "promote", "allowed": False}),
    ]

    def test_change(self) -> None:
        replica = new_leader(group("abc", "d"))
        answer(replica, [D], 2.0)
        now = 2.6
        replica.tick(Instant(now))
        answer(replica, self.answering, now)
        try:
            if self.change == "remove":
                replica.remove(C, Instant(now))
            else:
                replica.promote(D, Instant(now))
            allowed = True
        except ChangeRefusedError:
            allowed = False
        self.assertEqual(self.allowed, allowed)

    def test_second_change(self) -> None:
        replica = new_leader(group("abc", "d"))
        answer(replica, [B, C, D], 2.0)
        replica.remove(C, Instant(2.0))
        self.assertRaises(ChangeRefusedError, replica.promote, D, Instant(2.0))


class SyncBeforeReplyTest(testtools.TestCase):
    """Guards against a reply that is sent before the write that it acknowledges is synced."""

    scenarios = [
        (
            "vote",
            {
                "message": RequestVote(Term(1), LogIndex(0), Term(0), False, False),
                "reply": VoteReply,
            },
        ),
        (
            "append",
            {
                "message": AppendEntries(Term(1), LogIndex(0), Term(0), (), LogIndex(0), 1),
                "reply": AppendReply,
            },
        ),
    ]

    def test_reply_after_sync(self) -> None:
        replica = new_replica(group("abc"))
        replica.receive(B, self.message, Instant(5.0))
        before = replica.take_output()
        self.assertEqual([], before.messages)
        self.assertNotEqual([], before.writes)
        replica.write_completed(before.writes[-1].number, Instant(5.0))
        (sent,) = replica.take_output().messages
        self.assertIsInstance(sent.message, self.reply)

    def test_no_reply_after_failed_write(self) -> None:
        replica = new_replica(group("abc"))
        replica.receive(B, self.message, Instant(5.0))
        replica.take_output()
        replica.write_failed()
        replica.receive(C, self.message, Instant(9.0))
        replica.tick(Instant(99.0))
        self.assertIs(Role.HALTED, replica.role)
        self.assertTrue(replica.take_output().is_empty())


class VoteTest(testtools.TestCase):
    """A replica that may be bound by a lease ignores vote requests, except in a transfer."""

    scenarios = [
        ("not bound", {"now": 0.6, "transfer": False, "granted": True}),
        ("just started", {"now": 0.4, "transfer": False, "granted": None}),
        ("transfer", {"now": 0.4, "transfer": True, "granted": True}),
    ]

    def test_vote(self) -> None:
        replica = new_replica(group("abc"))
        request = RequestVote(Term(1), LogIndex(0), Term(0), False, self.transfer)
        replica.receive(B, request, Instant(self.now))
        replies = [sent.message for sent in finish_writes(replica, self.now).messages]
        expected = [] if self.granted is None else [VoteReply(Term(1), False, self.granted)]
        self.assertEqual(expected, replies)


class ReadTest(testtools.TestCase):
    """Guards against a stale read: it needs the lease, or a later round answered by a quorum."""

    scenarios = [
        ("lease", {"now": 2.4, "peers": [], "expected": 1}),
        ("no lease, no answer", {"now": 2.6, "peers": [], "expected": None}),
        ("no lease, one answer", {"now": 2.6, "peers": [B], "expected": 1}),
    ]

    def test_read(self) -> None:
        replica = new_leader(group("abc"))
        replica.read(ReadId(1), Instant(self.now))
        reads = finish_writes(replica, self.now).reads
        reads += answer(replica, self.peers, self.now).reads
        self.assertEqual(self.expected, reads[0].index if reads else None)


class TransferTest(testtools.TestCase):
    """A leader that transfers its leadership steps down in the same step and refuses commands."""

    def test_transfer(self) -> None:
        replica = new_leader(group("abc"))
        replica.transfer(Instant(2.1))
        sent = [outgoing.message for outgoing in finish_writes(replica, 2.1).messages]
        self.assertIn(TimeoutNow(Term(1)), sent)
        self.assertFalse(replica.has_lease(Instant(2.1)))
        self.assertRaises(NotLeaderError, replica.propose, [b"x"], Instant(2.1))

    def test_single_voter(self) -> None:
        replica = new_replica(group("a"))
        finish_writes(replica, 0.0)
        replica.transfer(Instant(0.1))
        self.assertTrue(replica.accepts_commands)


class PausedLeaderTest(testtools.TestCase):
    """Guards against a leader that resumes after a long pause and relies on an expired lease."""

    scenarios = [
        ("short", {"now": 2.3, "lease": True, "role": Role.LEADER}),
        ("longer than the lease", {"now": 2.5, "lease": False, "role": Role.LEADER}),
        ("long", {"now": 9.0, "lease": False, "role": Role.FOLLOWER}),
    ]

    def test_resume(self) -> None:
        replica = new_leader(group("abc"))
        self.assertEqual(self.lease, replica.has_lease(Instant(self.now)))
        replica.tick(Instant(self.now))
        self.assertIs(self.role, replica.role)


class SilentPeerTest(testtools.TestCase):
    """A peer that never answered gets the entries once, and heartbeats without entries after that.

    Each heartbeat to a frozen previous leader repeated all entries of the term. On trouble-1 of
    bw-ring they took 216 of the 296 MB of the leader's memory.
    """

    scenarios = [
        ("never answered", {"answers": False, "messages": 1}),
        ("answers a heartbeat", {"answers": True, "messages": 2}),
    ]

    def test_heartbeats(self) -> None:
        replica = new_leader(group("abc"), answering=(B,))
        replica.propose([b"x"], Instant(2.1))
        sent = finish_writes(replica, 2.1).messages
        for tenth in range(1, 21):
            now = 2.1 + tenth / 10
            answer(replica, [B], now)
            replica.tick(Instant(now))
            output = finish_writes(replica, now)
            sent += output.messages
            if self.answers and tenth == 10:
                assert replica.leader_state is not None
                previous = LogIndex(replica.leader_state.progress[C].next_index - 1)
                reply = AppendReply(
                    replica.term, True, previous, LogIndex(0), replica.leader_state.lease.round
                )
                replica.receive(C, reply, Instant(now))
                sent += finish_writes(replica, now).messages
        to_unresponsive = [
            outgoing.message
            for outgoing in sent
            if outgoing.recipient == C and isinstance(outgoing.message, AppendEntries)
        ]
        self.assertEqual(self.messages, len([m for m in to_unresponsive if m.entries]))
        self.assertTrue(len(to_unresponsive) > 5)
