"""Guards against commands that change the state in violation of a rule."""

import testtools
from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import (
    ClaimId,
    Epoch,
    FencingToken,
    LogIndex,
    OperatorId,
    ProcessId,
    QuestionId,
    Revision,
)
from marigolddoor_core.state import commands as c
from marigolddoor_core.state import results as r
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.targets import TaskPhase

from bench.faults import state_commands as f

STEP = c.MaintenanceStep


class ResultTest(testtools.TestCase):
    """The last command of a sequence gets the expected result or refusal."""

    scenarios = [
        (name, {"commands": commands, "expected": expected})
        for name, commands, expected in [
            ("first revision", [], r.DeclarationAccepted(Revision(1))),
            (
                "the second of two operators with the same base revision gets a conflict",
                [f.declare(0, "r2", author="ben")],
                r.RevisionConflict(Revision(0), Revision(1), OperatorId("ann")),
            ),
            (
                "a resend gets the first result after a later change",
                [f.declare(1, "r2", f.with_job(3)), f.declare(0, "r1")],
                r.DeclarationAccepted(Revision(1)),
            ),
            (
                "a resend of a conflict stays a conflict",
                [
                    f.declare(0, "r2", author="ben"),
                    f.declare(1, "r3"),
                    f.declare(0, "r2", author="ben"),
                ],
                r.RevisionConflict(Revision(0), Revision(1), OperatorId("ann")),
            ),
            ("a change without a request id", [f.declare(1, "")], r.Refusal.INVALID),
            ("a VM of an unknown pool", [f.register(pool="none")], r.Refusal.UNKNOWN),
            (
                "a VM cannot change its data centre",
                [f.register(), f.register(data_centre="west")],
                r.Refusal.INVALID,
            ),
            ("a move begins", [f.register(), f.begin()], r.MoveBegun(Epoch(1))),
            ("a move begins twice", [f.register(), f.begin(), f.begin()], r.MoveBegun(Epoch(1))),
            ("a move of an unknown VM", [f.begin()], r.Refusal.UNKNOWN),
            ("a move to the same pool", [f.register(), f.begin(pool="web")], r.Refusal.INVALID),
            ("a move with another epoch", [f.register(), f.begin(epoch=2)], r.Refusal.OLD_EPOCH),
            ("a move without a drain", [f.register(), f.finish()], r.Refusal.NOT_DRAINING),
            (
                "a late end of an old move",
                [f.register(), f.begin(), f.finish(), f.begin(epoch=2, pool="web"), f.finish()],
                r.Refusal.OLD_EPOCH,
            ),
            (
                "a move while a task lease is in force",
                [f.register(), f.grant(), f.begin(), f.finish(time_s=44.0)],
                r.Refusal.LEASE_HELD,
            ),
            (
                "a move after the task lease has expired",
                [f.register(), f.grant(), f.begin(), f.finish(time_s=45.0)],
                r.Done(),
            ),
            (
                "a move of a VM in maintenance",
                [f.register(), f.maintain(STEP.DRAINING), f.begin()],
                r.Refusal.DRAINING,
            ),
            (
                "maintenance of a moving VM",
                [f.register(), f.begin(), f.maintain(STEP.DRAINING)],
                r.Refusal.DRAINING,
            ),
            ("maintenance out of order", [f.register(), f.maintain(STEP.DONE)], r.Refusal.INVALID),
            ("a retired VM is unknown", [f.register(), f.retire(), f.begin()], r.Refusal.UNKNOWN),
            (
                "a late command to a VM whose id was reused",
                [f.register(), f.retire(), f.register(), f.begin()],
                r.Refusal.OLD_EPOCH,
            ),
            ("a drain of a pool", [f.drain(pool="web")], r.Done()),
            ("a drain of an unknown pool", [f.drain(pool="none")], r.Refusal.UNKNOWN),
            ("a drain of an unknown VM", [f.drain(vm="vm-1")], r.Refusal.UNKNOWN),
            ("a drain of nothing", [f.drain()], r.Refusal.INVALID),
            ("a drain of a pool and a VM", [f.drain("web", "vm-1")], r.Refusal.INVALID),
            (
                "a resend of a drain that was refused",
                [f.drain(vm="vm-1"), f.register(), f.drain(vm="vm-1")],
                r.Refusal.UNKNOWN,
            ),
            ("a task of an unknown job", [f.submit(job="none")], r.Refusal.UNKNOWN),
            ("a task with the id of another job", [f.submit("other/0")], r.Refusal.INVALID),
            ("a lease", [f.register(), f.grant()], r.LeaseGranted(FencingToken(1))),
            ("a lease of an unknown VM", [f.grant()], r.Refusal.UNKNOWN),
            (
                "a lease in an old epoch",
                [f.register(), f.begin(), f.finish(), f.grant(epoch=1)],
                r.Refusal.OLD_EPOCH,
            ),
            ("a lease on a draining VM", [f.register(), f.begin(), f.grant()], r.Refusal.DRAINING),
            (
                "a lease on a VM in maintenance",
                [f.register(), f.maintain(STEP.DRAINING), f.grant()],
                r.Refusal.DRAINING,
            ),
            (
                "a second lease before the first has expired",
                [f.register(), f.grant(), f.grant(time_s=44.9)],
                r.Refusal.LEASE_HELD,
            ),
            (
                "a second lease after the first has expired gets a higher token",
                [f.register(), f.grant(), f.grant(time_s=45.0)],
                r.LeaseGranted(FencingToken(2)),
            ),
            (
                "a renewed lease is held longer",
                [f.register(), f.grant(), f.renew(time_s=40.0), f.grant(time_s=84.0)],
                r.Refusal.LEASE_HELD,
            ),
            (
                "a shorter renewal does not shorten a lease",
                [f.register(), f.grant(), f.renew(lease_s=1.0), f.grant(time_s=44.0)],
                r.Refusal.LEASE_HELD,
            ),
            (
                "an end with an old token",
                [f.register(), f.grant(), f.grant(time_s=45.0), f.end(1)],
                r.Refusal.OLD_TOKEN,
            ),
            (
                "a renewal with an old token",
                [f.register(), f.grant(), f.grant(time_s=45.0), f.renew(1)],
                r.Refusal.OLD_TOKEN,
            ),
            (
                "an end that is reported twice",
                [f.register(), f.grant(), f.end(), f.end()],
                r.Refusal.FINISHED,
            ),
            (
                "the end of a cancelled task",
                [f.register(), f.grant(), c.CancelTask(f.grant().task), f.end()],
                r.Refusal.FINISHED,
            ),
            (
                "the end of a run that is still running",
                [f.register(), f.grant(), f.end(phase=TaskPhase.RUNNING)],
                r.Refusal.INVALID,
            ),
            (
                "a lease of a task that is set aside",
                [f.register(), c.SetAsideTask(f.grant().task, "fails"), f.grant()],
                r.Refusal.INVALID,
            ),
            (
                "a task that is submitted again after it was set aside",
                [
                    f.register(),
                    c.SetAsideTask(f.grant().task, "fails"),
                    f.submit("report/0"),
                    f.grant(),
                ],
                r.LeaseGranted(FencingToken(1)),
            ),
            ("a claim", [f.claim()], r.ClaimGranted(ClaimId(2))),
            (
                "a claim that another process holds",
                [f.claim(), f.claim(claimant="p2")],
                r.ClaimPending(ClaimId(2), ProcessId("p1")),
            ),
            (
                "a claim of the same process for another request",
                [f.claim(), f.claim()],
                r.ClaimPending(ClaimId(2), ProcessId("p1")),
            ),
            ("a claim with another body", [f.claim(), f.claim(digest=b"e")], r.BodyMismatch()),
            (
                "a claim that ended",
                [f.claim(), f.finish_claim(2, f.stored_answer()), f.claim(claimant="p2")],
                r.ClaimFinished(ClaimId(2), f.stored_answer()),
            ),
            (
                "a claim of unknown outcome",
                [f.claim(), f.finish_claim(2, None), f.claim(claimant="p2")],
                r.ClaimFinished(ClaimId(2), None),
            ),
            (
                "the answer of another process",
                [f.claim(), f.finish_claim(2, f.stored_answer(), "p2")],
                r.Refusal.NOT_CLAIMANT,
            ),
            (
                "a second answer",
                [
                    f.claim(),
                    f.finish_claim(2, f.stored_answer()),
                    f.finish_claim(2, f.stored_answer(b"no")),
                ],
                r.Refusal.FINISHED,
            ),
            (
                "an answer that is stored twice",
                [
                    f.claim(),
                    f.finish_claim(2, f.stored_answer()),
                    f.finish_claim(2, f.stored_answer()),
                ],
                r.Done(),
            ),
            (
                "an answer after an unknown outcome",
                [f.claim(), f.finish_claim(2, None), f.finish_claim(2, f.stored_answer())],
                r.Refusal.FINISHED,
            ),
            (
                "a claim that was released",
                [f.claim(), f.release(2), f.claim(claimant="p2")],
                r.ClaimGranted(ClaimId(4)),
            ),
            (
                "a release by another process",
                [f.claim(), f.release(2, "p2")],
                r.Refusal.NOT_CLAIMANT,
            ),
            (
                "a release after the answer",
                [f.claim(), f.finish_claim(2, f.stored_answer()), f.release(2)],
                r.Refusal.FINISHED,
            ),
            (
                "a claim is kept for its deadline and the retry window",
                [f.claim(), c.ExpireClaims(609.9), f.claim(claimant="p2")],
                r.ClaimPending(ClaimId(2), ProcessId("p1")),
            ),
            (
                "a claim expires after its deadline and the retry window",
                [f.claim(), c.ExpireClaims(610.0), f.claim(claimant="p2", deadline_s=700.0)],
                r.ClaimGranted(ClaimId(4)),
            ),
            ("a question", [f.ask()], r.QuestionOpened(QuestionId("q2"))),
            (
                "a question on a subject that has one",
                [f.ask(), f.ask()],
                r.QuestionOpened(QuestionId("q2")),
            ),
            (
                "a question on a subject whose question was answered but not closed",
                [f.ask(), f.answer("q2"), f.ask()],
                r.QuestionOpened(QuestionId("q2")),
            ),
            (
                "a question on a subject whose question was closed",
                [f.ask(), c.CloseQuestion(QuestionId("q2"), "back"), f.ask()],
                r.QuestionOpened(QuestionId("q4")),
            ),
            ("a default that is not a choice", [f.ask(default="x")], r.Refusal.INVALID),
            ("an answer that is not a choice", [f.ask(), f.answer("q2", "x")], r.Refusal.INVALID),
            ("a resend of an answer", [f.ask(), f.answer("q2"), f.answer("q2")], r.Done()),
            (
                "a second answer to a question",
                [f.ask(), f.answer("q2"), f.answer("q2", "replace", "ben")],
                r.AlreadyAnswered("wait", OperatorId("ann")),
            ),
            (
                "an answer to a closed question",
                [f.ask(), c.CloseQuestion(QuestionId("q2"), "back"), f.answer("q2")],
                r.Refusal.FINISHED,
            ),
        ]
    ]

    def test_last_result(self) -> None:
        machine = StateMachine()
        last = f.apply_all(machine, f.declare(), *self.commands)[-1]
        if isinstance(self.expected, r.Refusal):
            self.assertIsInstance(last, r.Refused)
            self.assertEqual(self.expected, last.refusal)
        else:
            self.assertEqual(self.expected, last)


