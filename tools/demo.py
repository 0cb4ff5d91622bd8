"""The demo: the system's main functions over real sockets, all in one process.

It applies the declaration of an example organisation, starts 30 stand-in targets, sends callers'
requests, runs the declared jobs, maintains a pool and prints the timeline. It exits with status 1
if a check fails.
"""

import json
import os
import sys
import tempfile
from argparse import Namespace
from collections import Counter
from collections.abc import Callable
from io import StringIO
from pathlib import Path
from typing import Any

import anyio
import httpx
from loguru import logger
from marigolddoor_core import declaration
from marigolddoor_daemon.roles import run_roles
from marigolddoor_daemon.settings import load_settings
from marigolddoor_operator.arguments import build_parser
from marigolddoor_operator.commands import CommandContext, run_command
from marigolddoor_standins.folders import SystemFolder, example_organisation
from marigolddoor_standins.ledger import Ledger
from marigolddoor_standins.platform import Platform
from marigolddoor_standins.target import Target, TargetSettings

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = example_organisation(ROOT).parent
# Exceeds the example's budget, so that the maintenance wave is short enough for a demo.
BUDGET_VMS = 2
TARGETS = 30
WORKERS_A_RACK = 4
REQUESTS = 200
STEP_TIMEOUT_S = 45.0
MAINTAINED_POOL = "orders"


class DemoError(Exception):
    """A check of the demo failed."""


def check(description: str, condition: bool, observed: object = None) -> None:
    """Print the description of a check, or raise DemoError with what was observed if it failed."""
    if not condition:
        raise DemoError(description if observed is None else f"{description}; observed: {observed}")
    print(f"   ok: {description}")


class Operator:
    """Runs the command line in this process."""

    def __init__(self, folder: SystemFolder) -> None:
        self.remote = ["--token-file", str(folder.token_file)]
        for endpoint in folder.operators:
            self.remote += ["--endpoint", endpoint]

    async def run(self, *arguments: str) -> str:
        """Return the output of a command that must succeed."""
        remote = [] if arguments[0] == "validate" else self.remote
        options: Namespace = build_parser().parse_args([*arguments, *remote])
        output, error_output = StringIO(), StringIO()
        code = await run_command(
            options, CommandContext(declaration, os.environ, output, error_output)
        )
        if code != 0:
            raise DemoError(f"marigolddoor {arguments[0]}: exit {code}. {error_output.getvalue()}")
        return output.getvalue()

    async def show(self, *arguments: str) -> None:
        """Run a command and print its output."""
        print(f"$ marigolddoor {' '.join(arguments)}")
        for line in (await self.run(*arguments)).splitlines():
            print(f"   {line}")

    async def read(self, *arguments: str) -> Any:
        """Return the JSON of a command."""
        return json.loads(await self.run(*arguments, "--json"))


async def wait_until(description: str, condition: Callable[[], Any]) -> None:
    """Wait until an asynchronous condition holds; raise DemoError after STEP_TIMEOUT_S."""
    with anyio.move_on_after(STEP_TIMEOUT_S):
        while not await condition():
            await anyio.sleep(0.1)
        print(f"   ok: {description}")
        return
    raise DemoError(f"not within {STEP_TIMEOUT_S:.0f} s: {description}")


async def send_requests(callers: str, ledger: Ledger) -> None:
    """Send requests of every service, each non-idempotent one twice with the same key."""
    outcomes: Counter[str] = Counter()
    services = ["canning", "orders", "renewals", "settlements", "support"]

    async def send_one(client: httpx.AsyncClient, number: int) -> None:
        service = services[number % len(services)]
        headers = {
            "Marigolddoor-Service": service,
            "Marigolddoor-Team": "grocers",
            "Idempotency-Key": f"demo-{number}",
        }
        first = await client.post(f"http://{callers}/", headers=headers, content=b"jar")
        again = await client.post(f"http://{callers}/", headers=headers, content=b"jar")
        outcome = first.headers.get("marigolddoor-outcome", "none")
        outcomes[outcome if outcome == "answered" else f"{outcome}: {first.text}"] += 1
        if service != "support" and first.content != again.content:
            outcomes["resend differs"] += 1

    limits = httpx.Limits(max_connections=20)
    async with (
        httpx.AsyncClient(limits=limits, timeout=30) as client,
        anyio.create_task_group() as group,
    ):
        for number in range(REQUESTS):
            group.start_soon(send_one, client, number)
    check(
        f"{REQUESTS} requests were answered completely: {dict(outcomes)}",
        outcomes == Counter({"answered": REQUESTS}),
    )
    claimed = [
        ledger.requests[f"demo-{number}"]
        for number in range(REQUESTS)
        if services[number % len(services)] != "support"
    ]
    check(f"each of {len(claimed)} non-idempotent requests ran once", set(claimed) == {1})


