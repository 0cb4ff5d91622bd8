"""Guards against a group that one more failure ends after lost machines were replaced."""

import random
from functools import partial
from typing import Any

import anyio
import testtools
from marigolddoor_control.group_timing import FLEET_TIMING, GROUP_TIMING
from marigolddoor_core.instants import Instant

from bench.faults.virtual_loop import run_in_virtual_time
from tests.control.groups import Group, Process, claim
from tests.control.virtual_network import VirtualNetwork, VirtualProcess
from tests.storage.folders import temporary_folder

# The group must tolerate the next failure this long after the start of a successor.
CATCH_UP_S = 4.0
LIMIT_S = 60.0
SEEDS = 10


async def tolerates(group: Group, losses: int) -> bool:
    """Return whether the voters tolerate `losses` more failures within `CATCH_UP_S`."""
    addresses = [process.settings.address for process in group.running]
    with anyio.move_on_after(CATCH_UP_S):
        while True:
            for process in group.running:
                if process.consensus.is_leader:
                    running = sum(voter.address in addresses for voter in process.voters)
                    if running - process.replica.configuration.quorum >= losses:
                        return True
            await anyio.sleep(0.02)
    return False


async def hand_over_during_replacement(leader: Process) -> None:
    """Transfer the leadership once the successor is a voter beside the lost one."""
    while len(leader.voters) == 3:
        await anyio.sleep(0.0005)
    leader.replica.transfer(Instant(anyio.current_time()))
    leader.consensus.wake.set()


class ReplacedMachineTest(testtools.TestCase):
    """Lost machines come back with empty disks at other addresses; then others lose their disks.

    At most `losses` machines are lost at a time, so every acknowledged command must remain.
    """

    scenarios: list[tuple[str, dict[str, Any]]] = [
        (f"{name}, heartbeat {timing.heartbeat_s} s", {**case, "timing": timing})
        for timing in (FLEET_TIMING, GROUP_TIMING)
        for name, case in [
            ("a follower", {"loses_leader": False, "losses": 1, "processes": 3}),
            ("the leader", {"loses_leader": True, "losses": 1, "processes": 3}),
            ("two of six", {"loses_leader": True, "losses": 2, "processes": 6}),
            (
                "a follower, another leader before it is removed",
                {"loses_leader": False, "losses": 1, "processes": 3, "hands_over": True},
            ),
        ]
    ]

    hands_over = False

    def test_second_loss(self) -> None:
        for seed in range(SEEDS):
            run_in_virtual_time(self.run_case, random.Random(seed))

    async def run_case(self, rng: random.Random) -> None:
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as tasks:
                network = VirtualNetwork(tasks)
                settings: dict[str, Any] = {"timing": self.timing, "losses": self.losses}
                group = Group(temporary_folder(self), self.processes, tasks, **settings)
                group.new_process = partial(self.new_process, network, rng)
                for number in range(self.processes):
                    await group.start(number)
                await self.replace_and_lose(group, network)
                tasks.cancel_scope.cancel()

    def new_process(self, network: VirtualNetwork, rng: random.Random, *parts: Any) -> Process:
        process = VirtualProcess(network, *parts)
        process.rng = random.Random(rng.random())
        return process

    async def replace_and_lose(self, group: Group, network: VirtualNetwork) -> None:
        leader = await group.leader(voters=2 * self.losses + 1)
        await leader.consensus.propose(claim("before"))
        followers = [process for process in group.running if process is not leader]
        lost = [leader, *followers] if self.loses_leader else followers
        for process in lost[: self.losses]:
            await process.kill()
            network.lost.add(process.settings.address)
        if self.hands_over:
            group.tasks.start_soon(hand_over_during_replacement, leader)
        for _ in range(self.losses):
            group.addresses.append(group.free_address())
            await group.start(len(group.addresses) - 1)
        self.assertTrue(
            await tolerates(group, self.losses), f"no tolerance {CATCH_UP_S} s after the start"
        )
        wiped = lost[self.losses : 2 * self.losses]
        for process in wiped:
            await process.kill()
            for file in process.folder.iterdir():
                file.unlink()
        for process in wiped:
            await group.start(group.processes.index(process))
        last = group.running[-1]
        await last.consensus.propose(claim("after"), LIMIT_S)
        await last.consensus.read_barrier()
        self.assertEqual(["before", "after"], last.machine.keys)
