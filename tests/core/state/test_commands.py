"""Guards against malformed commands that raise halfway through a change."""

import dataclasses
from dataclasses import replace
from typing import Any

import testtools
from marigolddoor_core.ids import LogIndex
from marigolddoor_core.state import commands as c
from marigolddoor_core.state import results as r
from marigolddoor_core.state.machine import StateMachine

from bench.faults import state_commands as f

EXAMPLES = [
    f.declare(1, "r2"),
    f.register(),
    f.begin(),
    f.finish(),
    f.retire(),
    f.maintain(c.MaintenanceStep.DRAINING),
    f.drain(vm="vm-1"),
    f.submit(),
    f.grant(),
    f.renew(),
    f.end(),
    c.CancelTask(f.grant().task),
    c.SetAsideTask(f.grant().task, "fails"),
    f.claim(),
    f.finish_claim(2, f.stored_answer()),
    f.release(2),
    c.ExpireClaims(),
    f.ask(),
    f.answer("q2"),
    c.CloseQuestion(f.answer("q2").question, "over"),
]
# Values that violate most annotations, or are at the limits of what can be stored.
INVALID_VALUES: list[Any] = [
    None,
    True,
    -1,
    0,
    2**63,
    2**2000,
    float("nan"),
    float("inf"),
    -1e308,
    1e308,
    "",
    "\ud800",
    "x" * 100_000,
    b"\xff",
    (),
    (None,),
    [],
    {},
    object(),
    c.MaintenanceStep.DONE,
]


class InvalidFieldTest(testtools.TestCase):
    """No value of a field raises, and a refused command changes only the time."""

    scenarios = [(type(command).__name__, {"command": command}) for command in EXAMPLES]

    def test_every_field(self) -> None:
        for field in dataclasses.fields(self.command):
            for value in INVALID_VALUES:
                machine = StateMachine()
                f.apply_all(machine, f.declare(), f.register())
                before = replace(machine.snapshot(), index=LogIndex(0), time_s=0.0, requests=())
                command = replace(self.command, **{field.name: value})
                result = machine.apply(LogIndex(9), command)
                self.assertIsInstance(result, r.Result)
                if isinstance(result, r.Refused):
                    after = replace(machine.snapshot(), index=LogIndex(0), time_s=0.0, requests=())
                    self.assertEqual(before, after, f"{field.name} = {value!r:.60}")

    def test_examples_are_well_formed(self) -> None:
        machine = StateMachine()
        result = machine.apply(LogIndex(1), self.command)
        self.assertNotIn("malformed", getattr(result, "detail", ""))


class CoverageTest(testtools.TestCase):
    """Every command type has an example above and an applier in the state machine."""

    def test_all_commands(self) -> None:
        self.assertEqual(set(c.Command.__args__), {type(command) for command in EXAMPLES})
        self.assertEqual(set(c.Command.__args__), set(StateMachine()._appliers))


class NotACommandTest(testtools.TestCase):
    """A value that is not a command is refused."""

    scenarios = [(repr(value)[:20], {"value": value}) for value in INVALID_VALUES]

    def test_refused(self) -> None:
        result = StateMachine().apply(LogIndex(1), self.value)
        self.assertEqual(r.Refusal.INVALID, result.refusal)


class InvalidDeclarationTest(testtools.TestCase):
    """A declaration with invalid references or without a pool in use is refused, with a reason."""

    scenarios = [
        (name, {"declaration": declaration, "detail": detail})
        for name, declaration, detail in [
            (
                "unknown pool",
                replace(f.DECLARATION, pools=f.DECLARATION.pools[:1]),
                "services.help.pool is 'spare'",
            ),
            (
                "pool with VMs",
                replace(
                    f.DECLARATION,
                    services=f.DECLARATION.services[1:],
                    pools=f.DECLARATION.pools[1:],
                    jobs=(),
                ),
                "pool 'web' cannot be removed: it has 1 VMs",
            ),
            (
                "another organisation",
                replace(f.DECLARATION, organisation="other"),
                "cannot become 'other'",
            ),
            (
                "the same pool twice",
                replace(f.DECLARATION, pools=(*f.DECLARATION.pools, f.DECLARATION.pools[0])),
                "one of pools with this name",
            ),
            (
                "a job with a separator in its name",
                replace(f.DECLARATION, jobs=(replace(f.DECLARATION.jobs[0], id="a/b"),)),
                "a name without `/`",
            ),
        ]
    ]

    def test_refused(self) -> None:
        machine = StateMachine()
        results = f.apply_all(
            machine, f.declare(), f.register(), f.declare(1, "r2", self.declaration)
        )
        self.assertEqual(r.Refusal.INVALID, results[-1].refusal)
        self.assertIn(self.detail, results[-1].detail)
        self.assertEqual((1, f.DECLARATION), (machine.revision, machine.declaration))
