"""Guards against a group that one more failure ends after lost machines were replaced."""

import socket
from contextlib import ExitStack

import anyio
import testtools
from marigolddoor_control.group_timing import FLEET_TIMING, GROUP_TIMING
from marigolddoor_wire.peers import Address, parse_address

from tests.control.groups import Group, Process, claim, free_ports, running_group
from tests.storage.folders import temporary_folder

# The group must tolerate the next failure this long after the start of a successor.
CATCH_UP_S = 4.0
LIMIT_S = 30.0


def hold_port(address: Address) -> socket.socket:
    """Accept connections at the address of a lost machine, and never answer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(parse_address(address))
    listener.listen(128)
    return listener


async def lose(process: Process, silent: ExitStack) -> None:
    """End a process for good; its address answers no more."""
    await process.kill()
    silent.enter_context(hold_port(process.settings.address))


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


class ReplacedMachineTest(testtools.TestCase):
    """Lost machines come back with empty disks at other addresses; then others lose their disks.

    At most `losses` machines are lost at a time, so every acknowledged command must remain.
    """

    scenarios = [
        (f"{name}, heartbeat {timing.heartbeat_s} s", {**case, "timing": timing})
        for timing in (FLEET_TIMING, GROUP_TIMING)
        for name, case in [
            ("a follower", {"loses_leader": False, "losses": 1, "processes": 3}),
            ("the leader", {"loses_leader": True, "losses": 1, "processes": 3}),
            ("two of six", {"loses_leader": True, "losses": 2, "processes": 6}),
        ]
    ]

    def test_second_loss(self) -> None:
        anyio.run(self.run_case)

    async def run_case(self) -> None:
        root = temporary_folder(self)
        with ExitStack() as silent, anyio.fail_after(LIMIT_S):
            async with running_group(
                root, self.processes, timing=self.timing, losses=self.losses
            ) as group:
                await self.replace_and_lose(group, silent)

    async def replace_and_lose(self, group: Group, silent: ExitStack) -> None:
        leader = await group.leader(voters=2 * self.losses + 1)
        await leader.consensus.propose(claim("before"))
        followers = [process for process in group.running if process is not leader]
        lost = [leader, *followers] if self.loses_leader else followers
        for process in lost[: self.losses]:
            await lose(process, silent)
        for port in free_ports(self.losses):
            group.addresses.append(Address(f"127.0.0.1:{port}"))
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
