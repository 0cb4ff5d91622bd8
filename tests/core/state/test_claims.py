"""Guards against claims that exceed their memory limit, or are dropped before they expire."""

import gc
import tracemalloc

import testtools
from marigolddoor_core.state import commands as c
from marigolddoor_core.state import results as r
from marigolddoor_core.state.claim_table import (
    ANSWER_BODY_LIMIT_BYTES,
    CLAIMS_LIMIT_BYTES,
    KEY_LIMIT,
)
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_wire.codec import decode, encode

from bench.faults import state_commands as f


class StoredAnswerTest(testtools.TestCase):
    """An answer that is too large is stored without its body, but with its status and digest."""

    scenarios = [
        (name, {"size": size, "limit_bytes": limit_bytes, "is_kept": is_kept})
        for name, size, limit_bytes, is_kept in [
            ("small", 10, CLAIMS_LIMIT_BYTES, True),
            ("at the limit", ANSWER_BODY_LIMIT_BYTES, CLAIMS_LIMIT_BYTES, True),
            ("over the limit", ANSWER_BODY_LIMIT_BYTES + 1, CLAIMS_LIMIT_BYTES, False),
            ("over the memory", 500, 1_000, False),
        ]
    ]

    def test_stored_answer(self) -> None:
        machine = StateMachine(self.limit_bytes)
        answer = f.stored_answer(b"x" * self.size)
        result = f.apply_all(machine, f.declare(), f.claim(), f.finish_claim(2, answer), f.claim())[
            -1
        ]
        body = answer.body if self.is_kept else None
        self.assertEqual(body, result.answer.body)
        self.assertEqual(
            (200, answer.body_digest), (result.answer.status, result.answer.body_digest)
        )
        self.assertLessEqual(machine.claims_used_bytes, self.limit_bytes)

    def test_resend_of_the_answer(self) -> None:
        machine = StateMachine(self.limit_bytes)
        answer = f.finish_claim(2, f.stored_answer(b"x" * self.size))
        self.assertEqual(r.Done(), f.apply_all(machine, f.declare(), f.claim(), answer, answer)[-1])


class MemoryLimitTest(testtools.TestCase):
    """At the memory limit, new claims are refused and existing ones are kept until they expire."""

    def test_new_claims_are_refused(self) -> None:
        machine = StateMachine(2_000)
        f.apply_all(machine, f.declare())
        results = f.apply_all(machine, *(f.claim(f"k{n}") for n in range(5)))
        self.assertEqual([r.ClaimsFull()] * 2, results[3:])
        self.assertIsInstance(f.apply_all(machine, f.claim("k0", "p2"))[0], r.ClaimPending)
        later = f.claim("k3", time_s=611.0, deadline_s=620.0)
        self.assertIsInstance(f.apply_all(machine, later)[0], r.ClaimGranted)

    def test_released_claims_free_their_memory(self) -> None:
        machine = StateMachine(2_000)
        f.apply_all(machine, f.declare())
        for n in range(300):
            granted = f.apply_all(machine, f.claim(f"k{n}"))[0]
            self.assertIsInstance(granted, r.ClaimGranted)
            f.apply_all(machine, f.release(granted.claim))
        self.assertEqual(0, machine.claims_used_bytes)
        # The expiry heap does not accumulate entries of released claims.
        self.assertLess(len(machine._claims._by_expiry), 100)


class LengthLimitTest(testtools.TestCase):
    """A caller cannot exhaust the memory with long keys, digests, content types or deadlines."""

    scenarios = [
        (name, {"command": command, "refused": refused})
        for name, command, refused in [
            ("longest key", f.claim("k" * KEY_LIMIT), False),
            ("key", f.claim("k" * (KEY_LIMIT + 1)), True),
            ("no key", f.claim(""), True),
            ("digest", f.claim(digest=b"d" * 65), True),
            ("digest of an answer", f.finish_claim(2, c.KeptAnswer(200, "", b"", b"d" * 65)), True),
            (
                "content type",
                f.finish_claim(2, c.KeptAnswer(200, "t" * 1_000_000, b"", b"d")),
                False,
            ),
        ]
    ]

    def test_long_fields_are_not_stored(self) -> None:
        machine = StateMachine()
        result = f.apply_all(machine, f.declare(), f.claim("first"), self.command)[-1]
        self.assertEqual(self.refused, isinstance(result, r.Refused))
        for claim in machine.claims.values():
            self.assertTrue(claim.answer is None or claim.answer.content_type == "")

    def test_far_deadline_expires_within_two_days(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare(), f.claim(deadline_s=1e300), c.ExpireClaims(172_800.0))
        self.assertEqual({}, dict(machine.claims))


class AccountedMemoryTest(testtools.TestCase):
    """Claims use no more memory than they are accounted for, also after a restore."""

    scenarios = [
        (f"{size} bytes", {"size": size, "count": count})
        for size, count in [(None, 3_000), (0, 3_000), (1_000, 1_500)]
    ]

    def test_used_memory_is_accounted(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare())
        gc.collect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        for number in range(self.count):
            claim = f.claim(f"3f0e8a52-6d1c-4c39-9a7e-{number:012d}", digest=bytes(32))
            granted = f.apply_all(machine, decode(encode(claim)))[0]
            if self.size is not None:
                answer = f.finish_claim(granted.claim, f.stored_answer(b"x" * self.size))
                f.apply_all(machine, decode(encode(answer)))
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        self.assertLessEqual(used, machine.claims_used_bytes)
        data = encode(machine.snapshot())
        before = tracemalloc.get_traced_memory()[0]
        restored = StateMachine()
        restored.restore(decode(data))
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        self.assertLessEqual(used, restored.claims_used_bytes)