def write_organisation(folder: Path) -> Path:
    """Write the example organisation with the maintenance budget replaced by `BUDGET_VMS`."""
    text = (EXAMPLE / "organisation.toml").read_text()
    path = folder / "organisation.toml"
    path.write_text(text.replace("[parameters]", f"[parameters]\nbudget_vms = {BUDGET_VMS}"))
    return path


async def run_steps(folder: SystemFolder, ledger: Ledger) -> None:
    """Run the steps of the demo."""
    operator = Operator(folder)

    async def has_leader() -> bool:
        try:
            return bool((await operator.read("status"))["leader"])
        except DemoError:
            return False

    async def all_ready() -> bool:
        return bool((await operator.read("status"))["ready"] == TARGETS)

    async def jobs_done() -> bool:
        jobs = (await operator.read("jobs"))["jobs"]
        return all(job["finished"] == job["tasks"] for job in jobs)

    async def pool_maintained() -> bool:
        pool = (await operator.read("pools", "--pool", MAINTAINED_POOL))["pools"][0]
        return all(vm["maintenance"] == "done" for vm in pool["vms"])

    await wait_until("the operators' HTTP answers", has_leader)
    organisation = write_organisation(folder.folder)
    template = str(EXAMPLE.relative_to(ROOT) / "template.toml")
    await operator.show("validate", str(organisation), "--template", template)
    await operator.show("apply", str(organisation), "--template", template)
    await wait_until(f"{TARGETS} targets announced themselves and are in pools", all_ready)
    await operator.show("pools")
    print("callers:")
    await send_requests(folder.entries[0].callers, ledger)
    print("jobs:")
    await wait_until("every task of every declared job finished", jobs_done)
    check("no task ran twice", set(ledger.tasks.values()) == {1})
    await operator.show("drain", "--pool", MAINTAINED_POOL)
    await wait_until(f"every VM of {MAINTAINED_POOL} was drained and rebooted", pool_maintained)
    check("no request was cut off", ledger.interrupted_requests == 0)
    await operator.show("questions")
    await operator.show("timeline", "--pool", MAINTAINED_POOL)
    reboots = ledger.reboots
    check("6 reboots, each VM once", len(set(reboots)) == len(reboots) == 6, reboots)
    await operator.show("status")


async def run_demo(path: Path) -> None:
    """Start the system, the platform and the targets, run the steps, and stop."""
    ledger = Ledger()
    targets: dict[str, Target] = {}
    platform = Platform(targets)
    stopping = anyio.Event()
    async with anyio.create_task_group() as standins:
        url = await standins.start(platform.run)
        folder = SystemFolder(path, data_centres=1, entries=1, platform=url, embedded=True)
        async with anyio.create_task_group() as system:
            settings = load_settings(folder.entries[0].settings)
            system.start_soon(run_roles, settings, stopping)
            for number in range(TARGETS):
                target = Target(
                    TargetSettings(
                        f"vm-{number}",
                        "dc0",
                        f"rack-{number // WORKERS_A_RACK}",
                        folder.targets_urls("dc0"),
                    ),
                    ledger,
                )
                targets[target.settings.vm] = target
                await standins.start(target.run)
            await run_steps(folder, ledger)
            stopping.set()
        standins.cancel_scope.cancel()
    print("the system stopped gracefully")


def main() -> int:
    """Run the demo in a temporary folder."""
    logger.remove()
    logger.add(sys.stderr, level="WARNING", format="   log: {message}")
    os.chdir(ROOT)
    status = 0
    with tempfile.TemporaryDirectory() as name:
        try:
            anyio.run(run_demo, Path(name))
        except* DemoError as failures:
            print(f"FAILED: {failures.exceptions}")
            status = 1
    if status == 0:
        print("demo: every check passed")
    return status


if __name__ == "__main__":
    sys.exit(main())
