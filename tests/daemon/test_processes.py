"""Guards against lost changes and double runs when real processes are killed or paused."""

import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import httpx
import testtools
from marigolddoor_standins.folders import ProcessFiles, SystemFolder, example_organisation
from marigolddoor_standins.ledger import Ledger
from marigolddoor_standins.operators import Operators
from marigolddoor_standins.processes import DaemonProcesses
from marigolddoor_standins.target import Target, TargetSettings

ROOT = Path(__file__).resolve().parent.parent.parent
EXAMPLE = example_organisation(ROOT)
TARGETS = 15
# Far longer than any step takes on a busy machine, so that only a step that hangs fails.
TEST_TIMEOUT_S = 90.0
SLOW_WORK_S = 1.5
CHANGES = 1_000


@dataclass
class System:
    """Control processes, entry processes and targets in three data centres."""

    folder: SystemFolder
    processes: DaemonProcesses
    operators: Operators
    ledger: Ledger
    targets: list[Target]
    client: httpx.AsyncClient

    async def start(self, files: list[ProcessFiles]) -> None:
        async with anyio.create_task_group() as group:
            for one in files:
                group.start_soon(self.processes.start, one)

    async def send(self, entry: int, service: str, key: str, deadline_s: float = 8.0) -> Any:
        """Send one request to an entry process."""
        headers = {
            "Marigolddoor-Service": service,
            "Marigolddoor-Team": "grocers",
            "Marigolddoor-Deadline-Ms": str(int(deadline_s * 1000)),
            "Idempotency-Key": key,
        }
        url = f"http://{self.folder.entries[entry].callers}/"
        return await self.client.post(url, headers=headers, content=b"jar", timeout=20.0)

    async def send_until_answered(self, entry: int, service: str, key: str) -> httpx.Response:
        """Repeat the request while the outcome is not-run."""
        while True:
            answer = await self.send(entry, service, key)
            if answer.headers["marigolddoor-outcome"] != "not-run":
                return answer
            await anyio.sleep(0.1)

    async def leader(self) -> ProcessFiles:
        """Return the control process that is the leader."""
        replica = (await self.operators.leader_status())["leader"]
        return next(files for files in self.folder.controls if replica.startswith(files.name))

    async def wait_revision(self, revision: int) -> None:
        """Wait until every entry process reports that the revision is in force."""
        while True:
            status = await self.operators.leader_status()
            current = [one["revision"] for one in status["in_force"] if one["age_s"] < 2.5]
            if len(current) == len(self.folder.entries) and min(current) >= revision:
                return
            await anyio.sleep(0.1)


async def kill_the_leader(case: "FaultTest", system: System) -> None:
    """An answered idempotency key gets the same answer after the leader is killed."""
    first = await system.send_until_answered(0, "orders", "before")
    leader = await system.leader()
    await system.processes.kill(leader.name)
    other = next(
        number
        for number, entry in enumerate(system.folder.entries)
        if entry.data_centre != leader.data_centre
    )
    again = await system.send_until_answered(other, "orders", "before")
    case.assertEqual((200, first.content), (again.status_code, again.content))
    case.assertEqual(200, (await system.send_until_answered(other, "orders", "after")).status_code)
    case.assertEqual({"before": 1, "after": 1}, dict(system.ledger.requests))


async def kill_an_entry_process_after_dispatch(case: "FaultTest", system: System) -> None:
    """After its entry process is killed, the outcome of a request is unknown; it is not rerun."""
    for target in system.targets:
        target.faults.slow_s = SLOW_WORK_S

    async def send_and_lose() -> None:
        try:
            await system.send(0, "orders", "lost")
        except httpx.TransportError:
            return
        case.fail("the killed process sent an answer")

    async with anyio.create_task_group() as group:
        group.start_soon(send_and_lose)
        while not system.ledger.requests["lost"]:
            await anyio.sleep(0.01)
        await system.processes.kill(system.folder.entries[0].name)
    again = await system.send(1, "orders", "lost", deadline_s=1.0)
    case.assertEqual("unknown", again.headers["marigolddoor-outcome"])
    case.assertIn("/marigolddoor/outcomes/orders/lost", again.headers["location"])
    case.assertEqual(1, system.ledger.requests["lost"])


