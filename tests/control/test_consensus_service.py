"""Guards against lost commands and stuck groups of real processes' parts: sockets, files, loop."""

import errno
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import testtools
from marigolddoor_core.consensus import Role, Timing
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.state.results import ClaimGranted
from marigolddoor_storage import OsFiles

from tests.control.groups import Group, Process, claim, running_group
from tests.storage.folders import temporary_folder

# Any of the cases takes a few seconds at most; a stuck one fails here.
LIMIT_S = 20.0
# A lost voter is replaced after a second instead of a minute.
TIMING = Timing(replace_after_s=1.0)
# With this, nobody becomes leader by a timeout while a test runs.
NO_TIMEOUT = Timing(election_min_s=60.0, election_max_s=90.0)


class CountingFiles(OsFiles):
    """Counts syncs, and fails once told so."""

    def __init__(self) -> None:
        self.syncs = 0
        self.is_full = False

    def write(self, descriptor: int, data: bytes, offset: int) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data, offset)

    def sync(self, descriptor: int) -> None:
        self.syncs += 1
        super().sync(descriptor)


async def propose_all(process: Process, keys: list[str]) -> list[Any]:
    """Propose claims at the same time; return the results in order."""
    results: list[Any] = [None] * len(keys)

    async def propose(position: int) -> None:
        results[position] = await process.consensus.propose(claim(keys[position]))

    async with anyio.create_task_group() as tasks:
        for position in range(len(keys)):
            tasks.start_soon(propose, position)
    return results


async def any_process(group: Group) -> None:
    """Commands proposed at the leader and at a follower are applied everywhere."""
    leader, follower = await group.leader(), await group.follower()
    assert isinstance(await leader.consensus.propose(claim("a")), ClaimGranted)
    assert isinstance(await follower.consensus.propose(claim("b")), ClaimGranted)
    await follower.consensus.read_barrier()
    assert follower.machine.keys == leader.machine.keys == ["a", "b"]


async def shared_sync(group: Group) -> None:
    """Commands that wait together share a sync."""
    leader = await group.leader()
    files = CountingFiles()
    leader.consensus.store.log.current.files = files
    results = await propose_all(leader, [f"k{number}" for number in range(300)])
    assert all(isinstance(result, ClaimGranted) for result in results)
    assert files.syncs <= 30, files.syncs


async def leader_lost(group: Group) -> None:
    """The death of the leader loses nothing, and time does not go back under the next one."""
    leader = await group.leader()
    leader.consensus.agreed.observe(4e9)
    await leader.consensus.propose(claim("before"))
    await leader.kill()
    other = await group.leader()
    await other.consensus.propose(claim("after"))
    assert other.machine.keys == ["before", "after"], other.machine.keys
    assert other.machine.times_s == sorted(other.machine.times_s)
    assert other.consensus.agreed_time() >= 4e9


async def planned_stop(group: Group) -> None:
    """A planned stop hands over; the election timeout is longer than the limit of the test."""
    leader = await group.leader()
    await leader.consensus.propose(claim("before"))
    await leader.consensus.stop()
    other = await group.leader()
    await other.consensus.propose(claim("after"))
    assert other.machine.keys == ["before", "after"]


async def wiped_follower(group: Group) -> None:
    """A wiped follower joins under another incarnation and replaces the old one."""
    await (await group.leader()).consensus.propose(claim("before"))
    follower = await group.follower()
    old_id = follower.consensus.replica_id
    await follower.kill()
    for file in follower.folder.iterdir():
        file.unlink()
    again = await group.start(group.processes.index(follower))
    await again.ready()
    leader = await group.leader()
    while leader.replica.configuration.member(old_id) is not None:
        await anyio.sleep(0.01)
    await group.leader(voters=3)
    assert again.consensus.replica_id != old_id
    await again.consensus.propose(claim("after"))
    await again.consensus.read_barrier()
    assert again.machine.keys == ["before", "after"]


