"""Guards against withdrawn keys that still work at processes that were paused, killed or restarted.

KEYS_SEEDS=1,2,3 runs more orders of events.
"""

import os
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import testtools

from tests.kept_logs import system_folder
from tests.platform.processes import CONTROL, ENTRIES, SystemProcesses
from tests.platform.team_keys import REVOKE_S, TeamKeys, disclosures, metrics_pages

SEEDS = [int(seed) for seed in os.environ.get("KEYS_SEEDS", "1").split(",")]
# Longer than the bound, so that a process resumes with a view that is older than it.
PAUSE_S = REVOKE_S + 1.0

Event = Callable[[SystemProcesses, random.Random], Awaitable[None]]


async def pause_leader(system: SystemProcesses, rng: random.Random) -> None:
    await system.pause(await system.leader() or rng.choice(CONTROL), PAUSE_S)


async def pause_leader_briefly(system: SystemProcesses, rng: random.Random) -> None:
    await system.pause(await system.leader() or rng.choice(CONTROL), rng.uniform(0.1, 1.5))


async def pause_entry(system: SystemProcesses, rng: random.Random) -> None:
    await system.pause(rng.choice(ENTRIES), PAUSE_S)


async def pause_leader_and_entry(system: SystemProcesses, rng: random.Random) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(pause_leader, system, rng)
        await anyio.sleep(rng.random() * 0.2)
        group.start_soon(pause_entry, system, rng)


async def kill_leader(system: SystemProcesses, rng: random.Random) -> None:
    await system.kill(await system.leader() or rng.choice(CONTROL))


async def kill_entry(system: SystemProcesses, rng: random.Random) -> None:
    await system.kill(rng.choice(ENTRIES))


async def restart_leader(system: SystemProcesses, rng: random.Random) -> None:
    await system.restart(await system.leader() or rng.choice(CONTROL))


class WithdrawnKeyTest(testtools.TestCase):
    """No withdrawn key is answered with success after the bound, and no key is in a log or metric.

    A withdrawn key worked 13 s after the acknowledgement.
    """

    needs_machine = True
    scenarios = [
        (f"{name}, seed {seed}", {"events": events, "seed": seed})
        for seed in SEEDS
        for name, events in (
            ("leader paused", (pause_leader, pause_leader_briefly)),
            ("both paused", (pause_leader_and_entry,)),
            ("killed and restarted", (kill_leader, kill_entry, restart_leader)),
        )
    ]

    def test_withdrawal(self) -> None:
        with system_folder() as folder:
            anyio.run(self._run, folder)

    async def _run(self, folder: Path) -> None:
        rng = random.Random(self.seed)
        async with anyio.create_task_group() as group:
            system = SystemProcesses(group, folder, "base,tenants")
            keys = TeamKeys(system, random.Random(self.seed))
            try:
                with anyio.fail_after(30):
                    await system.run()
                    for _ in range(3):
                        await keys.rotate()
                async with anyio.create_task_group() as traffic:
                    for host in ENTRIES:
                        traffic.start_soon(keys.check, host)
                        traffic.start_soon(keys.check, host)
                    traffic.start_soon(keys.rotate_repeatedly)
                    for event in self.events:
                        await anyio.sleep(rng.random())
                        await event(system, rng)
                    await anyio.sleep(REVOKE_S + 1.0)
                    traffic.cancel_scope.cancel()
                pages = await metrics_pages(system)
                self.assertEqual([], disclosures(system, pages))
            finally:
                with anyio.CancelScope(shield=True):
                    await system.kill_all()
                    await system.client.aclose()
            group.cancel_scope.cancel()
        if os.environ.get("KEYS_SEEDS"):
            print(self.id(), keys.count, "keys,", keys.refused, "refused")
        self.assertEqual([], system.faults + keys.faults)
        self.assertGreater(keys.refused_after_bound, 10)
        self.assertTrue(any("calls_refused_total" in page for page in pages))