async def pause_the_leader(case: "FaultTest", system: System) -> None:
    """A leader that was paused does not undo changes accepted in the meantime."""
    leader = await system.leader()
    system.processes.pause(leader.name)
    others = Operators([f"http://{c.operators}" for c in system.folder.controls if c != leader])
    revision = (await others.leader_status())["revision"]
    accepted = await others.apply(EXAMPLE, revision, parameters={"support_floor": 3})
    case.assertEqual(200, accepted.status_code, accepted.text)
    system.processes.resume(leader.name)
    await system.wait_revision(revision + 1)
    endpoint = f"http://{leader.operators}"
    with anyio.fail_after(10):
        while (await Operators([endpoint]).get("/v1/status"))["revision"] != revision + 1:
            await anyio.sleep(0.1)
    stale = await system.operators.apply(EXAMPLE, revision, endpoint=endpoint)
    case.assertEqual(409, stale.status_code, stale.text)
    case.assertEqual(revision + 1, stale.json()["current_revision"])


async def lose_the_quorum(case: "FaultTest", system: System) -> None:
    """Without a quorum, idempotent requests are served and others are refused as not run."""
    survivor = system.folder.controls[0]
    for files in system.folder.controls[1:]:
        await system.processes.kill(files.name)
    served = await system.send(0, "support", "idempotent")
    case.assertEqual("answered", served.headers["marigolddoor-outcome"])
    refused = await system.send(0, "orders", "claimed", deadline_s=4.0)
    case.assertEqual("not-run", refused.headers["marigolddoor-outcome"])
    case.assertIn("retry-after", refused.headers)
    case.assertEqual(0, system.ledger.requests["claimed"])
    await system.start(system.folder.controls[1:])
    answered = await system.send_until_answered(0, "orders", "claimed")
    case.assertEqual("answered", answered.headers["marigolddoor-outcome"])
    case.assertEqual(1, system.ledger.requests["claimed"])
    case.assertIn(survivor.name, system.processes.running)


async def restart_all_processes(case: "FaultTest", system: System) -> None:
    """Accepted revisions and stored answers survive when all processes are killed at once."""
    first = await system.send_until_answered(0, "orders", "kept")
    revision = (await system.operators.leader_status())["revision"]
    for number in range(5):
        accepted = await system.operators.apply(
            EXAMPLE, revision + number, parameters={"support_floor": 2 + number % 2}
        )
        case.assertEqual(200, accepted.status_code, accepted.text)
    for name in list(system.processes.running):
        await system.processes.kill(name)
    await system.start([*system.folder.controls, *system.folder.entries])
    await system.wait_revision(revision + 5)
    again = await system.send_until_answered(2, "orders", "kept")
    case.assertEqual(first.content, again.content)
    case.assertEqual(1, system.ledger.requests["kept"])


async def restart_after_many_changes(case: "FaultTest", system: System) -> None:
    """Replicas and an entry process that restart after 1,000 changes recover all of them."""
    base = (await system.operators.leader_status())["revision"]
    for number in range(CHANGES):
        parameters = {"support_floor": 1 + number % 4}
        applied = await system.operators.apply(EXAMPLE, base + number, parameters=parameters)
        case.assertEqual(200, applied.status_code, applied.text)
    entry = system.folder.entries[0]
    for files in [*system.folder.controls, entry]:
        await system.processes.kill(files.name)
    await system.start([*system.folder.controls, entry])
    await system.wait_revision(base + CHANGES)
    case.assertEqual(base + CHANGES, (await system.operators.leader_status())["revision"])


async def stop_an_entry_process(case: "FaultTest", system: System) -> None:
    """A graceful stop of an entry process completes all requests in flight."""
    for target in system.targets:
        target.faults.slow_s = SLOW_WORK_S
    answers: list[httpx.Response] = []

    async def send(number: int) -> None:
        answers.append(await system.send(0, "support", f"stop-{number}"))

    statuses: list[int] = []
    async with anyio.create_task_group() as group:
        for number in range(5):
            group.start_soon(send, number)
        while len(system.ledger.requests) < 5:
            await anyio.sleep(0.01)
        statuses.append(await system.processes.stop(system.folder.entries[0].name))
    case.assertEqual([0], statuses)
    case.assertEqual({"answered"}, {one.headers["marigolddoor-outcome"] for one in answers})
    case.assertEqual((5, 0), (len(answers), system.ledger.interrupted_requests))


