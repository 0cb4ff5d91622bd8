"""The simulated platform that owns the machines, which follows the machine protocol."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from marigolddoor_control.fleet.ports import MachineOutcome, NoAnswerError
from marigolddoor_core.dispatch import MachineState, MachineView
from marigolddoor_core.ids import FencingToken, MachineId, ServiceId, WaveId

from bench.faults.consensus_checkers import Violation
from bench.faults.fleet_executors import LATENCY_S, Faults

__all__ = ["VirtualMachine", "VirtualMachines"]

MOVE_S = 1.5
MAINTENANCE_S = 2.0
# Minimum time between orders of two leaders for one machine.
MACHINE_LEASE_S = 3.0


@dataclass
class VirtualMachine:
    """A machine, and the token and time of the last order for it."""

    name: MachineId
    service: ServiceId
    cpu: int
    state: MachineState = MachineState.UP
    wave: WaveId | None = None
    token: int = 0
    ordered_at: float = -100.0


class VirtualMachines:
    """Implements `MachineCalls`.

    The platform does not check tokens, so two leaders must not alternate on one machine.

    Args:
      rng: the source of random faults and delays.
      faults: the shares of calls that fail.
      task_group: runs the work of orders, also after their sender has ended.
      machines: all machines.
      on_down: called with a machine that goes down, whose executor has to end.
      on_up: called with a machine that is up in its service again.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: Faults,
        task_group: TaskGroup,
        machines: dict[MachineId, VirtualMachine],
        on_down: Callable[[VirtualMachine], None],
        on_up: Callable[[VirtualMachine], None],
    ) -> None:
        self.rng = rng
        self.faults = faults
        self.task_group = task_group
        self.machines = machines
        self.on_down = on_down
        self.on_up = on_up
        # The number of machines of a wave that may be in maintenance at once.
        self.max_count: dict[WaveId, int] = {}
        self.maintained: dict[WaveId, set[MachineId]] = {}

    async def move(
        self, machine: MachineId, service: ServiceId, token: FencingToken
    ) -> MachineOutcome:
        """Move a machine to the pool of a service."""

        def execute(target: VirtualMachine) -> MachineOutcome:
            if target.state is not MachineState.UP:
                return MachineOutcome.BUSY
            if target.service == service:
                return MachineOutcome.DONE
            self.on_down(target)
            target.state, target.service = MachineState.MOVING, service
            self.task_group.start_soon(self._return, target, MOVE_S)
            return MachineOutcome.DONE

        return await self._call(machine, token, execute)

    async def begin_maintenance(
        self, machine: MachineId, wave: WaveId, token: FencingToken
    ) -> MachineOutcome:
        """Begin the maintenance of a machine."""

        def execute(target: VirtualMachine) -> MachineOutcome:
            maintained = self.maintained.setdefault(wave, set())
            if machine in maintained:
                return MachineOutcome.DONE
            if target.state is not MachineState.UP:
                return MachineOutcome.BUSY
            down = sum(1 for other in self.machines.values() if other.wave == wave)
            if down >= self.max_count[wave]:
                raise Violation("limit of a wave", f"{machine} is the {down + 1}th at once")
            maintained.add(machine)
            self.on_down(target)
            target.state, target.wave = MachineState.MAINTENANCE, wave
            self.task_group.start_soon(self._return, target, MAINTENANCE_S)
            return MachineOutcome.DONE

        return await self._call(machine, token, execute)

    async def list_machines(self) -> list[MachineView]:
        """Return all machines."""
        await anyio.sleep(self.rng.uniform(*LATENCY_S))
        if self.rng.random() < self.faults.lost:
            raise NoAnswerError("timed out waiting for the list of machines")
        return [
            MachineView(machine.name, machine.service, machine.state, machine.cpu)
            for machine in self.machines.values()
        ]

    async def _return(self, machine: VirtualMachine, after_s: float) -> None:
        await anyio.sleep(after_s)
        machine.state, machine.wave = MachineState.UP, None
        self.on_up(machine)

    def _check_single_leader(self, machine: VirtualMachine, token: FencingToken) -> None:
        now = anyio.current_time()
        if token != machine.token and now - machine.ordered_at < MACHINE_LEASE_S:
            raise Violation(
                "one leader a machine",
                f"{machine.name}: token {token} {now - machine.ordered_at:.2f} s after "
                f"{machine.token}",
            )
        machine.token, machine.ordered_at = token, now

    async def _call(
        self,
        name: MachineId,
        token: FencingToken,
        execute: Callable[[VirtualMachine], MachineOutcome],
    ) -> MachineOutcome:
        machine = self.machines.get(name)
        if machine is None:
            return MachineOutcome.UNKNOWN_MACHINE
        self._check_single_leader(machine, token)
        await anyio.sleep(self.rng.uniform(*LATENCY_S))
        if self.rng.random() < self.faults.lost:
            raise NoAnswerError("no answer in time")
        outcome = execute(machine)
        if self.rng.random() < self.faults.unanswered:
            raise NoAnswerError("the answer was lost")
        return outcome