async def wiped_first(group: Group) -> None:
    """The process that formed the group does not form another one after it was wiped."""
    leader = await group.leader()
    await leader.consensus.propose(claim("before"))
    first = group.processes[0]
    await first.kill()
    for file in first.folder.iterdir():
        file.unlink()
    again = await group.start(0)
    await again.ready()
    await again.consensus.propose(claim("after"))
    await again.consensus.read_barrier()
    assert again.machine.keys == ["before", "after"]


async def no_quorum(group: Group) -> None:
    """Without a quorum a command is refused as not accepted, or its outcome is unknown."""
    leader, follower = await group.leader(), await group.follower()
    for process in group.running:
        if process not in (leader, follower):
            await process.kill()
    await leader.kill()
    try:
        await follower.consensus.propose(claim("late"), 1.5)
        raise AssertionError("accepted without a quorum")
    except NoQuorumError:
        pass
    try:
        await follower.consensus.read_barrier(0.3)
        raise AssertionError("read without a quorum")
    except NoQuorumError:
        pass


async def leader_cut_off(group: Group) -> None:
    """A leader that loses its followers says that the outcome is unknown, then refuses."""
    leader = await group.leader()
    for process in group.running:
        if process is not leader:
            await process.kill()
    try:
        await leader.consensus.propose(claim("x"), 0.3)
        raise AssertionError("acknowledged without a quorum")
    except ProposalOutcomeUnknownError:
        pass
    while leader.replica.role is Role.LEADER:
        await leader.consensus.role_changed.wait()
    try:
        await leader.consensus.propose(claim("y"), 0.2)
        raise AssertionError("accepted without a quorum")
    except NoQuorumError:
        pass


async def disk_full(group: Group) -> None:
    """A leader whose disk is full stops and reports it; the others go on."""
    leader = await group.leader()
    await leader.consensus.propose(claim("before"))
    files = CountingFiles()
    files.is_full = True
    leader.consensus.store.log.current.files = files
    try:
        await leader.consensus.propose(claim("lost"))
        raise AssertionError("acknowledged on a full disk")
    except ProposalOutcomeUnknownError:
        pass
    assert leader.consensus.failure is not None
    assert not leader.consensus.is_leader
    other = await group.leader()
    assert other is not leader
    await other.consensus.propose(claim("after"))
    assert other.machine.keys[0] == "before" and other.machine.keys[-1] == "after"


async def snapshot_to_follower(group: Group) -> None:
    """A follower that missed compacted entries gets a snapshot."""
    follower = await group.follower()
    await follower.kill()
    leader = await group.leader()
    await propose_all(leader, [f"k{number}" for number in range(500)])
    await leader.consensus.take_snapshot()
    await leader.consensus.propose(claim("last"))
    again = await group.start(group.processes.index(follower))
    await again.ready()
    await again.consensus.read_barrier()
    assert again.machine.keys == leader.machine.keys
    assert len(again.machine.keys) == 501
    assert again.replica.node.snapshot == leader.replica.node.snapshot


async def spare_learner(group: Group) -> None:
    """A process more than there are voters wanted stays a learner, and proposes and reads."""
    leader = await group.leader(voters=3)
    while not leader.replica.configuration.learners:
        await anyio.sleep(0.01)
    (learner,) = leader.replica.configuration.learners
    process = next(p for p in group.running if p.settings.address == learner.address)
    await process.consensus.propose(claim("a"))
    await process.consensus.read_barrier()
    assert process.machine.keys == ["a"]


async def all_restarted(group: Group) -> None:
    """A group whose processes all stop at once goes on with what it had."""
    leader = await group.leader()
    await propose_all(leader, [f"k{number}" for number in range(20)])
    ids = {process.consensus.replica_id for process in group.running}
    for process in group.running:
        await process.kill()
    for number in range(3):
        await group.start(number)
    for process in group.running:
        await process.ready()
    again = await group.follower()
    await again.consensus.propose(claim("last"))
    await again.consensus.read_barrier()
    assert sorted(again.machine.keys) == sorted([f"k{number}" for number in range(20)] + ["last"])
    assert ids == {process.consensus.replica_id for process in group.running}


