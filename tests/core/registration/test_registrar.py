"""Guards against VMs without a pool, uneven pools, and VMs that change pool when they return."""

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
    """New VMs fill the pools evenly over data centres."""

    scenarios = [
        ("one data centre", {"data_centres": 1}),
        ("two data centres", {"data_centres": 2}),
        ("three data centres", {"data_centres": 3}),
    ]

    def test_even(self) -> None:
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
    """A known VM is registered again only if its facts changed, and keeps its pool."""

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

    def test_pool_is_kept(self) -> None:
        old = announcement("vm-1", "dc-0", "r-0")
        new = dataclasses.replace(old, **self.change)
        # Pool b is empty, so a registration as new would choose it.
        looked = fleet(POOLS, [observed(new, self.state)], [record(old, "a")])
        pools = [command.pool for command in registrations(Registrar().decide(looked))]
        self.assertEqual([self.pool] if self.pool else [], pools)


class NothingDeclaredTest(testtools.TestCase):
    """Without pools a VM waits instead of getting a pool that does not exist."""

    def test_waits(self) -> None:
        looked = fleet(declaration([]), [observed(announcement("vm-1", "dc-0", "r-0"))])
        self.assertEqual((), Registrar().decide(looked))
