"""Guards against lost answers and lost jobs when processes get SIGTERM one after the other.

Callers use their connections until these are closed. RESTART_SEEDS=1,2,3 runs more orders of
events, RESTART_EVENTS=10 runs longer ones, and RESTART_LOGS names a folder for the logs.
"""

import os
import random
import shutil
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpx
import testtools

from tests.kept_logs import system_folder
from tests.platform.processes import CONTROL, ENTRIES, Connection, SystemProcesses
from tests.platform.team_keys import TeamKeys

CALLERS = 5
DEADLINE_S = 3.0
# The platform's bounds: an answer may be lost if the connection ends this soon after the request,
# and at the end of the traffic all jobs have to be known within `FINISH_S`.
LOSS_SLACK_S = 0.2
FINISH_S = 14.0
PAUSE_S = 0.15
STEPS = [{"count": 2, "cpu": 200, "estimated-ms": 100}]
EVENTS = int(os.environ.get("RESTART_EVENTS", "4"))
LOGS = os.environ.get("RESTART_LOGS", "")
SEEDS = [int(seed) for seed in os.environ.get("RESTART_SEEDS", "1").split(",")]


@dataclass
class Callers:
    """Sends requests from several callers and records what they were promised."""

    system: SystemProcesses
    rng: random.Random
    keys: TeamKeys
    accepted: set[str] = field(default_factory=set)
    cancelled: set[str] = field(default_factory=set)
    # Jobs whose last cancellation got no clear answer.
    uncertain: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    answers: dict[int, int] = field(default_factory=dict)

    async def run(self) -> None:
        """Send requests over a few connections, each until it is closed."""
        connection: Connection | None = None
        while True:
            if connection is None:
                host = self.system.choose_entry(self.rng)
                connection = Connection(f"http://{host}:{self.system.callers_port}")
            answer = await self._call(connection)
            if answer is None or answer.headers.get("connection") == "close":
                await connection.client.aclose()
                connection = None
            await anyio.sleep(self.rng.random() * PAUSE_S)

    async def _call(self, connection: Connection) -> httpx.Response | None:
        kind = self.rng.random()
        known = sorted(self.accepted)
        if kind < 0.5 or not known:
            return await self._submit(connection)
        job = self.rng.choice(known)
        if kind < 0.9:
            return await self._read(connection, job)
        return await self._cancel(connection, job)

    async def _submit(self, connection: Connection) -> httpx.Response | None:
        job = f"{self.rng.getrandbits(64):016x}"
        answer = await self._send(connection, "POST", job, {"spec": "0.1", "steps": STEPS})
        if answer is not None and answer.status_code == 200:
            self.accepted.add(job)
        return answer

    async def _read(self, connection: Connection, job: str) -> httpx.Response | None:
        was_cancelled = job in self.cancelled
        answer = await self._send(connection, "GET", job)
        if answer is not None:
            self._check_state(job, answer, was_cancelled)
        return answer

    async def _cancel(self, connection: Connection, job: str) -> httpx.Response | None:
        self.uncertain.add(job)
        answer = await self._send(connection, "DELETE", job)
        if answer is not None and answer.status_code == 200:
            self.cancelled.add(job)
        elif answer is not None and answer.status_code == 410:
            self.faults.append(f"{job} was accepted, and its cancellation is answered 410")
        return answer

    def _check_state(self, job: str, answer: httpx.Response, was_cancelled: bool) -> None:
        if answer.status_code == 410:
            self.faults.append(f"{job} was accepted and is not known")
        elif answer.status_code == 200:
            state = answer.json()["state"]
            if state == "failed" or (state == "canceled" and job not in self.uncertain):
                self.faults.append(f"{job} is shown as {state}")
            # A job that had ended before it was cancelled stays completed.
            if was_cancelled and state not in ("canceled", "completed"):
                self.faults.append(f"{job} was cancelled and is shown as {state}")

    async def _send(
        self, connection: Connection, method: str, job: str, body: Any = None
    ) -> httpx.Response | None:
        key = self.keys.newest
        try:
            answer = await connection.call(method, job, DEADLINE_S, body, key)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return None
        except httpx.HTTPError as error:
            took_s = time.monotonic() - connection.sent_at
            if took_s > LOSS_SLACK_S:
                self.faults.append(f"{method} {job}: {error!r} after {took_s:.2f} s")
            return None
        self.answers[answer.status_code] = self.answers.get(answer.status_code, 0) + 1
        # A key that was replaced twice during the call may have been withdrawn.
        was_withdrawn = answer.status_code == 401 and key != self.keys.newest
        if answer.status_code not in (200, 410, 503, 504) and not was_withdrawn:
            self.faults.append(f"{method} {job}: answered {answer.status_code}")
        return answer

    async def check_jobs(self) -> None:
        """Read every accepted job until each has ended, or for `FINISH_S`."""
        open_jobs = sorted(self.accepted)
        with anyio.move_on_after(FINISH_S):
            while open_jobs:
                connection = Connection(f"http://{ENTRIES[0]}:{self.system.callers_port}")
                for job in list(open_jobs):
                    answer = await self._read(connection, job)
                    if answer is None or answer.status_code == 410:
                        break
                    if answer.status_code == 200 and answer.json()["state"] in (
                        "completed",
                        "canceled",
                    ):
                        open_jobs.remove(job)
                await connection.client.aclose()
                await anyio.sleep(0.1)
        self.faults += [f"{job} has not ended" for job in open_jobs]


