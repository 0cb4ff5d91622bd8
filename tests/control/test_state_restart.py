"""Guards against a state that differs after a restart or a transferred snapshot."""

import anyio
import testtools
from marigolddoor_core.declaration import Declaration, Pool, Service
from marigolddoor_core.ids import (
    DataCentreId,
    IdempotencyKey,
    OperatorId,
    OrganisationId,
    PoolId,
    ProcessId,
    RackId,
    RequestId,
    Revision,
    ServiceId,
    VmId,
)
from marigolddoor_core.state.commands import ApplyDeclaration, Claim, Command, RegisterVm
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import ClaimGranted, DeclarationAccepted, Done
from marigolddoor_core.targets import Resources

from tests.control.groups import running_group
from tests.storage.folders import temporary_folder

LIMIT_S = 20.0
ORDERS, WEB = ServiceId("orders"), PoolId("web")
DECLARATION = Declaration(
    OrganisationId("o"), (Service(ORDERS, WEB, False, 6),), (Pool(WEB, 9, 4, 1),), (), ()
)


def commands(first: int, count: int) -> list[Command]:
    """Return registrations of VMs, each followed by a claim."""
    created: list[Command] = []
    for number in range(first, first + count):
        vm = VmId(f"vm-{number}")
        size = Resources(1.0, 1, 0)
        created.append(RegisterVm(vm, DataCentreId("d"), RackId("r"), "127.0.0.1:1", size, 8, WEB))
        key = IdempotencyKey(f"key-{number}")
        created.append(Claim(ORDERS, key, b"d" * 32, ProcessId("p"), 9e9))
    return created


class StateRestartTest(testtools.TestCase):
    """The state of a restarted follower equals that of the leader."""

    scenarios = [
        ("log", {"snapshot_after_bytes": 10**9, "missed": 0}),
        ("own snapshot", {"snapshot_after_bytes": 2_000, "missed": 0}),
        ("log, entries missed", {"snapshot_after_bytes": 10**9, "missed": 200}),
        ("snapshot of the leader", {"snapshot_after_bytes": 2_000, "missed": 200}),
    ]

    def test_restart(self) -> None:
        anyio.run(self.restart)

    async def restart(self) -> None:
        root = temporary_folder(self)
        settings = {"snapshot_after_bytes": self.snapshot_after_bytes, "keep_bytes": 0}
        with anyio.fail_after(LIMIT_S):
            async with running_group(root, 3, StateMachine, **settings) as group:
                leader, follower = await group.leader(), await group.follower()
                declare = ApplyDeclaration(
                    Revision(0), RequestId("r"), OperatorId("ann"), DECLARATION
                )
                result = await leader.consensus.propose(declare)
                self.assertIsInstance(result, DeclarationAccepted)
                for command in commands(0, 100):
                    result = await leader.consensus.propose(command)
                    self.assertIsInstance(result, (Done, ClaimGranted))
                await follower.consensus.read_barrier()
                await follower.kill()
                for command in commands(100, self.missed):
                    await leader.consensus.propose(command)
                restarted = await group.start(group.processes.index(follower))
                await restarted.ready()
                await restarted.consensus.read_barrier()
                self.assertEqual(leader.machine.snapshot(), restarted.machine.snapshot())