class IndexTest(testtools.TestCase):
    """Applying an index twice is an error of the caller, so it raises instead of refusing."""

    def test_repeated_index(self) -> None:
        machine = StateMachine()
        machine.apply(LogIndex(3), f.declare())
        self.assertRaises(InvalidInputError, machine.apply, LogIndex(3), f.register())


class DrainRequestTest(testtools.TestCase):
    """A maintenance request is pending until it is done, and a resend does not repeat it."""

    scenarios = [
        (name, {"commands": commands, "expected": expected})
        for name, commands, expected in [
            ("requested", [f.drain(pool="web")], True),
            ("another pool", [f.drain(pool="spare")], False),
            ("under way", [f.drain(vm="vm-1"), f.maintain(STEP.DRAINING)], True),
            ("already under way", [f.maintain(STEP.DRAINING), f.drain(vm="vm-1")], False),
            ("done", [f.drain(vm="vm-1"), *f.MAINTENANCE], False),
            (
                "a resend after it is done",
                [f.drain(vm="vm-1"), *f.MAINTENANCE, f.drain(vm="vm-1")],
                False,
            ),
        ]
    ]

    def test_requested(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare(), f.register(), *self.commands)
        self.assertEqual(self.expected, machine.vms[f.register().vm].maintenance_requested)
