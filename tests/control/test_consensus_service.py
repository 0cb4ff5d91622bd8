"""Guards against lost commands and stuck groups, on real sockets, files and an event loop."""

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

# Every case takes a few seconds at most; a stuck one fails after this time.
LIMIT_S = 20.0
TIMING = Timing()
# With this, no replica starts an election by timeout while a test runs.
NO_TIMEOUT = Timing(election_min_s=60.0, election_max_s=90.0)


class CountingFiles(OsFiles):
    """Counts syncs, and fails writes once `is_full` is set."""

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
    """Propose claims concurrently; return the results in order."""
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
    """Concurrent commands share a sync."""
    leader = await group.leader()
    files = CountingFiles()
    leader.consensus.store.log.current.files = files
    results = await propose_all(leader, [f"k{number}" for number in range(300)])
    assert all(isinstance(result, ClaimGranted) for result in results)
    assert files.syncs <= 30, files.syncs


async def leader_lost(group: Group) -> None:
    """A crash of the leader loses no command, and the next leader's time does not go back."""
    leader = await group.leader()
    leader.consensus.consensus_clock.observe(4e9)
    await leader.consensus.propose(claim("before"))
    await leader.kill()
    successor = await group.leader()
    await successor.consensus.propose(claim("after"))
    assert successor.machine.keys == ["before", "after"], successor.machine.keys
    assert successor.machine.times_s == sorted(successor.machine.times_s)
    assert successor.consensus.consensus_time() >= 4e9


async def planned_stop(group: Group) -> None:
    """A planned stop transfers the leadership; the election timeout exceeds the test's limit."""
    leader = await group.leader()
    await leader.consensus.propose(claim("before"))
    await leader.consensus.stop()
    successor = await group.leader()
    await successor.consensus.propose(claim("after"))
    assert successor.machine.keys == ["before", "after"]


async def wiped_follower(group: Group) -> None:
    """A wiped follower joins under a new replica id and replaces the old member."""
    await (await group.leader()).consensus.propose(claim("before"))
    follower = await group.follower()
    old_id = follower.consensus.replica_id
    await follower.kill()
    for file in follower.folder.iterdir():
        file.unlink()
    restarted = await group.start(group.processes.index(follower))
    await restarted.ready()
    leader = await group.leader()
    while leader.replica.configuration.member(old_id) is not None:
        await anyio.sleep(0.01)
    await group.leader(voters=3)
    assert restarted.consensus.replica_id != old_id
    await restarted.consensus.propose(claim("after"))
    await restarted.consensus.read_barrier()
    assert restarted.machine.keys == ["before", "after"]


async def wiped_first(group: Group) -> None:
    """The process that formed the group does not form a second one after it was wiped."""
    leader = await group.leader()
    await leader.consensus.propose(claim("before"))
    first = group.processes[0]
    await first.kill()
    for file in first.folder.iterdir():
        file.unlink()
    restarted = await group.start(0)
    await restarted.ready()
    await restarted.consensus.propose(claim("after"))
    await restarted.consensus.read_barrier()
    assert restarted.machine.keys == ["before", "after"]


async def no_quorum(group: Group) -> None:
    """Without a quorum a follower refuses commands and reads."""
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


async def isolated_leader(group: Group) -> None:
    """A leader that loses its followers reports an unknown outcome, then refuses commands."""
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
    """A leader with a full disk stops and records the failure; the others elect a new leader."""
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
    successor = await group.leader()
    assert successor is not leader
    await successor.consensus.propose(claim("after"))
    assert successor.machine.keys[0] == "before" and successor.machine.keys[-1] == "after"


async def snapshot_to_follower(group: Group) -> None:
    """A follower that missed compacted entries gets a snapshot."""
    follower = await group.follower()
    await follower.kill()
    leader = await group.leader()
    await propose_all(leader, [f"k{number}" for number in range(500)])
    await leader.consensus.take_snapshot()
    await leader.consensus.propose(claim("last"))
    restarted = await group.start(group.processes.index(follower))
    await restarted.ready()
    await restarted.consensus.read_barrier()
    assert restarted.machine.keys == leader.machine.keys
    assert len(restarted.machine.keys) == 501
    assert restarted.replica.node.snapshot == leader.replica.node.snapshot


async def spare_learner(group: Group) -> None:
    """A process beyond the required voters stays a learner, and can propose and read."""
    leader = await group.leader(voters=3)
    while not leader.replica.configuration.learners:
        await anyio.sleep(0.01)
    (learner,) = leader.replica.configuration.learners
    process = next(p for p in group.running if p.settings.address == learner.address)
    await process.consensus.propose(claim("a"))
    await process.consensus.read_barrier()
    assert process.machine.keys == ["a"]


async def all_restarted(group: Group) -> None:
    """A group whose processes all stop at once restarts with its state."""
    leader = await group.leader()
    await propose_all(leader, [f"k{number}" for number in range(20)])
    ids = {process.consensus.replica_id for process in group.running}
    for process in group.running:
        await process.kill()
    for number in range(3):
        await group.start(number)
    for process in group.running:
        await process.ready()
    follower = await group.follower()
    await follower.consensus.propose(claim("last"))
    await follower.consensus.read_barrier()
    assert sorted(follower.machine.keys) == sorted(
        [f"k{number}" for number in range(20)] + ["last"]
    )
    assert ids == {process.consensus.replica_id for process in group.running}


async def lost_voter(group: Group) -> None:
    """A lost voter is replaced by the spare learner, so that the group tolerates a second loss."""
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
    """Five voters keep the acknowledged commands when two disks are lost at once."""
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
    other = group.processes[group.processes.index(leader) - 1]
    await other.consensus.propose(claim("after"))
    await other.consensus.read_barrier()
    assert other.machine.keys == ["before", "between", "after"], other.machine.keys


Case = Callable[[Group], Awaitable[None]]


class GroupTest(testtools.TestCase):
    """Faults and restarts of a group on real sockets and files."""

    scenarios: list[tuple[str, dict[str, Any]]] = [
        (case.__name__, {"case": case, "processes": processes})
        for processes, case in [
            (3, any_process),
            (3, shared_sync),
            (3, leader_lost),
            (3, wiped_follower),
            (3, wiped_first),
            (3, no_quorum),
            (3, isolated_leader),
            (3, disk_full),
            (3, all_restarted),
            (4, spare_learner),
            (4, lost_voter),
        ]
    ] + [
        ("planned_stop", {"case": planned_stop, "processes": 3, "timing": NO_TIMEOUT}),
        (
            "snapshot_to_follower",
            {"case": snapshot_to_follower, "processes": 3, "timing": NO_TIMEOUT},
        ),
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
    """A single voter becomes leader at once, and recovers from its files after a restart."""

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
                restarted = await group.start(0)
                await restarted.consensus.propose(claim("last"))
                self.assertEqual([*keys, "last"], restarted.machine.keys)
                await restarted.consensus.stop()
                self.assertTrue(restarted.consensus.stopped.is_set())
