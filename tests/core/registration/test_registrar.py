"""Guards against unassigned VMs, unevenly filled pools, and returning VMs that change pool."""

import dataclasses
from collections import Counter

import testtools
from marigolddoor_core.actions import ProposeCommand
from marigolddoor_core.registration import Registrar
from marigolddoor_core.state.commands import RegisterVm
from marigolddoor_core.targets import TargetState

from tests.core.fleets import announcement, declaration, fleet, observed, record

POOLS = declaration([("a", 6), ("b", 6)])


def registrations(actions: object) -> list[RegisterVm]:
    """Return the registrations among `actions`."""
    assert isinstance(actions, tuple)
    found = []
    for action in actions:
        assert isinstance(action, ProposeCommand)
        assert isinstance(action.command, RegisterVm)
        found.append(action.command)
    return found


class SpreadTest(testtools.TestCase):
    """New VMs are spread evenly over pools and data centres."""

    scenarios = [
        ("one data centre", {"data_centres": 1}),
        ("two data centres", {"data_centres": 2}),
        ("three data centres", {"data_centres": 3}),
    ]

    def test_even_spread(self) -> None:
        targets = [
            observed(announcement(f"vm-{i}", f"dc-{i % self.data_centres}", f"r-{i % 4}"))
            for i in range(12)
        ]
        commands = registrations(Registrar().decide(fleet(POOLS, targets)))
        sizes = Counter(command.pool for command in commands)
        self.assertEqual({"a": 6, "b": 6}, dict(sizes))
        per_domain = Counter((command.pool, command.data_centre) for command in commands)
        self.assertEqual({6 // self.data_centres}, set(per_domain.values()))


class KnownVmTest(testtools.TestCase):
    """A ready VM is registered again if its facts changed, and keeps its pool."""

    scenarios = [
        ("unchanged", {"change": {}, "state": TargetState.READY, "pool": None}),
        (
            "new address",
            {"change": {"address": "127.0.0.1:9999"}, "state": TargetState.READY, "pool": "a"},
        ),
        (
            "suspected",
            {"change": {"address": "127.0.0.1:9999"}, "state": TargetState.SUSPECTED, "pool": None},
        ),
        (
            "leaving",
            {
                "change": {"address": "127.0.0.1:9999", "leaving": True},
                "state": TargetState.READY,
                "pool": None,
            },
        ),
    ]

    def test_pool_is_unchanged(self) -> None:
        old = announcement("vm-1", "dc-0", "r-0")
        new = dataclasses.replace(old, **self.change)
        # Pool b is empty, so it would be chosen for a new VM.
        observed_fleet = fleet(POOLS, [observed(new, self.state)], [record(old, "a")])
        pools = [command.pool for command in registrations(Registrar().decide(observed_fleet))]
        self.assertEqual([self.pool] if self.pool else [], pools)


class NoPoolsTest(testtools.TestCase):
    """Without a declared pool, an announced VM is not registered."""

    def test_no_registration(self) -> None:
        observed_fleet = fleet(declaration([]), [observed(announcement("vm-1", "dc-0", "r-0"))])
        self.assertEqual((), Registrar().decide(observed_fleet))