async def change_concurrently(case: "FaultTest", system: System) -> None:
    """Of concurrent changes to one revision, one wins; a resend gets the same answer."""
    revision = (await system.operators.leader_status())["revision"]
    results: list[httpx.Response] = []

    async def apply(number: int) -> None:
        results.append(
            await system.operators.apply(
                EXAMPLE,
                revision,
                request=f"race-{number}",
                parameters={"support_floor": 1 + number},
                endpoint=system.operators.endpoints[number],
            )
        )

    async with anyio.create_task_group() as group:
        for number in range(3):
            group.start_soon(apply, number)
    case.assertEqual([200, 409, 409], sorted(result.status_code for result in results))
    winner = next(result for result in results if result.status_code == 200)
    number = int(winner.json()["request"].removeprefix("race-"))
    resent = await system.operators.apply(
        EXAMPLE,
        revision,
        request=f"race-{number}",
        parameters={"support_floor": 1 + number},
    )
    case.assertEqual(winner.json(), resent.json())
    case.assertEqual(revision + 1, (await system.operators.leader_status())["revision"])


async def remove_a_target(case: "FaultTest", system: System) -> None:
    """2 s after a target leaves, no entry process of its data centre sends it a request."""
    leaving = next(t for t in system.targets if t.assignment.pool == "support")
    entries = [
        number
        for number, entry in enumerate(system.folder.entries)
        if entry.data_centre == leaving.settings.data_centre
    ]
    case.assertEqual(2, len(entries))
    # The entry process that is not the holder sends requests too, so it must be notified.
    for entry in entries:
        served = leaving.served
        while leaving.served == served:
            await system.send(entry, "support", "before")
    leaving.leaving = True
    leaving.changed()
    await anyio.sleep(2.0)
    served = leaving.served
    for number in range(30):
        await system.send(entries[number % 2], "support", f"leave-{number}", deadline_s=0.5)
    case.assertEqual(served, leaving.served)


async def query_a_request(case: "FaultTest", system: System) -> None:
    """A control process reports how an entry process handled a request, by its request id."""
    answer = await system.send_until_answered(0, "orders", "asked")
    request = answer.headers["marigolddoor-request-id"]
    found = await system.operators.get("/v1/timeline", request=request)
    kinds = [event["kind"] for event in found["events"]]
    case.assertEqual(
        ["request received", "claim granted", "request sent", "request answered"], kinds
    )


Fault = Callable[["FaultTest", System], Awaitable[None]]
FAULTS: list[Fault] = [
    kill_the_leader,
    kill_an_entry_process_after_dispatch,
    pause_the_leader,
    lose_the_quorum,
    restart_all_processes,
    restart_after_many_changes,
    stop_an_entry_process,
    change_concurrently,
    remove_a_target,
    query_a_request,
]


class FaultTest(testtools.TestCase):
    """Injects each fault into a system of six processes, or nine with two entries each."""

    scenarios = [
        (fault.__name__, {"fault": fault, "entries": 2 if fault is remove_a_target else 1})
        for fault in FAULTS
    ]

    def test_fault(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            anyio.run(self.run_system, Path(name))

    async def run_system(self, path: Path) -> None:
        folder = SystemFolder(path, data_centres=3, entries=self.entries, log_level="error")
        ledger = Ledger()
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with (
                httpx.AsyncClient() as client,
                DaemonProcesses() as processes,
                anyio.create_task_group() as group,
            ):
                operators = Operators(folder.operators)
                system = System(folder, processes, operators, ledger, [], client)
                await system.start([*folder.controls, *folder.entries])
                await operators.leader_status()
                applied = await operators.apply(EXAMPLE, 0)
                self.assertEqual(200, applied.status_code, applied.text)
                for number in range(TARGETS):
                    target = Target(_target_settings(folder, number), ledger)
                    system.targets.append(target)
                    await group.start(target.run)
                while (await operators.leader_status())["ready"] < TARGETS:
                    await anyio.sleep(0.1)
                await system.wait_revision(1)
                await self.fault(self, system)
                group.cancel_scope.cancel()


def _target_settings(folder: SystemFolder, number: int) -> TargetSettings:
    data_centre = f"dc{number % 3}"
    return TargetSettings(
        f"vm-{number}", data_centre, f"rack-{number % 2}", folder.targets_urls(data_centre)
    )
