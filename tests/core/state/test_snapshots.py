"""Guards against a snapshot that loses a part of the state when it is stored and restored."""

import random

import testtools
from marigolddoor_core.consensus.stored import StoredState
from marigolddoor_core.ids import LogIndex
from marigolddoor_core.state import commands as c
from marigolddoor_core.state.claim_table import ANSWER_BODY_LIMIT_BYTES
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import ClaimsFull
from marigolddoor_core.targets import TaskPhase
from marigolddoor_wire.codec import decode, encode

from bench.faults import state_commands as f
from bench.faults.state import CommandGenerator, new_machine


class RoundTripTest(testtools.TestCase):
    """A decoded snapshot equals the original, and a restored machine returns an equal snapshot."""

    scenarios = [
        (name, {"commands": commands})
        for name, commands in [
            ("empty", []),
            ("declaration", [f.declare()]),
            ("conflict", [f.declare(), f.declare(0, "r2")]),
            ("move", [f.declare(), f.register(), f.begin()]),
            ("removal", [f.declare(), f.register(), f.retire()]),
            ("drain request", [f.declare(), f.register(), f.drain(vm="vm-1")]),
            (
                "failed task",
                [f.declare(), f.register(), f.grant(), f.end(1, TaskPhase.FAILED), f.grant()],
            ),
            ("pending claim", [f.declare(), f.claim()]),
            ("answer", [f.declare(), f.claim(), f.finish_claim(2, f.stored_answer())]),
            (
                "answer without body",
                [f.declare(), f.claim(), f.finish_claim(2, f.stored_answer(None))],
            ),
            ("unknown outcome", [f.declare(), f.claim(), f.finish_claim(2, None)]),
            ("question", [f.ask(), f.answer("q1"), c.CloseQuestion(f.answer("q1").question, "")]),
            ("time", [c.ExpireClaims(12.5)]),
        ]
    ]

    def test_round_trip(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, *self.commands)
        snapshot = machine.snapshot()
        self.assertEqual(snapshot, decode(encode(snapshot)))
        restored = StateMachine()
        f.apply_all(restored, f.ask("another"), f.declare(0, "r9"))
        restored.restore(decode(encode(snapshot)))
        self.assertEqual(snapshot, restored.snapshot())
        for attribute in ("index", "time_s", "revision", "author", "declaration", "vms"):
            self.assertEqual(getattr(machine, attribute), getattr(restored, attribute))
        for attribute in ("tasks", "jobs", "questions", "claims", "claims_used_bytes"):
            self.assertEqual(getattr(machine, attribute), getattr(restored, attribute))


class EncodedRunTest(testtools.TestCase):
    """Encoded and decoded commands and snapshots give the same results as the originals."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(3)]

    def test_same_results(self) -> None:
        chance = random.Random(self.seed)
        machine, other = new_machine(), new_machine()
        generator = CommandGenerator(chance)
        for number in range(1, 400):
            if number % 50 == 0:
                other = new_machine()
                other.restore(decode(encode(machine.snapshot())))
            command = generator.next_command(machine)
            result = machine.apply(LogIndex(number), command)
            generator.record_result(result)
            self.assertEqual(result, other.apply(LogIndex(number), decode(encode(command))))
        self.assertEqual(encode(machine.snapshot()), encode(other.snapshot()))


class LargeSnapshotTest(testtools.TestCase):
    """A snapshot with the maximum of claims can be decoded.

    Decoding failed while the codec kept the 16 MB limit of its library.
    """

    def test_full_claims(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare())
        while True:
            granted = f.apply_all(machine, f.claim(f"key {machine.index}"))[0]
            if isinstance(granted, ClaimsFull):
                break
            answer = f.stored_answer(bytes(ANSWER_BODY_LIMIT_BYTES))
            f.apply_all(machine, f.finish_claim(granted.claim, answer))
            if machine.claims[granted.claim].answer.body is None:
                break
        snapshot = machine.snapshot()
        stored = encode(StoredState(1.0, (encode(snapshot),)))
        self.assertGreater(len(stored), 23_000_000)
        self.assertEqual(snapshot, decode(decode(stored).parts[0]))