async def lost_voter(group: Group) -> None:
    """A voter that stays away is replaced by the spare, so that another one may be lost."""
    leader = await group.leader(voters=3)
    while not leader.replica.configuration.learners:
        await anyio.sleep(0.01)
    (learner,) = leader.replica.configuration.learners
    lost = next(
        process
        for process in group.running
        if process is not leader and process.settings.address != learner.address
    )
    await lost.kill()
    while learner not in leader.voters:
        await anyio.sleep(0.01)
    other = next(
        process
        for process in group.running
        if process is not leader and process.settings.address != learner.address
    )
    await leader.consensus.propose(claim("between"))
    await other.kill()
    await leader.consensus.propose(claim("after"))
    assert leader.machine.keys == ["between", "after"]


async def two_disks_lost(group: Group) -> None:
    """Five voters keep what they acknowledged when the disks of two are lost at once."""
    leader = await group.leader(voters=5)
    await leader.consensus.propose(claim("before"))
    lost = [process for process in group.running if process is not leader][:2]
    for process in lost:
        await process.kill()
    await leader.consensus.propose(claim("between"))
    for process in lost:
        for file in process.folder.iterdir():
            file.unlink()
    for process in lost:
        await group.start(group.processes.index(process))
    while any(process.consensus.replica is None for process in group.running):
        await anyio.sleep(0.01)
    await group.leader(voters=5)
    again = group.processes[group.processes.index(leader) - 1]
    await again.consensus.propose(claim("after"))
    await again.consensus.read_barrier()
    assert again.machine.keys == ["before", "between", "after"], again.machine.keys


Case = Callable[[Group], Awaitable[None]]


class GroupTest(testtools.TestCase):
    """Cases of a group over real sockets and files."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        (case.__name__, {"case": case, "processes": processes})
        for processes, case in [
            (3, any_process),
            (3, shared_sync),
            (3, leader_lost),
            (3, wiped_follower),
            (3, wiped_first),
            (3, no_quorum),
            (3, leader_cut_off),
            (3, disk_full),
            (3, snapshot_to_follower),
            (3, all_restarted),
            (4, spare_learner),
            (4, lost_voter),
        ]
    ] + [
        ("planned_stop", {"case": planned_stop, "processes": 3, "timing": NO_TIMEOUT}),
        ("two_disks_lost", {"case": two_disks_lost, "processes": 6, "losses": 2}),
    ]
    timing = TIMING
    losses = 1

    def test_case(self) -> None:
        anyio.run(self.run_case)

    async def run_case(self) -> None:
        root = temporary_folder(self)
        with anyio.fail_after(LIMIT_S):
            async with running_group(
                root, self.processes, keep_bytes=0, timing=self.timing, losses=self.losses
            ) as group:
                await self.case(group)


class SingleTest(testtools.TestCase):
    """One voter alone leads at once, and continues from its files after a restart."""

    scenarios = [
        ("log only", {"snapshot_after_bytes": 10**9}),
        ("snapshots", {"snapshot_after_bytes": 2_000}),
    ]

    def test_restart(self) -> None:
        anyio.run(self.restart)

    async def restart(self) -> None:
        root = temporary_folder(self)
        keys = [f"k{number}" for number in range(200)]
        settings: dict[str, Any] = {
            "snapshot_after_bytes": self.snapshot_after_bytes,
            "keep_bytes": 500,
            "timing": NO_TIMEOUT,
        }
        with anyio.fail_after(LIMIT_S):
            async with running_group(root, 1, **settings) as group:
                process = await group.leader()
                for part in (keys[:50], keys[50:120], keys[120:]):
                    await propose_all(process, part)
                await process.kill()
                again = await group.start(0)
                await again.consensus.propose(claim("last"))
                self.assertEqual([*keys, "last"], again.machine.keys)
                await again.consensus.stop()
                self.assertTrue(again.consensus.stopped.is_set())