async def restart_entry(system: SystemProcesses, rng: random.Random) -> None:
    await system.restart(rng.choice(ENTRIES))


async def restart_leader(system: SystemProcesses, rng: random.Random) -> None:
    await system.restart(await system.leader() or rng.choice(CONTROL))


async def restart_any_control(system: SystemProcesses, rng: random.Random) -> None:
    await system.restart(rng.choice(CONTROL))


async def restart_entry_and_leader(system: SystemProcesses, rng: random.Random) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(restart_entry, system, rng)
        await anyio.sleep(rng.random() * 2.5)
        group.start_soon(restart_leader, system, rng)


async def change_settings(system: SystemProcesses, rng: random.Random) -> None:
    """Name other seeds in the settings files, with or without a signal."""
    system.seeds = rng.sample(CONTROL, rng.randint(1, 3))
    for host in ENTRIES:
        system.write_settings(host, False)
        if rng.random() < 0.5:
            system.running[host].send_signal(1)


async def change_configuration(system: SystemProcesses, rng: random.Random) -> None:
    with anyio.fail_after(10):
        await system.configure()


class RestartTest(testtools.TestCase):
    """Each request gets a complete answer, and each accepted job stays known and ends.

    Meanwhile keys are issued and withdrawn; a withdrawn one must not work after the bound, and jobs
    that were submitted with it stay known to their team.
    """

    scenarios = [
        (f"{name}, seed {seed}", {"events": events, "seed": seed})
        for seed in SEEDS
        for name, events in (
            ("entry processes", (restart_entry,)),
            ("leaders", (restart_leader, restart_leader, change_configuration)),
            (
                "all",
                (
                    restart_entry_and_leader,
                    restart_entry_and_leader,
                    restart_any_control,
                    change_settings,
                    change_configuration,
                ),
            ),
        )
    ]

    def test_promises(self) -> None:
        with system_folder() as folder:
            try:
                anyio.run(self._run, folder)
            finally:
                if LOGS:
                    shutil.copytree(folder, Path(LOGS) / f"seed-{self.seed}-{time.time_ns()}")

    async def _run(self, folder: Path) -> None:
        rng = random.Random(self.seed)
        async with anyio.create_task_group() as group:
            system = SystemProcesses(group, folder, "base,tenants")
            # Keys have their own source of random numbers, so a seed gives the events of before.
            keys = TeamKeys(system, random.Random(self.seed))
            callers = Callers(system, random.Random(self.seed), keys)
            try:
                with anyio.fail_after(30):
                    await system.run()
                    await keys.rotate()
                async with anyio.create_task_group() as traffic:
                    for _ in range(CALLERS):
                        traffic.start_soon(callers.run)
                    traffic.start_soon(keys.rotate_repeatedly)
                    for host in ENTRIES:
                        traffic.start_soon(keys.check, host)
                    for _ in range(EVENTS):
                        await anyio.sleep(rng.random())
                        await rng.choice(self.events)(system, rng)
                    await anyio.sleep(0.5)
                    traffic.cancel_scope.cancel()
                await callers.check_jobs()
            finally:
                with anyio.CancelScope(shield=True):
                    await system.kill_all()
                    await system.client.aclose()
            group.cancel_scope.cancel()
        if os.environ.get("RESTART_SEEDS"):
            print(
                self.id(),
                len(callers.accepted),
                "jobs, answers",
                callers.answers,
                keys.count,
                "keys",
            )
        self.assertEqual([], system.faults + callers.faults + keys.faults)
        self.assertEqual([], system.ledger.double_runs)
        self.assertTrue(len(callers.accepted) > 10, f"{len(callers.accepted)} jobs")
