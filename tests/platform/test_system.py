"""Guards against lost or duplicate runs when processes end, on real sockets and files."""

from pathlib import Path
from typing import Any

import anyio
import testtools
from marigolddoor_storage import StorageError

from tests.platform.system import HOSTS, PlatformSystem, run_system
from tests.storage.folders import temporary_folder

SECOND_STEP = {"count": 2, "cpu": 500, "estimated-ms": 100, "depends-on": [0]}
STEPS: list[dict[str, Any]] = [{"count": 4, "cpu": 500, "estimated-ms": 300}, SECOND_STEP]
JOBS = [f"{number:016x}" for number in range(6)]


async def no_event(system: PlatformSystem) -> None:
    return


async def kill_leader(system: PlatformSystem) -> None:
    system.kill(await system.leader())


async def restart_leader(system: PlatformSystem) -> None:
    leader = await system.leader()
    system.kill(leader)
    await anyio.sleep(0.5)
    system.start_control(leader, is_first=False)


async def kill_all_control(system: PlatformSystem) -> None:
    for host in HOSTS:
        system.kill(host)
    await anyio.sleep(0.3)
    for host in HOSTS:
        system.start_control(host, is_first=False)


async def wipe_follower(system: PlatformSystem) -> None:
    leader = await system.leader()
    follower = next(host for host in HOSTS if host != leader)
    system.kill(follower)
    await anyio.sleep(0.3)
    for file in (system.folder / follower).iterdir():
        file.unlink()
    system.start_control(follower, is_first=False)


async def kill_executor(system: PlatformSystem) -> None:
    system.kill("i-0")
    await anyio.sleep(0.2)
    system.start_executor("i-0")


class ProcessEndTest(testtools.TestCase):
    """Every accepted job completes; no task runs twice at the same time or after it was done."""

    scenarios = [
        (event.__name__, {"event": staticmethod(event)})
        for event in (
            no_event,
            kill_leader,
            restart_leader,
            kill_all_control,
            wipe_follower,
            kill_executor,
        )
    ]

    def test_jobs(self) -> None:
        async def scenario(system: PlatformSystem) -> None:
            for job in JOBS[:3]:
                self.assertEqual(200, await system.submit(job, STEPS, 0.3))
            await self.event(system)
            for job in JOBS[3:]:
                self.assertEqual(200, await system.submit(job, STEPS, 0.3))
            for job in JOBS:
                await system.wait_state(job, "completed")
            self.assertEqual([], system.ledger.double_runs)
            done = [task for task, outcome in system.ledger.ends if outcome == "done"]
            self.assertEqual(6 * 6, len(set(done)))
            if self.event in (no_event, wipe_follower):
                self.assertEqual(6 * 6, len(system.ledger.starts))

        run_system(scenario)


class CallersTest(testtools.TestCase):
    """Callers get the correct status for each state of a job."""

    def test_states(self) -> None:
        async def scenario(system: PlatformSystem) -> None:
            self.assertEqual("410", await system.state(JOBS[0]))
            self.assertEqual(400, await system.submit(JOBS[0], [], 0.1))
            self.assertEqual("410", await system.state(JOBS[0]))
            self.assertEqual(200, await system.submit(JOBS[0], STEPS, 0.1))
            self.assertEqual(200, await system.submit(JOBS[0], STEPS, 0.1))
            await system.wait_state(JOBS[0], "completed")
            self.assertEqual(6, len(system.ledger.starts))

        run_system(scenario)

    def test_cancel(self) -> None:
        async def scenario(system: PlatformSystem) -> None:
            long_step = {"count": 2, "cpu": 500, "estimated-ms": 300, "long-running": True}
            self.assertEqual(200, await system.submit(JOBS[0], [long_step], 50.0))
            await system.wait_state(JOBS[0], "active")
            while len(system.ledger.running) < 2:
                await anyio.sleep(0.05)
            self.assertEqual(200, await system.cancel(JOBS[0]))
            self.assertEqual("canceled", await system.state(JOBS[0]))
            while system.ledger.running:
                await anyio.sleep(0.05)
            self.assertEqual(410, await system.cancel(JOBS[1]))

        run_system(scenario)


class DiskFailureTest(testtools.TestCase):
    """A control process ends after its disk fails, so that a restart can read what is stored."""

    def test_failure(self) -> None:
        async def scenario(system: PlatformSystem) -> None:
            self.assertEqual(200, await system.submit(JOBS[0], STEPS, 0.1))
            await system.wait_state(JOBS[0], "completed")
            leader = await system.leader()
            follower = next(host for host in HOSTS if host != leader)
            system.delete_files(follower)
            self.assertEqual(200, await system.submit(JOBS[1], STEPS, 0.1))
            while follower not in system.failures:
                await anyio.sleep(0.1)
            self.assertIsInstance(system.failures[follower], StorageError)
            await system.wait_state(JOBS[1], "completed")

        run_system(scenario)


class FirstStartTest(testtools.TestCase):
    """A group is formed only when the whole system starts for the first time.

    Machines that were added while the group had no power, with each other as seeds, formed a second
    one, which acknowledged configurations that the first group never had.
    """

    # Machines without founders formed their group, and elected a leader, within 2 s.
    ELECTION_S = 4.0
    scenarios = [
        ("the first start", {"is_first": True}),
        ("machines that are added later", {"is_first": False}),
    ]

    def test_group(self) -> None:
        anyio.run(self.start_machines, temporary_folder(self))

    async def start_machines(self, folder: Path) -> None:
        leader = None
        async with anyio.create_task_group() as group:
            system = PlatformSystem(group, folder)
            for host in HOSTS:
                system.start_control(host, self.is_first)
            with anyio.move_on_after(self.ELECTION_S):
                await system.configure()
                leader = await system.leader()
            await system.client.aclose()
            group.cancel_scope.cancel()
        self.assertEqual(self.is_first, leader is not None)
