"""Guards against a stand-in executor that continues to run tasks after it was killed.

Its listener needs half a second to close connections gracefully. Tasks that it ran or started in
that time were counted as duplicates of runs that had correctly been started elsewhere.
"""

import json
from typing import Any

import anyio
import httpx
import testtools
from marigolddoor_standins.platform_executor import PlatformExecutor, RunLedger

START = {"run": 1, "spec": "30", "fencing-token": 1}


async def call(
    client: httpx.AsyncClient, executor: PlatformExecutor, path: str, body: Any
) -> int | None:
    """Return the status of the answer, or None if there is no answer."""
    try:
        answer = await client.post(
            f"http://{executor.address}{path}",
            content=json.dumps(body),
            headers={"X-Expected-Instance": executor.name},
        )
    except httpx.HTTPError:
        return None
    return answer.status_code


class KillTest(testtools.TestCase):
    """After the kill nothing runs or starts, and no open call succeeds."""

    def test_kill(self) -> None:
        ledger = RunLedger()
        statuses: list[int | None] = []

        async def hold(client: httpx.AsyncClient, executor: PlatformExecutor) -> None:
            body = {"fencing-token": 1, "last-seen": 0, "wait-ms": 2000}
            statuses.append(await call(client, executor, "/hold", body))

        async def run_scenario() -> None:
            executor = PlatformExecutor("i-0", "desk", [], ledger)
            scope = anyio.CancelScope()

            async def run() -> None:
                with scope:
                    await executor.run()

            limits = httpx.Limits(max_keepalive_connections=4)
            async with (
                httpx.AsyncClient(timeout=5, limits=limits) as client,
                anyio.create_task_group() as group,
            ):
                group.start_soon(run)
                while not executor.address:
                    await anyio.sleep(0.01)
                deadline_ms = executor.clock_ms() + 5000
                start = {**START, "task": "a", "deadline-ms": deadline_ms}
                self.assertEqual(200, await call(client, executor, "/run-start", start))
                group.start_soon(hold, client, executor)
                await anyio.sleep(0.1)
                scope.cancel()
                await anyio.sleep(0.05)
                self.assertEqual({}, ledger.running)
                late = {**start, "task": "b"}
                statuses.append(await call(client, executor, "/run-start", late))
            # The listener answers calls that are still open with 500 when it closes.
            self.assertNotIn(200, statuses)
            self.assertEqual(["a"], ledger.starts)

        anyio.run(run_scenario)
