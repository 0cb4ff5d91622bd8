"""Guards against an action that runs twice concurrently, and a failure that stops the others."""

import dataclasses
from typing import Any

import anyio
import testtools
from marigolddoor_control.manager import Manager, gap_after
from marigolddoor_control.platform_client import PlatformError
from marigolddoor_control.workers import OrderOutcome
from marigolddoor_core.actions import Action, OrderTask, ProposeCommand, RebootVm
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import Epoch, FencingToken, JobId, TaskId, VmId
from marigolddoor_core.ports import NoQuorumError
from marigolddoor_core.state.commands import CancelTask, Command
from marigolddoor_core.state.results import Done, Refusal, Refused, Result
from marigolddoor_core.targets import TaskOrder, TaskOrderKind

from tests.core.fleets import announcement, declaration, fleet, record

VM = record(announcement("vm-1", "dc-0", "r-0"), "a")
CANCEL = ProposeCommand(CancelTask(TaskId("t")))
ORDER = OrderTask(
    VM.vm,
    Epoch(1),
    TaskOrder(TaskOrderKind.STOP, TaskId("t"), JobId("j"), FencingToken(1)),
)
REBOOT = RebootVm(VM.vm, "vm-1/1")


class FakeDependencies:
    """Proposer, workers and platform in one; `error` is raised by each call."""

    def __init__(self, error: Exception | None, result: Result) -> None:
        self.error = error
        self.result = result
        self.calls: list[Any] = []
        self.block = anyio.Event()

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        await self.record(command)
        return self.result

    async def send(self, address: str, epoch: Epoch, order: TaskOrder) -> OrderOutcome:
        await self.record((address, order.kind))
        return OrderOutcome.ACCEPTED

    async def reboot(self, vm: VmId, request: str) -> None:
        await self.record((vm, request))

    async def record(self, call: Any) -> None:
        self.calls.append(call)
        if self.error is not None:
            raise self.error
        await self.block.wait()


class RepeatedDecision:
    """A decision that returns the same actions in every round."""

    def __init__(self, actions: tuple[Action, ...]) -> None:
        self.actions = actions
        self.rounds = 0

    def decide(self, observed: Fleet) -> tuple[Action, ...]:
        self.rounds += 1
        return self.actions


class ExecuteTest(testtools.TestCase):
    """An action in flight is not started again, for every kind of action and of failure."""

    scenarios = [
        ("all kinds", {"error": None, "result": Done(), "is_leader": True, "calls": 3}),
        (
            "refused",
            {"error": None, "result": Refused(Refusal.FINISHED), "is_leader": True, "calls": 3},
        ),
        (
            "no quorum",
            {
                "error": NoQuorumError("partitioned"),
                "result": Done(),
                "is_leader": True,
                "calls": 3,
            },
        ),
        (
            "platform fails",
            {"error": PlatformError("down"), "result": Done(), "is_leader": True, "calls": 3},
        ),
        ("not the leader", {"error": None, "result": Done(), "is_leader": False, "calls": 0}),
    ]

    def test_once(self) -> None:
        anyio.run(self.once)

    async def once(self) -> None:
        dependencies = FakeDependencies(self.error, self.result)
        decision = RepeatedDecision((CANCEL, ORDER, REBOOT))
        observed = fleet(declaration([("a", 6)]), [], [VM]) if self.is_leader else None
        manager = Manager(
            lambda: [decision],
            lambda: observed,
            dependencies,
            dependencies,
            dependencies,
            lambda: 100.0,
        )
        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(manager.run)
                while decision.rounds < 3 and self.is_leader:
                    manager.request_round()
                    await anyio.sleep(0.01)
                await anyio.wait_all_tasks_blocked()
                group.cancel_scope.cancel()
        self.assertEqual(self.calls, len(dependencies.calls))


class LateOrderTest(testtools.TestCase):
    """An expired order is not sent, because its run would outlive the lease."""

    scenarios = [
        ("in time", {"send_by_s": 100.5, "calls": 1}),
        ("too late", {"send_by_s": 99.5, "calls": 0}),
    ]

    def test_order(self) -> None:
        anyio.run(self.order)

    async def order(self) -> None:
        dependencies = FakeDependencies(None, Done())
        dependencies.block.set()
        late = dataclasses.replace(ORDER, send_by_s=self.send_by_s)
        observed = fleet(declaration([("a", 6)]), [], [VM])
        decision = RepeatedDecision((late,))
        manager = Manager(
            lambda: [decision],
            lambda: observed,
            dependencies,
            dependencies,
            dependencies,
            lambda: 100.0,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(manager.run)
            while decision.rounds < 2:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        self.assertEqual(self.calls, min(1, len(dependencies.calls)))


class GapTest(testtools.TestCase):
    """Rounds of a large fleet are further apart, so that they use at most 1% of a core."""

    scenarios = [
        ("small fleet", {"round_s": 0.0003, "gap_s": 0.05}),
        ("2,286 VMs", {"round_s": 0.023, "gap_s": 2.3}),
    ]

    def test_gap(self) -> None:
        self.assertAlmostEqual(self.gap_s, gap_after(self.round_s))
