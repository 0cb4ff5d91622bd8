"""Guards against watchers that miss a change, and a cost that grows with the number of objects."""

import sys
from dataclasses import replace
from types import FrameType
from typing import Any

import testtools
from marigolddoor_core.ids import DataCentreId, LogIndex, VmId
from marigolddoor_core.state.machine import StateMachine

from bench.faults import state_commands as f

EAST, WEST = DataCentreId("east"), DataCentreId("west")


class WatchedObjectsTest(testtools.TestCase):
    """A watcher of a data centre gets what entry processes use, and only the VMs located there."""

    scenarios = [
        (str(data_centre), {"data_centre": data_centre, "expected": expected})
        for data_centre, expected in [
            (EAST, {"revision", "service", "pool", "team", "weights", "vm vm-e"}),
            (WEST, {"revision", "service", "pool", "team", "weights", "vm vm-w"}),
            (DataCentreId("north"), {"revision", "service", "pool", "team", "weights"}),
            (
                None,
                {"revision", "service", "pool", "team", "weights", "job", "task", "question"}
                | {"vm vm-e", "vm vm-w"},
            ),
        ]
    ]

    def setUp(self) -> None:
        super().setUp()
        self.machine = StateMachine()
        f.apply_all(
            self.machine,
            f.declare(),
            f.register("vm-e"),
            f.register("vm-w", data_centre="west"),
            f.ask(),
        )

    def names(self, changes: Any) -> set[str]:
        return {
            f"vm {change.key}" if change.kind.value == "vm" else change.kind.value
            for change in changes
        }

    def test_all_changes(self) -> None:
        self.assertEqual(self.expected, self.names(self.machine.all_changes(self.data_centre)))

    def test_changes_after_start(self) -> None:
        changes = self.machine.changes_after(LogIndex(0), self.data_centre)
        self.assertEqual(self.expected, self.names(changes))

    def test_no_new_changes(self) -> None:
        for index in (4, 5):
            changes = self.machine.changes_after(LogIndex(index), self.data_centre)
            self.assertEqual((), changes)


class RemovalTest(testtools.TestCase):
    """Watchers get a removal until it is compacted; then they have to read all objects again."""

    def machine(self, tombstone_limit: int) -> StateMachine:
        machine = StateMachine(tombstone_limit=tombstone_limit)
        f.apply_all(machine, f.declare(), *(f.register(f"vm-{n}") for n in range(3)))
        return machine

    def test_removal(self) -> None:
        machine = self.machine(10)
        f.apply_all(machine, f.retire("vm-1"))
        changes = machine.changes_after(LogIndex(4), EAST)
        self.assertEqual([("vm-1", None)], [(change.key, change.value) for change in changes])
        self.assertEqual((), machine.changes_after(LogIndex(4), WEST))

    def test_compacted(self) -> None:
        machine = self.machine(1)
        f.apply_all(machine, f.retire("vm-0"), f.retire("vm-1"))
        self.assertIsNone(machine.changes_after(LogIndex(4), EAST))
        self.assertEqual(1, len(machine.changes_after(LogIndex(5), EAST)))
        # Removals in one data centre do not make watchers of another one read everything again.
        self.assertEqual((), machine.changes_after(LogIndex(4), WEST))

    def test_id_reused_in_another_data_centre(self) -> None:
        machine = self.machine(10)
        f.apply_all(machine, f.retire("vm-1"), f.register("vm-1", data_centre="west"))
        east = machine.changes_after(LogIndex(4), EAST)
        west = machine.changes_after(LogIndex(4), WEST)
        self.assertEqual([None], [change.value for change in east])
        self.assertEqual([WEST], [change.value.data_centre for change in west])
        both = machine.changes_after(LogIndex(4), None)
        self.assertEqual([None, west[0].value], [change.value for change in both])


class UnchangedTest(testtools.TestCase):
    """A command that changes no watched object sends nothing to watchers."""

    scenarios = [
        (name, {"command": command})
        for name, command in [
            ("same facts", f.register()),
            ("refused", f.begin(epoch=7)),
            ("resend", f.declare()),
            ("claim", f.claim()),
        ]
    ]

    def test_no_change(self) -> None:
        machine = StateMachine()
        f.apply_all(machine, f.declare(), f.register(), self.command)
        self.assertEqual((), machine.changes_after(LogIndex(2), None))

    def test_only_changed_parts(self) -> None:
        machine = StateMachine()
        service = replace(f.DECLARATION.services[0], floor_slots=7)
        changed = replace(f.DECLARATION, services=(service, f.DECLARATION.services[1]))
        f.apply_all(machine, f.declare(), f.declare(1, "r2", changed))
        changes = machine.changes_after(LogIndex(1), None)
        self.assertEqual(
            {("revision", "declaration"), ("service", "orders")},
            {(change.kind.value, change.key) for change in changes},
        )


class CostTest(testtools.TestCase):
    """Reading the changes takes the same number of steps with 50 times the objects."""

    scenarios = [
        (name, {"data_centre": data_centre, "churn": churn})
        for name, data_centre, churn in [
            ("everything", None, False),
            ("one data centre", EAST, False),
            # Tasks change often; a watcher of a data centre does not read their changes.
            ("one data centre while tasks change", EAST, True),
        ]
    ]

    def steps(self, vms: int) -> int:
        machine = StateMachine()
        f.apply_all(machine, f.declare(), *(f.register(f"vm-{n}") for n in range(vms)))
        index = machine.index
        f.apply_all(machine, f.begin("vm-0"))
        if self.churn:
            f.apply_all(machine, *(f.submit(f"t{n}") for n in range(vms)))
        count = 0

        def trace(frame: FrameType, event: str, argument: Any) -> Any:
            nonlocal count
            count += 1
            return trace

        sys.settrace(trace)
        try:
            changes = machine.changes_after(index, self.data_centre)
        finally:
            sys.settrace(None)
        self.assertEqual([VmId("vm-0")], [change.key for change in changes])
        return count

    def test_steps_do_not_grow(self) -> None:
        self.assertEqual(self.steps(20), self.steps(1_000))
