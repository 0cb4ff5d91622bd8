"""Guards against a heartbeat that ends an executor which nobody has asked."""

from dataclasses import replace
from typing import Any

import anyio
import testtools
from marigolddoor_control.fleet.fleet_leadership import FleetLeadership
from marigolddoor_control.fleet.ports import (
    HoldRequest,
    NoAnswerError,
    StartOutcome,
    StartRequest,
    WrongIncarnationError,
)
from marigolddoor_control.fleet.service import FleetService
from marigolddoor_core.dispatch import Executor, ExecutorState, Heartbeat, HoldReport
from marigolddoor_core.ids import ExecutorIncarnation

from bench.faults.virtual_loop import run_in_virtual_time
from tests.control.test_order_sender import TASK, ScriptedExecutor, lead
from tests.core.dispatch.fakes import heartbeat, running

OWN = heartbeat()
HOLD_S = 0.2


class RunningExecutor(ScriptedExecutor):
    """Lists its run, and answers calls that name it.

    `others` are addresses that answer as well, `stale` those where only new connections do.
    """

    def __init__(self, others: tuple[str, ...], stale: tuple[str, ...] = ()) -> None:
        super().__init__([], ())
        self.others = others
        self.stale = stale
        # The last run that was started on each incarnation.
        self.runs: dict[ExecutorIncarnation, int] = {}
        # Addresses whose idle connections were closed since the last call there.
        self.forgotten: set[str] = set()

    async def forget(self, executor: Executor) -> None:
        self.forgotten.add(executor.heartbeat.address)

    async def start(self, executor: Executor, request: StartRequest) -> StartOutcome:
        self.runs[executor.incarnation] = request.run
        return await super().start(executor, request)

    async def hold(self, executor: Executor, request: HoldRequest) -> HoldReport:
        named = executor.heartbeat
        is_fresh = named.address in self.forgotten
        self.forgotten.discard(named.address)
        await anyio.sleep(HOLD_S)
        if named.address in self.stale and not is_fresh:
            raise NoAnswerError("the connection is silent")
        if named.address not in (OWN.address, *self.others):
            raise NoAnswerError("no connection")
        if named.address == OWN.address and named.incarnation != OWN.incarnation:
            raise WrongIncarnationError("another executor is there")
        number = self.runs.get(named.incarnation)
        runs = () if number is None else (running(TASK, number),)
        return HoldReport(5000 + int(anyio.current_time() * 1000), runs, (), named.born_ms)


async def call_service(leadership: FleetLeadership, *heartbeats: Heartbeat) -> None:
    """Send heartbeats, then let the leader act for some seconds."""
    consensus: Any = leadership.consensus
    service = FleetService(leadership.table, consensus)
    service.leadership = leadership
    for sent in heartbeats:
        await service.heartbeat(sent)
        await anyio.sleep(HOLD_S / 4)
    await anyio.sleep(3.0)


class DisplacementTest(testtools.TestCase):
    """An executor is displaced only by one that answers under its own id and birth.

    One heartbeat of another writer, with the address and the machine of a sound executor and a
    newer birth, ended it: its eight tasks were started elsewhere while they ran.
    """

    scenarios = [
        (
            name,
            {"sent": sent, "others": others, "is_displaced": is_displaced},
        )
        for name, sent, others, is_displaced in (
            ("its address", heartbeat(2, 200, address=OWN.address, machine="m-1"), (), False),
            ("its machine, nobody answers", heartbeat(2, 200, machine="m-1"), (), False),
            ("its id, a newer birth", heartbeat(1, 200), (), False),
            (
                "its id at an address where nobody answers",
                heartbeat(1, 200, address="a:1"),
                (),
                False,
            ),
            ("its machine, an executor answers", heartbeat(2, 200, machine="m-1"), ("a:1",), True),
            ("its id, an executor answers", heartbeat(1, 200), ("a:1",), True),
        )
    ]

    def test_run(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        sent = replace(self.sent, address="a:1") if self.others else self.sent

        async def scenario(leadership: FleetLeadership) -> None:
            known = next(iter(leadership.dispatch.executors.values()))
            await anyio.sleep(1.0)
            self.assertEqual([TASK], list(known.runs))
            await call_service(leadership, sent, replace(sent, sequence=2))
            self.assertEqual(self.is_displaced, known.has_ended)
            present = sent if self.is_displaced else OWN
            self.assertEqual([present.incarnation], list(leadership.dispatch.executors))

        executor = RunningExecutor(self.others)
        await lead(executor, scenario)
        self.assertEqual(2 if self.is_displaced else 1, len(executor.started))


class NewestHeartbeatTest(testtools.TestCase):
    """An executor that drains while it is asked is taken as draining, whichever call is late."""

    scenarios = [
        ("in order", {"sequences": (1, 2)}),
        ("out of order", {"sequences": (2, 1)}),
    ]

    def test_state(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        async def scenario(leadership: FleetLeadership) -> None:
            ready = heartbeat(2, 200, 1, machine="m-1")
            draining = replace(ready, sequence=2, state=ExecutorState.DRAINING)
            sent = {1: ready, 2: draining}
            await call_service(leadership, *(sent[number] for number in self.sequences))
            executor = leadership.dispatch.executors[ready.incarnation]
            self.assertIs(ExecutorState.DRAINING, executor.heartbeat.state)

        await lead(RunningExecutor((heartbeat(2).address,)), scenario)


class SilentConnectionTest(testtools.TestCase):
    """An executor is found although its predecessor lost its power and left silent connections."""

    scenarios = [
        ("new connections only", {"stale": ("a:1",)}),
        ("all connections", {"stale": ()}),
    ]

    def test_displaced(self) -> None:
        run_in_virtual_time(self.run_scenario)

    async def run_scenario(self) -> None:
        async def scenario(leadership: FleetLeadership) -> None:
            known = next(iter(leadership.dispatch.executors.values()))
            await call_service(leadership, heartbeat(2, 200, address="a:1", machine="m-1"))
            self.assertTrue(known.has_ended)

        await lead(RunningExecutor(("a:1",), self.stale), scenario)
